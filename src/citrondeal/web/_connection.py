"""One HTTP/1.1 connection of the client."""

import dataclasses
import select

import anyio
import anyio.abc
import httptools

READ_SIZE_BYTES = 65536
# Twice the largest answer that is expected, a page of 1 MB of records in
# base64. A server that sends more must not exhaust the memory of its clients.
MAX_ANSWER_BYTES = 3 * 1024 * 1024

CONNECTION_ERRORS = (
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


class AnswerTooLarge(Exception):
    """The body of an answer exceeds `MAX_ANSWER_BYTES`."""


class EndedUnanswered(Exception):
    """A connection ended before the first byte of the answer."""


class Connection:
    """One open connection, used by one request at a time.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Connected TCP stream.
    """

    def __init__(self, stream):
        self._stream = stream
        self.idle_since = 0.0
        self.keep_alive = True
        self._complete = False
        self._chunks = []
        self._body_size = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def has_ended(self):
        """Whether the server has closed it, or sent what nobody asked for."""
        poll = select.poll()
        socket = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll.register(socket, select.POLLIN)
        return bool(poll.poll(0))

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

        Raises
        ------
        EndedUnanswered
        AnswerTooLarge
        """
        self._complete = False
        self._chunks = []
        self._body_size = 0
        try:
            await self._stream.send(data)
            chunk = await self._stream.receive(READ_SIZE_BYTES)
        except CONNECTION_ERRORS as exc:
            raise EndedUnanswered(str(exc) or type(exc).__name__) from exc
        self._parser.feed_data(chunk)
        while not self._complete:
            on_chunk()
            self._parser.feed_data(await self._stream.receive(READ_SIZE_BYTES))
            if self._body_size > MAX_ANSWER_BYTES:
                raise AnswerTooLarge(
                    f"answer is larger than {MAX_ANSWER_BYTES} bytes"
                )
        return Reply(self._parser.get_status_code(), b"".join(self._chunks))

    async def aclose(self):
        """Close it, also in a scope that is cancelled."""
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()
