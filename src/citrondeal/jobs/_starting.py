"""Starts of tasks on the workers that the pool has chosen."""

import math

from citrondeal.jobs import _assignments
from citrondeal.jobs import _job
from citrondeal.jobs import _owner_state


class Starting:
    """Assigns queued tasks to workers, and records the intents of starts.

    Parameters
    ----------
    state : OwnerState
    ends : Ends
    queueing : Queueing
    """

    def __init__(self, state, ends, queueing):
        self._state = state
        self._ends = ends
        self._queueing = queueing

    def on_start(self, action, now):
        """Assign a task to the worker that the pool has chosen."""
        job = self._state.job_table.get(action.job)
        task_key = (action.job, action.index)
        worker = self._state.workers[action.worker]
        if (
            job is None
            or job.ended
            or not self._queueing.may_queue(job, action.index)
        ):
            self._state.pool.release(action.worker, task_key)
            return
        if job.once and task_key in self._state.usable_intents:
            attempt = job.intents[action.index]
        else:
            self._state.attempt += 1
            attempt = f"{self._state.epoch}.{self._state.attempt}"
        task = _job.task_id(job.id, action.index, attempt)
        assignment = _assignments.Assignment(
            task,
            job,
            task_key,
            worker,
            task_key,
            job.work.size,
            _assignments.READY,
        )
        needs_intent = job.once and task_key not in self._state.usable_intents
        if needs_intent or _owner_state.has_recorded_starts(job, assignment):
            assignment.phase = _assignments.INTENT
            self._state.intent_append_at[task] = (now, assignment)
        worker.assignments[task] = assignment
        self._state.assigned[task_key] = assignment

    def on_intent(self, task, now):
        """Take a start of a task that the log shows."""
        task_key = _job.parse_task_id(task)[:2]
        assignment = self._state.assigned.get(task_key)
        if assignment is not None and assignment.task == task:
            if assignment.phase == _assignments.INTENT:
                assignment.phase = _assignments.READY
                if assignment.job.once:
                    self._state.usable_intents.add(task_key)
                self._state.intent_append_at.pop(task, None)
            return
        job = self._state.job_table.get(task_key[0])
        if not job.once:
            # This owner has given up a start before its record was read.
            attempt = _job.parse_task_id(task)[2]
            if attempt.startswith(f"{self._state.epoch}."):
                self._ends.release_start(task_key, task, now)
            return
        if not self._state.caught_up:
            return
        if assignment is not None and assignment.phase != _assignments.INTENT:
            return
        # The record is from a previous owner and came into the log after we
        # had read it to the end, hence after that owner's validity.  The
        # task was never started, and its intent can be used for our start.
        if assignment is not None:
            self._state.remove_assignment(assignment.worker, assignment)
        self._state.usable_intents.add(task_key)
        if not job.ended and self._queueing.may_queue(job, task_key[1]):
            self._queueing.enqueue(job, [task_key[1]], now)

    def on_preempt(self, action, now):
        """Stop, checkpoint or throttle a task for a more urgent one."""
        worker = self._state.workers.get(action.worker)
        if worker is None:
            return
        for assignment in list(worker.assignments.values()):
            if assignment.allotment_key != action.key:
                continue
            if assignment.phase in (_assignments.INTENT, _assignments.READY):
                self._queueing.on_not_running(worker, assignment, False, now)
            elif assignment.stop_order != "stop":
                worker.last_request_at = -math.inf
                assignment.stop_order = action.how
                assignment.stop_requested_at = now
                if action.how == "throttle":
                    assignment.throttled = True

    def due_appends(self, now):
        """Return the intents that are due to be appended."""
        actions = []
        retry = self._state.config.append_retry_s
        for task, (at, assignment) in list(
            self._state.intent_append_at.items()
        ):
            if not self._state.should_run(assignment):
                self._state.remove_assignment(assignment.worker, assignment)
            elif at <= now:
                self._state.intent_append_at[task] = (now + retry, assignment)
                record = _intent_record(assignment)
                actions.append(_assignments.AppendRecord(record))
        return actions


def _intent_record(assignment):
    worker = assignment.worker
    record = {
        "kind": "intent",
        "task": assignment.task,
        "worker": worker.info.name,
    }
    if not assignment.job.once:
        record["boot_id"] = worker.boot_id
    return record
