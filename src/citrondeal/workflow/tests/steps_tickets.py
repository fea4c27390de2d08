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


@given("a workflow gang of {tasks:d} tasks and {count:d} free workers")
def _(context, tasks, count):
    names = [f"w{i}" for i in range(count)]
    context.bench = single.Bench(workers=names)
    context.bench.submit("gang", 4.0, tasks=tasks, ticketed=True, gang=True)
    assert context.bench.plan() == []


@then("workflow {count:d} workers are asked about in {calls:d} calls at once")
def _(context, count, calls):
    asked = [worker for c in context.bench.calls for worker in c.workers]
    assert len(asked) == len(set(asked)) == count, asked
    assert len(context.bench.calls) == calls, context.bench.calls


@then("the workflow wide gang starts once all calls have allowed half of them")
def _(context):
    for call in list(context.bench.calls):
        assert context.bench.plan() == []
        context.bench.grant(call, VALID_S, refused=call.workers[::2])
    assert len(context.bench.plan()) == 40


@given("a workflow queue of whose workers few were allowed before")
def _(context):
    names = [f"w{i}" for i in range(70)]
    context.bench = bench = single.Bench(workers=names)
    for name in "abcdefgh":
        bench.submit(name, 4.0, ticketed=True)
        bench.plan()
        bench.grant(bench.calls[0], VALID_S, refused=names[1:])


@then(
    "a workflow step of {tasks:d} tasks asks about {count:d} workers at once"
)
def _(context, tasks, count):
    bench = context.bench
    bench.calls.clear()
    bench.submit("next", 4.0, tasks=tasks, ticketed=True)
    bench.plan()
    calls = [call for call in bench.calls if call.step.job == "next"]
    assert sum(len(call.workers) for call in calls) == count, calls


@given("a workflow gang whose tickets are renewed on the only two workers")
def _(context):
    context.bench = bench = single.Bench(workers=("w0", "w1"))
    for name in "ab":
        bench.submit(name, 4.0)
    bench.plan()
    bench.submit("gang", 4.0, tasks=2, ticketed=True, gang=True)
    bench.plan()
    bench.grant(bench.calls[0], VALID_S)
    bench.now += 2 * VALID_S
    bench.end_one("w0")
    bench.end_one("w1")
    (context.renewal,) = bench.calls


@when("a workflow urgent task that does not fit arrives")
def _(context):
    context.bench.submit("urgent", 4.0, priority=0)
    assert context.bench.plan() == []


@then("the workflow gang starts once its renewal is answered")
def _(context):
    context.bench.grant(context.renewal, VALID_S)
    assert context.bench.plan() == ["gang"] * 2, context.bench.calls


@given("a workflow gang of {tasks:d} tasks and {count:d} full workers")
def _(context, tasks, count):
    names = [f"w{i}" for i in range(count)]
    context.bench = single.Bench(workers=names)
    context.bench.submit("batch", 4.0, tasks=count)
    assert len(context.bench.plan()) == count
    context.bench.submit("gang", 4.0, tasks=tasks, ticketed=True, gang=True)
    assert context.bench.plan() == []
