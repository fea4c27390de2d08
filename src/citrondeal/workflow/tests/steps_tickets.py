"""Steps for placement tickets of a step."""

from behave import given
from behave import then
from behave import when

from citrondeal.workflow.tests import bench as single

VALID_S = 1.5


@given("a workflow gang whose tickets were renewed for two free workers")
def _(context):
    context.bench = bench = single.Bench(workers=("w0", "w1", "w2", "w3"))
    for name in "abcd":
        bench.submit(name, 4.0)
    bench.plan()
    bench.submit("gang", 2.0, tasks=4, ticketed=True, gang=True)
    bench.plan()
    bench.grant(bench.calls[0], VALID_S)
    assert bench.plan() == [] and not bench.calls, bench.calls
    bench.now += 2 * VALID_S
    bench.end_one("w0")
    bench.end_one("w1")
    (renewal,) = bench.calls
    assert set(renewal.workers) == {"w0", "w1"}, renewal
    context.renewal = renewal


@when("workflow less room becomes free on two other allowed workers")
def _(context):
    bench = context.bench
    for name in ("w2", "w3"):
        bench.submit(f"small-{name}", 2.0)
        bench.end_one(name)


@then("the workflow gang starts with the renewed tickets")
def _(context):
    bench = context.bench
    bench.grant(context.renewal, VALID_S)
    assert bench.plan() == ["gang"] * 4, bench.calls
