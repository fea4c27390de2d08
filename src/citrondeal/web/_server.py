"""Runs a uvicorn server in the event loop of the process."""

import contextlib
import functools

import anyio
import uvicorn

from citrondeal.web import _protocol

KEEP_ALIVE_S = 30
START_POLL_PERIOD_S = 0.01
# Connections that a server with limits accepts in one turn of the event loop,
# about 0.5 ms each with a request that is refused. One that is closed at once
# takes a descriptor for three turns.
ACCEPTS_PER_TURN = 16


class _Server(uvicorn.Server):
    """uvicorn server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


async def run_server(app, host, port, drain_s, guard=None, *, task_status):
    """Serve `app` until cancelled, then let running requests finish.

    Parameters
    ----------
    app : App
        ASGI application.
    host : str
        IP address to bind.
    port : int
        TCP port to bind.
    drain_s : float
        Seconds that running requests get after cancellation, rounded down
        to whole seconds, at least 1.
    guard : Guard, optional
        Limits of the server; without, connections are only closed after
        `KEEP_ALIVE_S`.
    task_status : anyio.abc.TaskStatus
        Its ``started`` is called with the server once the port is bound.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    options = {}
    if guard is not None:
        options = {
            "http": functools.partial(_protocol.LimitedProtocol, guard),
            "backlog": ACCEPTS_PER_TURN,
        }
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=max(1, int(drain_s)),
        timeout_keep_alive=KEEP_ALIVE_S,
        **options,
    )
    server = _Server(config)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_serve, server, host, port)
        while not server.started:
            await anyio.sleep(START_POLL_PERIOD_S)
        if guard is not None:
            for listener in server.servers:
                _protocol.configure_listeners(listener)
        task_status.started(server)
        try:
            if guard is not None:
                await guard.run()
            await anyio.sleep_forever()
        finally:
            server.should_exit = True


async def _serve(server, host, port):
    # Cancellation must not cut off running requests. The server returns by
    # itself after `should_exit` is set, once they end or the drain time is
    # over.
    with anyio.CancelScope(shield=True):
        try:
            await server.serve()
        except SystemExit as exc:
            raise OSError(f"cannot listen on {host}:{port}") from exc
