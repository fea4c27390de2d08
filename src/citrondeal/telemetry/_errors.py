"""Containment of unexpected errors, so that one does not end a process."""

import contextlib
import logging
import time

import anyio

from citrondeal.telemetry import _line_limit
from citrondeal.telemetry import _logs

# A background activity that failed starts again after this long, and after
# twice as long each time that it fails soon, up to the limit. Leases of tasks
# last about 10 s, so the limit is shorter.
RESTART_DELAY_S = 0.5
RESTART_LIMIT_S = 5.0
# An activity that ran for this long has not failed soon.
STABLE_AFTER_S = 10.0
# Errors of one activity and type that are logged within a period. An error in
# each planning pass or lease would otherwise cost more time than the work.
LOG_PERIOD_S = 10.0
MAX_LOGGED = 5


class _ErrorCounter:
    """Number of unexpected errors of this process."""

    def __init__(self):
        self.total = 0
        self._lines = _line_limit.LineLimit(MAX_LOGGED, LOG_PERIOD_S)

    def add(self, activity, exc, now):
        """Count an error; see `LineLimit.add` for the result."""
        self.total += 1
        return self._lines.add((activity, type(exc)), now)


_COUNTER = _ErrorCounter()


def unexpected_errors():
    """Return the number of errors that `contain` has caught so far."""
    return _COUNTER.total


@contextlib.contextmanager
def contain(logger, activity, **fields):
    """Log and count an unexpected error of the body instead of raising it.

    Of the errors of one activity and type, `MAX_LOGGED` are logged in each
    `LOG_PERIOD_S`; all are counted.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    activity : str
        What the body does.
    **fields
        Values that identify the message or the exchange, such as ``key``.
    """
    try:
        yield
    except Exception as exc:
        omitted = _COUNTER.add(activity, exc, time.monotonic())
        if omitted is None:
            return
        _logs.event(
            logger,
            logging.ERROR,
            "unexpected error",
            activity=activity,
            reason=repr(exc),
            omitted=omitted,
            **fields,
        )
        logger.warning("traceback of an unexpected error", exc_info=True)


async def keep_running(logger, activity, function):
    """Run a background activity, again after each unexpected error.

    The delay before it runs again grows while it keeps failing soon.

    Parameters
    ----------
    logger : logging.Logger
    activity : str
    function : callable
        ``await function()`` runs the activity.
    """
    delay_s = RESTART_DELAY_S
    while True:
        started = anyio.current_time()
        with contain(logger, activity):
            return await function()
        if anyio.current_time() - started >= STABLE_AFTER_S:
            delay_s = RESTART_DELAY_S
        await anyio.sleep(delay_s)
        delay_s = min(2 * delay_s, RESTART_LIMIT_S)
