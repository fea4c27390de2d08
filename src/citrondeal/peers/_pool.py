"""Outgoing connections to peers, opened on first use."""

import logging

import anyio

from citrondeal.peers import _codec
from citrondeal.peers import _connection
from citrondeal import telemetry

CONNECT_TIMEOUT_S = 1.0
# After a failed attempt to connect, calls to the address fail at once for this
# long, so that they don't wait for a dead VM.
RECONNECT_DELAY_S = 0.5
# A connection on which a call failed while nothing was received for longer
# than this is closed: a device on the way may have dropped its state.
SILENT_AFTER_S = 2.0
MAX_TRAFFIC_ADDRESSES = 256  # bounds the state dump

# TimeoutError is an OSError.
_CONNECT_ERRORS = (
    OSError,
    ValueError,  # the address is not host:port, or the host cannot be encoded
    _codec.FrameError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

_LOG = logging.getLogger(__name__)


class _PeerState:
    """Current connection to one address, its failures and its traffic."""

    def __init__(self):
        self.connection = None
        self.lock = anyio.Lock()
        self.failed_at = None
        self.connection_refused = False  # in the last failed attempt
        self.last_received_at = 0.0
        # Traffic of connections that are closed.
        self.closed_bytes_out = 0
        self.closed_bytes_in = 0

    @property
    def traffic(self):
        """Bytes sent to and received from the address so far."""
        connection = self.connection
        if connection is None:
            return self.closed_bytes_out, self.closed_bytes_in
        return (
            self.closed_bytes_out + connection.bytes_out,
            self.closed_bytes_in + connection.bytes_in,
        )


class ConnectionPool:
    """Connections to peers by address, at most one each.

    Parameters
    ----------
    identity : citrondeal.peers.Identity
        Identity of this process.
    task_group : anyio.abc.TaskGroup
        Runs the reader of each connection.
    silent_after_s : float, optional
        Seconds without any received frame after which a connection on which
        a call failed is closed.
    """

    def __init__(self, identity, task_group, silent_after_s=SILENT_AFTER_S):
        self._identity = identity
        self._task_group = task_group
        self._silent_after_s = silent_after_s
        self._states = {}

    @property
    def traffic(self):
        """Bytes sent and received on all connections so far."""
        counts = [state.traffic for state in self._states.values()]
        return sum(c[0] for c in counts), sum(c[1] for c in counts)

    @property
    def traffic_by_address(self):
        """Bytes sent and received by address, for the state dump.

        Connections that peers opened are counted by the peers.  Only the
        `MAX_TRAFFIC_ADDRESSES` addresses with the most traffic are listed.
        """
        counts = [
            (state.traffic, name) for name, state in self._states.items()
        ]
        counts.sort(key=lambda item: (-sum(item[0]), item[1]))
        return {
            name: list(pair) for pair, name in counts[:MAX_TRAFFIC_ADDRESSES]
        }

    def incarnation_of(self, address):
        """Return the incarnation of the peer at the open connection.

        Parameters
        ----------
        address : str
            ``host:port``.

        Returns
        -------
        str
            Empty if there is no open connection.
        """
        state = self._states.get(address)
        if (
            state is None
            or state.connection is None
            or state.connection.closed
        ):
            return ""
        return state.connection.peer.incarnation

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
        state = self._states.setdefault(address, _PeerState())
        connection = await self._get_connection(address, state, timeout_s)
        left = max(0.0, timeout_s - (anyio.current_time() - started))
        try:
            return await connection.call(value, left)
        except _connection.PeerError:
            silent_for_s = anyio.current_time() - state.last_received_at
            if silent_for_s > self._silent_after_s:
                await self._close(state, connection)
            raise

    async def notify(self, address, value):
        """Send a one-way message; failures to connect or send are ignored."""
        state = self._states.setdefault(address, _PeerState())
        try:
            connection = await self._get_connection(
                address, state, CONNECT_TIMEOUT_S
            )
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await connection.notify(value)
        except (
            _connection.PeerError,
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return

    async def _get_connection(self, address, state, timeout_s):
        if state.connection is not None and not state.connection.closed:
            return state.connection
        _check_reachable(state)
        async with state.lock:
            if state.connection is not None and not state.connection.closed:
                return state.connection
            # The call that held the lock before may have failed to connect.
            _check_reachable(state)
            try:
                with anyio.fail_after(min(timeout_s, CONNECT_TIMEOUT_S)):
                    state.connection = await self._open(address, state)
            except _CONNECT_ERRORS as exc:
                self._record_failure(address, state, exc)
                raise _connection.PeerError(
                    str(exc),
                    maybe_sent=False,
                    connection_refused=state.connection_refused,
                ) from exc
        state.failed_at = None
        return state.connection

    def _record_failure(self, address, state, exc):
        # Only the first of consecutive failures is logged; later ones add
        # nothing.
        if state.failed_at is None:
            telemetry.event(
                _LOG,
                logging.INFO,
                "peer is unreachable",
                peer=address,
                reason=str(exc) or type(exc).__name__,
            )
        state.failed_at = anyio.current_time()
        # anyio raises an error of its own, with that of the socket as cause.
        state.connection_refused = isinstance(
            exc.__cause__ or exc, ConnectionRefusedError
        )

    async def _open(self, address, state):
        host, _, port = address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        connection = _connection.Connection(stream, self._identity)
        try:
            await connection.handshake()
        except BaseException:
            await connection.aclose()
            raise
        state.last_received_at = anyio.current_time()
        self._task_group.start_soon(self._read, state, connection)
        return connection

    async def _read(self, state, connection):
        try:
            while True:
                message = await connection.receive()
                state.last_received_at = anyio.current_time()
                if message.is_reply:
                    connection.complete(message)
        except (
            _codec.FrameError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ) as exc:
            connection.fail(str(exc) or type(exc).__name__)
        finally:
            with anyio.CancelScope(shield=True):
                await self._close(state, connection)

    async def _close(self, state, connection):
        if state.connection is connection:
            state.connection = None
            state.closed_bytes_out += connection.bytes_out
            state.closed_bytes_in += connection.bytes_in
        await connection.aclose()


def _check_reachable(state):
    now = anyio.current_time()
    if (
        state.failed_at is not None
        and now - state.failed_at < RECONNECT_DELAY_S
    ):
        raise _connection.PeerError(
            f"peer was unreachable {now - state.failed_at:.1f} s ago;"
            f" calls fail at once for {RECONNECT_DELAY_S} s",
            maybe_sent=False,
            connection_refused=state.connection_refused,
        )
