"""Steps for attempts at endpoints, against raw TCP fakes."""

import functools
import random

import anyio
import anyio.abc
from behave import given
from behave import then

from citrondeal import endpoints
from citrondeal.endpoints import _client

_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"


async def _read_request(stream):
    """Return the body of one request of known form, or None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    while len(body) < size:
        body += await stream.receive()
    return body


async def _answer(stream, body):
    size = str(len(body)).encode()
    head = b"HTTP/1.1 200 OK\r\ncontent-length: " + size + b"\r\n\r\n"
    await stream.send(head + body)


async def _echo(stream):
    await _answer(stream, await _read_request(stream))


def _sender(payload, then_wait=False):
    async def behave(stream):
        await _read_request(stream)
        await stream.send(payload)
        if then_wait:
            await anyio.sleep_forever()
        await stream.aclose()

    return behave


async def _silent(stream):
    await _read_request(stream)
    await anyio.sleep_forever()


_BEHAVIOURS = {
    "answers": _echo,
    "closes before the answer": _sender(b""),
    "never answers": _silent,
    "sends half of the answer": _sender(_HEAD + b"12345"),
    "sends half and goes silent": _sender(_HEAD + b"12345", True),
    "answers with too much": _sender(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n" + bytes(9000000)
    ),
    "answers without a length": _sender(b"HTTP/1.1 200 OK\r\n\r\n12345"),
    "says that it did not run": _sender(
        b"HTTP/1.1 503 Busy\r\nrequest-run: not_run\r\n"
        b"content-length: 0\r\n\r\n"
    ),
    "sends garbage": _sender(b"\x00\x01\x02 nonsense\r\n\r\n"),
}


async def _start(task_group, behave):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def handle(stream):
        try:
            async with stream:
                while True:
                    await behave(stream)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return

    task_group.start_soon(listener.serve, handle)
    return f"127.0.0.1:{port}"


def _run(scenario):
    async def main():
        with anyio.fail_after(60):
            async with anyio.create_task_group() as task_group:
                client = endpoints.Client()
                await scenario(task_group, client)
                await client.aclose()
                task_group.cancel_scope.cancel()

    anyio.run(main)


def _attempt(client, address, body, timeout_s=0.3, may_send=lambda: True):
    return client.attempt(address, "/x", {}, body, timeout_s, 8, may_send)


@given("endpoints an endpoint that {behaviour}")
def endpoint_that(context, behaviour):
    context.behaviour = behaviour


@then("endpoints the attempt ends as {outcome}")
def attempt_ends(context, outcome):
    check_outcome(context.behaviour, outcome)


def check_outcome(behaviour, outcome):
    async def scenario(task_group, client):
        if behaviour == "refuses connections":
            async with await anyio.create_tcp_listener(
                local_host="127.0.0.1"
            ) as probe:
                port = probe.extra(anyio.abc.SocketAttribute.local_port)
            address = f"127.0.0.1:{port}"
        else:
            address = await _start(task_group, _BEHAVIOURS[behaviour])
        got = await _attempt(client, address, b"hello")
        assert got.delivery.value == outcome, got

    _run(scenario)


class _NoFirstByte(_client._Progress):
    """Does not note that the request was sent."""

    async def trace(self, name, info):
        await super().trace(name, info)
        self.sent = False


class _NoAnswerBegun(_client._Progress):
    """Does not note that an answer has begun."""

    async def trace(self, name, info):
        await super().trace(name, info)
        self.answered = False


# Name of the mutation -> replaced name, replacement, and a case of the
# table that must notice it.
_MUTATIONS = {
    "answers without a length as complete": (
        "_is_delimited",
        lambda response: True,
        ("answers without a length", "incomplete"),
    ),
    "the first byte not noted": (
        "_Progress",
        _NoFirstByte,
        ("closes before the answer", "unknown"),
    ),
    "a broken answer as not begun": (
        "_Progress",
        _NoAnswerBegun,
        ("sends half of the answer", "incomplete"),
    ),
}


@then("endpoints some attempt ends otherwise with {mutation}")
def mutation_noticed(context, mutation):
    name, replacement, case = _MUTATIONS[mutation]
    original = getattr(_client, name)
    setattr(_client, name, replacement)
    try:
        check_outcome(*case)
        noticed = False
    except* AssertionError:
        noticed = True
    finally:
        setattr(_client, name, original)
    assert noticed, mutation


@then("endpoints an attempt whose lease has ended writes nothing")
def withdrawn(context):
    async def scenario(task_group, client):
        received = []

        async def record(stream):
            received.append(await stream.receive())

        address = await _start(task_group, record)
        got = await _attempt(client, address, b"x", may_send=lambda: False)
        assert got.delivery is endpoints.Delivery.NOT_SENT
        await anyio.sleep(0.05)
        assert received == []

    _run(scenario)


@then("endpoints {count:d} interleaved attempts get their own answers")
def interleaved(context, count):
    async def scenario(task_group, client):
        generator = random.Random(7)

        async def echo_late(stream):
            body = await _read_request(stream)
            await anyio.sleep(generator.random() * 0.01)
            await _answer(stream, body)

        address = await _start(task_group, echo_late)
        wrong = []
        # The gateway starts no more attempts than the endpoint has slots.
        slots = anyio.Semaphore(8)

        async def one(index):
            body = f"body-{index}".encode() * (1 + index % 50)
            async with slots:
                got = await _attempt(client, address, body, 30)
            if got.body != body:
                wrong.append(index)

        async with anyio.create_task_group() as attempts:
            for index in range(count):
                attempts.start_soon(one, index)
        assert wrong == []

    _run(scenario)


@then("endpoints the next attempt gets its own answer")
def not_reused(context):
    async def scenario(task_group, client):
        first = anyio.Event()

        async def late_first(stream):
            body = await _read_request(stream)
            if body == b"first":
                await first.wait()
            await _answer(stream, body)

        address = await _start(task_group, late_first)
        attempt = functools.partial(_attempt, client, address)
        got = await attempt(b"first")
        assert got.delivery is endpoints.Delivery.UNKNOWN
        first.set()
        got = await attempt(b"second", timeout_s=5)
        assert got.body == b"second"

    _run(scenario)
