"""Dispatch of queued requests to the endpoints that this gateway holds."""

import logging

import anyio

from citrondeal import callers
from citrondeal import dedup
from citrondeal import endpoints
from citrondeal import errors
from citrondeal.gateway import _components
from citrondeal import routing
from citrondeal import telemetry

_LOG = logging.getLogger(__name__)


class Dispatcher:
    """Dispatches queued requests and handles the outcome of each attempt.

    Parameters
    ----------
    components : Components
        State and clients that the classes of the gateway share.
    request_handler : RequestHandler
        Executes the actions of the ledger.
    forwarder : Forwarder
        Forwards the requests that other gateways can run sooner.
    """

    def __init__(self, components, request_handler, forwarder):
        self._components = components
        self._request_handler = request_handler
        self._forwarder = forwarder
        self._attempt_count = 0

    def dispatch_queued(self, service):
        """Dispatch and forward requests while slots and peers allow it."""
        now = anyio.current_time()
        while self._dispatch_one(service, now):
            pass
        for class_name, wait_s in self._components.queues.forwardable_classes(
            service, now
        ):
            while self._forwarder.forward_one(
                service, class_name, wait_s, now
            ):
                pass

    def _dispatch_one(self, service, now):
        local_endpoint = self._components.table.choose_endpoint(service, now)
        if local_endpoint is None:
            return False
        free = self._components.table.free_slots(service, now)
        take_result = self._components.queues.take(service, free, now)
        self._request_handler.refuse_expired(take_result, now)
        if take_result.request is None:
            return False
        request = take_result.request.payload
        self._attempt_count += 1
        key = (request.request_id, self._attempt_count)
        self._components.table.start(key, local_endpoint.endpoint, now)
        self._components.held_endpoints.attempt_started(
            local_endpoint.endpoint
        )
        self._request_handler.start_task(
            request.request_id,
            self._attempt,
            request,
            local_endpoint.endpoint,
            key,
        )
        return True

    async def _attempt(self, request, endpoint, key):
        """Run one attempt at an endpoint whose slot has been taken."""
        try:
            may_send = await self._prepare_dispatch(request, endpoint)
        except Exception:
            self._release_slot(request, endpoint, key)
            raise  # ends the request
        if not may_send:
            self._release_slot(request, endpoint, key)
            return
        started = anyio.current_time()
        self._components.metrics.record(
            "citrondeal.requests.wait",
            started - request.queued_at,
            request_class=request.request_class,
        )
        request.tries += 1
        self._request_handler.watch_deadline(request)
        vm = self._components.directory.get(endpoint)
        not_after = min(
            request.deadline,
            self._components.held_endpoints.valid_until(endpoint),
        )
        headers = {
            **request.headers,
            "request-id": request.request_id,
            "request-not-after": endpoints.not_after_header(
                not_after, started
            ),
        }
        # Stands if the client fails unexpectedly: the endpoint may be at work,
        # so that slot and request end like those of a lost connection.
        outcome = endpoints.Outcome(
            endpoints.Delivery.UNKNOWN, reason="internal error"
        )
        with telemetry.contain(_LOG, "attempt", request_id=request.request_id):
            outcome = await self._call_endpoint(request, endpoint, vm, headers)
        self._attempt_ended(request, endpoint, key, outcome)

    async def _call_endpoint(self, request, endpoint, vm, headers):
        return await self._components.client.attempt(
            vm.http,
            request.path,
            headers,
            request.body,
            request.attempt_timeout_s,
            vm.slots,
            lambda: (
                self._components.held_endpoints.valid_until(endpoint)
                is not None
            ),
        )

    async def _prepare_dispatch(self, request, endpoint):
        """Return whether the request may be sent to the endpoint now.

        Waits until another gateway has recorded the intent.
        """
        if not request.ready.is_set():
            # The intent is sent as late as possible: if this process fails,
            # the outcome of every request with a recorded intent is unknown,
            # also of those that were still queued.
            now = anyio.current_time()
            self._request_handler.perform(
                self._components.ledger.prepare(request.request_id, now)
            )
        if not request.ready.is_set():
            remaining_s = request.deadline - anyio.current_time()
            with anyio.move_on_after(max(0.0, remaining_s)):
                async with anyio.create_task_group() as waiting:
                    for event in (request.ready, request.ended):
                        waiting.start_soon(_wait_and_cancel, event, waiting)
        if not request.ready.is_set() or request.ended.is_set():
            return False
        if self._components.held_endpoints.valid_until(endpoint) is None:
            self._components.held_endpoints.expire_leases()
            return False
        if self._components.directory.get(endpoint) is None:
            return False
        now = anyio.current_time()
        actions = self._components.ledger.start(request.request_id, now)
        return any(isinstance(a, dedup.Dispatch) for a in actions)

    def _release_slot(self, request, endpoint, key):
        """Release an unused slot; queue the request unless it has ended."""
        now = anyio.current_time()
        self._components.table.finish(key, routing.Outcome.NOT_RUN, now)
        self._components.held_endpoints.attempt_finished(endpoint)
        if request.ended.is_set():
            self._components.queues.finished(request.key, now, succeeded=False)
        else:
            admission_outcome = self._components.queues.requeue(
                request.key, now
            )
            self._request_handler.apply_admission(
                request, admission_outcome, now
            )
        self.dispatch_queued(request.service)

    def _attempt_ended(self, request, endpoint, key, outcome):
        now = anyio.current_time()
        delivery = outcome.delivery
        self._components.metrics.count(
            "citrondeal.attempts", outcome=delivery.value
        )
        if delivery is endpoints.Delivery.COMPLETE:
            self._components.table.finish(key, routing.Outcome.DONE, now)
            self._components.held_endpoints.attempt_finished(endpoint)
            self._components.queues.finished(request.key, now)
            answer = callers.Reply(
                outcome.status, outcome.headers, outcome.body
            )
            self._completed(request, answer, now)
        elif delivery in (
            endpoints.Delivery.NOT_SENT,
            endpoints.Delivery.NOT_RUN,
        ):
            self._components.table.finish(key, routing.Outcome.NOT_RUN, now)
            self._components.held_endpoints.attempt_finished(endpoint)
            self._after_not_run(request, outcome, now)
        else:
            self._components.table.finish(
                key, routing.Outcome.UNKNOWN, now, False
            )
            self._request_handler.start_task(
                request.request_id,
                self._release_after_timeout,
                request,
                endpoint,
            )
            if outcome.broke_off and request.idempotent:
                self._record_break(request, endpoint, outcome, now)
            self._after_unknown(request, outcome, now)
        self.dispatch_queued(request.service)

    def _completed(self, request, answer, now):
        if request.ended.is_set() and request.idempotent:
            return
        # The ledger needs the answer of a non-idempotent request also after
        # its deadline, to answer resubmissions.
        size = len(answer.body) + _components.HEADER_OVERHEAD_BYTES
        actions = self._components.ledger.completed(
            request.request_id, answer, size, now
        )
        self._request_handler.perform(actions)

    def _after_not_run(self, request, outcome, now):
        if request.ended.is_set():
            self._components.queues.finished(request.key, now, succeeded=False)
            return
        failure = errors.Failure(
            errors.Kind.UNAVAILABLE,
            f"the endpoint did not run the request: {outcome.reason}",
            0.5,
        )
        retry = (
            request.tries < _components.MAX_TRIES and now < request.deadline
        )
        actions = self._components.ledger.not_run(
            request.request_id, failure, now, retry
        )
        self._request_handler.finish_dispatch(request, actions, now)

    def _record_break(self, request, endpoint, outcome, now):
        self._components.metrics.count("citrondeal.requests.breaks")
        telemetry.event(
            _LOG,
            logging.WARNING,
            "endpoint broke off a request",
            request_id=request.request_id,
            endpoint=endpoint,
            reason=outcome.reason,
        )
        self._components.ledger.broke_off(request.request_id, now)

    def _after_unknown(self, request, outcome, now):
        if request.ended.is_set():
            self._components.queues.finished(request.key, now, succeeded=False)
            return
        message = f"no complete answer of the endpoint: {outcome.reason}"
        retry = (
            request.tries < _components.MAX_TRIES and now < request.deadline
        )
        retry = retry and self._request_handler.acquire_retry(request, now)
        if outcome.delivery is endpoints.Delivery.INCOMPLETE and not retry:
            actions = self._components.ledger.answer_lost(
                request.request_id, message, now
            )
        else:
            actions = self._components.ledger.unknown(
                request.request_id, message, now, retry
            )
        self._request_handler.finish_dispatch(request, actions, now)

    async def _release_after_timeout(self, request, endpoint):
        # The endpoint may still run the request. Until the timeout, its slot
        # stays occupied in the routing table and the endpoint is not handed
        # over to another gateway.
        await anyio.sleep(request.attempt_timeout_s)
        self._components.held_endpoints.attempt_finished(endpoint)
        self.dispatch_queued(request.service)


async def _wait_and_cancel(event, task_group):
    await event.wait()
    task_group.cancel_scope.cancel()
