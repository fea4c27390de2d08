"""Steps for the leases that starts give to their workers."""

from behave import given
from behave import then
from behave import when

from citrondeal.workflow.tests import harness as harnesses

CUT_OFF_S = 20.0  # longer than any lease
START_LEASE_S = 2.5  # from a start, on the clock of its worker
STEP_S = 0.05
# The clock of the worker may be 2 % slow, and the start takes time to arrive.
LATEST_S = START_LEASE_S * 1.02 + 0.5


def _cut_off(harness):
    harness.scheduler.on_renewal_failed("w0", "cut", harness.now)


@given("a workflow worker that was cut off until its leases had lapsed")
def _(context):
    context.harness = harness = harnesses.Harness()
    _cut_off(harness)
    harness.store()
    harness.now += CUT_OFF_S
    assert harness.plan() == []


@when("the workflow worker gets a start and is cut off before a renewal")
def _(context):
    harness = context.harness
    harness.report_all()
    harness.store()
    harness.submit("batch", 4.0, run_s=60.0)
    assert harness.plan() == ["batch"]
    context.started_at = harness.now
    harness.add_worker("w1")
    _cut_off(harness)


@then("the workflow task starts elsewhere once the lease of its start is over")
def _(context):
    harness = context.harness
    while not harness.plan():
        harness.now += STEP_S
        assert harness.now < context.started_at + LATEST_S
    assert harness.now > context.started_at + START_LEASE_S, (
        harness.now - context.started_at
    )
