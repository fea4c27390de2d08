"""Start, signal handling and graceful shutdown of a daemon."""

import importlib.util
import json
import logging
import signal
import sys

import anyio

from citrondeal import telemetry

# Time in which load balancers see that the process is unready, before it stops
# accepting connections.
UNREADY_DELAY_S = 1.0

_LOG = logging.getLogger(__name__)


class Lifecycle:
    """Readiness, shutdown state and signal handling of a daemon.

    Parameters
    ----------
    dump : callable
        ``dump()`` returns the state dump of the process, ready for JSON.
    """

    def __init__(self, dump):
        self._dump = dump
        self._draining = anyio.Event()
        self._is_ready = None
        self._reload_handler = None

    @property
    def draining(self):
        """Whether a graceful shutdown has begun."""
        return self._draining.is_set()

    @property
    def ready(self):
        """Whether load balancers may send new work to this process."""
        if self.draining or self._is_ready is None:
            return False
        return self._is_ready()

    def set_ready_check(self, is_ready):
        """Set the function that decides on readiness before the shutdown."""
        self._is_ready = is_ready

    def set_reload_handler(self, handler):
        """Set the function to call on SIGHUP; without one it isn't handled.

        Must be called before `handle_signals`.
        """
        self._reload_handler = handler

    def drain(self):
        """Begin the graceful shutdown."""
        if not self.draining:
            telemetry.event(_LOG, logging.INFO, "graceful shutdown begins")
            self._draining.set()

    async def wait_drain(self):
        """Return once the graceful shutdown has begun."""
        await self._draining.wait()

    def write_dump(self):
        """Write the state dump as one line to standard error."""
        sys.stderr.write(json.dumps(self._dump(), default=str) + "\n")
        sys.stderr.flush()

    async def handle_signals(self, *, task_status):
        """Drain on SIGTERM and SIGINT, dump on SIGUSR1, reload on SIGHUP.

        Runs until cancelled; `task_status` is told once signals are received.
        """
        handled = [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1]
        if self._reload_handler is not None:
            handled.append(signal.SIGHUP)
        with anyio.open_signal_receiver(*handled) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGUSR1:
                    self.write_dump()
                elif number == signal.SIGHUP:
                    self._reload_handler()
                else:
                    self.drain()


async def serve_until_drained(program, config):
    """Run a daemon until its graceful shutdown has ended.

    Parameters
    ----------
    program : type
        Class of the daemon, with ``from_config(config, task_group)``, the
        methods ``start``, ``serve_http``, ``drain`` and ``stop``, which run
        in this order, and the property ``lifecycle``.  ``serve_http`` is
        cancelled after ``drain``, the tasks of the group after ``stop``.
    config : object
        Settings of the daemon.
    """
    async with anyio.create_task_group() as background_group:
        daemon = program.from_config(config, background_group)
        await daemon.start()
        async with anyio.create_task_group() as http_group:
            await http_group.start(daemon.serve_http)
            telemetry.event(_LOG, logging.INFO, "daemon started")
            await daemon.lifecycle.wait_drain()
            await daemon.drain()
            http_group.cancel_scope.cancel()
        await daemon.stop()
        background_group.cancel_scope.cancel()
    telemetry.event(_LOG, logging.INFO, "graceful shutdown complete")


def run_program(program, config_class, name):
    """Run a daemon with the settings file given on the command line.

    Exits with 0 after a graceful shutdown, 1 after a failure and 2 if the
    command line or the settings are invalid.

    Parameters
    ----------
    program : type
        Class of the daemon; see `serve_until_drained`.
    config_class : type
        Class of the settings, with ``from_file(path)``.
    name : str
        Name of the command, for the usage message.
    """
    # Programs that call only `run` have settings of another format.
    from citrondeal import config as settings

    @settings.main_guard
    def run_guarded():
        if len(sys.argv) != 2:
            print(f"usage: {name} SETTINGS.ini", file=sys.stderr)
            sys.exit(2)
        config = config_class.from_file(sys.argv[1])
        telemetry.configure_logging(
            config.process.name, config.process.zone, config.logging.level
        )
        sys.exit(run(program, config))

    run_guarded()


def run(program, config):
    """Run a daemon whose logging is configured already.

    Parameters
    ----------
    program : type
        Class of the daemon; see `serve_until_drained`.
    config : object
        Settings of the daemon.

    Returns
    -------
    int
        Exit status: 0 after a graceful shutdown, 1 after a failure.
    """
    if importlib.util.find_spec("sniffio") is None:
        # httpcore tries to import sniffio for each lock and event, several
        # times per request. A failed import searches all folders of the path
        # each time; with this entry it fails at once.
        sys.modules["sniffio"] = None
    status = 0
    try:
        anyio.run(serve_until_drained, program, config)
    except* OSError as group:
        status = 1
        telemetry.event(
            _LOG, logging.ERROR, "daemon failed", reason=_first_message(group)
        )
    return status


def _first_message(exc):
    """Return the message of the first exception in nested groups."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc)
