"""Ends of attempts whose record has not been read from the log."""

from citrondeal.jobs import _assignments
from citrondeal.jobs import _job


class Ends:
    """Keeps the ends of attempts until the log has them.

    Parameters
    ----------
    state : OwnerState
    """

    def __init__(self, state):
        self._state = state

    def record_end(self, job, index, task, outcome, worker, now):
        """Hold the end of an attempt until the log has it."""
        entry = {"task": task, "outcome": outcome, "worker": worker}
        if worker and self._state.pool.is_quarantined(worker):
            entry["blame"] = "worker"
        self._state.unrecorded_ends[task] = entry
        self._state.end_append_at[task] = now
        task_key = (job.id, index)
        final = outcome != "failed" and job.work.kind != "service"
        if outcome == "failed":
            self._state.unrecorded_failures[task_key] = (
                self._state.unrecorded_failures.get(task_key, 0) + 1
            )
            failures = (
                job.failures.get(index, 0)
                + self._state.unrecorded_failures[task_key]
            )
            final = failures > self._state.job_table.max_restarts_of(job)
        if final:
            self._state.unrecorded_final_ends[task_key] = task

    def release_start(self, task_key, task, now):
        """Record that a recorded start has ended without a crash."""
        if task in self._state.unrecorded_ends:
            return
        if self._state.job_table.starts.has(task_key, task):
            entry = {"task": task, "outcome": "released"}
            self._state.unrecorded_ends[task] = entry
            self._state.end_append_at[task] = now

    def record_crash(self, run, crash, now):
        """Hold a task back until the log has the crash of its worker."""
        job = self._state.job_table.get(run.job.id)
        parts = _job.parse_task_id(run.task)
        # The outcome of a task that must run once is unknown.
        if job is None or job.once or run.task in self._state.unrecorded_ends:
            return
        if job.ended or self._state.job_table.is_end_recorded(
            job, run.index, parts[2]
        ):
            return
        self._state.unrecorded_ends[run.task] = self._state.crashes.entry(
            run, crash
        )
        self._state.end_append_at[run.task] = now

    def restart_pause(self, job, index):
        """Return the seconds until a failed task is queued again."""
        count = job.failures.get(index, 0)
        count += self._state.unrecorded_failures.get((job.id, index), 0)
        pause = self._state.config.restart_pause_s * 2 ** min(
            max(count - 1, 0), 16
        )
        return min(pause, self._state.config.restart_limit_s)

    def due_appends(self, now):
        """Return the ``finished`` records that are due to be appended."""
        actions = []
        retry = self._state.config.append_retry_s
        due = [t for t, at in self._state.end_append_at.items() if at <= now]
        size = self._state.config.batch_tasks
        for first in range(0, len(due), size):
            batch = due[first : first + size]
            for task in batch:
                self._state.end_append_at[task] = now + retry
            entries = [self._state.unrecorded_ends[task] for task in batch]
            record = {"kind": "finished", "tasks": entries}
            actions.append(_assignments.AppendRecord(record))
        return actions
