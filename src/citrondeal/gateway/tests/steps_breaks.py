"""Steps for requests that end each endpoint which runs them.

The endpoints are a server that closes each connection after the request;
queues, routing and leases are faked, all else is the gateway's own code.
"""

import types
from unittest import mock

import anyio
import anyio.abc
from behave import given
from behave import then
from behave import when

from citrondeal import dedup
from citrondeal import endpoints
from citrondeal import errors
from citrondeal.gateway import _flow
from citrondeal.gateway import _messages
from citrondeal.gateway import _request

SERVICE = "service"
SEND_TIMEOUT_S = 10.0


class _Queues:
    """One queue without limits."""

    def __init__(self, forwards):
        self._forwards = forwards
        self._waiting = []
        self._taken = {}

    def offer(self, request, now):
        self._waiting.append(request)
        return types.SimpleNamespace(refused=[])

    def take(self, service, free, now, request_class=None):
        request = self._waiting.pop(0) if self._waiting else None
        if request is not None:
            self._taken[request.key] = request
        return types.SimpleNamespace(request=request, refused=[])

    def requeue(self, key, now):
        self._waiting.append(self._taken[key])
        return types.SimpleNamespace(refused=[])

    def finished(self, key, now, succeeded=True):
        pass

    def remove(self, key, now):
        pass

    def acquire_retry(self, service, now):
        return True

    def forwardable_classes(self, service, now):
        if self._forwards and self._waiting:
            return [("normal", 1.0)]
        return []


class _Gateway:
    """A gateway that uses its endpoints, or forwards all to `forward_to`."""

    def __init__(self, name, task_group, port, forward_to=None):
        self._keys = iter(range(1000))
        self._forward_to = forward_to
        table = mock.Mock()
        table.choose_endpoint.return_value = None
        table.choose_peer.return_value = None
        if forward_to is None:
            table.choose_endpoint.return_value = types.SimpleNamespace(
                endpoint="e"
            )
        else:
            table.choose_peer.return_value = types.SimpleNamespace(
                process="other"
            )
        components = mock.Mock(
            ledger=dedup.Ledger(name, "1", "z", anyio.current_time()),
            queues=_Queues(forward_to is not None),
            table=table,
            client=endpoints.Client(),
            task_group=task_group,
        )
        components.held_endpoints.valid_until.return_value = 1e18
        components.directory.get.return_value = types.SimpleNamespace(
            http=f"127.0.0.1:{port}", slots=8, peer="other:1"
        )
        components.links.incarnation_of.return_value = "1"
        components.links.call = self._call_other
        self._handler = _flow.RequestHandler(components)

    def _build(self, request_id, **fields):
        return _request.ActiveRequest(
            key=next(self._keys),
            request_id=request_id,
            service=SERVICE,
            path="/",
            request_class="normal",
            team="",
            idempotent=True,
            deadline=anyio.current_time() + SEND_TIMEOUT_S,
            attempt_timeout_s=2.0,
            headers={},
            body=b"x",
            **fields,
        )

    async def send(self, request_id, attempt):
        """Send a request as a caller, and return its outcome."""
        return await self._handler.handle(
            self._build(request_id), attempt, anyio.sleep_forever
        )

    async def _call_other(self, peer, message, timeout_s):
        return await self._forward_to.answer_forward(message)

    async def answer_forward(self, message):
        """Return the reply to a forward."""
        outcome = await self._handler.handle_forward(
            self._build(message.request_id, forwarded=True), message
        )
        return _messages.failure_to_message(outcome.err_value)


def _run(context, scenario):
    """Run a scenario; count the endpoints that broke off."""

    async def main():
        async def break_off(stream):
            async with stream:
                await stream.receive()
                context.broken += 1

        async with anyio.create_task_group() as task_group:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=0
            )
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_group.start_soon(listener.serve, break_off)
            with anyio.fail_after(60):
                await scenario(task_group, port)
            task_group.cancel_scope.cancel()

    context.broken = 0
    context.outcomes = []
    anyio.run(main)


@given("gateway endpoints that break off each request")
def _(context):
    context.broken = 0


@when("a gateway gets an idempotent request with attempts 1 to {count:d}")
def _(context, count):
    async def scenario(task_group, port):
        gateway = _Gateway("a", task_group, port)
        for attempt in range(1, count + 1):
            context.outcomes.append(await gateway.send("r", attempt))

    _run(context, scenario)


@when("a gateway gets an idempotent request {count:d} times without attempt")
def _(context, count):
    async def scenario(task_group, port):
        gateway = _Gateway("a", task_group, port)
        for _ in range(count):
            context.outcomes.append(await gateway.send("r", None))

    _run(context, scenario)


@when("a gateway forwards an idempotent request to another gateway")
def _(context):
    async def scenario(task_group, port):
        other = _Gateway("b", task_group, port)
        gateway = _Gateway("a", task_group, port, other)
        context.outcomes.append(await gateway.send("r", 1))

    _run(context, scenario)


@when("{count:d} gateways get attempts of one idempotent request in turn")
def _(context, count):
    async def scenario(task_group, port):
        for number in range(count):
            gateway = _Gateway(f"g{number}", task_group, port)
            context.outcomes.append(await gateway.send("r", number + 1))

    _run(context, scenario)


@then("the gateway request has ended at most {limit:d} endpoints")
def _(context, limit):
    assert 1 <= context.broken <= limit, context.broken


@then("each gateway answer says that the request may have run")
def _(context):
    for outcome in context.outcomes:
        failure = outcome.err_value
        assert failure.kind is errors.Kind.UNKNOWN_OUTCOME, failure
