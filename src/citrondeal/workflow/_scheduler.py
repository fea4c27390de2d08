"""The scheduler of a cell's owner, which turns events into orders.

It does no input or output of its own; its caller passes in events and the
time, and carries out the orders.
"""

import dataclasses

from citrondeal.workflow import _account_report
from citrondeal.workflow import _accounts
from citrondeal.workflow import _answers
from citrondeal.workflow import _intake
from citrondeal.workflow import _model
from citrondeal.workflow import _persistence
from citrondeal.workflow import _planner
from citrondeal.workflow import _recovery
from citrondeal.workflow import _reports
from citrondeal.workflow import _retention
from citrondeal.workflow import _state


class Scheduler:
    """Decisions of a cell's owner, made by parts that share one state.

    Its methods are those of the parts and are documented there. All times are
    seconds on the scheduler's clock.

    Parameters
    ----------
    config : Config
    epoch : int
        Number of this ownership; higher than that of any earlier one.
    """

    state_class = _state.State
    intake_class = _intake.Intake
    reports_class = _reports.Reports
    planner_class = _planner.Planner

    def __init__(self, config, epoch):
        self._state = state = self.state_class(config, epoch)
        recovery = _recovery.Recovery(state)
        self.recover_workers = recovery.recover_workers
        self.recover_run_limit = recovery.recover_run_limit
        self.restore = recovery.restore
        self.restore_ended_job = recovery.restore_ended_job
        intake = self.intake_class(state)
        self.on_submission = intake.on_submission
        self.on_cancel = intake.on_cancel
        self.on_barrier = intake.on_barrier
        self.on_accounts = intake.on_accounts
        self.on_queues = intake.on_queues
        self.on_worker = intake.on_worker
        self.on_workers_read = intake.on_workers_read
        self.on_worker_unlisted = intake.on_worker_unlisted
        reports = self.reports_class(state)
        self.on_report = reports.on_report
        self.on_renewal_failed = reports.on_renewal_failed
        self.on_connection_lost = reports.on_connection_lost
        self.on_other_incarnation = reports.on_other_incarnation
        answers = _answers.Answers(state)
        self.on_started = answers.on_started
        self.on_stopped = answers.on_stopped
        self.on_tickets = answers.on_tickets
        persistence = _persistence.Persistence(state)
        self.take_changes = persistence.take_changes
        self.on_stored = persistence.on_stored
        retention = _retention.Retention(state)
        self.take_droppable = retention.take_droppable
        self.keep_submissions = retention.keep_submissions
        self.take_foreign = retention.take_foreign
        self.forget_expired_jobs = retention.forget_expired_jobs
        planner = self.planner_class(state)
        self.plan = planner.plan
        self.still_holds = planner.still_holds

    @property
    def superseded(self):
        """Whether a newer owner is known, so that nothing more is decided."""
        return self._state.superseded

    def on_newer_owner(self):
        """Stop deciding, because a newer owner is known."""
        self._state.superseded = True

    @property
    def epoch(self):
        """Number of this ownership."""
        return self._state.epoch

    @property
    def workers(self):
        """`WorkerState` of each worker by id."""
        return self._state.workers

    @property
    def jobs(self):
        """`JobRecord` of each known job by id."""
        return self._state.jobs

    @property
    def earlier_runs_known(self):
        """Whether all runs that earlier owners started are known."""
        return self._state.earlier_runs_known

    @property
    def active(self):
        """`JobRecord` of each job that has not ended, by id."""
        return self._state.active

    def job_state(self, job_id, caller=None):
        """Return the `JobState` for clients, or None if unknown.

        Parameters
        ----------
        job_id : str
        caller : Caller or None
            The job is unknown to callers that may not access it. None if
            any job may be seen.
        """
        job = self._state.jobs.get(job_id)
        if job is None:
            return None
        if caller is not None and not _accounts.may_access(
            caller, job.submission.account, job.policy.queue
        ):
            return None
        return job.client_state

    def account_of(self, job_id):
        """Return the client account of a job; empty if there is none."""
        job = self._state.jobs.get(job_id)
        return "" if job is None else job.submission.account

    def backlog(self, queue):
        """Return the number of jobs of a queue without a started task."""
        return sum(
            1
            for job in self._state.active.values()
            if job.policy.queue == queue
            and job.state is _model.JobState.QUEUED
        )

    @property
    def crashes(self):
        """`Crashes` of workers and the tasks that they were counted for."""
        return self._state.crashes

    @property
    def late_starts(self):
        """`LateStarts`: those that keep their tasks waiting."""
        return self._state.late_starts

    @property
    def anomalies(self):
        """`Anomalies` that reports have shown."""
        return self._state.anomalies

    @property
    def incarnations(self):
        """`Incarnations` of workers, and the entries that were refuted."""
        return self._state.incarnations

    @property
    def learning(self):
        """`Learning` about workers and queues."""
        return self._state.learning

    @property
    def waits(self):
        """`Waits` of steps, by what they lack."""
        return self._state.waits

    @property
    def wants_to_store(self):
        """Whether starts wait until the changes are stored."""
        return (
            self._state.withheld.waiting
            or self._state.crashes.waiting
            or not self._state.run_numbers.left
            or any(
                worker.reachable and not worker.stored
                for worker in self._state.changed_workers.values()
            )
        )

    @property
    def run_limit_to_store(self):
        """Limit of run numbers among the changes to be stored, or None."""
        return self._state.run_numbers.limit_to_store

    def account_uses(self):
        """Return an `AccountUse` of each of the largest client accounts."""
        return _account_report.report(self._state)

    def dump(self):
        """Return a summary for the state dump, ready for JSON."""
        return {
            "epoch": self._state.epoch,
            "jobs": len(self._state.jobs),
            "active": len(self._state.active),
            "unresolved": sorted(self._state.unresolved_workers),
            "crashes": self._state.crashes.dump(),
            "learned": self._state.learning.dump(),
            "accounts": [
                dataclasses.asdict(use) for use in self.account_uses()
            ],
            "workers": {
                w.id: {
                    "usable": w.usable,
                    "runs": len(w.runs),
                    "used_millicores": w.used.millicores,
                }
                for w in self._state.workers.values()
            },
        }
