"""Steps for attempts at endpoints, against fake endpoints on plain TCP."""

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
    """Read one request with a Content-Length header and return its body."""
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


def _sends(payload, then_wait=False):
    async def respond(stream):
        await _read_request(stream)
        await stream.send(payload)
        if then_wait:
            await anyio.sleep_forever()
        await stream.aclose()

    return respond


async def _never_answer(stream):
    await _read_request(stream)
    await anyio.sleep_forever()


_RESPONSES_BY_BEHAVIOUR = {
    "answers": _echo,
    "closes before the answer": _sends(b""),
    "never answers": _never_answer,
    "sends half of the answer": _sends(_HEAD + b"12345"),
    "sends half and goes silent": _sends(_HEAD + b"12345", True),
    "answers with too much": _sends(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n" + bytes(9000000)
    ),
    "answers without a length": _sends(b"HTTP/1.1 200 OK\r\n\r\n12345"),
    "says that it did not run": _sends(
        b"HTTP/1.1 503 Busy\r\nrequest-run: not_run\r\n"
        b"content-length: 0\r\n\r\n"
    ),
    "sends garbage": _sends(b"\x00\x01\x02 nonsense\r\n\r\n"),
}


async def _start_endpoint(task_group, respond):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def handle(stream):
        try:
            async with stream:
                while True:
                    await respond(stream)
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
    check_delivery(context.behaviour, outcome)


def check_delivery(behaviour, expected):
    async def scenario(task_group, client):
        if behaviour == "refuses connections":
            async with await anyio.create_tcp_listener(
                local_host="127.0.0.1"
            ) as probe:
                port = probe.extra(anyio.abc.SocketAttribute.local_port)
            address = f"127.0.0.1:{port}"
        else:
            address = await _start_endpoint(
                task_group, _RESPONSES_BY_BEHAVIOUR[behaviour]
            )
        got = await _attempt(client, address, b"hello")
        assert got.delivery.value == expected, got

    _run(scenario)


class _RequestStartIgnored(_client._Progress):
    """Does not record that the request has started."""

    async def trace(self, name, info):
        await super().trace(name, info)
        self.request_started = False


class _AnswerStartIgnored(_client._Progress):
    """Does not record that the answer has started."""

    async def trace(self, name, info):
        await super().trace(name, info)
        self.answer_started = False


# Description of the mutation -> name replaced in the module, replacement, and
# the case of the table that must fail with it.
_MUTATIONS = {
    "answers without a length as complete": (
        "_is_delimited",
        lambda response: True,
        ("answers without a length", "incomplete"),
    ),
    "the first byte not noted": (
        "_Progress",
        _RequestStartIgnored,
        ("closes before the answer", "unknown"),
    ),
    "a broken answer as not begun": (
        "_Progress",
        _AnswerStartIgnored,
        ("sends half of the answer", "incomplete"),
    ),
}


@then("endpoints the outcome check fails with {mutation}")
def mutation_detected(context, mutation):
    name, replacement, case = _MUTATIONS[mutation]
    original = getattr(_client, name)
    setattr(_client, name, replacement)
    try:
        check_delivery(*case)
        detected = False
    except* AssertionError:
        detected = True
    finally:
        setattr(_client, name, original)
    assert detected, mutation


@then("endpoints an attempt at {address} is not sent")
def attempt_at_odd_address(context, address):
    async def scenario(task_group, client):
        got = await _attempt(client, address, b"x")
        assert got.delivery is endpoints.Delivery.NOT_SENT, got

    _run(scenario)


@then("endpoints an attempt whose lease has ended writes nothing")
def attempt_withdrawn(context):
    async def scenario(task_group, client):
        received = []

        async def record(stream):
            received.append(await stream.receive())

        address = await _start_endpoint(task_group, record)
        got = await _attempt(client, address, b"x", may_send=lambda: False)
        assert got.delivery is endpoints.Delivery.NOT_SENT
        await anyio.sleep(0.05)
        assert received == []

    _run(scenario)


@then("endpoints {count:d} interleaved attempts get their own answers")
def attempts_interleaved(context, count):
    async def scenario(task_group, client):
        generator = random.Random(7)

        async def echo_late(stream):
            body = await _read_request(stream)
            await anyio.sleep(generator.random() * 0.01)
            await _answer(stream, body)

        address = await _start_endpoint(task_group, echo_late)
        mismatched = []
        # The gateway starts no more attempts than the endpoint has slots.
        free_slots = anyio.Semaphore(8)

        async def attempt_one(index):
            body = f"body-{index}".encode() * (1 + index % 50)
            async with free_slots:
                got = await _attempt(client, address, body, 30)
            if got.body != body:
                mismatched.append(index)

        async with anyio.create_task_group() as attempts:
            for index in range(count):
                attempts.start_soon(attempt_one, index)
        assert mismatched == []

    _run(scenario)


@then("endpoints the next attempt gets its own answer")
def connection_not_reused(context):
    async def scenario(task_group, client):
        answer_first = anyio.Event()

        async def delay_first(stream):
            body = await _read_request(stream)
            if body == b"first":
                await answer_first.wait()
            await _answer(stream, body)

        address = await _start_endpoint(task_group, delay_first)
        attempt = functools.partial(_attempt, client, address)
        got = await attempt(b"first")
        assert got.delivery is endpoints.Delivery.UNKNOWN
        answer_first.set()
        got = await attempt(b"second", timeout_s=5)
        assert got.body == b"second"

    _run(scenario)
