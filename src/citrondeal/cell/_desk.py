"""Answers the requests of clients, and queries of members to the owner."""

import dataclasses
import logging

import anyio
import result

from citrondeal.cell import _clock
from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

OWNER_TIMEOUT_S = 0.5
OWNER_LIMIT_S = 1.5  # all attempts together
# A refusal at the end of a client's time is checked within this time, which
# is less than what the deadline leaves for the answer.
MIN_VERIFY_S = 0.05
RETRY_DELAY_S = 0.1
RETRY_AFTER_S = 1.0  # advice to the client
# Queries of clients that wait for the owner at a time. Each holds about 10 KB.
MAX_QUERIES = 256
# Lines about queries of a kind in a period; clients can cause any number.
MAX_LOGGED = 50
LOG_PERIOD_S = 1.0
# Jobs whose append had an unknown outcome are remembered up to this number.
MAX_UNCERTAIN_JOBS = 5000

# States of jobs that a newer owner may have changed.
NON_FINAL_STATES = (workflow.JobState.QUEUED, workflow.JobState.RUNNING)

_LOG = logging.getLogger(__name__)


class ClientRequests:
    """Serves the requests of clients.

    Submissions and cancellations are stored by this process; questions about
    jobs are answered by the owner.

    Parameters
    ----------
    appender : citrondeal.cell._job_topics.JobAppender
        Stores submissions and cancellations.
    links : citrondeal.peers.ConnectionPool
    members : Membership
    owner : callable
        Returns the `Owner` that this process runs, or None.
    catalog : callable
        Returns the `platform.Catalog` in force, or None.
    catalog_age_s : callable
        Returns the seconds since it was known to be the newest.
    """

    def __init__(
        self, appender, links, members, owner, catalog, catalog_age_s
    ):
        self._appender = appender
        self._links = links
        self._members = members
        self._owner = owner
        self._uncertain_jobs = {}
        self._queries = 0
        self._lines = telemetry.LineLimit(MAX_LOGGED, LOG_PERIOD_S)
        self.catalog = catalog
        self.catalog_age_s = catalog_age_s

    async def submit(self, submission, deadline_s):
        """Store a submission.

        Parameters
        ----------
        submission : citrondeal.workflow.Submission
        deadline_s : float
            Seconds from now.

        Returns
        -------
        result.Result
            ``Ok`` once the job is stored; ``Err`` of kind ``unavailable`` if
            it is certainly not stored, else ``unknown_outcome``.
        """
        limit = _clock.now() + deadline_s
        record = platform.Record(
            _records.job_key(submission.job, submission.account),
            workflow.encode(submission),
        )
        outcome = await self._store(
            "submission is answered", submission.job, record, deadline_s
        )
        if outcome.is_ok():
            return outcome
        left_s = max(limit - _clock.now(), MIN_VERIFY_S)
        return await self._verify_refusal(submission, outcome, left_s)

    async def _verify_refusal(self, submission, outcome, limit_s):
        """Correct a refusal if an earlier attempt may have stored the job."""
        job = submission.job
        failure = outcome.err_value
        known = await self._query_owner_once(
            ttypes.JobStateQuery(
                queue=submission.policy.queue,
                job_id=job,
                account=submission.account,
            ),
            min(limit_s, OWNER_TIMEOUT_S),
        )
        if isinstance(known, ttypes.JobState) and known.state:
            self._log_corrected(job, "the job is stored already")
            return result.Ok(None)
        if failure.kind is errors.Kind.UNKNOWN_OUTCOME:
            self._uncertain_jobs[job] = None
            if len(self._uncertain_jobs) > MAX_UNCERTAIN_JOBS:
                del self._uncertain_jobs[next(iter(self._uncertain_jobs))]
        elif job in self._uncertain_jobs:
            self._log_corrected(job, "an earlier append may have been done")
            failure = dataclasses.replace(
                failure, kind=errors.Kind.UNKNOWN_OUTCOME
            )
        return result.Err(failure)

    def _log_corrected(self, job, reason):
        telemetry.event(
            _LOG, logging.INFO, "refusal is corrected", job=job, reason=reason
        )

    async def cancel(self, caller, job, deadline_s):
        """Store the cancellation of a job; the outcome is that of `submit`."""
        record = platform.Record(
            _records.cancel_key(job, caller.account),
            _records.encode(
                _records.Cancellation(caller.account, caller.queue)
            ),
        )
        return await self._store(
            "cancellation is answered", job, record, deadline_s
        )

    async def _store(self, message, job, record, deadline_s):
        started = _clock.now()
        outcome = await self._appender.put(record, deadline_s)
        catalog = self.catalog()
        stored = outcome.ok()
        telemetry.event(
            _LOG,
            logging.INFO,
            message,
            job=job,
            outcome="ok" if stored else outcome.err_value.kind.value,
            reason=None if stored else outcome.err_value.message,
            topic=_records.job_topic(record.key),
            offset=stored.offset if stored else None,
            relayed=stored.relayed if stored else None,
            took_s=round(_clock.now() - started, 3),
            deadline_s=deadline_s,
            config_version=catalog.version if catalog else 0,
        )
        return outcome

    async def state(self, caller, job, deadline_s):
        """Return ``Ok`` with the state of a job, or None if it is unknown."""
        query = ttypes.JobStateQuery(
            queue=caller.queue, job_id=job, account=caller.account
        )
        outcome = await self._query_owner(query, deadline_s)
        return outcome.map(lambda reply: reply.state or None)

    async def backlog(self, queue, deadline_s):
        """Return ``Ok`` with the number of waiting jobs of a queue."""
        query = ttypes.BacklogQuery(queue=queue)
        outcome = await self._query_owner(query, deadline_s)
        return outcome.map(lambda reply: reply.waiting)

    async def _query_owner(self, query, deadline_s):
        """Query the owner until it answers or the time limit has passed."""
        if self._queries >= MAX_QUERIES:
            message = "too many queries wait for the owner"
            self._log_unanswered(query, message)
            return result.Err(
                errors.Failure(errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S)
            )
        self._queries += 1
        try:
            return await self._repeat_query(query, deadline_s)
        finally:
            self._queries -= 1

    async def _repeat_query(self, query, deadline_s):
        limit = _clock.now() + min(deadline_s, OWNER_LIMIT_S)
        while True:
            reply = await self._query_owner_once(query)
            if reply is not None and not isinstance(reply, ttypes.Fault):
                return result.Ok(reply)
            if _clock.now() + RETRY_DELAY_S > limit:
                message = "the owner of the cell does not answer"
                if reply is not None:
                    message = reply.message
                self._log_unanswered(query, message)
                return result.Err(
                    errors.Failure(
                        errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S
                    )
                )
            await anyio.sleep(RETRY_DELAY_S)

    def _log_unanswered(self, query, reason):
        now = _clock.now()
        omitted = self._lines.add("refused", now)
        if omitted is None:
            return
        state = self._members.election
        telemetry.event(
            _LOG,
            logging.WARNING,
            "query of a client is refused",
            queue=query.queue,
            job=getattr(query, "job_id", ""),
            reason=reason,
            epoch=state.epoch,
            owner_age_s=round(state.owner_age_s(now), 3),
            omitted=omitted,
        )

    def _log_unknown(self, job, owner):
        omitted = self._lines.add("unknown", _clock.now())
        if omitted is None:
            return
        telemetry.event(
            _LOG,
            logging.INFO,
            "job is unknown to the owner",
            job=job,
            epoch=owner.scheduler.epoch,
            view_age_s=round(owner.view_age_s, 3),
            positions=owner.positions,
            omitted=omitted,
        )

    async def _query_owner_once(self, query, timeout_s=OWNER_TIMEOUT_S):
        if self._members.is_owner:
            return self.answer_as_owner(query)
        address = self._members.owner_address
        if address is None:
            return None
        try:
            return await self._links.call(address, query, timeout_s)
        except peers.PeerError:
            return None

    def answer_as_owner(self, query):
        """Return the owner's reply to a query about a job or a queue.

        Parameters
        ----------
        query : ttypes.JobStateQuery or ttypes.BacklogQuery

        Returns
        -------
        ttypes.JobState, ttypes.Backlog or ttypes.Fault
            A fault if this process cannot answer as the owner now.
        """
        owner = self._owner()
        if (
            owner is None
            or owner.scheduler is None
            or owner.scheduler.superseded
        ):
            return ttypes.Fault(
                kind="unavailable",
                message="this process does not own the cell,"
                " or is still recovering the state",
            )
        if isinstance(query, ttypes.BacklogQuery):
            if not owner.is_current:
                return ttypes.Fault(
                    kind="unavailable",
                    message="the owner has not read submissions recently"
                    " enough to count those that wait",
                )
            waiting = owner.scheduler.backlog(query.queue)
            return ttypes.Backlog(waiting=waiting)
        # Members of earlier versions give no account.
        caller = workflow.Caller(query.account or "", query.queue or "")
        state = owner.scheduler.job_state(query.job_id, caller)
        if state is None and not owner.is_current:
            return ttypes.Fault(
                kind="unavailable",
                message="the owner has not read submissions recently enough"
                f" to tell whether job {query.job_id} exists",
            )
        if state is None:
            self._log_unknown(query.job_id, owner)
        if state in NON_FINAL_STATES and not owner.is_confirmed:
            return ttypes.Fault(
                kind="unavailable",
                message="the owner may have been replaced, and the state of"
                f" job {query.job_id} may have changed",
            )
        return ttypes.JobState(state="" if state is None else state.value)
