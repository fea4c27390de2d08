"""One connection to a peer: handshake, calls and replies."""

import dataclasses

import anyio
from anyio import abc
from anyio.streams import buffered

from citrondeal.peers import _codec
from citrondeal.peers.gen.peers import ttypes

HANDSHAKE_TIMEOUT = 2.0  # seconds
# Bytes that may wait for a slow peer before calls to it are refused.
SEND_QUEUE_LIMIT = 8 * 1024 * 1024


class PeerError(Exception):
    """A call to a peer failed.

    Attributes
    ----------
    maybe_sent : bool
        Whether any byte of the call may have reached the peer.
    connection_refused : bool
        Whether nothing listens at the address.
    """

    def __init__(self, message, maybe_sent, connection_refused=False):
        super().__init__(message)
        self.maybe_sent = maybe_sent
        self.connection_refused = connection_refused


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What a process says about itself in the handshake."""

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


class _Call:
    """A call that waits for its reply."""

    def __init__(self):
        self.done = anyio.Event()
        self.value = None
        self.error = None


class Link:
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
        self._calls = {}
        self._next_call = 1
        self._lock = anyio.Lock()
        self._queued = 0
        self._closed = False
        self.peer = None
        self.bytes_out = 0
        self.bytes_in = 0

    @property
    def closed(self):
        """Whether the link can no longer carry calls."""
        return self._closed

    async def handshake(self):
        """Exchange `Hello` messages.

        Raises
        ------
        FrameError
            If the peer speaks another protocol or another version.
        """
        with anyio.fail_after(HANDSHAKE_TIMEOUT):
            await self._send(_codec.wrap(self._identity.hello(), 0))
            message = await self.receive()
        hello = message.body.hello
        if hello is None:
            raise _codec.FrameError("the first message is not a hello")
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
                raise _codec.FrameError(f"frame of {size} bytes announced")
            payload = await self._reader.receive_exactly(size)
        except anyio.IncompleteRead as exc:
            raise _codec.FrameError("the stream ended in a frame") from exc
        self.bytes_in += _codec.HEADER.size + size
        return _codec.decode(payload)

    async def _send(self, message):
        frame = _codec.encode(message)
        if self._queued + len(frame) > SEND_QUEUE_LIMIT:
            raise PeerError("send queue of the peer is full", maybe_sent=False)
        self._queued += len(frame)
        try:
            async with self._lock:
                await self._stream.send(frame)
        finally:
            self._queued -= len(frame)
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
            If the link closed or no reply came in time.
        """
        if self._closed:
            raise PeerError("link is closed", maybe_sent=False)
        call = self._next_call
        self._next_call += 1
        pending = self._calls[call] = _Call()
        try:
            with anyio.fail_after(timeout_s):
                await self._send(_codec.wrap(value, call))
                await pending.done.wait()
        except TimeoutError as exc:
            raise PeerError("no reply in time", maybe_sent=True) from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            self.fail(str(exc))
            raise PeerError("connection broke", maybe_sent=True) from exc
        finally:
            # A reply that comes later finds no call and is dropped.
            self._calls.pop(call, None)
        if pending.error is not None:
            raise pending.error
        return pending.value

    def complete(self, message):
        """Hand a reply to the call that waits for it, if any."""
        pending = self._calls.get(message.call)
        if pending is not None:
            pending.value = _codec.content(message)
            pending.done.set()

    def fail(self, reason):
        """Mark the link closed and fail all waiting calls."""
        self._closed = True
        for pending in self._calls.values():
            pending.error = PeerError(reason, maybe_sent=True)
            pending.done.set()
        self._calls.clear()

    async def aclose(self):
        """Close the stream without waiting for the peer."""
        self.fail("link closed")
        await anyio.aclose_forcefully(self._stream)
