"""Ends of leases, and tasks on workers that are about to leave."""

import math

from citrondeal.jobs import _assignments


class Expiry:
    """Ends leases on silent workers, and empties leaving ones.

    Parameters
    ----------
    state : OwnerState
    queueing : Queueing
    """

    def __init__(self, state, queueing):
        self._state = state
        self._queueing = queueing

    def expire_assignments(self, now):
        """Remove tasks whose leases ended on workers that do not answer.

        Tasks that were not started yet are removed only from workers that
        have left the VM list.
        """
        for worker in list(self._state.workers.values()):
            if worker.answering and not worker.unlisted:
                continue
            for assignment in list(worker.assignments.values()):
                if assignment.phase in (
                    _assignments.INTENT,
                    _assignments.READY,
                ):
                    if worker.unlisted:
                        self._queueing.on_not_running(
                            worker, assignment, False, now
                        )
                elif (
                    now
                    > assignment.lease_end + self._state.config.lease_wait_s
                ):
                    run = self._state.run_of(assignment)
                    if run is not None and assignment.may_have_run:
                        self._state.crashes.on_lapse(worker, run)
                    may_have_crashed = not (worker.unlisted or worker.drained)
                    self._queueing.on_not_running(
                        worker, assignment, True, now, lapsed=may_have_crashed
                    )

    def drain_workers(self, interrupt_task, now):
        """Move tasks off leaving workers, and stop slow checkpoints.

        Tasks that must run once are left to run.

        Parameters
        ----------
        interrupt_task : callable
            ``interrupt_task(assignment, interrupted, now)``, as
            `interrupt_task`.
        now : float
            Monotonic seconds.
        """
        limit = self._state.config.checkpoint_limit_s
        interrupted = None
        for worker in self._state.workers.values():
            for assignment in list(worker.assignments.values()):
                if (
                    assignment.stop_order == "checkpoint"
                    and now - assignment.stop_requested_at > limit
                ):
                    assignment.stop_order = "stop"
            if not worker.info.leaving:
                continue
            for assignment in list(worker.assignments.values()):
                if assignment.phase in (
                    _assignments.INTENT,
                    _assignments.READY,
                ):
                    self._queueing.on_not_running(
                        worker, assignment, False, now
                    )
                elif (
                    assignment.stop_order is None
                    and assignment.task_key
                    and assignment.job
                ):
                    if interrupted is None:
                        interrupted = self._count_interrupted()
                    interrupt_task(assignment, interrupted, now)

    def interrupt_task(self, assignment, interrupted, now):
        """Stop a task on a leaving worker, a part of a service at a time."""
        job = assignment.job
        if job.once or assignment.phase != _assignments.RUNNING:
            return
        if job.work.kind == "service":
            allowed = max(1, int(job.tasks * self._state.config.move_share))
            if interrupted.get(job.id, 0) >= allowed:
                return
            interrupted[job.id] = interrupted.get(job.id, 0) + 1
            assignment.stop_order = "stop"
        else:
            assignment.stop_order = "checkpoint"
        assignment.stop_requested_at = now
        assignment.worker.last_request_at = -math.inf

    def _count_interrupted(self):
        """Return the number of starting and stopping tasks by job id."""
        counts = {}
        for task_key, assignment in self._state.assigned.items():
            if (
                assignment.stop_order is not None
                or assignment.phase != _assignments.RUNNING
            ):
                counts[task_key[0]] = counts.get(task_key[0], 0) + 1
        return counts
