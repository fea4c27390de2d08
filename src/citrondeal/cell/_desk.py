"""What a process answers to clients and to the other members."""

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

ASK_TIMEOUT_S = 0.5
ASK_LIMIT_S = 1.5  # of all tries together
RETRY_S = 0.1
RETRY_AFTER_S = 1.0
# Jobs remembered of which an append may have been done.
UNCERTAIN_LIMIT = 5000

_LOG = logging.getLogger(__name__)


class Desk:
    """Answers clients, through the owner where needed.

    Parameters
    ----------
    appender : citrondeal.cell._work.Appender
        Stores submissions and cancellations.
    links : citrondeal.peers.ConnectionPool
    members : Members
    owner : callable
        Returns the `Owner` that this process runs, or None.
    catalog : callable
        Returns the `platform.Catalog` in force, or None.
    """

    def __init__(self, appender, links, members, owner, catalog):
        self._appender = appender
        self._links = links
        self._members = members
        self._owner = owner
        self._uncertain = {}
        self.catalog = catalog

    async def submit(self, submission, deadline_s):
        """Store a submission."""
        record = platform.Record(
            _records.job_key(submission.job), workflow.encode(submission)
        )
        outcome = await self._store(
            "submission is answered", submission.job, record, deadline_s
        )
        if outcome.is_ok():
            return outcome
        return await self._check_refusal(submission, outcome)

    async def _check_refusal(self, submission, outcome):
        """Make sure that a refusal is true of a job that was sent before."""
        job = submission.job
        failure = outcome.err_value
        known = await self._ask_once(
            ttypes.JobStateQuery(queue=submission.policy.queue, job_id=job)
        )
        if isinstance(known, ttypes.JobState) and known.state:
            self._log_checked(job, "the job is stored already")
            return result.Ok(None)
        if failure.kind is errors.Kind.UNKNOWN_OUTCOME:
            self._uncertain[job] = None
            if len(self._uncertain) > UNCERTAIN_LIMIT:
                del self._uncertain[next(iter(self._uncertain))]
        elif job in self._uncertain:
            self._log_checked(job, "an earlier append may have been done")
            failure = dataclasses.replace(
                failure, kind=errors.Kind.UNKNOWN_OUTCOME
            )
        return result.Err(failure)

    def _log_checked(self, job, reason):
        telemetry.event(
            _LOG, logging.INFO, "refusal is corrected", job=job, reason=reason
        )

    async def cancel(self, queue, job, deadline_s):
        """Store the cancellation of a job."""
        record = platform.Record(_records.cancel_key(job), b"\x01")
        return await self._store(
            "cancellation is answered", job, record, deadline_s
        )

    async def _store(self, message, job, record, deadline_s):
        started = _clock.now()
        outcome = await self._appender.put(record, deadline_s)
        catalog = self.catalog()
        telemetry.event(
            _LOG,
            logging.INFO,
            message,
            job=job,
            outcome="ok" if outcome.is_ok() else outcome.err_value.kind.value,
            took_s=round(_clock.now() - started, 3),
            deadline_s=deadline_s,
            config_version=catalog.version if catalog else 0,
        )
        return outcome

    async def state(self, queue, job, deadline_s):
        """Return ``Ok`` with the state of a job, None if there is none."""
        query = ttypes.JobStateQuery(queue=queue, job_id=job)
        outcome = await self._ask(query, deadline_s)
        return outcome.map(lambda reply: reply.state or None)

    async def backlog(self, queue, deadline_s):
        """Return ``Ok`` with the number of waiting jobs of a queue."""
        query = ttypes.BacklogQuery(queue=queue)
        outcome = await self._ask(query, deadline_s)
        return outcome.map(lambda reply: reply.waiting)

    async def _ask(self, query, deadline_s):
        """Ask the owner until it answers or the time is over."""
        limit = _clock.now() + min(deadline_s, ASK_LIMIT_S)
        while True:
            reply = await self._ask_once(query)
            if reply is not None and not isinstance(reply, ttypes.Fault):
                return result.Ok(reply)
            if _clock.now() + RETRY_S > limit:
                message = "the owner of the cell does not answer"
                if reply is not None:
                    message = reply.message
                self._log_unanswered(query, message)
                return result.Err(
                    errors.Failure(
                        errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S
                    )
                )
            await anyio.sleep(RETRY_S)

    def _log_unanswered(self, query, reason):
        now = _clock.now()
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
        )

    async def _ask_once(self, query):
        if self._members.election.owned:
            return self.answer_as_owner(query)
        address = self._members.election.owner_address()
        if address is None:
            return None
        try:
            return await self._links.call(address, query, ASK_TIMEOUT_S)
        except peers.PeerError:
            return None

    def answer_as_owner(self, query):
        """Return the reply to a query for the owner."""
        owner = self._owner()
        if owner is None or owner.scheduler is None:
            return ttypes.Fault(kind="unavailable", message="not the owner")
        if isinstance(query, ttypes.BacklogQuery):
            waiting = owner.scheduler.backlog(query.queue)
            return ttypes.Backlog(waiting=waiting)
        state = owner.scheduler.job_state(query.job_id)
        if state is None and not owner.fresh:
            return ttypes.Fault(
                kind="unavailable", message="the view of jobs is too old"
            )
        return ttypes.JobState(state="" if state is None else state.value)
