"""Logging of the scheduler, so that all its events have one logger name."""

import logging

from citrondeal import telemetry

_LOG = logging.getLogger(__name__)


def log(level, message, **fields):
    """Log a decision or a change of state, with its inputs as fields."""
    telemetry.event(_LOG, level, message, **fields)


def task_name(task_id):
    """Return the name of a task within its job, for log events."""
    return f"{task_id.occurrence}.{task_id.step}.{task_id.index}"
