"""HTTP/1.1 client on httptools for calls that are frequent and small.

A call costs a tenth of the processor time of httpcore's pool, which matters
to an owner with hundreds of orders a second.
"""

import dataclasses

import anyio
import httptools
import result

from citrondeal import errors

# An exchange takes no longer than this, whatever its progress.
PROGRESS_LIMIT_S = 10.0
CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65536
# A server may close a kept connection at any moment; connections that are
# idle for longer than this are not used again.
IDLE_S = 10.0

_CLOSED = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


@dataclasses.dataclass(slots=True)
class Reply:
    """Status and body of an answer.

    Attributes
    ----------
    status : int
    body : bytes
    """

    status: int
    body: bytes


class _NotSent(Exception):
    """No byte of the request can have reached the server."""


class _Stale(Exception):
    """A kept connection ended before the first byte of the answer."""


class _Connection:
    """One open connection, used by one call at a time.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
    """

    def __init__(self, stream):
        self.stream = stream
        self.idle_since = 0.0
        self.keep = True
        self._used = False
        self._complete = False
        self._chunks = []
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        """Note whether the server keeps the connection open."""
        # Once a message is complete the parser no longer knows.
        self.keep = self._parser.should_keep_alive()

    def on_body(self, chunk):
        """Collect a part of the body."""
        self._chunks.append(chunk)

    def on_message_complete(self):
        """Note the end of the answer."""
        self._complete = True

    async def exchange(self, data, on_chunk):
        """Send a request and return the `Reply`.

        `on_chunk` is called after each part of the answer.
        """
        self._complete = False
        self._chunks = []
        try:
            await self.stream.send(data)
            chunk = await self.stream.receive(READ_BYTES)
        except _CLOSED as exc:
            if self._used:
                raise _Stale from exc
            raise
        self._used = True
        self._parser.feed_data(chunk)
        while not self._complete:
            on_chunk()
            self._parser.feed_data(await self.stream.receive(READ_BYTES))
        return Reply(self._parser.get_status_code(), b"".join(self._chunks))


class Client:
    """Kept connections to one server.

    Parameters
    ----------
    address : str
        ``host:port``.
    connections : int
        Most connections open at a time; further calls wait.
    """

    def __init__(self, address, connections=4):
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle = []
        self._slots = anyio.Semaphore(connections)
        self._requests_sent = 0
        self._connections_opened = 0

    @property
    def address(self):
        """``host:port`` of the server."""
        return self._address

    @property
    def requests_sent(self):
        """Number of requests sent so far."""
        return self._requests_sent

    @property
    def connections_opened(self):
        """Number of connections opened so far."""
        return self._connections_opened

    async def request(
        self,
        method,
        path,
        body=b"",
        timeout_s=1.0,
        headers=(),
        extension_s=0.0,
    ):
        """Perform one exchange.

        A call on a kept connection that ends without an answer is repeated
        on a new one, so the server may see it twice: callers send only what
        may be repeated.

        Parameters
        ----------
        method, path : str
            Request line; the path includes the query.
        body : bytes
            Sent as ``application/json`` unless empty.
        timeout_s : float
            Seconds for the whole exchange.
        headers : sequence of (str, str)
            Further headers.
        extension_s : float
            Seconds that each part of the answer adds at least, so that a
            long answer on a slow link is not given up and asked for again.

        Returns
        -------
        result.Result
            ``Ok(Reply)``, or ``Err`` of kind ``unavailable`` if the server
            cannot have acted on it, else ``unknown_outcome``.
        """
        data = self._encode(method, path, body, headers)
        try:
            with anyio.fail_after(timeout_s) as scope:
                async with self._slots:
                    return result.Ok(
                        await self._perform(
                            data, _extender(scope, extension_s)
                        )
                    )
        except TimeoutError:
            return _failed(errors.Kind.UNKNOWN_OUTCOME, "timeout")
        except _NotSent as exc:
            return _failed(errors.Kind.UNAVAILABLE, exc)
        except _CLOSED as exc:
            return _failed(errors.Kind.UNKNOWN_OUTCOME, exc)
        except httptools.HttpParserError as exc:
            return _failed(errors.Kind.UNKNOWN_OUTCOME, exc)

    def _encode(self, method, path, body, headers):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append("Content-Type: application/json")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + body

    async def _perform(self, data, on_chunk):
        repeated = False
        while True:
            connection = await self._take_idle()
            if connection is None:
                connection = await self._open(repeated)
            self._requests_sent += 1
            try:
                reply = await connection.exchange(data, on_chunk)
            except _Stale:
                await _close(connection)
                repeated = True
                continue
            except BaseException:
                await _close(connection)
                raise
            if connection.keep:
                connection.idle_since = anyio.current_time()
                self._idle.append(connection)
            else:
                await _close(connection)
            return reply

    async def _take_idle(self):
        now = anyio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if now - connection.idle_since < IDLE_S:
                return connection
            await _close(connection)
        return None

    async def _open(self, repeated):
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(self._host, self._port)
        except (OSError, TimeoutError) as exc:
            if repeated:
                # The server may have acted on the try before.
                raise
            raise _NotSent(str(exc) or type(exc).__name__) from exc
        self._connections_opened += 1
        return _Connection(stream)

    async def aclose(self):
        """Close all connections that no call uses."""
        while self._idle:
            await _close(self._idle.pop())


def _extender(scope, extension_s):
    """Return a function that moves the deadline of a scope."""
    limit = anyio.current_time() + PROGRESS_LIMIT_S

    def extend():
        deadline = min(anyio.current_time() + extension_s, limit)
        scope.deadline = max(scope.deadline, deadline)

    return extend


async def _close(connection):
    with anyio.CancelScope(shield=True):
        await connection.stream.aclose()


def _failed(kind, reason):
    text = str(reason) or type(reason).__name__
    return result.Err(errors.Failure(kind, text))
