"""Submissions, cancellations and the list of workers, as input."""

import logging

from citrondeal.workflow import _accounts
from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model


class Intake:
    """Applies records of the log and of the list of workers to the state.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def on_submission(
        self, submission, offset, now, recovered=False, age_s=0.0
    ):
        """Add an accepted job, unless it is known already.

        Parameters
        ----------
        submission : Submission
        offset : int
            Position of the submission in the log.
        now : float
        recovered : bool
            Whether an earlier owner may have started tasks of it.
        age_s : float
            Seconds since it was accepted.
        """
        known = self._state.jobs.get(submission.job)
        if known and submission.account == known.submission.account:
            # The submission is in the log again and has to be dropped again.
            known.submission_dropped = False
            return
        job = _jobs.JobRecord(submission, offset, now - age_s, recovered)
        if known:
            self._drop_foreign(known, job)
            return
        account = self._state.quotas.accounts.get(submission.account)
        if account is not None:
            job.excess = self._state.rates.is_excess(account, job.accepted_at)
        self._state.jobs[job.id] = job
        self._state.active[job.id] = job
        _events.log(
            logging.INFO,
            "job is known",
            job=job.id,
            queue=job.policy.queue,
            offset=offset,
            tasks=len(job.tasks()),
            account=submission.account,
            excess=job.excess,
            age_s=round(age_s, 3),
        )
        for caller in self._state.pending_cancels.pop(job.id, ()):
            self.on_cancel(job.id, now, caller)

    def _drop_foreign(self, known, job):
        """Ignore a job whose id another client account has used before."""
        self._state.foreign_submissions.append(job)
        if not known.ended:
            # The next owner cannot tell by the log whose job came first.
            self._state.mark_changed(known)
        submission = job.submission
        _events.log(
            logging.WARNING,
            "submission has the id of a job of another account",
            job=submission.job,
            account=submission.account,
        )

    def on_cancel(self, job_id, now, caller=None):
        """Cancel a job; one that is not known yet, once it is.

        Parameters
        ----------
        job_id : str
        now : float
        caller : Caller or None
            None if any job may be cancelled.
        """
        job = self._state.jobs.get(job_id)
        if job is None:
            self._state.pending_cancels.setdefault(job_id, set()).add(caller)
            return
        if job.ended:
            return
        if caller is not None and not _accounts.may_access(
            caller, job.submission.account, job.policy.queue
        ):
            _events.log(
                logging.INFO,
                "cancellation by another account is ignored",
                job=job_id,
                account=caller.account,
            )
            return
        self._state.end_job(job, _model.JobState.CANCELLED, now)

    def on_barrier(self, epoch):
        """Stop deciding if a newer owner has written its barrier to the log.

        An earlier owner may have started jobs that come before the barrier
        in the log, but must not start those that come after it.
        """
        if epoch > self._state.epoch:
            self._state.superseded = True

    def on_accounts(self, accounts, now):
        """Replace the client accounts by those of a newer configuration.

        Parameters
        ----------
        accounts : dict of str to Account
            By name.
        now : float
        """
        self._state.quotas.on_accounts(accounts)
        self._state.rates.keep_only(accounts)

    def on_queues(self, services):
        """Replace the services of queues by those of a newer configuration.

        Parameters
        ----------
        services : dict of str to str
            By queue.
        """
        self._state.queue_services = services

    def on_worker(self, info, now):
        """Add or update a worker from its entry in the list of workers."""
        self._state.incarnations.on_entry(info, now)

    def on_workers_read(self, at):
        """Record that the list of workers is known as of a time."""
        self._state.workers_read_at = at

    def on_worker_unlisted(self, worker_id, now):
        """Record that a worker has no entry in the list any more."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.has_entry:
            worker.listed = False
            worker.unconfirmed = None
            _events.log(logging.INFO, "worker is not listed", worker=worker_id)
