"""Server for incoming connections from peers."""

import logging

import anyio

from citrondeal.peers import _codec
from citrondeal.peers import _connection
from citrondeal.peers.gen.peers import ttypes
from citrondeal import telemetry

# Calls of one connection that may run at the same time; further calls wait
# in the socket buffer.
MAX_CALLS_PER_CONNECTION = 4096

_CONNECTION_ERRORS = (
    _codec.FrameError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

_LOG = logging.getLogger(__name__)


async def serve(host, port, identity, handle, *, task_status):
    """Accept connections and answer their calls until cancelled.

    Parameters
    ----------
    host : str
        IP address to bind.
    port : int
        TCP port to bind.
    identity : citrondeal.peers.Identity
        Identity of this process.
    handle : callable
        ``async handle(peer, value)`` returns the body of the reply; the
        result is dropped for one-way messages.
    task_status : anyio.abc.TaskStatus
        Notified when the port is bound.
    """
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port
    )
    async with listener:
        task_status.started()
        await listener.serve(_make_acceptor(identity, handle))


def _make_acceptor(identity, handle):
    async def accept(stream):
        connection = _connection.Connection(stream, identity)
        try:
            await connection.handshake()
            await _serve_connection(connection, handle)
        except _CONNECTION_ERRORS as exc:
            telemetry.event(
                _LOG,
                logging.INFO,
                "the handshake of a peer failed",
                reason=str(exc) or type(exc).__name__,
            )
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    return accept


async def _serve_connection(connection, handle):
    limiter = anyio.Semaphore(MAX_CALLS_PER_CONNECTION)

    async def answer(call, value):
        try:
            result = await handle(connection.peer, value)
        except Exception:
            _LOG.exception("handler of a peer message failed")
            result = ttypes.Fault(kind="internal", message="internal error")
        finally:
            limiter.release()
        if call and not connection.closed:
            try:
                await connection.reply(call, result)
            except (
                _connection.PeerError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    # Running handlers are not cancelled when the connection ends: the outcome
    # of work that they have started must still be recorded.
    async with anyio.create_task_group() as task_group:
        while True:
            try:
                message = await connection.receive()
            except _CONNECTION_ERRORS as exc:
                connection.fail(str(exc) or type(exc).__name__)
                break
            await limiter.acquire()
            value = _codec.body_value(message)
            task_group.start_soon(answer, message.call, value)
