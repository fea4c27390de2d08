"""One connection to a peer: handshake, calls and replies."""

import dataclasses

import anyio
from anyio import abc
from anyio.streams import buffered

from citrondeal.peers import _codec
from citrondeal.peers.gen.peers import ttypes

HANDSHAKE_TIMEOUT_S = 2.0
# A message is refused if more bytes than this would wait for a slow peer.
SEND_QUEUE_LIMIT_BYTES = 8 * 1024 * 1024


class PeerError(Exception):
    """A call to a peer failed.

    Attributes
    ----------
    maybe_sent : bool
        Whether any byte of the call may have reached the peer.
    connection_refused : bool
        Whether the last attempt to connect was refused: nothing listens at
        the address.
    """

    def __init__(self, message, maybe_sent, connection_refused=False):
        super().__init__(message)
        self.maybe_sent = maybe_sent
        self.connection_refused = connection_refused


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a process, as it sends it in the handshake."""

    process: str
    incarnation: str
    zone: str
    role: str

    def hello(self):
        """Return the handshake message of this process."""
        return ttypes.Hello(
            version=_codec.PROTOCOL_VERSION,
            process=self.process,
            incarnation=self.incarnation,
            zone=self.zone,
            role=self.role,
        )


class _PendingCall:
    """A call that waits for its reply, and its result."""

    def __init__(self):
        self.done = anyio.Event()
        self.value = None
        self.error = None


class Connection:
    """Frames on one TCP stream after a completed handshake.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        Connected stream.
    identity : Identity
        Identity of this process.
    """

    def __init__(self, stream: abc.ByteStream, identity: Identity):
        self._stream = stream
        self._reader = buffered.BufferedByteReceiveStream(stream)
        self._identity = identity
        self._pending = {}
        self._next_call = 1
        self._lock = anyio.Lock()
        self._queued_bytes = 0
        self._closed = False
        self.peer = None
        self.bytes_out = 0
        self.bytes_in = 0

    @property
    def closed(self):
        """Whether the connection can no longer carry calls."""
        return self._closed

    async def handshake(self):
        """Exchange `Hello` messages.

        Raises
        ------
        FrameError
            If the peer speaks another protocol or another version.
        """
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await self._send(_codec.wrap(self._identity.hello(), 0))
            message = await self.receive()
        hello = message.body.hello
        if hello is None:
            raise _codec.FrameError("first message is not a Hello")
        if hello.version != _codec.PROTOCOL_VERSION:
            fault = ttypes.Fault(
                kind="protocol",
                message=(
                    f"version {hello.version} is not supported;"
                    f" this process speaks {_codec.PROTOCOL_VERSION}"
                ),
            )
            await self._send(_codec.wrap(fault, 0))
            raise _codec.FrameError(fault.message)
        self.peer = Identity(
            hello.process, hello.incarnation, hello.zone, hello.role
        )

    async def receive(self):
        """Return the next message.

        Raises
        ------
        FrameError
            If the frame is too large, undecodable or cut off.
        """
        try:
            header = await self._reader.receive_exactly(_codec.HEADER.size)
            (size,) = _codec.HEADER.unpack(header)
            if size > _codec.FRAME_LIMIT_BYTES:
                raise _codec.FrameError(
                    f"announced frame of {size} bytes is larger than"
                    f" {_codec.FRAME_LIMIT_BYTES} bytes"
                )
            payload = await self._reader.receive_exactly(size)
        except anyio.IncompleteRead as exc:
            raise _codec.FrameError("stream ended within a frame") from exc
        self.bytes_in += _codec.HEADER.size + size
        return _codec.decode(payload)

    async def _send(self, message):
        frame = _codec.encode(message)
        if self._queued_bytes + len(frame) > SEND_QUEUE_LIMIT_BYTES:
            raise PeerError(
                "send queue of the peer is full:"
                f" {self._queued_bytes} bytes wait",
                maybe_sent=False,
            )
        self._queued_bytes += len(frame)
        try:
            async with self._lock:
                await self._stream.send(frame)
        finally:
            self._queued_bytes -= len(frame)
        self.bytes_out += len(frame)

    async def notify(self, value):
        """Send a one-way message."""
        await self._send(_codec.wrap(value, 0))

    async def reply(self, call, value):
        """Send the reply to `call`."""
        await self._send(_codec.wrap(value, call, is_reply=True))

    async def call(self, value, timeout_s):
        """Send a request and wait for its reply.

        Parameters
        ----------
        value : object
            Body of the request.
        timeout_s : float
            Seconds to wait for the reply.

        Returns
        -------
        object
            Body of the reply; a `ttypes.Fault` is returned, not raised.

        Raises
        ------
        PeerError
            If the connection closed, its send queue is full, or no reply
            came in time.
        """
        if self._closed:
            raise PeerError("connection is closed", maybe_sent=False)
        call = self._next_call
        self._next_call += 1
        pending = self._pending[call] = _PendingCall()
        try:
            with anyio.fail_after(timeout_s):
                await self._send(_codec.wrap(value, call))
                await pending.done.wait()
        except TimeoutError as exc:
            raise PeerError(
                f"no reply within {timeout_s:.2f} s", maybe_sent=True
            ) from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            self.fail(str(exc))
            raise PeerError("connection was lost", maybe_sent=True) from exc
        finally:
            # A reply that arrives later finds no pending call and is ignored.
            self._pending.pop(call, None)
        if pending.error is not None:
            raise pending.error
        return pending.value

    def complete(self, message):
        """Deliver a reply to the call that waits for it, if any."""
        pending = self._pending.get(message.call)
        if pending is not None:
            pending.value = _codec.body_value(message)
            pending.done.set()

    def fail(self, reason):
        """Mark the connection closed and fail all pending calls."""
        self._closed = True
        for pending in self._pending.values():
            pending.error = PeerError(reason, maybe_sent=True)
            pending.done.set()
        self._pending.clear()

    async def aclose(self):
        """Close the stream without waiting for the peer."""
        self.fail("connection was closed by this process")
        await anyio.aclose_forcefully(self._stream)
