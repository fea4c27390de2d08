"""Starts of suspects, i.e. of tasks under which workers have crashed, alone.

A suspect that runs alone shows whether it crashes its worker, and does no
harm to other tasks.  Gangs are not isolated; their tasks start together.
"""

import dataclasses
import itertools

from citrondeal.jobs import _budget
from citrondeal.jobs import _job
from citrondeal import placement

# A suspect waits this long for a worker that runs nothing else, because in a
# busy pool there may never be one.  Then it starts beside tasks under which no
# worker has crashed.
ISOLATION_WAIT_S = 5.0
# After this time it waits as any other task, so that it is not kept from
# reservations and preemptions.
POOL_AFTER_S = 10.0
# No other task starts beside a suspect for this long.  Tasks that crash their
# workers do so soon after the start.
CLOSED_S = 30.0
# At most this share of the workers, at least one, is kept for suspects, so
# that many of them, as after power failures, leave room for other tasks.
MAX_CLOSED_SHARE = 0.25
# Waiting suspects that are looked at per tick, each up to about a millisecond.
MAX_ATTEMPTS = 8


@dataclasses.dataclass(slots=True)
class _Waiting:
    job: _job.Job
    index: int
    since: float


@dataclasses.dataclass(slots=True)
class _Closure:
    """A worker on which only one suspect may start."""

    task_key: tuple
    until: float
    started: bool = False


class Isolation:
    """Chooses workers for suspects and closes these for other tasks.

    Parameters
    ----------
    pool : placement.Pool
        Has the allotments.
    workers : dict of str to _assignments.Worker
        Workers of the pool owner; it is not copied.
    is_open : callable
        Tells whether tasks may be started on a worker.
    has_crashed : callable
        Tells whether a worker, given by name, has crashed lately.  Others are
        preferred, since the worker may be at fault and not the task.
    """

    def __init__(self, pool, workers, is_open, has_crashed):
        self._pool = pool
        self._workers = workers
        self._is_open = is_open
        self._has_crashed = has_crashed
        self._waiting = {}
        self._closures = {}
        self._changed = set()

    @property
    def waiting(self):
        """Number of suspects that wait for a worker."""
        return len(self._waiting)

    def is_closed(self, name):
        """Return whether a worker is kept for a suspect."""
        return name in self._closures

    def take(self, job, indices, now):
        """Take the suspects among waiting tasks, and return the others."""
        if not job.crashes or job.work.kind == "gang":
            return indices
        others = []
        for index in indices:
            if _budget.is_suspect(job, index):
                waiting = _Waiting(job, index, now)
                self._waiting.setdefault((job.id, index), waiting)
            else:
                others.append(index)
        return others

    def clear(self):
        """Forget the waiting suspects."""
        self._waiting.clear()

    def place(self, may_queue, now):
        """Decide which suspects start on which workers.

        Parameters
        ----------
        may_queue : callable
            ``may_queue(job, index)`` tells whether the task may be started.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of placement.Start
            Each is already allotted under the key ``(job, index)``.
        """
        starts = []
        first = itertools.islice(self._waiting.items(), MAX_ATTEMPTS)
        for task_key, waiting in list(first):
            del self._waiting[task_key]
            job = waiting.job
            if job.ended or not job.is_open(waiting.index):
                continue
            if not may_queue(job, waiting.index):
                continue
            if now - waiting.since >= POOL_AFTER_S:
                self._pool.offer(job.work, [waiting.index], now, job.failed_on)
                continue
            worker = self._choose(waiting, task_key, now)
            if worker is None:
                self._waiting[task_key] = waiting
                continue
            starts.append(self._start(waiting, task_key, worker, now))
        self._end_closures(now)
        return starts

    def changed_workers(self):
        """Return the workers that were closed or opened since last time."""
        changed, self._changed = self._changed, set()
        return changed

    def dump(self):
        """Return the state for the state dump."""
        return {"waiting": self.waiting, "closed": len(self._closures)}

    def _start(self, waiting, task_key, worker, now):
        name = worker.info.name
        spec = waiting.job.work
        if name in self._closures or self._may_close():
            self._close(name, _Closure(task_key, now + CLOSED_S, True))
        self._pool.allot(name, task_key, spec.size, spec, now)
        return placement.Start(waiting.job.id, waiting.index, name)

    def _choose(self, waiting, task_key, now):
        """Return the worker on which a suspect starts now, or None."""
        usable = [
            worker
            for name, worker in self._workers.items()
            if self._is_open(worker) and self._is_usable(name, task_key)
        ]
        spec = waiting.job.work
        fitting = [
            worker
            for worker in usable
            if self._pool.has_room(worker.info.name, spec)
        ]
        may_close = self._may_close()
        empty = [
            worker
            for worker in fitting
            if not worker.assignments
            and (may_close or self.is_closed(worker.info.name))
        ]
        if empty:
            return min(empty, key=self._size_order)
        if now - waiting.since < ISOLATION_WAIT_S:
            self._hold(usable, waiting, task_key)
            return None
        apart = [w for w in fitting if not _runs_crashed_task(w)]
        return min(apart, key=self._load_order, default=None)

    def _is_usable(self, name, task_key):
        closure = self._closures.get(name)
        if closure is None:
            return True
        return closure.task_key == task_key and not closure.started

    def _hold(self, usable, waiting, task_key):
        """Let a worker run empty, for one suspect at a time."""
        if any(not c.started for c in self._closures.values()):
            return
        size = waiting.job.work.size
        large = [w for w in usable if placement.fits(size, _capacity_of(w))]
        if large and self._may_close():
            name = min(large, key=self._load_order).info.name
            until = waiting.since + POOL_AFTER_S
            self._close(name, _Closure(task_key, until))

    def _size_order(self, worker):
        info = worker.info
        crashed = self._has_crashed(info.name)
        return crashed, info.accelerators, info.cores, info.name

    def _load_order(self, worker):
        name = worker.info.name
        return self._has_crashed(name), len(worker.assignments), name

    def _may_close(self):
        count = sum(self._is_open(w) for w in self._workers.values())
        return len(self._closures) < max(1, MAX_CLOSED_SHARE * count)

    def _close(self, name, closure):
        self._closures[name] = closure
        self._changed.add(name)

    def _end_closures(self, now):
        for name, closure in list(self._closures.items()):
            worker = self._workers.get(name)
            if closure.started:
                needed = worker is not None and (
                    self._pool.has_allotment(name, closure.task_key)
                )
            else:
                needed = closure.task_key in self._waiting
            if worker is None or not needed or now >= closure.until:
                del self._closures[name]
                self._changed.add(name)


def _capacity_of(worker):
    info = worker.info
    return placement.capacity_of(info.cores, info.memory_mb, info.accelerators)


def _runs_crashed_task(worker):
    return any(
        assignment.job is not None
        and assignment.task_key is not None
        and assignment.task_key[1] in assignment.job.crashes
        for assignment in worker.assignments.values()
    )
