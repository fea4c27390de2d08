"""Steps for requests of callers, from the server to a fake endpoint."""

import urllib.parse

import anyio
import anyio.abc
from behave import then
import result

from citrondeal import callers
from citrondeal import endpoints

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


@then(
    "callers a request with {path} and header {header} arrives as it was sent"
)
def _(context, path, header):
    received = anyio.run(_receive, path, header)
    first_line, *lines = received.split(b"\r\n")
    assert first_line.decode() == f"POST {path} HTTP/1.1", received
    assert b"note: " + header.encode("latin-1") in lines, received


async def _receive(path, header):
    """Return what an endpoint receives of a request."""
    received = []

    async def answer(stream):
        received.append(await stream.receive())
        await stream.send(ANSWER)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client = endpoints.Client()

    async def submit(request):
        outcome = await client.attempt(
            f"127.0.0.1:{port}",
            request.path,
            request.headers,
            request.body,
            5.0,
            1,
            lambda: True,
        )
        assert outcome.delivery is endpoints.Delivery.COMPLETE, outcome
        return result.Ok(callers.Reply(200, {}, b""))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, answer)
        await _post(callers.build_app(submit, 1000), path, header)
        await client.aclose()
        task_group.cancel_scope.cancel()
    return received[0]


async def _post(app, path, header):
    """Send a request to the application, as the server would."""
    path, _, query = path.partition("?")
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/services/s" + urllib.parse.unquote(path),
        "query_string": query.encode(),
        "headers": [(b"note", header.encode("latin-1"))],
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": b""}

    async def send(event):
        sent.append(event)

    await app(scope, receive, send)
    assert sent[0]["status"] == 200, sent
