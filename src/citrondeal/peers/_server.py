"""Incoming links from peers."""

import logging

import anyio

from citrondeal.peers import _codec
from citrondeal.peers import _link
from citrondeal.peers.gen.peers import ttypes
from citrondeal import telemetry

# Calls of one connection that may run at a time; more wait in the socket.
CALLS_PER_LINK = 4096

_CLOSED = (
    _codec.FrameError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

_LOG = logging.getLogger(__name__)


async def serve(host, port, identity, handle, *, task_status):
    """Accept links and answer their calls until cancelled.

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
        Told when the port is bound.
    """
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port
    )
    async with listener:
        task_status.started()
        await listener.serve(_make_acceptor(identity, handle))


def _make_acceptor(identity, handle):
    async def accept(stream):
        link = _link.Link(stream, identity)
        try:
            await link.handshake()
            await _serve_link(link, handle)
        except _CLOSED as exc:
            telemetry.event(
                _LOG,
                logging.INFO,
                "the handshake of a peer failed",
                reason=str(exc) or type(exc).__name__,
            )
        finally:
            with anyio.CancelScope(shield=True):
                await link.aclose()

    return accept


async def _serve_link(link, handle):
    limiter = anyio.Semaphore(CALLS_PER_LINK)

    async def answer(call, value):
        try:
            result = await handle(link.peer, value)
        except Exception:
            _LOG.exception("handler of a peer message failed")
            result = ttypes.Fault(kind="internal", message="internal error")
        finally:
            limiter.release()
        if call and not link.closed:
            try:
                await link.reply(call, result)
            except (
                _link.PeerError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    # Running handlers are not cancelled when the connection ends: they may
    # have work in progress whose outcome must be recorded.
    async with anyio.create_task_group() as task_group:
        while True:
            try:
                message = await link.receive()
            except _CLOSED as exc:
                link.fail(str(exc) or type(exc).__name__)
                break
            await limiter.acquire()
            value = _codec.content(message)
            task_group.start_soon(answer, message.call, value)
