"""Tasks that wait for a worker, and those that have to wait again."""

import heapq
import math

from citrondeal.jobs import _assignments
from citrondeal.jobs import _job


class Queueing:
    """Puts tasks that may be started into the pool's queue.

    Parameters
    ----------
    state : OwnerState
    ends : Ends
    """

    def __init__(self, state, ends):
        self._state = state
        self._ends = ends

    def queue_open_tasks(self, job, now):
        """Queue all tasks of a job that may be started."""
        if job is None or job.ended:
            return
        indices = [i for i in job.open_indices() if self.may_queue(job, i)]
        if job.work.kind == "gang":
            open_tasks = [
                i
                for i in job.open_indices()
                if (job.id, i) not in self._state.unrecorded_final_ends
            ]
            if indices != open_tasks:
                return
        if indices:
            self.enqueue(job, indices, now)

    def may_queue(self, job, index):
        """Return whether a task may be queued now."""
        task_key = (job.id, index)
        if (
            job.hold_reason
            or task_key in self._state.assigned
            or task_key in self._state.unrecorded_final_ends
            or self._state.crashes.holds(task_key)
        ):
            return False
        if job.once and index in job.intents:
            if task_key not in self._state.usable_intents:
                return False
        return (
            self._state.recovered
            or task_key in self._state.found_in_recovery
            or self._state.is_submitted_after_previous_owner(job)
        )

    def enqueue(self, job, indices, now):
        """Queue those of the tasks that are not queued yet."""
        waiting = self._state.pool.waiting_indices(job.id)
        if len(indices) > 1 and waiting:
            waiting = set(waiting)
        added = [index for index in indices if index not in waiting]
        added = self._state.isolation.take(job, added, now)
        if added:
            self._state.pool.offer(job.work, added, now, job.failed_on)

    def requeue(self, job, index, now, pause_s):
        """Queue a task again whose assignment has ended."""
        if job.ended or not job.is_open(index):
            return
        if job.work.kind == "gang":
            self.stop_gang(job, now, pause_s)
            return
        if pause_s > 0:
            entry = (now + pause_s, next(self._state.sequence), job, index)
            heapq.heappush(self._state.delayed, entry)
        elif self.may_queue(job, index):
            self.enqueue(job, [index], now)

    def stop_gang(self, job, now, pause_s):
        """Stop the rest of a gang, and queue it if none of its tasks runs."""
        none_running = True
        for index in range(job.tasks):
            assignment = self._state.assigned.get((job.id, index))
            if assignment is None:
                continue
            if assignment.phase in (_assignments.INTENT, _assignments.READY):
                self._state.remove_assignment(assignment.worker, assignment)
                self._ends.release_start((job.id, index), assignment.task, now)
                continue
            none_running = False
            if assignment.stop_order is None:
                assignment.stop_order = "checkpoint"
                assignment.stop_requested_at = now
                assignment.worker.last_request_at = -math.inf
        if none_running:
            due = now + max(pause_s, self._state.config.refused_pause_s)
            entry = (due, next(self._state.sequence), job, None)
            heapq.heappush(self._state.delayed, entry)

    def requeue_ended_gang(self, job, now):
        """Queue the open tasks of a gang if none of its tasks runs.

        A task that was told to stop because another task of its gang was
        lost may finish nevertheless.
        """
        for index in range(job.tasks):
            if (job.id, index) in self._state.assigned:
                return
        due = now + self._state.config.refused_pause_s
        entry = (due, next(self._state.sequence), job, None)
        heapq.heappush(self._state.delayed, entry)

    def on_not_running(
        self, worker, assignment, may_have_run, now, lapsed=False
    ):
        """Record or requeue a task that certainly does not run any more.

        `may_have_run` tells whether the attempt may have been started,
        `lapsed` whether its worker may have crashed.
        """
        if assignment.task not in worker.assignments:
            # It was removed with another task of its gang.
            return
        self._state.remove_assignment(worker, assignment)
        if assignment.task_key is None:
            return
        if not lapsed:
            self._ends.release_start(assignment.task_key, assignment.task, now)
        index = assignment.task_key[1]
        if assignment.job is None:
            self.queue_open_tasks(
                self._state.job_table.get(assignment.task_key[0]), now
            )
            return
        if assignment.job.once and may_have_run:
            self._ends.record_end(
                assignment.job, index, assignment.task, "unknown", "", now
            )
            return
        pause_s = 0.0 if may_have_run else self._state.config.refused_pause_s
        self.requeue(assignment.job, index, now, pause_s)

    def queue_due_tasks(self, now):
        """Queue the tasks whose pause has ended."""
        while self._state.delayed and self._state.delayed[0][0] <= now:
            _, _, job, index = heapq.heappop(self._state.delayed)
            if job.ended:
                continue
            if index is None:
                self.queue_open_tasks(job, now)
            elif job.is_open(index) and self.may_queue(job, index):
                self.enqueue(job, [index], now)

    def on_finished(self, tasks, now):
        """Take the ends of attempts that the log shows."""
        for task in tasks:
            entry = self._state.unrecorded_ends.pop(task, None)
            self._state.end_append_at.pop(task, None)
            parts = _job.parse_task_id(task)
            task_key = parts[:2]
            job = self._state.job_table.get(parts[0])
            if entry is not None and entry["outcome"] == "failed":
                left = self._state.unrecorded_failures.get(task_key, 0) - 1
                if left > 0:
                    self._state.unrecorded_failures[task_key] = left
                else:
                    self._state.unrecorded_failures.pop(task_key, None)
            if self._state.unrecorded_final_ends.get(task_key) == task:
                del self._state.unrecorded_final_ends[task_key]
            worker = self._state.workers.get(
                self._state.end_listed_by.pop(task, None)
            )
            if worker is not None:
                worker.acks.add(task)
            if job is None or job.ended or job.hold_reason:
                self._state.pool.withdraw(parts[0])
            if entry is not None and entry["outcome"] == "crashed":
                self._state.crashes.on_recorded(task_key, task)
                if job is not None and task_key not in self._state.assigned:
                    self.requeue(job, task_key[1], now, 0.0)
