"""Steps for the waits of steps, by what they lack."""

import functools
import logging

from behave import then

from citrondeal.workflow import _waits
from citrondeal.workflow.tests import harness as harnesses

VALID_S = 1.5


def _seconds(harness):
    return {
        reason: round(seconds, 3)
        for (_, reason), seconds in harness.scheduler.waits.seconds.items()
        if seconds
    }


def _collect(lines, record):
    lines.append(record)
    return True


@then("workflow a gang lacks tickets, then room, then a renewal")
def _(context):
    reasons = _waits.WaitReason
    harness = harnesses.Harness(workers=("w0", "w1"))
    for name in "ab":
        harness.submit(name, 4.0)
    harness.plan()
    harness.submit("gang", 4.0, tasks=2, ticketed=True, gang=True)
    harness.plan()
    harness.now += 0.45
    harness.grant(harness.ticket_calls[0], VALID_S)
    harness.plan()
    assert _seconds(harness) == {reasons.TICKETS: 0.5}, _seconds(harness)
    harness.now += 2 * VALID_S
    harness.end_one("w0")
    harness.end_one("w1")
    (renewal,) = harness.ticket_calls
    harness.now += 0.95
    harness.grant(renewal, VALID_S)
    lines = []
    logger = logging.getLogger("citrondeal.workflow._events")
    collect = functools.partial(_collect, lines)
    logger.addFilter(collect)
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        assert harness.plan() == ["gang"] * 2
    finally:
        logger.removeFilter(collect)
        logger.setLevel(level)
    seconds = _seconds(harness)
    assert set(seconds) == {reasons.TICKETS, reasons.ROOM, reasons.RENEWAL}
    assert seconds[reasons.RENEWAL] == 1.0, seconds
    assert seconds[reasons.ROOM] > 2 * VALID_S, seconds
    (line,) = [r for r in lines if r.getMessage() == "gang starts"]
    assert set(line.fields["waited_s"]) == {r.value for r in seconds}, line
