"""Carries out what ledger, queues and routing decide on each request."""

import json
import logging
import time

import anyio
import result

from citrondeal import admission
from citrondeal import callers
from citrondeal import dedup
from citrondeal import endpoints
from citrondeal import errors
from citrondeal.gateway import _messages
from citrondeal.gateway import _work
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import routing
from citrondeal import telemetry

# Time for messages about ids; a gateway in the other region answers within
# 41 ms, so a longer silence means a fault.
INTENT_TIMEOUT = 0.5  # seconds
CLAIM_TIMEOUT = 1.0  # seconds
# Added to the deadline of a forward, so that the answer of the other
# gateway, also a refusal at the deadline, can still arrive.
FORWARD_SLACK = 0.5  # seconds
# Added to the deadline before a caller is answered from here.
DEADLINE_SLACK = 0.1  # seconds
# Dispatches and forwards of one request, against endless rerouting.
MAX_TRIES = 4
TICK_S = 0.02  # bounds how late an expired request is refused
ANSWER_OVERHEAD = 256  # bytes for headers of a kept answer

_ATTACHING = (dedup.Proceed, dedup.Join, dedup.Answer)

_LOG = logging.getLogger(__name__)


class Flow:
    """All requests in progress at this gateway.

    Parameters
    ----------
    ledger : citrondeal.dedup.Ledger
        Decides whether an id may run.
    queues : citrondeal.admission.Queues
        Decides which request is next.
    table : citrondeal.routing.Table
        Decides where it goes.
    holdings : Holdings
        Leases on endpoints.
    directory : citrondeal.platform.Directory
        Addresses of endpoints and gateways.
    client : citrondeal.endpoints.Client
        Connections to endpoints.
    links : citrondeal.peers.Pool
        Connections to gateways.
    task_group : anyio.abc.TaskGroup
        Runs attempts and calls.
    metrics : citrondeal.telemetry.Metrics
        Counts refusals, retries and waiting.
    """

    def __init__(
        self,
        ledger,
        queues,
        table,
        holdings,
        directory,
        client,
        links,
        task_group,
        metrics,
    ):
        self._ledger = ledger
        self._queues = queues
        self._table = table
        self._holdings = holdings
        self._directory = directory
        self._client = client
        self._links = links
        self._task_group = task_group
        self._metrics = metrics
        self._works = {}
        self._attempts = 0
        self._performers = {
            dedup.Proceed: self._proceed,
            dedup.Join: lambda action: None,
            dedup.Ready: self._ready,
            dedup.Dispatch: lambda action: None,
            dedup.Answer: self._answer,
            dedup.Refuse: self._refuse,
            dedup.Drop: self._drop,
            dedup.SendIntent: self._send_intent,
            dedup.SendClaims: self._send_claims,
            dedup.SendForward: self._send_forward,
        }

    @property
    def active(self):
        """Number of requests in progress."""
        return len(self._works)

    # Arrivals.

    async def handle(self, work, attempt):
        """Handle a caller's request and return its outcome.

        Parameters
        ----------
        work : Work
            The request; ignored but for its deadline if its id is already
            being handled here.
        attempt : int or None
            Attempt number that the caller states.

        Returns
        -------
        result.Result
            A `callers.Reply` or an `errors.Failure`.
        """
        now = anyio.current_time()
        waiter = _work.Waiter()
        known = self._works.setdefault(work.request_id, work)
        known.waiters.append(waiter)
        self._perform(
            self._ledger.begin(
                work.request_id, attempt, work.idempotent, now, time.time()
            )
        )
        left = work.deadline - now + DEADLINE_SLACK
        with anyio.move_on_after(max(0.0, left)):
            await waiter.done.wait()
        if waiter.outcome is None:
            self._give_up(known, waiter, attempt)
        return waiter.outcome

    def leave(self, work):
        """Drop a request whose caller has disconnected, if possible."""
        known = self._works.get(work.request_id)
        if known is not None:
            now = anyio.current_time()
            self._perform(self._ledger.caller_gone(work.request_id, now))

    def _give_up(self, work, waiter, attempt):
        """Answer a waiter at its deadline; the attempt goes on."""
        now = anyio.current_time()
        actions = self._ledger.caller_gone(work.request_id, now)
        dropped = any(isinstance(a, dedup.Drop) for a in actions)
        kind = errors.Kind.UNKNOWN_OUTCOME
        if dropped and attempt == 1 and not work.tries:
            kind = errors.Kind.DEADLINE
        if waiter in work.waiters:
            work.waiters.remove(waiter)
        waiter.resolve(
            result.Err(errors.Failure(kind, "no answer before the deadline"))
        )
        self._perform(actions)

    async def handle_forward(self, work, message):
        """Handle a request that another gateway forwards to this one."""
        waiter = _work.Waiter(origin=message.origin)
        actions = self._ledger.on_forward(
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
            self._perform([action])
        # The attempt itself is bounded; the origin stops to wait on its own.
        await waiter.done.wait()
        return waiter.outcome

    def answer_intent(self, message):
        """Return the reply to a peer's intent."""
        actions = self._ledger.on_intent(
            message.request_id,
            _messages.permit_in(message.permit),
            anyio.current_time(),
        )
        reply = self._perform(actions)
        return _messages.intent_reply_out(reply)

    def answer_claim(self, message):
        """Return the reply to a peer's claim."""
        actions = self._ledger.on_claim(
            message.request_id,
            _messages.claim_in(message),
            anyio.current_time(),
        )
        reply = self._perform(actions)
        return _messages.claim_reply_out(reply)

    def _start(self, request_id, function, *arguments):
        """Run a task of one request; a fault in it ends that request only."""

        async def guarded():
            try:
                await function(*arguments)
            except Exception:
                _LOG.exception("task of a request failed")
                self._metrics.count("citrondeal.requests.faults")
                failure = errors.Failure(
                    errors.Kind.INTERNAL, "internal error"
                )
                self._end(request_id, result.Err(failure))

        self._task_group.start_soon(guarded)

    # Actions of the ledger.

    def _perform(self, actions):
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
            size_bytes=len(work.body) + ANSWER_OVERHEAD,
            deadline=work.deadline,
            forwarded=work.forwarded,
            payload=work,
        )
        work.queued_at = now
        if not self._admitted(work, self._queues.offer(request, now), now):
            return
        if work.forwarded:
            # The origin is the second gateway that knows of the request.
            work.ready.set()
        self.pump(work.service)

    def _queue_again(self, work, now):
        self._metrics.count("citrondeal.requests.retries")
        admitted = self._queues.requeue(work.key, now)
        if self._admitted(work, admitted, now):
            self.pump(work.service)

    def _admitted(self, work, outcome, now):
        if isinstance(outcome, errors.Failure):
            self._not_run(work.request_id, outcome, now)
            return False
        for refusal in outcome.refused:
            self._not_run(
                refusal.request.payload.request_id, refusal.failure, now
            )
        return True

    def _not_run(self, request_id, failure, now, retry=False):
        self._perform(self._ledger.not_run(request_id, failure, now, retry))

    def _ready(self, action):
        work = self._works.get(action.request_id)
        if work is not None:
            work.ready.set()

    def _answer(self, action):
        self._end(action.request_id, result.Ok(action.answer))

    def _refuse(self, action):
        failure = action.failure
        self._metrics.count(
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
        self._queues.remove(work.key, anyio.current_time())
        work.ended.set()
        for waiter in work.waiters:
            waiter.resolve(outcome)

    def _drop(self, action):
        failure = errors.Failure(
            errors.Kind.DEADLINE, "nobody waits for the request"
        )
        self._end(action.request_id, result.Err(failure))

    def _send_intent(self, action):
        self._start(action.request_id, self._intent, action)

    async def _intent(self, action):
        message = ttypes.Intent(
            action.request_id, _messages.permit_out(action.permit)
        )
        reply = await self._call(action.gateway, message, INTENT_TIMEOUT)
        now = anyio.current_time()
        if isinstance(reply, ttypes.IntentReply):
            actions = self._ledger.intent_reply(
                action.request_id,
                action.number,
                _messages.intent_reply_in(reply),
                now,
            )
        else:
            actions = self._ledger.intent_failed(
                action.request_id, action.number, now
            )
        self._perform(actions)

    def _send_claims(self, action):
        for gateway in action.gateways:
            self._start(
                action.request_id,
                self._claim,
                action.request_id,
                gateway,
                action.claim,
            )

    async def _claim(self, request_id, gateway, claim):
        message = _messages.claim_out(request_id, claim)
        reply = await self._call(gateway, message, CLAIM_TIMEOUT)
        now = anyio.current_time()
        if isinstance(reply, ttypes.ClaimReply):
            actions = self._ledger.claim_reply(
                request_id,
                claim.number,
                gateway,
                _messages.claim_reply_in(reply),
                now,
            )
        else:
            actions = self._ledger.claim_failed(
                request_id, claim.number, gateway, now
            )
        self._perform(actions)

    async def _call(self, gateway, message, timeout_s):
        """Return the reply of a gateway, or None."""
        vm = self._directory.get(gateway)
        if vm is None:
            return None
        try:
            return await self._links.call(vm.peer, message, timeout_s)
        except peers.PeerError:
            return None

    # Forwards.

    def _send_forward(self, action):
        self._start(action.request_id, self._forward, action)

    async def _forward(self, action):
        work = self._works[action.request_id]
        work.tries += 1
        now = anyio.current_time()
        left = max(0.0, work.deadline - now)
        message = ttypes.Forward(
            request_id=work.request_id,
            service_name=work.service,
            path=work.path,
            request_class=work.request_class,
            team=work.team,
            idempotent=work.idempotent,
            deadline_ms=int(left * 1000),
            body=work.body,
            headers=work.headers,
            origin=self._ledger.process,
            number=action.number,
            permit=_messages.permit_out(action.permit),
        )
        self._metrics.count("citrondeal.requests.forwarded")
        # A non-idempotent attempt may end after the deadline; its outcome
        # still settles the id for resubmissions.
        patience = left + FORWARD_SLACK
        if not work.idempotent:
            patience += work.attempt_timeout
        vm = self._directory.get(action.gateway)
        reply, sent = None, False
        if vm is not None:
            try:
                reply = await self._links.call(vm.peer, message, patience)
            except peers.PeerError as exc:
                sent = exc.sent
        self._forward_ended(work, action, reply, sent)

    def _forward_ended(self, work, action, reply, sent):
        now = anyio.current_time()
        if work.ended.is_set() and work.idempotent:
            refused = not isinstance(reply, ttypes.Reply)
            key = (work.request_id, action.number)
            self._table.forward_finished(key, refused=refused)
            self._queues.finished(work.key, now, succeeded=not refused)
            return
        refused = not isinstance(reply, ttypes.Reply)
        self._table.forward_finished(
            (work.request_id, action.number), refused=refused
        )
        retry = work.tries < MAX_TRIES and now < work.deadline
        if not refused:
            answer = _messages.reply_in(reply)
            self._queues.finished(work.key, now)
            self._perform(
                self._ledger.forward_answered(
                    work.request_id,
                    action.number,
                    answer,
                    len(answer.body) + ANSWER_OVERHEAD,
                    now,
                )
            )
            return
        if isinstance(reply, ttypes.Fault):
            failure = _messages.fault_in(reply)
            if failure.run is not errors.Run.NOT_RUN:
                retry = retry and self._may_retry(work, now)
            actions = self._ledger.forward_refused(
                work.request_id, action.number, failure, now, retry
            )
        else:
            retry = retry and (not sent or self._may_retry(work, now))
            actions = self._ledger.forward_failed(
                work.request_id, action.number, sent, now, retry
            )
        self._after_try(work, actions, now)

    def _may_retry(self, work, now):
        return work.idempotent and self._queues.retry_allowed(
            work.service, now
        )

    def _after_try(self, work, actions, now):
        """Leave the dispatched state unless the request is queued again."""
        again = any(isinstance(a, dedup.Proceed) for a in actions)
        if not again:
            self._queues.finished(work.key, now, succeeded=False)
        self._perform(actions)

    # Attempts at own endpoints.

    def pump(self, service):
        """Dispatch and forward as much as slots and peers allow."""
        now = anyio.current_time()
        while self._dispatch_one(service, now):
            pass
        for request_class, wait_s in self._queues.waiting(service, now):
            while self._forward_one(service, request_class, wait_s, now):
                pass

    def _dispatch_one(self, service, now):
        own = self._table.choose_own(service, now)
        if own is None:
            return False
        free = self._table.free(service, now)
        taken = self._queues.take(service, free, now)
        self._refuse_expired(taken, now)
        if taken.request is None:
            return False
        work = taken.request.payload
        self._attempts += 1
        key = (work.request_id, self._attempts)
        self._table.start(key, own.endpoint, now)
        self._holdings.started(own.endpoint)
        self._start(work.request_id, self._attempt, work, own.endpoint, key)
        return True

    def _forward_one(self, service, request_class, wait_s, now):
        peer = self._table.choose_peer(service, request_class, wait_s, now)
        if peer is None:
            return False
        free = self._table.free(service, now)
        taken = self._queues.take(service, free, now, request_class)
        self._refuse_expired(taken, now)
        if taken.request is None:
            return False
        work = taken.request.payload
        vm = self._directory.get(peer.process)
        incarnation = self._links.incarnation_of(vm.peer) if vm else ""
        actions = self._ledger.forward(
            work.request_id, peer.process, incarnation, now
        )
        for action in actions:
            if isinstance(action, dedup.SendForward):
                key = (work.request_id, action.number)
                self._table.forward_started(
                    key, peer.process, service, request_class, now
                )
        self._perform(actions)
        if any(isinstance(a, dedup.SendForward) for a in actions):
            return True
        if work.ended.is_set():
            self._queues.finished(work.key, now, succeeded=False)
            return True
        # The intent for a local dispatch is in progress.
        self._admitted(work, self._queues.requeue(work.key, now), now)
        return False

    def _refuse_expired(self, taken, now):
        for refusal in taken.refused:
            self._not_run(
                refusal.request.payload.request_id, refusal.failure, now
            )

    async def _attempt(self, work, endpoint, key):
        """Run one attempt at an own endpoint, from slot to outcome."""
        if not await self._may_dispatch(work, endpoint):
            self._withdraw(work, endpoint, key)
            return
        started = anyio.current_time()
        self._metrics.record(
            "citrondeal.requests.wait",
            started - work.queued_at,
            request_class=work.request_class,
        )
        work.tries += 1
        self._start(work.request_id, self._watch_deadline, work)
        vm = self._directory.get(endpoint)
        not_after = min(work.deadline, self._holdings.valid_until(endpoint))
        headers = {
            **work.headers,
            "request-id": work.request_id,
            "request-not-after": endpoints.not_after_header(
                not_after, started
            ),
        }
        outcome = await self._client.attempt(
            vm.http,
            work.path,
            headers,
            work.body,
            work.attempt_timeout,
            vm.slots,
            lambda: self._holdings.valid_until(endpoint) is not None,
        )
        self._attempt_ended(work, endpoint, key, outcome)

    async def _may_dispatch(self, work, endpoint):
        """Wait for the intent, then ask for the permission to send."""
        if not work.ready.is_set():
            # Only now, because an intent for a request that is still queued
            # makes its outcome unknown if this process fails.
            now = anyio.current_time()
            self._perform(self._ledger.prepare(work.request_id, now))
        if not work.ready.is_set():
            left = work.deadline - anyio.current_time()
            with anyio.move_on_after(max(0.0, left)):
                async with anyio.create_task_group() as waiting:
                    for event in (work.ready, work.ended):
                        waiting.start_soon(_wait_and_cancel, event, waiting)
        if not work.ready.is_set() or work.ended.is_set():
            return False
        if self._holdings.valid_until(endpoint) is None:
            self._holdings.review()
            return False
        if self._directory.get(endpoint) is None:
            return False
        now = anyio.current_time()
        actions = self._ledger.start(work.request_id, now)
        return any(isinstance(a, dedup.Dispatch) for a in actions)

    def _withdraw(self, work, endpoint, key):
        """Give back a slot that was not used."""
        now = anyio.current_time()
        self._table.finish(key, routing.Outcome.NOT_RUN, now)
        self._holdings.finished(endpoint)
        if work.ended.is_set():
            self._queues.finished(work.key, now, succeeded=False)
        else:
            admitted = self._queues.requeue(work.key, now)
            self._admitted(work, admitted, now)
        self.pump(work.service)

    async def _watch_deadline(self, work):
        """Tell callers at the deadline that the outcome is unknown."""
        await anyio.sleep(max(0.0, work.deadline - anyio.current_time()))
        if work.ended.is_set() or work.request_id not in self._works:
            return
        message = "no answer before the deadline"
        now = anyio.current_time()
        self._perform(self._ledger.unknown(work.request_id, message, now))

    def _attempt_ended(self, work, endpoint, key, outcome):
        now = anyio.current_time()
        sent = outcome.sent
        self._metrics.count("citrondeal.attempts", outcome=sent.value)
        if sent is endpoints.Sent.COMPLETE:
            self._table.finish(key, routing.Outcome.DONE, now)
            self._holdings.finished(endpoint)
            self._queues.finished(work.key, now)
            answer = callers.Reply(
                outcome.status, outcome.headers, outcome.body
            )
            self._completed(work, answer, now)
        elif sent in (endpoints.Sent.NOT_SENT, endpoints.Sent.NOT_RUN):
            self._table.finish(key, routing.Outcome.NOT_RUN, now)
            self._holdings.finished(endpoint)
            self._after_not_run(work, outcome, now)
        else:
            self._table.finish(key, routing.Outcome.UNKNOWN, now, False)
            self._start(work.request_id, self._finish_late, work, endpoint)
            self._after_unknown(work, outcome, now)
        self.pump(work.service)

    def _completed(self, work, answer, now):
        if work.ended.is_set() and work.idempotent:
            return
        # An answer after the deadline still settles a non-idempotent id.
        size = len(answer.body) + ANSWER_OVERHEAD
        actions = self._ledger.completed(work.request_id, answer, size, now)
        self._perform(actions)

    def _after_not_run(self, work, outcome, now):
        if work.ended.is_set():
            self._queues.finished(work.key, now, succeeded=False)
            return
        failure = errors.Failure(
            errors.Kind.UNAVAILABLE, f"endpoint: {outcome.reason}", 0.5
        )
        retry = work.tries < MAX_TRIES and now < work.deadline
        actions = self._ledger.not_run(work.request_id, failure, now, retry)
        self._after_try(work, actions, now)

    def _after_unknown(self, work, outcome, now):
        if work.ended.is_set():
            self._queues.finished(work.key, now, succeeded=False)
            return
        message = f"endpoint: {outcome.reason}"
        retry = work.tries < MAX_TRIES and now < work.deadline
        retry = retry and self._may_retry(work, now)
        if outcome.sent is endpoints.Sent.INCOMPLETE and not retry:
            actions = self._ledger.answer_lost(work.request_id, message, now)
        else:
            actions = self._ledger.unknown(
                work.request_id, message, now, retry
            )
        self._after_try(work, actions, now)

    async def _finish_late(self, work, endpoint):
        # The endpoint may still run the request; the slot stays occupied in
        # the table, and the endpoint is not handed over meanwhile.
        await anyio.sleep(work.attempt_timeout)
        self._holdings.finished(endpoint)
        self.pump(work.service)

    # Time and load.

    async def run(self):
        """Expire queued requests and free slots, until cancelled."""
        next_second = 0.0
        while True:
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            for refusal in self._queues.expire(now):
                self._not_run(
                    refusal.request.payload.request_id, refusal.failure, now
                )
            wakeup = self._table.next_wakeup()
            if wakeup is not None and wakeup <= now:
                self.pump_all()
            if now >= next_second:
                next_second = now + 1.0
                self._perform(self._ledger.tick(now))

    def pump_all(self):
        """Dispatch for every service with queued requests."""
        services = {work.service for work in self._works.values()}
        for service in services:
            self.pump(service)

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        return {
            "active": len(self._works),
            "ledger": json.loads(json.dumps(self._ledger.dump())),
            "queues": self._queues.dump(),
            "routing": self._table.dump(),
        }


async def _wait_and_cancel(event, task_group):
    await event.wait()
    task_group.cancel_scope.cancel()
