"""Outgoing links to peers, opened on first use."""

import logging

import anyio

from citrondeal.peers import _codec
from citrondeal.peers import _link
from citrondeal import telemetry

CONNECT_TIMEOUT = 1.0  # seconds
# After a failed connection the address is not tried again for this long,
# so that calls to a dead VM fail at once.
RETRY_AFTER = 0.5  # seconds
# A link on which a call timed out while nothing was received for this long
# is closed: something between both ends may have dropped its state.
SILENT_AFTER = 2.0  # seconds
TRAFFIC_LIMIT = 256  # addresses in the state dump

# TimeoutError is an OSError.
_CONNECT_ERRORS = (
    OSError,
    _codec.FrameError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

_LOG = logging.getLogger(__name__)


class _Slot:
    """State of the link to one address."""

    def __init__(self):
        self.link = None
        self.lock = anyio.Lock()
        self.failed_at = None
        self.connection_refused = False  # by the last failed connection
        self.last_received = 0.0
        self.closed_out = 0  # bytes on links that are closed
        self.closed_in = 0

    @property
    def traffic(self):
        """Bytes sent and received on all links to the address so far."""
        link = self.link
        if link is None:
            return self.closed_out, self.closed_in
        return (
            self.closed_out + link.bytes_out,
            self.closed_in + link.bytes_in,
        )


class ConnectionPool:
    """Links by address.

    Parameters
    ----------
    identity : citrondeal.peers.Identity
        Identity of this process.
    task_group : anyio.abc.TaskGroup
        Runs the reader of each link.
    silent_after_s : float, optional
        Seconds without any received frame after which a link on which a
        call timed out is closed.
    """

    def __init__(self, identity, task_group, silent_after_s=SILENT_AFTER):
        self._identity = identity
        self._task_group = task_group
        self._silent_after = silent_after_s
        self._slots = {}

    @property
    def traffic(self):
        """Bytes sent and received on all links so far."""
        counts = [slot.traffic for slot in self._slots.values()]
        return sum(c[0] for c in counts), sum(c[1] for c in counts)

    @property
    def traffic_by_address(self):
        """Bytes sent and received by address, for the state dump.

        Links that peers opened are counted by the peers.  Only the
        `TRAFFIC_LIMIT` addresses with the most traffic are listed.
        """
        counts = [(slot.traffic, name) for name, slot in self._slots.items()]
        counts.sort(key=lambda item: (-sum(item[0]), item[1]))
        return {name: list(pair) for pair, name in counts[:TRAFFIC_LIMIT]}

    def incarnation_of(self, address):
        """Return the incarnation at the other end of the open link.

        Parameters
        ----------
        address : str
            ``host:port``.

        Returns
        -------
        str
            Empty if there is no open link.
        """
        slot = self._slots.get(address)
        if slot is None or slot.link is None or slot.link.closed:
            return ""
        return slot.link.peer.incarnation

    async def call(self, address, value, timeout_s):
        """Call the peer at `address` and return the body of its reply.

        Parameters
        ----------
        address : str
            ``host:port``.
        value : object
            Body of the request.
        timeout_s : float
            Seconds for connection and reply together.

        Raises
        ------
        PeerError
            With ``maybe_sent`` false if the peer cannot have seen the call.
        """
        started = anyio.current_time()
        slot = self._slots.setdefault(address, _Slot())
        link = await self._connected(address, slot, timeout_s)
        left = max(0.0, timeout_s - (anyio.current_time() - started))
        try:
            return await link.call(value, left)
        except _link.PeerError:
            quiet = anyio.current_time() - slot.last_received
            if quiet > self._silent_after:
                await self._drop(slot, link)
            raise

    async def notify(self, address, value):
        """Send a one-way message; failures to deliver it are ignored."""
        slot = self._slots.setdefault(address, _Slot())
        try:
            link = await self._connected(address, slot, CONNECT_TIMEOUT)
            with anyio.fail_after(CONNECT_TIMEOUT):
                await link.notify(value)
        except (
            _link.PeerError,
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return

    async def _connected(self, address, slot, timeout_s):
        if slot.link is not None and not slot.link.closed:
            return slot.link
        _check_reachable(slot)
        async with slot.lock:
            if slot.link is not None and not slot.link.closed:
                return slot.link
            # The call before in the queue may have failed to connect.
            _check_reachable(slot)
            try:
                with anyio.fail_after(min(timeout_s, CONNECT_TIMEOUT)):
                    slot.link = await self._open(address, slot)
            except _CONNECT_ERRORS as exc:
                self._note_failure(address, slot, exc)
                raise _link.PeerError(
                    str(exc),
                    maybe_sent=False,
                    connection_refused=slot.connection_refused,
                ) from exc
        slot.failed_at = None
        return slot.link

    def _note_failure(self, address, slot, exc):
        # Only the first failure is logged; later ones add nothing.
        if slot.failed_at is None:
            telemetry.event(
                _LOG,
                logging.INFO,
                "peer is unreachable",
                peer=address,
                reason=str(exc) or type(exc).__name__,
            )
        slot.failed_at = anyio.current_time()
        # anyio raises an error of its own from that of the connection.
        slot.connection_refused = isinstance(
            exc.__cause__ or exc, ConnectionRefusedError
        )

    async def _open(self, address, slot):
        host, _, port = address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        link = _link.Link(stream, self._identity)
        try:
            await link.handshake()
        except BaseException:
            await link.aclose()
            raise
        slot.last_received = anyio.current_time()
        self._task_group.start_soon(self._read, slot, link)
        return link

    async def _read(self, slot, link):
        try:
            while True:
                message = await link.receive()
                slot.last_received = anyio.current_time()
                if message.is_reply:
                    link.complete(message)
        except (
            _codec.FrameError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ) as exc:
            link.fail(str(exc) or type(exc).__name__)
        finally:
            with anyio.CancelScope(shield=True):
                await self._drop(slot, link)

    async def _drop(self, slot, link):
        if slot.link is link:
            slot.link = None
            slot.closed_out += link.bytes_out
            slot.closed_in += link.bytes_in
        await link.aclose()


def _check_reachable(slot):
    now = anyio.current_time()
    if slot.failed_at is not None and now - slot.failed_at < RETRY_AFTER:
        raise _link.PeerError(
            "peer was unreachable just now",
            maybe_sent=False,
            connection_refused=slot.connection_refused,
        )
