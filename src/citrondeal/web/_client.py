"""HTTP/1.1 client on httptools for frequent, small requests.

A request takes a tenth of the processor time that it takes with httpcore's
connection pool, which matters to an owner that sends hundreds of orders per
second.
"""

import dataclasses

import anyio
import httptools
import result

from citrondeal import errors

# Parts of an answer extend the deadline of a request to at most this time
# after the request stopped waiting for a connection.
MAX_EXTENSION_S = 10.0
CONNECT_TIMEOUT_S = 0.5
READ_SIZE_BYTES = 65536
# Twice the largest answer that is expected, a page of 1 MB of records in
# base64. A server that sends more must not exhaust the memory of its clients.
MAX_ANSWER_BYTES = 3 * 1024 * 1024
# A server may close an idle connection at any moment, so connections that were
# idle for longer than this are not reused.
MAX_IDLE_S = 10.0

_CONNECTION_ERRORS = (
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
    repeated : bool
        Whether the request was sent before on a connection that ended without
        an answer. The server may have carried it out then, or may still do
        so, even if it rejects the repeat.
    """

    status: int
    body: bytes
    repeated: bool = False


class ConnectionEnded(errors.Failure):
    """A reused connection ended before the answer, and nothing is repeated.

    The server may have started again, or closed the connection when idle.
    """


class _RequestNotSent(Exception):
    """No byte of the request can have reached the server."""


class _AnswerTooLarge(Exception):
    """The body of an answer exceeds `MAX_ANSWER_BYTES`."""


class _StaleConnection(Exception):
    """A reused connection ended before the first byte of the answer."""


class _Connection:
    """One open connection, used by one request at a time.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Connected TCP stream.
    """

    def __init__(self, stream):
        self.stream = stream
        self.idle_since = 0.0
        self.keep_alive = True
        self._has_answered = False
        self._complete = False
        self._chunks = []
        self._body_size = 0
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        """Store whether the server keeps the connection open."""
        # The parser forgets this once the message is complete.
        self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, chunk):
        """Store a part of the body."""
        self._chunks.append(chunk)
        self._body_size += len(chunk)

    def on_message_complete(self):
        """Mark the answer as complete."""
        self._complete = True

    async def exchange(self, data, on_chunk):
        """Send an encoded request and return the `Reply`.

        `on_chunk` is called after each part of the answer but the last.
        """
        self._complete = False
        self._chunks = []
        self._body_size = 0
        try:
            await self.stream.send(data)
            chunk = await self.stream.receive(READ_SIZE_BYTES)
        except _CONNECTION_ERRORS as exc:
            if self._has_answered:
                raise _StaleConnection from exc
            raise
        self._has_answered = True
        self._parser.feed_data(chunk)
        while not self._complete:
            on_chunk()
            self._parser.feed_data(await self.stream.receive(READ_SIZE_BYTES))
            if self._body_size > MAX_ANSWER_BYTES:
                raise _AnswerTooLarge(
                    f"answer is larger than {MAX_ANSWER_BYTES} bytes"
                )
        return Reply(self._parser.get_status_code(), b"".join(self._chunks))


class Client:
    """Client of one server that reuses its open connections.

    Parameters
    ----------
    address : str
        ``host:port``.
    connections : int
        Most connections open at a time; further requests wait.
    """

    def __init__(self, address, connections=4):
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle = []
        self._connection_semaphore = anyio.Semaphore(connections)
        self._requests_sent = 0
        self._connections_opened = 0

    @property
    def address(self):
        """``host:port`` of the server."""
        return self._address

    @property
    def requests_sent(self):
        """Number of requests sent so far, repeats included."""
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
        repeat=True,
    ):
        """Send one request and read its answer.

        If a reused connection ends before the first byte of the answer, the
        request is repeated on another connection.  The server may then run
        it twice, so only requests that may be repeated must be sent, or with
        `repeat` False.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with the query.
        body : bytes
            Sent as ``application/json`` unless empty.
        timeout_s : float
            Seconds for the whole request, including the wait for a
            connection.
        headers : sequence of (str, str)
            Additional headers.
        extension_s : float
            Seconds that remain at least after each part of the answer, within
            `MAX_EXTENSION_S`, so that a long answer on a slow link is not
            given up and requested again.
        repeat : bool
            False to fail with a `ConnectionEnded` instead of a repeat.

        Returns
        -------
        result.Result
            ``Ok(Reply)`` with any status; ``Err`` of kind ``unavailable`` if
            the request cannot have reached the server, else of kind
            ``unknown_outcome``.
        """
        try:
            data = self._encode_request(method, path, body, headers)
        except UnicodeEncodeError as exc:
            return _failure(errors.Kind.UNAVAILABLE, exc)
        try:
            # Not `anyio.fail_after`: it takes a scope whose deadline was
            # extended after its cancellation for one that has not timed out.
            with anyio.move_on_after(timeout_s) as scope:
                async with self._connection_semaphore:
                    return result.Ok(
                        await self._send(
                            data,
                            _make_deadline_extender(scope, extension_s),
                            repeat,
                        )
                    )
        except _RequestNotSent as exc:
            return _failure(errors.Kind.UNAVAILABLE, exc)
        except _StaleConnection as exc:
            text = str(exc.__cause__) or type(exc.__cause__).__name__
            return result.Err(
                ConnectionEnded(errors.Kind.UNKNOWN_OUTCOME, text)
            )
        except _CONNECTION_ERRORS as exc:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, exc)
        except (httptools.HttpParserError, _AnswerTooLarge) as exc:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, exc)
        return _failure(errors.Kind.UNKNOWN_OUTCOME, "timeout")

    def _encode_request(self, method, path, body, headers):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append("Content-Type: application/json")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        header_text = "\r\n".join(lines) + "\r\n\r\n"
        return header_text.encode("latin-1") + body

    async def _send(self, data, on_chunk, repeat):
        is_repeat = False
        while True:
            connection = await self._take_idle_connection()
            if connection is None:
                connection = await self._connect(is_repeat)
            self._requests_sent += 1
            try:
                reply = await connection.exchange(data, on_chunk)
            except _StaleConnection:
                await _close_connection(connection)
                if not repeat:
                    raise
                is_repeat = True
                continue
            except BaseException:
                await _close_connection(connection)
                raise
            reply.repeated = is_repeat
            if connection.keep_alive:
                connection.idle_since = anyio.current_time()
                self._idle.append(connection)
            else:
                await _close_connection(connection)
            return reply

    async def _take_idle_connection(self):
        now = anyio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if now - connection.idle_since < MAX_IDLE_S:
                return connection
            await _close_connection(connection)
        return None

    async def _connect(self, is_repeat):
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(self._host, self._port)
        except (OSError, TimeoutError, UnicodeError) as exc:
            # UnicodeError: the host has no form in DNS.
            if is_repeat:
                # The server may have acted on the request sent before.
                raise
            raise _RequestNotSent(str(exc) or type(exc).__name__) from exc
        self._connections_opened += 1
        return _Connection(stream)

    async def aclose(self):
        """Close all idle connections."""
        while self._idle:
            await _close_connection(self._idle.pop())


def _make_deadline_extender(scope, extension_s):
    """Return a function that extends the deadline of a cancel scope."""
    limit = anyio.current_time() + MAX_EXTENSION_S

    def extend():
        deadline = min(anyio.current_time() + extension_s, limit)
        scope.deadline = max(scope.deadline, deadline)

    return extend


async def _close_connection(connection):
    with anyio.CancelScope(shield=True):
        await connection.stream.aclose()


def _failure(kind, reason):
    text = str(reason) or type(reason).__name__
    return result.Err(errors.Failure(kind, text))
