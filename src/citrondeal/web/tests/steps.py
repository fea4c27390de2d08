"""Steps for the HTTP client, against servers on plain TCP."""

import contextlib
import socket
import threading
import time

import anyio
import anyio.abc
from behave import then

from citrondeal import errors
from citrondeal import web

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _Server:
    """Answers each request with fixed bytes and counts connections.

    An `answer` of None stands for a server that never answers.
    """

    def __init__(self, answer=OK):
        self.answer = answer
        self.close_after = False
        self.connections = 0
        self.streams = []

    async def handle(self, stream):
        self.connections += 1
        self.streams.append(stream)
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ):
            while True:
                await stream.receive()
                if self.answer is None:
                    await anyio.sleep_forever()
                await stream.send(self.answer)
                if self.close_after:
                    return await stream.aclose()


def _run(server, scenario):
    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, server.handle)
            await scenario(web.Client(f"127.0.0.1:{port}", 2))
            task_group.cancel_scope.cancel()

    anyio.run(run)


@then("web 20 calls in turn use one connection")
def _(context):
    server = _Server()

    async def scenario(client):
        for _ in range(20):
            outcome = await client.request("POST", "/x", b"{}")
            assert outcome.ok_value.body == b"ok", outcome
        assert server.connections == 1, server.connections
        assert client.connections_opened == 1, client.connections_opened

    _run(server, scenario)


@then("web a call after the server closed its connections succeeds")
def _(context):
    server = _Server()

    async def scenario(client):
        await client.request("GET", "/x")
        for stream in server.streams:
            await stream.aclose()
        outcome = await client.request("GET", "/x")
        assert outcome.is_ok(), outcome
        assert server.connections == 2, server.connections

    _run(server, scenario)


@then("web a call to a closed port is unavailable")
def _(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]

        async def call():
            client = web.Client(f"127.0.0.1:{port}")
            return await client.request("GET", "/x")

        outcome = anyio.run(call)
    assert outcome.err_value.kind is errors.Kind.UNAVAILABLE, outcome


def _assert_unknown_outcome(answer, close_after):
    server = _Server(answer)
    server.close_after = close_after

    async def scenario(client):
        outcome = await client.request("GET", "/x", timeout_s=0.2)
        kind = outcome.err_value.kind
        assert kind is errors.Kind.UNKNOWN_OUTCOME, outcome

    _run(server, scenario)


@then("web a call without an answer has an unknown outcome")
def _(context):
    _assert_unknown_outcome(None, False)


@then("web a call whose answer is cut off has an unknown outcome")
def _(context):
    _assert_unknown_outcome(OK[:-1], True)


@then("web a call whose answer is not HTTP has an unknown outcome")
def _(context):
    _assert_unknown_outcome(b"no HTTP at all\r\n\r\n", True)


class _EndlessServer(_Server):
    """Sends an answer of 200 MB in parts and counts the bytes it sent."""

    def __init__(self):
        super().__init__()
        self.sent = 0

    async def handle(self, stream):
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            await stream.receive()
            head = "HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n"
            await stream.send(head.encode())
            while True:
                await stream.send(bytes(65_536))
                self.sent += 65_536


@then("web a call whose answer is larger than {limit:d} MB ends early")
def _(context, limit):
    server = _EndlessServer()

    async def scenario(client):
        outcome = await client.request("GET", "/x", timeout_s=5.0)
        kind = outcome.err_value.kind
        assert kind is errors.Kind.UNKNOWN_OUTCOME, outcome

    _run(server, scenario)
    # The buffers of the connection hold a few MB more.
    assert server.sent < limit * 2_000_000, server.sent


def _answer_once(listener):
    """Answer one request and close the connection after the second one."""
    connection, _ = listener.accept()
    listener.close()
    with connection:
        connection.recv(1000)
        connection.sendall(OK)
        connection.recv(1000)


@then("web a call whose repeat cannot connect has an unknown outcome")
def _(context):
    listener = socket.create_server(("127.0.0.1", 0))
    client = web.Client("127.0.0.1:{}".format(listener.getsockname()[1]))
    server = threading.Thread(target=_answer_once, args=[listener])
    server.start()

    async def call_twice():
        await client.request("POST", "/x", b"{}")
        return await client.request("POST", "/x", b"{}")

    outcome = anyio.run(call_twice)
    server.join()
    assert outcome.err_value.kind is errors.Kind.UNKNOWN_OUTCOME, outcome
    assert outcome.err_value.message != "timeout", outcome


