"""uvicorn inside the loop of the process."""

import contextlib

import anyio
import uvicorn

KEEP_ALIVE = 30  # seconds an idle connection stays open
START_POLL = 0.01  # seconds


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


async def run_server(app, host, port, drain_s, *, task_status):
    """Serve `app` until cancelled; then finish the running requests.

    Parameters
    ----------
    app : App
        ASGI application.
    host : str
        IP address to bind.
    port : int
        TCP port to bind.
    drain_s : float
        Seconds that running requests get after cancellation.
    task_status : anyio.abc.TaskStatus
        Told when the port is bound.

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
        timeout_keep_alive=KEEP_ALIVE,
        timeout_graceful_shutdown=max(1, int(drain_s)),
    )
    server = _Server(config)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_serve, server, host, port)
        while not server.started:
            await anyio.sleep(START_POLL)
        task_status.started(server)
        try:
            await anyio.sleep_forever()
        finally:
            server.should_exit = True


async def _serve(server, host, port):
    # Cancellation must not cut off running requests; the server ends by
    # itself once `should_exit` is set and its drain time is over.
    with anyio.CancelScope(shield=True):
        try:
            await server.serve()
        except SystemExit as exc:
            raise OSError(f"cannot listen on {host}:{port}") from exc
