"""Executes the ledger's decisions; holds the requests in progress here."""

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
from citrondeal.gateway import _components
from citrondeal.gateway import _forwards
from citrondeal.gateway import _messages
from citrondeal.gateway import _peer_calls
from citrondeal.gateway import _request
from citrondeal import telemetry

# Waiting time past the deadline, so that an answer or a refusal which is
# produced at the deadline still reaches the caller.
DEADLINE_SLACK_S = 0.1
TICK_S = 0.02  # maximum delay of the refusal of an expired request
# A disconnect of a caller is noticed only after this time: watching each
# connection from the start would cost a task per request.
DISCONNECT_WATCH_DELAY_S = 0.25
IDLE_TICK_S = 0.2  # while no request is in progress

# Actions after which a forward waits for the outcome of the request.
_ATTACHING_ACTIONS = (dedup.Proceed, dedup.Join, dedup.Answer)

_LOG = logging.getLogger(__name__)


class RequestHandler:
    """Handles all requests in progress at this gateway.

    Parameters
    ----------
    components : Components
        State and clients that the classes of the gateway share.
    """

    def __init__(self, components):
        self._components = components
        self._requests = {}
        self._deadlines = []
        self._forwarder = _forwards.Forwarder(components, self)
        self._dispatcher = _attempts.Dispatcher(
            components, self, self._forwarder
        )
        peer_calls = _peer_calls.PeerCalls(components, self)
        self._action_handlers = {
            dedup.Proceed: self._enqueue,
            dedup.Join: lambda action: None,
            dedup.Ready: self._mark_ready,
            dedup.Dispatch: lambda action: None,
            dedup.Answer: self._answer,
            dedup.Refuse: self._refuse,
            dedup.Drop: self._drop,
            dedup.SendIntent: peer_calls.send_intent,
            dedup.SendClaims: peer_calls.send_claims,
            dedup.SendForward: self._forwarder.send,
        }

    @property
    def requests(self):
        """Requests in progress by id."""
        return self._requests

    @property
    def active_count(self):
        """Number of requests in progress."""
        return len(self._requests)

    async def handle(self, request, attempt, disconnected):
        """Handle a caller's request and return its outcome.

        Parameters
        ----------
        request : ActiveRequest
            The request. If its id is already being handled here, only its
            deadline and `idempotent` are used.
        attempt : int or None
            Attempt number that the caller states, if any.
        disconnected : callable
            ``await disconnected()`` returns once the caller has closed its
            connection.

        Returns
        -------
        result.Result
            ``Ok(callers.Reply)`` or ``Err(errors.Failure)``.
        """
        now = anyio.current_time()
        waiter = _request.Waiter()
        active = self._requests.setdefault(request.request_id, request)
        active.waiters.append(waiter)
        self.perform(
            self._components.ledger.begin(
                request.request_id,
                attempt,
                request.idempotent,
                now,
                time.time(),
            )
        )
        remaining_s = request.deadline - now + DEADLINE_SLACK_S
        with anyio.move_on_after(min(DISCONNECT_WATCH_DELAY_S, remaining_s)):
            await waiter.done.wait()
        if waiter.outcome is None:
            with anyio.move_on_after(
                max(0.0, remaining_s - DISCONNECT_WATCH_DELAY_S)
            ):
                await self._wait_or_disconnect(request, waiter, disconnected)
        if waiter.outcome is None:
            self._time_out(active, waiter, attempt)
        return waiter.outcome

    async def _wait_or_disconnect(self, request, waiter, disconnected):
        """Wait for the outcome and tell the ledger of a disconnect."""

        async def watch():
            await disconnected()
            self._on_disconnect(request)

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch)
            await waiter.done.wait()
            task_group.cancel_scope.cancel()

    def _on_disconnect(self, request):
        active = self._requests.get(request.request_id)
        if active is not None:
            now = anyio.current_time()
            self.perform(
                self._components.ledger.caller_gone(request.request_id, now)
            )

    def _time_out(self, request, waiter, attempt):
        """Answer a waiter at its deadline; a dispatched attempt continues."""
        now = anyio.current_time()
        actions = self._components.ledger.caller_gone(request.request_id, now)
        dropped = any(isinstance(a, dedup.Drop) for a in actions)
        kind = errors.Kind.UNKNOWN_OUTCOME
        if dropped and attempt == 1 and not request.tries:
            kind = errors.Kind.DEADLINE
        if waiter in request.waiters:
            request.waiters.remove(waiter)
        waiter.resolve(
            result.Err(errors.Failure(kind, "no answer before the deadline"))
        )
        self.perform(actions)

    async def handle_forward(self, request, message):
        """Handle a request that another gateway forwards to this one."""
        waiter = _request.Waiter(origin=message.origin)
        actions = self._components.ledger.on_forward(
            request.request_id,
            message.number,
            _messages.permit_from_message(message.permit),
            request.idempotent,
            anyio.current_time(),
        )
        for action in actions:
            if isinstance(action, dedup.RejectForward):
                waiter.resolve(result.Err(action.failure))
                continue
            # A refusal that precedes such an action concerns the waiters of
            # an earlier attempt, so the waiter is added only here.
            if isinstance(action, _ATTACHING_ACTIONS):
                active = self._requests.setdefault(request.request_id, request)
                active.waiters.append(waiter)
            self.perform([action])
        # No deadline is needed here: the attempt has a timeout, and the
        # origin limits its own waiting time.
        await waiter.done.wait()
        return waiter.outcome

    def answer_intent(self, message):
        """Return the reply to a peer's intent."""
        actions = self._components.ledger.on_intent(
            message.request_id,
            _messages.permit_from_message(message.permit),
            anyio.current_time(),
        )
        reply = self.perform(actions)
        return _messages.intent_reply_to_message(reply)

    def answer_claim(self, message):
        """Return the reply to a peer's claim."""
        actions = self._components.ledger.on_claim(
            message.request_id,
            _messages.claim_from_message(message),
            anyio.current_time(),
        )
        reply = self.perform(actions)
        return _messages.claim_reply_to_message(reply)

    def start_task(self, request_id, function, *arguments):
        """Run a task of one request; an exception ends only that request."""

        async def guarded():
            try:
                await function(*arguments)
            except Exception:
                _LOG.exception("task of a request failed")
                self._components.metrics.count("citrondeal.requests.faults")
                failure = errors.Failure(
                    errors.Kind.INTERNAL, "internal error"
                )
                self._end_request(request_id, result.Err(failure))

        self._components.task_group.start_soon(guarded)

    def perform(self, actions):
        """Execute actions of the ledger.

        Returns
        -------
        dedup.IntentReply, dedup.ClaimReply or None
            The reply among the actions, if there is one.
        """
        reply = None
        for action in actions:
            if isinstance(
                action, (dedup.SendIntentReply, dedup.SendClaimReply)
            ):
                reply = action.reply
            else:
                self._action_handlers[type(action)](action)
        return reply

    def _enqueue(self, action):
        request = self._requests[action.request_id]
        now = anyio.current_time()
        if request.tries:
            self._requeue(request, now)
            return
        admission_request = admission.Request(
            key=request.key,
            service=request.service,
            request_class=request.request_class,
            team=request.team,
            size_bytes=len(request.body) + _components.HEADER_OVERHEAD_BYTES,
            deadline=request.deadline,
            forwarded=request.forwarded,
            payload=request,
        )
        request.queued_at = now
        if not self.apply_admission(
            request, self._components.queues.offer(admission_request, now), now
        ):
            return
        if request.forwarded:
            # The origin has recorded the request, so no further gateway has
            # to record an intent.
            request.ready.set()
        self._dispatcher.dispatch_queued(request.service)

    def _requeue(self, request, now):
        self._components.metrics.count("citrondeal.requests.retries")
        admission_outcome = self._components.queues.requeue(request.key, now)
        if self.apply_admission(request, admission_outcome, now):
            self._dispatcher.dispatch_queued(request.service)

    def apply_admission(self, request, outcome, now):
        """Process the result of `offer` or `requeue`.

        Returns
        -------
        bool
            Whether the request is queued.
        """
        if isinstance(outcome, errors.Failure):
            self.report_not_run(request.request_id, outcome, now)
            return False
        for refusal in outcome.refused:
            self.report_not_run(
                refusal.request.payload.request_id, refusal.failure, now
            )
        return True

    def report_not_run(self, request_id, failure, now, retry=False):
        """Tell the ledger that a request has not run."""
        self.perform(
            self._components.ledger.not_run(request_id, failure, now, retry)
        )

    def _mark_ready(self, action):
        request = self._requests.get(action.request_id)
        if request is not None:
            request.ready.set()

    def _answer(self, action):
        self._end_request(action.request_id, result.Ok(action.answer))

    def _refuse(self, action):
        failure = action.failure
        self._components.metrics.count(
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
        self._end_request(action.request_id, result.Err(failure))

    def _end_request(self, request_id, outcome):
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        self._components.queues.remove(request.key, anyio.current_time())
        request.ended.set()
        for waiter in request.waiters:
            waiter.resolve(outcome)

    def _drop(self, action):
        failure = errors.Failure(
            errors.Kind.DEADLINE, "no caller waits for the request any more"
        )
        self._end_request(action.request_id, result.Err(failure))

    def acquire_retry(self, request, now):
        """Take a retry for a request that may have run.

        Returns
        -------
        bool
            False if the request is not idempotent or the retry budget of
            its service is used up.
        """
        return request.idempotent and self._components.queues.acquire_retry(
            request.service, now
        )

    def finish_dispatch(self, request, actions, now):
        """Execute the actions that follow an unsuccessful dispatch.

        Unless one of them queues the request again, its dispatch is
        finished first.
        """
        again = any(isinstance(a, dedup.Proceed) for a in actions)
        if not again:
            self._components.queues.finished(request.key, now, succeeded=False)
        self.perform(actions)

    def refuse_expired(self, take_result, now):
        """Refuse the expired requests that `take` found before the next."""
        for refusal in take_result.refused:
            self.report_not_run(
                refusal.request.payload.request_id, refusal.failure, now
            )

    async def run(self):
        """Refuse overdue requests and use freed slots, until cancelled."""
        next_second = 0.0
        while True:
            await anyio.sleep(TICK_S if self._requests else IDLE_TICK_S)
            now = anyio.current_time()
            for refusal in self._components.queues.expire(now):
                self.report_not_run(
                    refusal.request.payload.request_id, refusal.failure, now
                )
            self._end_overdue_requests(now)
            wakeup = self._components.table.next_wakeup()
            if wakeup is not None and wakeup <= now:
                self.dispatch_all_queued()
            if now >= next_second:
                next_second = now + 1.0
                self.perform(self._components.ledger.tick(now))

    def watch_deadline(self, request):
        """Report an unknown outcome unless the request ends in time."""
        heapq.heappush(
            self._deadlines, (request.deadline, request.key, request)
        )

    def _end_overdue_requests(self, now):
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, request = heapq.heappop(self._deadlines)
            if not request.ended.is_set():
                message = "no answer before the deadline"
                self.perform(
                    self._components.ledger.unknown(
                        request.request_id, message, now
                    )
                )
        # Ended requests are removed only once they make up most of the heap,
        # so that the removal takes amortized constant time per request.
        if len(self._deadlines) > 64 + 2 * len(self._requests):
            self._deadlines = [
                item for item in self._deadlines if not item[2].ended.is_set()
            ]
            heapq.heapify(self._deadlines)

    def dispatch_all_queued(self):
        """Dispatch queued requests of every service with active requests."""
        services = {request.service for request in self._requests.values()}
        for service in services:
            self._dispatcher.dispatch_queued(service)

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        return {
            "active": len(self._requests),
            "ledger": json.loads(json.dumps(self._components.ledger.dump())),
            "queues": self._components.queues.dump(),
            "routing": self._components.table.dump(),
        }
