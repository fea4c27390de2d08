"""Starts whose orders are not sent before the next owner knows of them."""

import dataclasses
import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _tickets


@dataclasses.dataclass(slots=True, eq=False)
class _Group:
    """The starts of one run: one, or those of all members of a gang."""

    task: _jobs.TaskState
    number: int
    starts: list
    stored: bool = False


class WithheldStarts:
    """Starts that wait until they are stored as open starts.

    A task under which a worker has crashed is started only once the start is
    stored.  If the worker crashes and the owner ends before it sees this, the
    next owner still counts the crash; and an owner that has been replaced
    can store nothing and so starts no such task.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state
        self._groups = {}  # by the id of the task that holds the failures

    @property
    def waiting(self):
        """Whether starts wait until they are stored."""
        return any(not group.stored for group in self._groups.values())

    def hold(self, task, starts):
        """Withhold the starts of a run until their record is stored.

        Parameters
        ----------
        task : TaskState
            For a gang, the task that holds its failures.
        starts : list of Start
            Their runs have been added to the workers.
        """
        self._groups[task.id] = _Group(task, starts[0].run, starts)
        for start in starts:
            worker = self._state.workers[start.worker]
            self._state.open_starts.add(task, start.run, worker)
        if starts[0].run not in task.open_starts:
            # It could not be sent without a record.
            self._state.mark_full(task.step.job)

    def holds(self, task, number):
        """Return whether the order of a run has not been sent yet."""
        group = self._groups.get(task.id)
        return group is not None and group.number == number

    def on_stored(self, job, progress):
        """Record that the progress of a job is stored."""
        for group in self._groups.values():
            if group.task.step.job is not job:
                continue
            stored = progress.open_starts.get(_jobs.task_key(group.task), ())
            if any(start.number == group.number for start in stored):
                group.stored = True

    def take_due(self, now):
        """Return the starts to be sent now, whose record is stored.

        Those that are not valid any more are cancelled, also if the ticket
        service does not allow a worker any more.  Those of which a ticket has
        expired wait for its renewal, see `expired_tickets`.
        """
        due = []
        for group in [g for g in self._groups.values() if g.stored]:
            if not all(self._is_valid(start) for start in group.starts):
                self._cancel(group)
            elif not any(self._has_expired(s, now) for s in group.starts):
                del self._groups[group.task.id]
                due.extend(self._renew(s, now) for s in group.starts)
        return due

    def expired_tickets(self):
        """Return the workers of the stored starts that `take_due` kept.

        All tickets of a gang are renewed, so that they are valid at the same
        time.

        Returns
        -------
        list of (StepState, list of WorkerState)
        """
        workers = {}
        for group in self._groups.values():
            if not group.stored:
                continue
            for start in group.starts:
                worker = self._state.workers.get(start.worker)
                if worker is not None:
                    needed = workers.setdefault(group.task.step, {})
                    needed[worker.id] = worker
        return [
            (step, list(found.values())) for step, found in workers.items()
        ]

    def on_job_ended(self, job):
        """Cancel the starts of a job that has ended."""
        for group in list(self._groups.values()):
            if group.task.step.job is job:
                self._cancel(group)

    def on_released(self, run):
        """Cancel a start whose run was released, with its whole gang."""
        task = run.task.step.accounting_task(run.task)
        if self.holds(task, run.number):
            self._cancel(self._groups[task.id])

    def _is_valid(self, start):
        worker = self._state.workers.get(start.worker)
        run = worker and worker.runs.get(start.task)
        return (
            run is not None
            and run.number == start.run
            and run.state is _jobs.RunState.STARTING
            and worker.usable
            and worker.info.born_ms == start.born_ms
            and _tickets.is_allowed(run.task.step, worker)
        )

    def _has_expired(self, start, now):
        return self._ticket(start, now) is None

    def _ticket(self, start, now):
        return _tickets.valid_ticket(
            self._state.task(start.task).step,
            self._state.workers[start.worker],
            now,
        )

    def _renew(self, start, now):
        worker = self._state.workers[start.worker]
        return dataclasses.replace(
            start,
            ticket=self._ticket(start, now),
            valid_until=worker.allow_start(now),
        )

    def _cancel(self, group):
        del self._groups[group.task.id]
        _events.log(
            logging.INFO,
            "recorded start is not sent",
            job=group.task.id.job,
            task=_events.task_name(group.task.id),
            run=group.number,
        )
        self._state.open_starts.drop(group.task, group.number)
        for start in group.starts:
            worker = self._state.workers.get(start.worker)
            run = worker and worker.runs.get(start.task)
            if run is not None and run.number == start.run:
                self._state.release_run(worker, run)
