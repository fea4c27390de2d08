"""Attempts at the endpoints that this gateway holds."""

import anyio

from citrondeal import callers
from citrondeal import dedup
from citrondeal import endpoints
from citrondeal import errors
from citrondeal.gateway import _cores
from citrondeal import routing


class Attempts:
    """Takes requests from the queue to an endpoint, from slot to outcome.

    Parameters
    ----------
    cores : Cores
        Cores and borders.
    flow : Flow
        Carries out the actions of the ledger.
    forwards : Forwards
        Takes what other gateways can run sooner.
    """

    def __init__(self, cores, flow, forwards):
        self._cores = cores
        self._flow = flow
        self._forwards = forwards
        self._count = 0

    def pump(self, service):
        """Dispatch and forward as much as slots and peers allow."""
        now = anyio.current_time()
        while self._dispatch_one(service, now):
            pass
        for request_class, wait_s in self._cores.queues.forwardable_classes(
            service, now
        ):
            while self._forwards.forward_one(
                service, request_class, wait_s, now
            ):
                pass

    def _dispatch_one(self, service, now):
        own = self._cores.table.choose_endpoint(service, now)
        if own is None:
            return False
        free = self._cores.table.free_slots(service, now)
        taken = self._cores.queues.take(service, free, now)
        self._flow.refuse_expired(taken, now)
        if taken.request is None:
            return False
        work = taken.request.payload
        self._count += 1
        key = (work.request_id, self._count)
        self._cores.table.start(key, own.endpoint, now)
        self._cores.holdings.started(own.endpoint)
        self._flow.start(
            work.request_id, self._attempt, work, own.endpoint, key
        )
        return True

    async def _attempt(self, work, endpoint, key):
        """Run one attempt at an own endpoint, from slot to outcome."""
        if not await self._may_dispatch(work, endpoint):
            self._withdraw(work, endpoint, key)
            return
        started = anyio.current_time()
        self._cores.metrics.record(
            "citrondeal.requests.wait",
            started - work.queued_at,
            request_class=work.request_class,
        )
        work.tries += 1
        self._flow.watch_deadline(work)
        vm = self._cores.directory.get(endpoint)
        not_after = min(
            work.deadline, self._cores.holdings.valid_until(endpoint)
        )
        headers = {
            **work.headers,
            "request-id": work.request_id,
            "request-not-after": endpoints.not_after_header(
                not_after, started
            ),
        }
        outcome = await self._cores.client.attempt(
            vm.http,
            work.path,
            headers,
            work.body,
            work.attempt_timeout,
            vm.slots,
            lambda: self._cores.holdings.valid_until(endpoint) is not None,
        )
        self._attempt_ended(work, endpoint, key, outcome)

    async def _may_dispatch(self, work, endpoint):
        """Wait for the intent, then ask for the permission to send."""
        if not work.ready.is_set():
            # Only now, because an intent for a request that is still queued
            # makes its outcome unknown if this process fails.
            now = anyio.current_time()
            self._flow.perform(
                self._cores.ledger.prepare(work.request_id, now)
            )
        if not work.ready.is_set():
            left = work.deadline - anyio.current_time()
            with anyio.move_on_after(max(0.0, left)):
                async with anyio.create_task_group() as waiting:
                    for event in (work.ready, work.ended):
                        waiting.start_soon(_wait_and_cancel, event, waiting)
        if not work.ready.is_set() or work.ended.is_set():
            return False
        if self._cores.holdings.valid_until(endpoint) is None:
            self._cores.holdings.review()
            return False
        if self._cores.directory.get(endpoint) is None:
            return False
        now = anyio.current_time()
        actions = self._cores.ledger.start(work.request_id, now)
        return any(isinstance(a, dedup.Dispatch) for a in actions)

    def _withdraw(self, work, endpoint, key):
        """Give back a slot that was not used."""
        now = anyio.current_time()
        self._cores.table.finish(key, routing.Outcome.NOT_RUN, now)
        self._cores.holdings.finished(endpoint)
        if work.ended.is_set():
            self._cores.queues.finished(work.key, now, succeeded=False)
        else:
            admitted = self._cores.queues.requeue(work.key, now)
            self._flow.admitted(work, admitted, now)
        self.pump(work.service)

    def _attempt_ended(self, work, endpoint, key, outcome):
        now = anyio.current_time()
        delivery = outcome.delivery
        self._cores.metrics.count(
            "citrondeal.attempts", outcome=delivery.value
        )
        if delivery is endpoints.Delivery.COMPLETE:
            self._cores.table.finish(key, routing.Outcome.DONE, now)
            self._cores.holdings.finished(endpoint)
            self._cores.queues.finished(work.key, now)
            answer = callers.Reply(
                outcome.status, outcome.headers, outcome.body
            )
            self._completed(work, answer, now)
        elif delivery in (
            endpoints.Delivery.NOT_SENT,
            endpoints.Delivery.NOT_RUN,
        ):
            self._cores.table.finish(key, routing.Outcome.NOT_RUN, now)
            self._cores.holdings.finished(endpoint)
            self._after_not_run(work, outcome, now)
        else:
            self._cores.table.finish(key, routing.Outcome.UNKNOWN, now, False)
            self._flow.start(
                work.request_id, self._finish_late, work, endpoint
            )
            self._after_unknown(work, outcome, now)
        self.pump(work.service)

    def _completed(self, work, answer, now):
        if work.ended.is_set() and work.idempotent:
            return
        # An answer after the deadline still settles a non-idempotent id.
        size = len(answer.body) + _cores.ANSWER_OVERHEAD
        actions = self._cores.ledger.completed(
            work.request_id, answer, size, now
        )
        self._flow.perform(actions)

    def _after_not_run(self, work, outcome, now):
        if work.ended.is_set():
            self._cores.queues.finished(work.key, now, succeeded=False)
            return
        failure = errors.Failure(
            errors.Kind.UNAVAILABLE, f"endpoint: {outcome.reason}", 0.5
        )
        retry = work.tries < _cores.MAX_TRIES and now < work.deadline
        actions = self._cores.ledger.not_run(
            work.request_id, failure, now, retry
        )
        self._flow.after_try(work, actions, now)

    def _after_unknown(self, work, outcome, now):
        if work.ended.is_set():
            self._cores.queues.finished(work.key, now, succeeded=False)
            return
        message = f"endpoint: {outcome.reason}"
        retry = work.tries < _cores.MAX_TRIES and now < work.deadline
        retry = retry and self._flow.may_retry(work, now)
        if outcome.delivery is endpoints.Delivery.INCOMPLETE and not retry:
            actions = self._cores.ledger.answer_lost(
                work.request_id, message, now
            )
        else:
            actions = self._cores.ledger.unknown(
                work.request_id, message, now, retry
            )
        self._flow.after_try(work, actions, now)

    async def _finish_late(self, work, endpoint):
        # The endpoint may still run the request; the slot stays occupied in
        # the table, and the endpoint is not handed over meanwhile.
        await anyio.sleep(work.attempt_timeout)
        self._cores.holdings.finished(endpoint)
        self.pump(work.service)


async def _wait_and_cancel(event, task_group):
    await event.wait()
    task_group.cancel_scope.cancel()
