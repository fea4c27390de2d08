"""Takeover of a pool whose tasks a previous owner has started."""

from citrondeal.jobs import _job


class Recovery:
    """Decides when the tasks of previous owners are known.

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

    @property
    def leases_end(self):
        """Time at which the leases of previous owners have surely ended."""
        return (
            self._state.previous_until
            + self._state.config.task_ttl_s
            + self._state.config.lease_wait_s
        )

    def all_tasks_found(self, list_read_at, list_changed_at, now):
        """Return whether all running tasks of previous owners are known.

        All workers on which a task may run are known, because none has left
        the VM list so recently that a lease there may still be valid.  Each
        has listed its tasks in reply to a request that was sent after the
        validity of previous owners, when no start of theirs can take effect
        any more.

        Parameters
        ----------
        list_read_at, list_changed_at : float
            When the VM list was last read, and when a worker last left it or
            it was first read.
        now : float
            Monotonic seconds.
        """
        if (
            list_read_at
            < self._state.previous_until + self._state.config.list_lag_s
        ):
            return False
        if now < list_changed_at + self._state.config.unlisted_hold_s:
            return False
        return all(
            worker.task_list_read
            and worker.list_request_sent_at
            >= self._state.previous_until + self._state.margin
            for worker in self._state.workers.values()
            if not worker.unlisted
        )

    def finish(self, now):
        """End the recovery: queue the tasks that were not found running.

        Called when no lease from a previous owner is left, except those of
        tasks that were found.
        """
        self._state.recovered = True
        for job in list(self._state.job_table.open_jobs.values()):
            if job.once:
                for index in job.open_indices():
                    task_key = (job.id, index)
                    if (
                        index in job.intents
                        and task_key not in self._state.assigned
                        and task_key not in self._state.usable_intents
                        and task_key not in self._state.unrecorded_final_ends
                    ):
                        task = _job.task_id(job.id, index, job.intents[index])
                        self._ends.record_end(
                            job, index, task, "unknown", "", now
                        )
            if job.work.kind == "gang":
                task_keys = [(job.id, i) for i in job.open_indices()]
                assigned = [
                    task_key in self._state.assigned for task_key in task_keys
                ]
                if any(assigned) and not all(assigned):
                    self._queueing.stop_gang(job, now, 0.0)
            if not self._state.is_submitted_after_previous_owner(job):
                for index in job.open_indices():
                    if (job.id, index) not in self._state.assigned:
                        self._state.crashes.on_not_found(job, index)
            self._queueing.queue_open_tasks(job, now)
        self._state.found_in_recovery.clear()
