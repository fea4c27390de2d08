"""Steps for calls that are sent again on another connection."""

import contextlib
import dataclasses

import anyio
import anyio.abc
from behave import then

from citrondeal import errors
from citrondeal import platform
from citrondeal import workflow

REJECTIONS = (429, 503, 507)
START = workflow.Start(
    "w", workflow.TaskId("00000000000000aa", 0, 0, 0), 1, "", "", "", 0, 2.5
)


class _Server:
    """Answers one call, loses the answer to the next, then rejects all.

    Parameters
    ----------
    first : bytes or None
        Body of the answer to the first call; None if that is rejected too.
    status : int
        Status of the rejections.

    Attributes
    ----------
    carried_out, rejected : int
        Number of calls that were carried out, and of those rejected.
    """

    def __init__(self, first, status):
        self._first = first
        self._status = status
        self._connections = 0
        self.carried_out = self.rejected = 0

    async def handle(self, stream):
        self._connections += 1
        with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            if self._connections == 1 and self._first is not None:
                await self._lose_second_answer(stream)
                return
            while True:
                await stream.receive()
                self.rejected += 1
                await stream.send(_encode_answer(self._status, b"{}"))

    async def _lose_second_answer(self, stream):
        await stream.receive()
        self.carried_out += 1
        await stream.send(_encode_answer(200, self._first))
        await stream.receive()
        self.carried_out += 1
        await stream.aclose()


def _encode_answer(status, body):
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _call_server(server, calls):
    """Return the result of ``await calls(address)``."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, server.handle)
            outcome = await calls(f"127.0.0.1:{port}")
            task_group.cancel_scope.cancel()
        return outcome

    return anyio.run(run)


@then("platform an append that was sent again and is rejected may be stored")
def _(context):
    async def append_twice(address):
        store = platform.StoreClient(address)
        record = platform.Record("key", b"value")
        assert (await store.append("topic", [record])).is_ok()
        return await store.append("topic", [record])

    for status in REJECTIONS:
        server = _Server(b'{"offset":0,"end":1}', status)
        outcome = _call_server(server, append_twice)
        assert server.carried_out == 2, server.carried_out
        kind = outcome.err_value.kind
        assert kind is errors.Kind.UNKNOWN_OUTCOME, (status, outcome)


@then(
    "platform a start that was sent again and is rejected may be carried out"
)
def _(context):
    async def start_twice(address):
        client = platform.RunnerClient("w", address, int)
        start = dataclasses.replace(START, ticket="ticket")
        first = await client.start(start, 1, 1.0)
        assert first is workflow.OrderOutcome.OK, first
        return await client.start(start, 1, 1.0)

    for status in (400, 429, 503):
        server = _Server(b"{}", status)
        outcome = _call_server(server, start_twice)
        assert server.carried_out == 2, server.carried_out
        assert server.rejected == 1, server.rejected
        assert outcome is workflow.OrderOutcome.UNKNOWN, (status, outcome)


@then("platform a start without a ticket is not sent again")
def _(context):
    async def start_twice(address):
        client = platform.RunnerClient("w", address, int)
        first = await client.start(START, 1, 1.0)
        assert first is workflow.OrderOutcome.OK, first
        return await client.start(START, 1, 1.0)

    server = _Server(b"{}", 200)
    outcome = _call_server(server, start_twice)
    assert outcome is workflow.OrderOutcome.UNKNOWN, outcome
    assert server.carried_out == 2 and not server.rejected


@then("platform an append that was sent once and is rejected is not stored")
def _(context):
    async def append_twice(address):
        store = platform.StoreClient(address)
        await store.append("topic", [])
        return await store.append("topic", [])

    for status in REJECTIONS:
        server = _Server(None, status)
        outcome = _call_server(server, append_twice)
        kind = outcome.err_value.kind
        assert kind is errors.Kind.UNAVAILABLE, (status, outcome)
