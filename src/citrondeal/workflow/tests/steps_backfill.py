"""Steps for tasks that use the room which is kept for a gang."""

from behave import given
from behave import then
from behave import when

from citrondeal.workflow.tests import harness as harnesses

CORES = 32
WORKERS = ("w0", "w1", "w2")
GANG = {"cores": 15.0, "tasks": 6, "run_s": 16.0, "gang": True}
GANG_WAIT_S = 1.5  # room is kept from then on


@given(
    "a workflow gang that waits {seconds:g} s for a long task on one of its"
    " workers"
)
def _(context, seconds):
    context.harness = harness = harnesses.Harness(CORES, WORKERS)
    harness.submit("long", 9.0, run_s=seconds + GANG_WAIT_S)
    assert harness.plan() == ["long"]
    [context.long_worker] = [n for n, r in harness.running.items() if r]
    harness.submit("gang", **GANG)
    harness.now += GANG_WAIT_S
    harness.report_all()
    assert harness.plan() == []


def _submit(context, run_s):
    context.harness.submit("late", 4.0, priority=2, run_s=run_s)


@when("a workflow task of {run_s:g} s arrives")
def _(context, run_s):
    _submit(context, run_s)


@when("{seconds:g} s have passed and a workflow task of {run_s:g} s arrives")
def _(context, seconds, run_s):
    context.harness.now += seconds
    _submit(context, run_s)


@when("the long task is nearly done and a workflow task of 1 s arrives")
def _(context):
    harness = context.harness
    [task] = harness.running[context.long_worker]
    harness.scheduler.workers[context.long_worker].runs[task].percent = 99.0
    _submit(context, 1.0)


@then("it starts at once")
def _(context):
    assert context.harness.plan() == ["late"]


@then("it does not start before the workflow gang")
def _(context):
    assert context.harness.plan() == []
    started = context.harness.end_one(context.long_worker)
    assert started[: GANG["tasks"]] == ["gang"] * GANG["tasks"], started
