"""Runs a uvicorn server in the event loop of the process."""

import contextlib

import anyio
import uvicorn

KEEP_ALIVE_S = 30
START_POLL_PERIOD_S = 0.01


class _Server(uvicorn.Server):
    """uvicorn server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


async def run_server(app, host, port, drain_s, *, task_status):
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
    task_status : anyio.abc.TaskStatus
        Its ``started`` is called with the server once the port is bound.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=max(1, int(drain_s)),
    )
    server = _Server(config)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_serve, server, host, port)
        while not server.started:
            await anyio.sleep(START_POLL_PERIOD_S)
        task_status.started(server)
        try:
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