@then("web a call without repeats fails if the server closed its connection")
def _(context):
    listener = socket.create_server(("127.0.0.1", 0))
    client = web.Client("127.0.0.1:{}".format(listener.getsockname()[1]))
    server = threading.Thread(target=_answer_once, args=[listener])
    server.start()

    async def call_twice():
        await client.request("POST", "/x", b"{}", repeat=False)
        return await client.request("POST", "/x", b"{}", repeat=False)

    outcome = anyio.run(call_twice)
    server.join()
    assert isinstance(outcome.err_value, web.ConnectionEnded), outcome
    assert outcome.err_value.kind is errors.Kind.UNKNOWN_OUTCOME, outcome
    assert client.requests_sent == 2, client.requests_sent


PARTS = 4
PART_INTERVAL_S = 0.1


def _answer_in_parts(listener, parts):
    """Send `parts` bytes of an answer of `PARTS` bytes, one per pause."""
    connection, _ = listener.accept()
    listener.close()
    with connection:
        connection.recv(1000)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {PARTS}\r\n\r\n"
        connection.sendall(head.encode())
        for _ in range(parts):
            time.sleep(PART_INTERVAL_S)
            connection.sendall(b"x")
        connection.recv(1000)


def _call_slow_server(parts):
    listener = socket.create_server(("127.0.0.1", 0))
    client = web.Client("127.0.0.1:{}".format(listener.getsockname()[1]))
    server = threading.Thread(target=_answer_in_parts, args=[listener, parts])
    server.start()

    async def call():
        outcome = await client.request(
            "GET",
            "/x",
            timeout_s=2 * PART_INTERVAL_S,
            extension_s=2 * PART_INTERVAL_S,
        )
        await client.aclose()
        return outcome

    outcome = anyio.run(call)
    server.join()
    return outcome


@then("web an answer whose parts arrive slowly is complete")
def _(context):
    assert _call_slow_server(PARTS).ok_value.body == b"x" * PARTS


@then("web an answer that stops halfway has an unknown outcome")
def _(context):
    outcome = _call_slow_server(PARTS // 2)
    assert outcome.err_value.kind is errors.Kind.UNKNOWN_OUTCOME, outcome


@then(
    "web a call whose deadline passes as a part arrives has an unknown outcome"
)
def _(context):
    listener = socket.create_server(("127.0.0.1", 0))
    client = web.Client("127.0.0.1:{}".format(listener.getsockname()[1]))
    parts = PARTS // 2
    server = threading.Thread(target=_answer_in_parts, args=[listener, parts])
    server.start()
    outcomes = []

    async def call():
        outcomes.append(
            await client.request(
                "GET",
                "/x",
                timeout_s=2 * PART_INTERVAL_S,
                extension_s=2 * PART_INTERVAL_S,
            )
        )

    async def block_the_loop():
        await anyio.sleep(PART_INTERVAL_S / 2)
        # The parts and the deadline fall into this time, so that the event
        # loop sees all of them in its next turn.
        time.sleep(PARTS * PART_INTERVAL_S)

    async def run():
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(call)
            task_group.start_soon(block_the_loop)

    anyio.run(run)
    server.join()
    [outcome] = outcomes
    assert outcome is not None
    assert outcome.err_value.kind is errors.Kind.UNKNOWN_OUTCOME, outcome


class _EchoServer(_Server):
    """Answers with the path of the request, `DELAY_S` after slow ones."""

    DELAY_S = 0.2

    async def handle(self, stream):
        self.connections += 1
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ):
            while True:
                path = (await stream.receive()).split()[1]
                if path.startswith(b"/slow"):
                    await anyio.sleep(self.DELAY_S)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                await stream.send(head % len(path) + path)


@then(
    "web calls after one that timed out or was cancelled get their own answers"
)
def _(context):
    server = _EchoServer()

    async def scenario(client):
        await client.request("GET", "/first")
        late = await client.request("GET", "/slow/1", timeout_s=0.05)
        assert late.err_value.kind is errors.Kind.UNKNOWN_OUTCOME, late
        with anyio.move_on_after(0.05):
            await client.request("GET", "/slow/2")
        for number in range(4):
            path = f"/own/{number}"
            outcome = await client.request("GET", path)
            assert outcome.ok_value.body == path.encode(), outcome
            await anyio.sleep(_EchoServer.DELAY_S / 2)

    _run(server, scenario)


@then("web a call to a host that cannot be encoded is unavailable")
def _(context):
    async def scenario():
        for host in (
            "a..b",
            "a" * 64,
            "\u00e9" * 64,
            "\u03b1\u03b2",
            "a\x00b",
        ):
            outcome = await web.Client(f"{host}:1").request("POST", "/x")
            kind = outcome.err_value.kind
            assert kind is errors.Kind.UNAVAILABLE, (host, outcome)

    anyio.run(scenario)
