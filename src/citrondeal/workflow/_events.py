"""Log lines of the scheduler."""

import logging

from citrondeal import telemetry

_LOG = logging.getLogger(__name__)


def log(level, message, **fields):
    """Log one decision or belief with its inputs."""
    telemetry.event(_LOG, level, message, **fields)


def task_name(task_id):
    """Return the name of a task within its job."""
    return f"{task_id.occurrence}.{task_id.step}.{task_id.index}"
