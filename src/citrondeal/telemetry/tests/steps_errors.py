"""Steps for the containment of unexpected errors."""

import logging
from unittest import mock

import anyio
from behave import then

from citrondeal import telemetry
from citrondeal.telemetry import _errors


class _Clock:
    """Virtual time of an activity."""

    def __init__(self):
        self.now = 0.0

    async def sleep(self, seconds):
        self.now += seconds

    def current_time(self):
        return self.now


class _Handler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def _logger(name):
    logger = logging.getLogger(f"citrondeal.test.{name}")
    logger.setLevel(logging.DEBUG)
    logger.propagate = False
    handler = _Handler()
    logger.handlers = [handler]
    return logger, handler.lines


def _starts(seconds, run_s):
    """Return when an activity started that fails after `run_s` each time."""
    clock, starts = _Clock(), []

    async def fail():
        starts.append(clock.now)
        clock.now += run_s
        if clock.now < seconds:
            raise ZeroDivisionError

    logger, _ = _logger("restarts")
    with mock.patch.object(_errors, "anyio", clock):
        anyio.run(telemetry.keep_running, logger, "activity", fail)
    return starts


@then(
    "telemetry an activity that fails at once starts at most {limit:d} times a"
    " minute"
)
def _(context, limit):
    starts = _starts(60.0, 0.0)
    assert 2 < len(starts) <= limit, len(starts)


@then("telemetry an activity that fails after a while starts again soon")
def _(context):
    starts = _starts(200.0, 15.0)
    assert {b - a for a, b in zip(starts, starts[1:])} == {15.5}, starts


@then(
    "telemetry {count:d} equal errors in a row are counted but not all logged"
)
def _(context, count):
    logger, lines = _logger("contain")
    before = telemetry.unexpected_errors()
    for _ in range(count):
        with telemetry.contain(logger, f"many of {count}"):
            raise ZeroDivisionError
    assert telemetry.unexpected_errors() - before == count
    assert 2 <= len(lines) <= 20, len(lines)
    del lines[:]
    with telemetry.contain(logger, f"another beside {count}"):
        raise ZeroDivisionError
    assert len(lines) == 2, lines


@then("telemetry the number of errors that were not logged is told")
def _(context):
    counter = _errors._ErrorCounter()
    told = [counter.add("a", ValueError(), 0.1 * n) for n in range(100)]
    assert told.count(0) == 5 and told.count(None) == 95, told
    assert counter.add("a", ValueError(), 10.0) == 95
    assert counter.add("a", TypeError(), 10.0) == 0
