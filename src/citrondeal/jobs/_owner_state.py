"""State that the parts of a pool owner share."""

import itertools
import math

from citrondeal.jobs import _crashes
from citrondeal.jobs import _isolation
from citrondeal import placement


class OwnerState:
    """What the parts of a `PoolOwner` share.

    Parameters
    ----------
    job_table : JobTable
    pool : placement.Pool
    config : _assignments.OwnerConfig
    """

    def __init__(self, job_table, pool, config):
        self.job_table = job_table
        self.pool = pool
        self.config = config
        # `_assignments.Worker` by name.
        self.workers = {}
        self.log_end_read_at = None
        self.owned = False
        self.crashes = _crashes.Crashes()
        # Assignments by task key, i.e. (job id, index).
        self.assigned = {}
        # Task id -> (time of the next append of the intent, assignment).
        self.intent_append_at = {}
        self.reset(-math.inf)

    @property
    def margin(self):
        """Seconds added to the end of a lease."""
        return self.config.lease_margin_s

    def reset(self, previous_until):
        """Forget all tasks, as a new owner does.

        Parameters
        ----------
        previous_until : float
            Upper bound of the validity of every previous ownership.
        """
        self.epoch = None
        self.attempt = 0
        self.gained_at = 0.0
        self.previous_until = previous_until
        self.caught_up = False
        self.recovered = False
        self.assigned.clear()
        # Keys of tasks that were found running during the recovery.
        self.found_in_recovery = set()
        # Ended tasks whose record has not been read from the log: task id ->
        # entry of the record, and task id -> time of the next append.
        self.unrecorded_ends = {}
        self.end_append_at = {}
        # Task keys with a final outcome that has not been read from the log
        # -> task id.
        self.unrecorded_final_ends = {}
        # Number of unrecorded failures by task key.
        self.unrecorded_failures = {}
        # Task id -> name of the worker that listed the end.
        self.end_listed_by = {}
        # Keys of `once` tasks whose intent in the log this owner may use, as
        # no other owner can have started them.
        self.usable_intents = set()
        self.intent_append_at.clear()
        # Heap of (due time, sequence number, job, index); the index is None
        # for all open tasks of the job.
        self.delayed = []
        self.sequence = itertools.count()
        self.crashes.reset()
        self.isolation = _isolation.Isolation(
            self.pool,
            self.workers,
            self.is_open,
            self.crashes.has_crashed,
        )

    def update_pool_worker(self, worker, now):
        """Tell the pool the capacity of a worker and whether it is open."""
        info = worker.info
        is_open = self.is_open(worker)
        if self.isolation.is_closed(info.name):
            is_open = False
        self.pool.set_worker(
            info.name,
            placement.capacity_of(
                info.cores, info.memory_mb, info.accelerators
            ),
            info.rack,
            is_open,
            now,
        )

    def is_open(self, worker):
        """Return whether tasks may be started on the worker."""
        return (
            self.owned
            and worker.task_list_read
            and worker.answering
            and not worker.unlisted
            and not worker.info.leaving
        )

    def remove_if_unlisted(self, worker):
        """Remove a worker that has left and holds no tasks."""
        if worker.unlisted and not worker.assignments:
            self.pool.remove_worker(worker.info.name)
            self.workers.pop(worker.info.name, None)

    def allot(self, worker, assignment, now):
        """Set what a task takes from its worker."""
        work = assignment.job.work if assignment.job is not None else None
        self.pool.allot(
            worker.info.name,
            assignment.allotment_key,
            assignment.size,
            work,
            now,
        )

    def should_run(self, assignment):
        """Return whether the task should run; otherwise it is stopped."""
        job = assignment.job
        if job is None:
            # The job may be in a part of the log that is not read yet.
            return not self.caught_up
        if assignment.task_key is None:
            return False
        return not job.ended and job.is_open(assignment.task_key[1])

    def remove_assignment(self, worker, assignment):
        """Remove an assignment and free what it takes."""
        del worker.assignments[assignment.task]
        self.pool.release(worker.info.name, assignment.allotment_key)
        self.intent_append_at.pop(assignment.task, None)
        if assignment.task_key is not None:
            self.assigned.pop(assignment.task_key, None)
        self.remove_if_unlisted(worker)

    def run_of(self, assignment):
        """Return the run whose crash would count, or None."""
        if assignment.job is None or assignment.task_key is None:
            return None
        started_at = assignment.listed_at
        ended_at = assignment.worker.list_request_sent_at
        ran_s = max(0.0, ended_at - started_at)
        return _crashes.Run(
            assignment.job, assignment.task_key[1], assignment.task, ran_s
        )

    def is_submitted_after_previous_owner(self, job):
        """Return whether no previous owner can have started the job.

        True if the job was appended after a read of the log that was sent
        after the end of the previous owner's validity.
        """
        return (
            job.appended_after is not None
            and job.appended_after >= self.previous_until
        )


def has_recorded_starts(job, assignment):
    """Return whether starts of a task are recorded due to crashes."""
    if job is None or job.once or assignment.task_key is None:
        return False
    return assignment.task_key[1] in job.crashes
