"""Placement of tasks under which workers have crashed.

Those with several crashed runs are suspects, see `_crashes.is_suspect`.
"""

from citrondeal.workflow import _crashes
from citrondeal.workflow import _jobs
from citrondeal.workflow import _placement

# A suspect waits this long for a worker that runs nothing else, because on a
# busy cell there may never be one. Then it starts beside other tasks, if need
# be beside other suspects: no job may have nothing running for 3 s while there
# is room for it.
ISOLATION_WAIT_S = 2.0
# At most this share of the workers of a service runs nothing but suspects, so
# that many suspects, as after power failures, leave room for other tasks.
MAX_ISOLATED_SHARE = 0.25
# A worker runs nothing but a suspect for this long from its start: from when
# it is decided, and again from when it is confirmed. A task that crashes its
# worker does so soon, and no other job may have nothing running for 3 s while
# there is room for it.
MAX_ISOLATED_S = 2.0
# Each task that has crashed workers is placed by itself, which takes an owner
# about a millisecond. After a power failure there may be hundreds of them.
MAX_ATTEMPTS_PER_PASS = 32
# A task that found no place lets others try for this long.
RETRY_AFTER_S = 0.3


class Isolation:
    """Keeps suspects and other tasks on different workers.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state
        self._steps = set()  # with a task that has crashed workers
        self._closed = set()  # workers that get no other task in this pass
        self._worker_tasks = {}  # tasks with crashes by worker id
        self._held = set()  # workers that are to become free
        self._held_for = None  # suspect that waits for them
        self._isolated = None  # task whose chosen workers run nothing else
        self._attempts_left = 0
        self._retry_at = {}  # by task id
        self._awaited = {}  # workers with room kept for a task, by its id
        self._usable = {}  # workers by service, listed once in a pass

    def begin_pass(self, now):
        """Prepare for a planning pass."""
        self._steps, self._closed, self._worker_tasks = set(), set(), {}
        self._attempts_left = MAX_ATTEMPTS_PER_PASS
        self._usable = {}
        self._retry_at = {i: t for i, t in self._retry_at.items() if t > now}
        counted = self._state.crashes.counted
        self._awaited = {
            i: w for i, w in self._awaited.items() if i in counted
        }
        task = self._held_for
        if task and not self.waits(task, now):
            self._held_for, self._held = None, set()
        for task in counted.values():
            self._steps.add(task.step.id)
            for run in _runs(task):
                self._worker_tasks.setdefault(run.worker, []).append(task)
            self._close_again(task, now)
            self._begin_wait(task, now)

    def concerns(self, step):
        """Return whether a task of a step has crashed workers."""
        return step.id in self._steps

    def may_attempt(self, task):
        """Return whether a place for a task is looked for in this pass."""
        if self._attempts_left <= 0 or task.id in self._retry_at:
            return False
        self._attempts_left -= 1
        return True

    def on_not_placed(self, task, now):
        """Record that no place was found for a task."""
        self._retry_at[task.id] = now + RETRY_AFTER_S
        self._awaited.pop(task.id, None)

    def on_reserved(self, task, workers):
        """Record on which workers room is kept for a task."""
        self._awaited[task.id] = workers

    def awaited_workers(self, task):
        """Return the usable workers on which its last attempt kept room."""
        return [w for w in self._awaited.get(task.id, ()) if w.usable]

    def open_workers(self, workers, task=None):
        """Return the workers on which a task may be placed.

        Parameters
        ----------
        workers : dict of str to WorkerState
        task : TaskState or None
            Task that has crashed workers; None for all others.

        Returns
        -------
        dict of str to WorkerState
        """
        closed = self._closed
        if self._held_for is not None and self._held_for is not task:
            closed = closed | self._held
        if not closed:
            return workers
        return {n: w for n, w in workers.items() if n not in closed}

    def choose(self, step, tasks, workers, is_preferred, now):
        """Choose workers for a task, or a gang, that has crashed workers.

        Parameters
        ----------
        step : StepState
        tasks : list of TaskState
            One task, or all tasks of a gang.
        workers : list of WorkerState
            Open workers that are allowed to run the step.
        is_preferred : callable
            See `_placement.choose`.
        now : float

        Returns
        -------
        list of (TaskState, WorkerState)
            Empty unless there is room for all tasks.
        """
        task = step.accounting_task(tasks[0])
        self._isolated = None
        if not _crashes.is_suspect(task):
            return self._choose_apart(step, tasks, workers, is_preferred, now)
        empty = [w for w in workers if not w.runs]
        chosen = _placement.choose(step, tasks, empty, is_preferred, now)
        if len(chosen) == len(tasks) and self._may_close(task, _ids(chosen)):
            self._isolated = task
            self._hold(task, chosen, now)
            return chosen
        if len(chosen) < len(tasks):
            to_free = _placement.choose_to_reserve(step, tasks, workers)
            self._hold(task, to_free, now)
        if self.waits(task, now):
            return []
        return self._choose_apart(step, tasks, workers, is_preferred, now)

    def waits(self, task, now):
        """Return whether a task waits for workers that run nothing else."""
        since = task.isolation_wanted_at
        return (
            since is not None
            and now - since < ISOLATION_WAIT_S
            and not task.step.job.ended
        )

    def on_start(self, task, run):
        """Note a start, after which its worker may be closed.

        Parameters
        ----------
        task : TaskState
            For a gang, the task that holds its failures.
        run : Run
        """
        task.isolation_wanted_at = None
        self._awaited.pop(task.id, None)
        run.isolated = task is self._isolated
        if task.crashes:
            self._worker_tasks.setdefault(run.worker, []).append(task)
        if run.isolated:
            self._closed.add(run.worker)

    def _begin_wait(self, task, now):
        """Let a suspect wait from its crash on, not from its first attempt.

        With many suspects, the last ones are tried some time later.
        """
        begins = task.isolation_wanted_at is None and not _runs(task)
        if begins and _crashes.is_suspect(task):
            task.isolation_wanted_at = now

    def _close_again(self, task, now):
        """Close the workers of a task's recent runs for this pass.

        The runs of suspects that this owner took over have closed none so far,
        and together they may need too many.
        """
        isolated = {
            run.worker
            for run in _runs(task)
            if run.isolated and not _has_lasted(run, now)
        }
        if not isolated <= self._closed and self._may_close(task, isolated):
            self._closed |= isolated

    def _hold(self, task, chosen, now):
        """Keep workers for a suspect, one at a time, as long as it waits."""
        if self._held_for is not None or not self.waits(task, now):
            return
        needed = _ids(chosen)
        if self._leaves_room(task, needed):
            self._held_for, self._held = task, needed

    def _may_close(self, task, needed):
        """Return whether workers may run nothing but a suspect."""
        count = len(self._service_workers(task))
        limit = max(len(needed), MAX_ISOLATED_SHARE * count)
        if len(self._closed | needed) > limit:
            return False
        return self._leaves_room(task, needed)

    def _leaves_room(self, task, needed):
        """Return whether others can still run whatever runs on some workers.

        For each of them, an open worker has all its labels and at least its
        capacity.
        """
        workers = self._service_workers(task)
        taken = self._closed | needed
        if self._held_for is not task:
            taken |= self._held
        left = [worker for worker in workers if worker.id not in taken]
        return all(
            any(_can_replace(other, worker) for other in left)
            for worker in workers
            if worker.id in needed
        )

    def _service_workers(self, task):
        if not self._usable:
            for worker in self._state.workers.values():
                if worker.usable:
                    service = worker.info.service
                    self._usable.setdefault(service, []).append(worker)
        return self._usable.get(task.step.job.service, [])

    def _choose_apart(self, step, tasks, workers, is_preferred, now):
        """Choose workers without other tasks that have crashed workers.

        If there is no room on these, those without other suspects come next,
        and then all others.
        """
        task = step.accounting_task(tasks[0])
        if step.spec.gang:
            chosen = self._choose_for_gang(
                step, tasks, workers, is_preferred, now
            )
        else:
            chosen = self._choose_for_task(task, workers, is_preferred, now)
        if (
            chosen
            and _crashes.is_suspect(task)
            and self._may_close(task, _ids(chosen))
        ):
            self._isolated = task
        return chosen

    def _choose_for_gang(self, step, tasks, workers, is_preferred, now):
        task = step.accounting_task(tasks[0])
        for candidates in (
            self._without(workers, task, lambda other: True),
            self._without(workers, task, _crashes.is_suspect),
            workers,
        ):
            chosen = _placement.choose(
                step, tasks, candidates, is_preferred, now
            )
            if len(chosen) == len(tasks):
                return chosen
        return []

    def _choose_for_task(self, task, workers, is_preferred, now):
        """Choose a worker where a crash does the least damage.

        Another crash is the worst for tasks with several ones, which may be
        given up, so these are avoided first.  Then a worker with many free
        resources runs few other tasks.
        """
        step = task.step
        if not _crashes.is_suspect(task):
            apart = self._without(workers, task, lambda other: True)
            chosen = _placement.choose(step, [task], apart, is_preferred, now)
            if chosen:
                return chosen

        def rank(worker):
            others = self._worker_tasks.get(worker.id, ())
            return (
                bool(others) + any(map(_crashes.is_suspect, others)),
                not is_preferred(worker),
                worker.id in task.avoid,
                sum(len(o.crashes) + len(o.excused) for o in others),
                -worker.available(step).millicores,
                worker.id,
            )

        return _placement.choose_first(step, task, workers, rank, now)

    def _without(self, workers, task, matches):
        """Return the workers that run no other matching task."""
        return [
            worker
            for worker in workers
            if not any(
                other is not task and matches(other)
                for other in self._worker_tasks.get(worker.id, ())
            )
        ]


def _ids(chosen):
    return {worker.id for _, worker in chosen}


def _runs(task):
    members = task.step.tasks if task.step.spec.gang else [task]
    return [member.run for member in members if member.run is not None]


def _has_lasted(run, now):
    """Return whether a run has lasted too long to keep its worker closed."""
    if run.state is _jobs.RunState.STOPPING:
        return True
    # A recorded start may wait long for the store or a ticket.
    since = run.ordered_at if run.confirmed_at is None else run.confirmed_at
    return now - since >= MAX_ISOLATED_S


def _can_replace(worker, other):
    """Return whether a worker can run each task that another one can run."""
    return set(other.info.labels) <= set(
        worker.info.labels
    ) and other.info.capacity.fits(worker.info.capacity)
