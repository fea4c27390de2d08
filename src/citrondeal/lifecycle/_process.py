"""Start, signals and graceful shutdown of a daemon."""

import importlib.util
import json
import logging
import signal
import sys

import anyio

from citrondeal import config as settings
from citrondeal import telemetry

# Time for the balancer to see that the process is unready, before it stops
# to accept connections.
UNREADY_DELAY_S = 1.0

_LOG = logging.getLogger(__name__)


class Lifecycle:
    """Where a daemon is between its start and its exit.

    Parameters
    ----------
    dump : callable
        Returns the JSON-ready state dump of the process.
    """

    def __init__(self, dump):
        self._dump = dump
        self._draining = anyio.Event()
        self._is_ready = None
        self._reload = None

    @property
    def draining(self):
        """Whether a graceful shutdown has begun."""
        return self._draining.is_set()

    @property
    def ready(self):
        """Whether the balancer may send new work to this process."""
        if self.draining or self._is_ready is None:
            return False
        return self._is_ready()

    def set_ready_check(self, is_ready):
        """Set the function that decides on readiness while not draining."""
        self._is_ready = is_ready

    def set_reload_handler(self, reload):
        """Set the function that a SIGHUP calls."""
        self._reload = reload

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
        """Drain on SIGTERM and SIGINT, dump on SIGUSR1, reload on SIGHUP."""
        wanted = [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1]
        if self._reload is not None:
            wanted.append(signal.SIGHUP)
        with anyio.open_signal_receiver(*wanted) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGUSR1:
                    self.write_dump()
                elif number == signal.SIGHUP:
                    self._reload()
                else:
                    self.drain()


async def serve_until_drained(program, config):
    """Run a program until its graceful shutdown has ended.

    Parameters
    ----------
    program : type
        Class with ``from_config(config, task_group)`` and the methods
        ``start``, ``serve_http``, ``drain`` and ``stop``, which run in this
        order, and the property ``lifecycle``.
    config : object
        Settings of the program.
    """
    async with anyio.create_task_group() as background:
        daemon = program.from_config(config, background)
        await daemon.start()
        async with anyio.create_task_group() as front:
            await front.start(daemon.serve_http)
            telemetry.event(_LOG, logging.INFO, "daemon started")
            await daemon.lifecycle.wait_drain()
            await daemon.drain()
            front.cancel_scope.cancel()
        await daemon.stop()
        background.cancel_scope.cancel()
    telemetry.event(_LOG, logging.INFO, "graceful shutdown complete")


@settings.main_guard
def run_program(program, config_class, name):
    """Run a daemon with the settings file that the command line names.

    Exits with 0 after a graceful shutdown, 1 after a failure and 2 if the
    command line or the settings are invalid.

    Parameters
    ----------
    program : type
        See `serve_until_drained`.
    config_class : type
        Class with ``from_file(path)``.
    name : str
        Name of the command.
    """
    if len(sys.argv) != 2:
        print(f"usage: {name} SETTINGS.ini", file=sys.stderr)
        sys.exit(2)
    config = config_class.from_file(sys.argv[1])
    telemetry.configure_logging(
        config.process.name, config.process.zone, config.logging.level
    )
    sys.exit(run(program, config))


def run(program, config):
    """Run a program once its logs are configured.

    Parameters
    ----------
    program : type
        See `serve_until_drained`.
    config : object
        Settings of the program.

    Returns
    -------
    int
        Exit status: 0 after a graceful shutdown, 1 after a failure.
    """
    if importlib.util.find_spec("sniffio") is None:
        # httpcore tries to import it for each lock and event, several times
        # in an exchange.  A failed import searches all folders each time;
        # this entry ends it at once.
        sys.modules["sniffio"] = None
    status = 0
    try:
        anyio.run(serve_until_drained, program, config)
    except* OSError as group:
        status = 1
        telemetry.event(
            _LOG, logging.ERROR, "daemon failed", reason=_first(group)
        )
    return status


def _first(group):
    """Return the text of the first exception that is no group itself."""
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return str(group)
