"""Starts of which it is not known how their runs ended.

These are starts that were recorded before their order was sent, and runs
whose leases lapsed.  They are stored with the progress of the job.  What the
worker says next tells which of them ended by a crash: an incarnation that
started later is a crash, and a report of the same one is none.
"""

import collections

from citrondeal.workflow import _jobs
from citrondeal.workflow import _model

# Only the newest open starts of a task are kept, so that its record stays
# small.
MAX_PER_TASK = 3
# Places of all open starts of a job, of up to 100 bytes each: its progress has
# to fit in a record of the store. The largest gang that is accepted needs as
# many for one start.
MAX_PLACES_PER_JOB = 1_000


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

    def has_room(self, job, count):
        """Return whether so many places fit in the record of a job."""
        return self._places[job.id] + count <= MAX_PLACES_PER_JOB

    def make_room(self, job, count):
        """Drop starts of ended runs, the oldest first, until `count` fit.

        Their workers may have been lost for good and never tell the end.

        Returns
        -------
        bool
            Whether there is room. A gang that is larger than the limit has
            room once nothing else is recorded.
        """
        if self.has_room(job, count):
            return True
        ended = sorted(
            (number, task.id, task)
            for task in job.tasks()
            for number in task.open_starts
            if task.done or not _is_live(task, number)
        )
        for number, _, task in ended:
            self._forget(task, number)
            if self.has_room(job, count):
                return True
        return not self._places[job.id]

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
        if not self.has_room(task.step.job, 1):
            self._mark_unseen(task)
            return
        place = _model.Place(worker.info.address, worker.info.born_ms)
        self.restore(task, number, {worker.id: place})
        while len(task.open_starts) > MAX_PER_TASK:
            self._forget(task, min(task.open_starts))
        self._mark_changed(task.step.job)

    def restore(self, task, number, places):
        """Add the places of a stored start."""
        known = task.open_starts.setdefault(number, {})
        self._places[task.step.job.id] += len(places.keys() - known.keys())
        known.update(places)
        for worker_id, place in places.items():
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
        self._places[task.step.job.id] -= 1
        if not self._places[task.step.job.id]:
            del self._places[task.step.job.id]
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
        self._mark_unseen(task)

    def _mark_unseen(self, task):
        """Record that a crash of a task may stay unseen."""
        task.excused.add(_jobs.UNSEEN_RUN_NUMBER)
        self._mark_changed(task.step.job)

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


def _is_live(task, number):
    members = task.step.tasks if task.step.spec.gang else [task]
    return any(m.run is not None and m.run.number == number for m in members)
