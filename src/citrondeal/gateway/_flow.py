"""Carries out what the ledger decides on each request."""

import heapq
import json
import logging
import time

import anyio
import result

from citrondeal import admission
from citrondeal import dedup
from citrondeal import errors
from citrondeal.gateway import _attempts
from citrondeal.gateway import _consultation
from citrondeal.gateway import _cores
from citrondeal.gateway import _forwards
from citrondeal.gateway import _messages
from citrondeal.gateway import _work
from citrondeal import telemetry

# Added to the deadline before a caller is answered from here.
DEADLINE_SLACK = 0.1  # seconds
TICK_S = 0.02  # bounds how late an expired request is refused
# A caller that leaves is noticed only after this time; watching each
# connection from the start costs a task per request.
WATCH_AFTER_S = 0.25
IDLE_TICK_S = 0.2  # while no request is in progress

_ATTACHING = (dedup.Proceed, dedup.Join, dedup.Answer)

_LOG = logging.getLogger(__name__)


class Flow:
    """All requests in progress at this gateway.

    Parameters
    ----------
    cores : Cores
        Cores and borders.
    """

    def __init__(self, cores):
        self._cores = cores
        self._works = {}
        self._deadlines = []
        self._forwards = _forwards.Forwards(cores, self)
        self._attempts = _attempts.Attempts(cores, self, self._forwards)
        consultation = _consultation.Consultation(cores, self)
        self._performers = {
            dedup.Proceed: self._proceed,
            dedup.Join: lambda action: None,
            dedup.Ready: self._ready,
            dedup.Dispatch: lambda action: None,
            dedup.Answer: self._answer,
            dedup.Refuse: self._refuse,
            dedup.Drop: self._drop,
            dedup.SendIntent: consultation.send_intent,
            dedup.SendClaims: consultation.send_claims,
            dedup.SendForward: self._forwards.send,
        }

    @property
    def works(self):
        """Requests in progress by id."""
        return self._works

    @property
    def active(self):
        """Number of requests in progress."""
        return len(self._works)

    async def handle(self, work, attempt, disconnected):
        """Handle a caller's request and return its outcome.

        Parameters
        ----------
        work : Work
            The request; ignored but for its deadline if its id is already
            being handled here.
        attempt : int or None
            Attempt number that the caller states.
        disconnected : callable
            ``await disconnected()`` returns once the caller is gone.

        Returns
        -------
        result.Result
            A `callers.Reply` or an `errors.Failure`.
        """
        now = anyio.current_time()
        waiter = _work.Waiter()
        known = self._works.setdefault(work.request_id, work)
        known.waiters.append(waiter)
        self.perform(
            self._cores.ledger.begin(
                work.request_id, attempt, work.idempotent, now, time.time()
            )
        )
        left = work.deadline - now + DEADLINE_SLACK
        with anyio.move_on_after(min(WATCH_AFTER_S, left)):
            await waiter.done.wait()
        if waiter.outcome is None:
            with anyio.move_on_after(max(0.0, left - WATCH_AFTER_S)):
                await self._wait_or_leave(work, waiter, disconnected)
        if waiter.outcome is None:
            self._give_up(known, waiter, attempt)
        return waiter.outcome

    async def _wait_or_leave(self, work, waiter, disconnected):
        """Wait for the outcome; drop the request if the caller leaves."""

        async def watch():
            await disconnected()
            self._leave(work)

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch)
            await waiter.done.wait()
            task_group.cancel_scope.cancel()

    def _leave(self, work):
        known = self._works.get(work.request_id)
        if known is not None:
            now = anyio.current_time()
            self.perform(self._cores.ledger.caller_gone(work.request_id, now))

    def _give_up(self, work, waiter, attempt):
        """Answer a waiter at its deadline; the attempt goes on."""
        now = anyio.current_time()
        actions = self._cores.ledger.caller_gone(work.request_id, now)
        dropped = any(isinstance(a, dedup.Drop) for a in actions)
        kind = errors.Kind.UNKNOWN_OUTCOME
        if dropped and attempt == 1 and not work.tries:
            kind = errors.Kind.DEADLINE
        if waiter in work.waiters:
            work.waiters.remove(waiter)
        waiter.resolve(
            result.Err(errors.Failure(kind, "no answer before the deadline"))
        )
        self.perform(actions)

    async def handle_forward(self, work, message):
        """Handle a request that another gateway forwards to this one."""
        waiter = _work.Waiter(origin=message.origin)
        actions = self._cores.ledger.on_forward(
            work.request_id,
            message.number,
            _messages.permit_in(message.permit),
            work.idempotent,
            anyio.current_time(),
        )
        for action in actions:
            if isinstance(action, dedup.RejectForward):
                waiter.resolve(result.Err(action.failure))
                continue
            # A refusal before one of these belongs to earlier waiters.
            if isinstance(action, _ATTACHING):
                known = self._works.setdefault(work.request_id, work)
                known.waiters.append(waiter)
            self.perform([action])
        # The attempt itself is bounded; the origin stops to wait on its own.
        await waiter.done.wait()
        return waiter.outcome

    def answer_intent(self, message):
        """Return the reply to a peer's intent."""
        actions = self._cores.ledger.on_intent(
            message.request_id,
            _messages.permit_in(message.permit),
            anyio.current_time(),
        )
        reply = self.perform(actions)
        return _messages.intent_reply_out(reply)

    def answer_claim(self, message):
        """Return the reply to a peer's claim."""
        actions = self._cores.ledger.on_claim(
            message.request_id,
            _messages.claim_in(message),
            anyio.current_time(),
        )
        reply = self.perform(actions)
        return _messages.claim_reply_out(reply)

    def start(self, request_id, function, *arguments):
        """Run a task of one request; a fault in it ends that request only."""

        async def guarded():
            try:
                await function(*arguments)
            except Exception:
                _LOG.exception("task of a request failed")
                self._cores.metrics.count("citrondeal.requests.faults")
                failure = errors.Failure(
                    errors.Kind.INTERNAL, "internal error"
                )
                self._end(request_id, result.Err(failure))

        self._cores.task_group.start_soon(guarded)

    def perform(self, actions):
        """Carry out actions; returns the reply among them, if any."""
        reply = None
        for action in actions:
            if isinstance(
                action, (dedup.SendIntentReply, dedup.SendClaimReply)
            ):
                reply = action.reply
            else:
                self._performers[type(action)](action)
        return reply

    def _proceed(self, action):
        work = self._works[action.request_id]
        now = anyio.current_time()
        if work.tries:
            self._queue_again(work, now)
            return
        request = admission.Request(
            key=work.key,
            service=work.service,
            request_class=work.request_class,
            team=work.team,
            size_bytes=len(work.body) + _cores.ANSWER_OVERHEAD,
            deadline=work.deadline,
            forwarded=work.forwarded,
            payload=work,
        )
        work.queued_at = now
        if not self.admitted(
            work, self._cores.queues.offer(request, now), now
        ):
            return
        if work.forwarded:
            # The origin is the second gateway that knows of the request.
            work.ready.set()
        self._attempts.pump(work.service)

    def _queue_again(self, work, now):
        self._cores.metrics.count("citrondeal.requests.retries")
        admitted = self._cores.queues.requeue(work.key, now)
        if self.admitted(work, admitted, now):
            self._attempts.pump(work.service)

    def admitted(self, work, outcome, now):
        """Handle the answer of the queues; returns whether it is queued."""
        if isinstance(outcome, errors.Failure):
            self.not_run(work.request_id, outcome, now)
            return False
        for refusal in outcome.refused:
            self.not_run(
                refusal.request.payload.request_id, refusal.failure, now
            )
        return True

    def not_run(self, request_id, failure, now, retry=False):
        """Tell the ledger of a request that has not run."""
        self.perform(
            self._cores.ledger.not_run(request_id, failure, now, retry)
        )

    def _ready(self, action):
        work = self._works.get(action.request_id)
        if work is not None:
            work.ready.set()

    def _answer(self, action):
        self._end(action.request_id, result.Ok(action.answer))

    def _refuse(self, action):
        failure = action.failure
        self._cores.metrics.count(
            "citrondeal.requests.refused",
            kind=failure.kind.value,
            run=failure.run.value,
        )
        telemetry.event(
            _LOG,
            logging.DEBUG,
            "request refused",
            request_id=action.request_id,
            kind=failure.kind.value,
            reason=failure.message,
        )
        self._end(action.request_id, result.Err(failure))

    def _end(self, request_id, outcome):
        work = self._works.pop(request_id, None)
        if work is None:
            return
        self._cores.queues.remove(work.key, anyio.current_time())
        work.ended.set()
        for waiter in work.waiters:
            waiter.resolve(outcome)

    def _drop(self, action):
        failure = errors.Failure(
            errors.Kind.DEADLINE, "nobody waits for the request"
        )
        self._end(action.request_id, result.Err(failure))

    def may_retry(self, work, now):
        """Return whether a request that may have run may run again."""
        return work.idempotent and self._cores.queues.acquire_retry(
            work.service, now
        )

    def after_try(self, work, actions, now):
        """Leave the dispatched state unless the request is queued again."""
        again = any(isinstance(a, dedup.Proceed) for a in actions)
        if not again:
            self._cores.queues.finished(work.key, now, succeeded=False)
        self.perform(actions)

    def refuse_expired(self, taken, now):
        """Refuse the requests that expired while the next was taken."""
        for refusal in taken.refused:
            self.not_run(
                refusal.request.payload.request_id, refusal.failure, now
            )

    async def run(self):
        """Expire queued requests and free slots, until cancelled."""
        next_second = 0.0
        while True:
            await anyio.sleep(TICK_S if self._works else IDLE_TICK_S)
            now = anyio.current_time()
            for refusal in self._cores.queues.expire(now):
                self.not_run(
                    refusal.request.payload.request_id, refusal.failure, now
                )
            self._end_overdue(now)
            wakeup = self._cores.table.next_wakeup()
            if wakeup is not None and wakeup <= now:
                self.pump_all()
            if now >= next_second:
                next_second = now + 1.0
                self.perform(self._cores.ledger.tick(now))

    def watch_deadline(self, work):
        """Answer the callers of a dispatched request at its deadline."""
        heapq.heappush(self._deadlines, (work.deadline, work.key, work))

    def _end_overdue(self, now):
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, work = heapq.heappop(self._deadlines)
            if not work.ended.is_set():
                message = "no answer before the deadline"
                self.perform(
                    self._cores.ledger.unknown(work.request_id, message, now)
                )
        # Answered requests stay in the heap until they are the majority.
        if len(self._deadlines) > 64 + 2 * len(self._works):
            self._deadlines = [
                item for item in self._deadlines if not item[2].ended.is_set()
            ]
            heapq.heapify(self._deadlines)

    def pump_all(self):
        """Dispatch for every service with queued requests."""
        services = {work.service for work in self._works.values()}
        for service in services:
            self._attempts.pump(service)

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        return {
            "active": len(self._works),
            "ledger": json.loads(json.dumps(self._cores.ledger.dump())),
            "queues": self._cores.queues.dump(),
            "routing": self._cores.table.dump(),
        }
