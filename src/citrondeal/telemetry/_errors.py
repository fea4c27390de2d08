"""Containment of unexpected errors, so that one does not end a process."""

import contextlib
import logging

import anyio

from citrondeal.telemetry import _logs

# A background activity that failed starts again after this long.
RESTART_DELAY_S = 0.5


class _ErrorCounter:
    """Number of unexpected errors of this process."""

    def __init__(self):
        self.total = 0


_COUNTER = _ErrorCounter()


def unexpected_errors():
    """Return the number of errors that `contain` has caught so far."""
    return _COUNTER.total


@contextlib.contextmanager
def contain(logger, activity, **fields):
    """Log and count an unexpected error of the body instead of raising it.

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
        _COUNTER.total += 1
        _logs.event(
            logger,
            logging.ERROR,
            "unexpected error",
            activity=activity,
            reason=repr(exc),
            **fields,
        )
        logger.warning("traceback of an unexpected error", exc_info=True)


async def keep_running(logger, activity, function):
    """Run a background activity, again after each unexpected error.

    Parameters
    ----------
    logger : logging.Logger
    activity : str
    function : callable
        ``await function()`` runs the activity.
    """
    while True:
        with contain(logger, activity):
            return await function()
        await anyio.sleep(RESTART_DELAY_S)
