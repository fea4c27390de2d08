"""Small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
import urllib.parse

POLL_S = 0.01
REASONS = {200: "OK", 503: "Service Unavailable"}


class Request:
    """One request with its whole body."""

    def __init__(self, method, target, headers, body):
        path, _, query = target.partition("?")
        self.method = method
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


class Server:
    """Serves one address; can vanish and come back.

    Parameters
    ----------
    handle : callable
        ``await handle(request)`` returns status and body, either bytes or a
        value for JSON; None ends the connection without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._dark = False
        self._power_cycles = 0
        self.port = 0

    async def start(self):
        """Listen on 127.0.0.1, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Close the listener and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def lose_power(self):
        """Answer nothing more, not even with a reset."""
        self._dark = True
        self._power_cycles += 1

    def regain_power(self):
        """Answer new connections; earlier ones are reset when used."""
        self._dark = False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        power_cycle = -1 if self._dark else self._power_cycles
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                if power_cycle != self._power_cycles:
                    while self._dark:
                        await asyncio.sleep(POLL_S)
                    writer.transport.abort()
                    return
                answer = await self._handle(request)
                if power_cycle != self._power_cycles:
                    # The peer sends nothing more, so it gets no reset.
                    await reader.read()
                    return
                if answer is None:
                    return
                writer.write(_encode_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def _read_headers(reader):
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()


def _encode_answer(status, body=b""):
    if not isinstance(body, bytes):
        body = json.dumps(body, separators=(",", ":")).encode()
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(address, method, path, value=None, headers=(), timeout_s=3.5):
    """Send one request on a new connection.

    Returns
    -------
    tuple of (int, object) or None
        Status and decoded body; None if there is no whole answer in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, value, headers)
    except (OSError, TimeoutError, EOFError, ValueError, IndexError):
        return None


async def _exchange(address, method, path, value, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {text}" for name, text in headers]
        lines += ["Content-Type: application/json"] if body else []
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status = int((await reader.readline()).split()[1])
        answered = await _read_headers(reader)
        size = int(answered.get("content-length", 0))
        content = await reader.readexactly(size)
        return status, json.loads(content) if content else None
    finally:
        writer.close()
