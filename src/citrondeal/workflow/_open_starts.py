"""Starts of which it is not known how their runs ended.

These are starts that were recorded before their order was sent, and runs
whose leases lapsed.  They are stored with the progress of the job.  What the
worker says next tells which of them ended by a crash: an incarnation that
started later is a crash, and a report of the same one is none.
"""

import collections

from citrondeal.workflow import _jobs
from citrondeal.workflow import _model
from citrondeal.workflow import _record_size

# Only the newest open starts of a task are kept, so that its record stays
# small.
MAX_PER_TASK = 3
# Places of all open starts of a job. The largest gang that is accepted needs
# as many for one start.
MAX_PLACES_PER_JOB = 1_000
# Open starts of a job take no more than this, so that its record has room for
# two crashed runs of each task: 150,000 bytes for 5,000 tasks.
MAX_BYTES_PER_JOB = 100_000
# Room that a start needs before its workers are known, for each place and for
# the rest. A place takes some 70 bytes with the names on the platform.
EXPECTED_PLACE_BYTES = 100
EXPECTED_START_BYTES = 400


class OpenStarts:
    """Index of the open starts of all tasks by worker and address.

    Parameters
    ----------
    mark_changed : callable
        Called with a job whose open starts have changed.
    """

    def __init__(self, mark_changed):
        self._mark_changed = mark_changed
        self._index = {}  # worker id or address -> {task id: task}
        self._places = collections.Counter()  # by job id
        self._bytes = collections.Counter()  # by job id
        # Ids of jobs without room, until one of their starts is removed.
        self._full = set()

    def has_room(self, job, count, size=None):
        """Return whether so many places fit in the record of a job.

        Parameters
        ----------
        job : JobRecord
        count : int
        size : int or None
            Their size in bytes, or None if it is not known yet.
        """
        if size is None:
            size = count * EXPECTED_PLACE_BYTES + EXPECTED_START_BYTES
        return (
            self._places[job.id] + count <= MAX_PLACES_PER_JOB
            and self._bytes[job.id] + size <= MAX_BYTES_PER_JOB
            and job.has_room(size)
        )

    def make_room(self, job, count):
        """Drop starts of ended runs, the oldest first, until `count` fit.

        Their workers may have been lost for good and never tell the end.  If
        there is no room, the next owner has to know that starts of the job
        are not recorded.

        Returns
        -------
        bool
            Whether there is room. A gang that is larger than the limit has
            room once nothing else is recorded.
        """
        if self.has_room(job, count) or self._drop_until_room(job, count):
            return True
        if not job.has_unrecorded:
            job.has_unrecorded = True
            self._mark_changed(job)
        return False

    def _drop_until_room(self, job, count):
        # The search looks at all tasks of the job, and each waiting task of it
        # asks for room.
        if job.id not in self._full:
            for number, task in _ended(job):
                self._forget(task, number)
                if self.has_room(job, count):
                    return True
            self._full.add(job.id)
        return not self._places[job.id]

    def drop_ended(self, job):
        """Drop all starts of ended runs, which take room in the record."""
        for number, task in _ended(job):
            self.drop(task, number)
            job.has_unseen = True

    def add(self, task, number, worker):
        """Add the start of a run on a worker if the job has room for it.

        Only the newest starts of the task are kept, see `MAX_PER_TASK`.  A
        start that is not kept may be a crash that stays unseen.

        Parameters
        ----------
        task : TaskState
            For a gang, the task that holds its failures.
        number : int
            Number of the run.
        worker : WorkerState
        """
        place = _model.Place(worker.info.address, worker.info.born_ms)
        size = _added_bytes(task, number, worker.id, place)
        if not self.has_room(task.step.job, 1, size):
            task.step.job.has_unseen = True
            self._mark_changed(task.step.job)
            return
        self.restore(task, number, {worker.id: place})
        while len(task.open_starts) > MAX_PER_TASK:
            self._forget(task, min(task.open_starts))
        self._mark_changed(task.step.job)

    def restore(self, task, number, places):
        """Add the places of a stored start."""
        job = task.step.job
        for worker_id, place in places.items():
            size = _added_bytes(task, number, worker_id, place)
            known = task.open_starts.setdefault(number, {})
            self._add_bytes(job, size)
            self._places[job.id] += worker_id not in known
            known[worker_id] = place
            for key in (worker_id, place.address):
                self._index.setdefault(key, {})[task.id] = task

    def remove(self, task, number, worker_id):
        """Remove a start on one worker, whose end is known."""
        places = task.open_starts.get(number, {})
        place = places.pop(worker_id, None)
        if place is None:
            return
        if not places:
            del task.open_starts[number]
        job = task.step.job
        self._full.discard(job.id)
        self._add_bytes(job, -_added_bytes(task, number, worker_id, place))
        self._places[job.id] -= 1
        if not self._places[job.id]:
            del self._places[job.id], self._bytes[job.id]
        for key in (worker_id, place.address):
            self._remove_from_index(task, key)
        self._mark_changed(task.step.job)

    def drop(self, task, number):
        """Remove a start on all its workers."""
        for worker_id in list(task.open_starts.get(number, ())):
            self.remove(task, number, worker_id)

    def _forget(self, task, number):
        """Remove a start whose end will not be known."""
        self.drop(task, number)
        task.step.job.add_unseen(task)
        self._mark_changed(task.step.job)

    def _add_bytes(self, job, size):
        job.record_bytes += size
        self._bytes[job.id] += size

    def drop_all(self, task):
        """Remove all starts of a task."""
        for number in list(task.open_starts):
            self.drop(task, number)

    def at(self, key):
        """Return the open starts on a worker, given by its id or address.

        Returns
        -------
        list of (TaskState, int, str, Place)
            The task, the number of the run, and the worker.
        """
        return [
            (task, number, worker_id, place)
            for task in self._index.get(key, {}).values()
            for number, places in task.open_starts.items()
            for worker_id, place in places.items()
            if key in (worker_id, place.address)
        ]

    def _remove_from_index(self, task, key):
        """Remove a task from a key, unless another of its places has it."""
        for places in task.open_starts.values():
            for worker_id, place in places.items():
                if key in (worker_id, place.address):
                    return
        tasks = self._index.get(key, {})
        tasks.pop(task.id, None)
        if not tasks:
            self._index.pop(key, None)


def _added_bytes(task, number, worker_id, place):
    """Return the size that a place adds, or has added, to the record."""
    known = task.open_starts.get(number, {})
    size = _record_size.place(worker_id, place)
    if worker_id in known:
        return size - _record_size.place(worker_id, known[worker_id])
    if not known:
        size += _record_size.start(number)
    if not task.open_starts:
        size += _record_size.entry(_jobs.task_key(task))
    return size


def _ended(job):
    """Return the open starts of ended runs, the oldest first."""
    starts = sorted(
        (number, task.id, task)
        for task in job.tasks()
        for number in task.open_starts
        if task.done or not _is_live(task, number)
    )
    return [(number, task) for number, _, task in starts]


def _is_live(task, number):
    members = task.step.tasks if task.step.spec.gang else [task]
    return any(m.run is not None and m.run.number == number for m in members)
