"""Steps for placement tickets of a step."""

from behave import given
from behave import then
from behave import when

from citrondeal.workflow.tests import harness as harnesses

VALID_S = 1.5


@given("a workflow gang whose tickets were renewed for two free workers")
def _(context):
    context.harness = harness = harnesses.Harness(
        workers=("w0", "w1", "w2", "w3")
    )
    for name in "abcd":
        harness.submit(name, 4.0)
    harness.plan()
    harness.submit("gang", 2.0, tasks=4, ticketed=True, gang=True)
    harness.plan()
    harness.grant(harness.ticket_calls[0], VALID_S)
    assert harness.plan() == [] and not harness.ticket_calls, (
        harness.ticket_calls
    )
    harness.now += 2 * VALID_S
    harness.end_one("w0")
    harness.end_one("w1")
    (renewal,) = harness.ticket_calls
    assert set(renewal.workers) == {"w0", "w1"}, renewal
    context.renewal = renewal


@when("workflow fewer cores become free on two other allowed workers")
def _(context):
    harness = context.harness
    for name in ("w2", "w3"):
        harness.submit(f"small-{name}", 2.0)
        harness.end_one(name)


@then("the workflow gang starts with the renewed tickets")
def _(context):
    harness = context.harness
    harness.grant(context.renewal, VALID_S)
    assert harness.plan() == ["gang"] * 4, harness.ticket_calls


@given("a workflow gang of {tasks:d} tasks and {count:d} free workers")
def _(context, tasks, count):
    names = [f"w{i}" for i in range(count)]
    context.harness = harnesses.Harness(workers=names)
    context.harness.submit("gang", 4.0, tasks=tasks, ticketed=True, gang=True)
    assert context.harness.plan() == []


@then("workflow {count:d} workers are asked about in {calls:d} calls at once")
def _(context, count, calls):
    asked = [
        worker for c in context.harness.ticket_calls for worker in c.workers
    ]
    assert len(asked) == len(set(asked)) == count, asked
    assert len(context.harness.ticket_calls) == calls, (
        context.harness.ticket_calls
    )


@then("the workflow large gang starts once all calls allow half of them")
def _(context):
    for call in list(context.harness.ticket_calls):
        assert context.harness.plan() == []
        context.harness.grant(call, VALID_S, refused=call.workers[::2])
    assert len(context.harness.plan()) == 40


@given("a workflow queue for which few workers were allowed before")
def _(context):
    names = [f"w{i}" for i in range(70)]
    context.harness = harness = harnesses.Harness(workers=names)
    for name in "abcdefgh":
        harness.submit(name, 4.0, ticketed=True)
        harness.plan()
        harness.grant(harness.ticket_calls[0], VALID_S, refused=names[1:])


@then(
    "a workflow step of {tasks:d} tasks asks about {count:d} workers at once"
)
def _(context, tasks, count):
    harness = context.harness
    harness.ticket_calls.clear()
    harness.submit("next", 4.0, tasks=tasks, ticketed=True)
    harness.plan()
    calls = [call for call in harness.ticket_calls if call.step.job == "next"]
    assert sum(len(call.workers) for call in calls) == count, calls


@given("a workflow gang whose tickets are renewed on the only two workers")
def _(context):
    context.harness = harness = harnesses.Harness(workers=("w0", "w1"))
    for name in "ab":
        harness.submit(name, 4.0)
    harness.plan()
    harness.submit("gang", 4.0, tasks=2, ticketed=True, gang=True)
    harness.plan()
    harness.grant(harness.ticket_calls[0], VALID_S)
    harness.now += 2 * VALID_S
    harness.end_one("w0")
    harness.end_one("w1")
    (context.renewal,) = harness.ticket_calls


@when("a workflow urgent task that does not fit arrives")
def _(context):
    context.harness.submit("urgent", 4.0, priority=0)
    assert context.harness.plan() == []


@then("the workflow gang starts once its renewal is answered")
def _(context):
    context.harness.grant(context.renewal, VALID_S)
    assert context.harness.plan() == ["gang"] * 2, context.harness.ticket_calls


@given("a workflow gang of {tasks:d} tasks and {count:d} full workers")
def _(context, tasks, count):
    names = [f"w{i}" for i in range(count)]
    context.harness = harnesses.Harness(workers=names)
    context.harness.submit("batch", 4.0, tasks=count)
    assert len(context.harness.plan()) == count
    context.harness.submit("gang", 4.0, tasks=tasks, ticketed=True, gang=True)
    assert context.harness.plan() == []


@given("a workflow gang whose tickets are renewed while another is valid")
def _(context):
    context.harness = harness = harnesses.Harness(workers=("w0", "w1"))
    harness.submit("first", 4.0)
    harness.plan()
    harness.submit("gang", 4.0, tasks=2, ticketed=True, gang=True)
    harness.plan()
    harness.grant(harness.ticket_calls[0], VALID_S)
    harness.now += 2 * VALID_S
    # The new worker gets a valid ticket, but a task of another job too.
    harness.add_worker("a2")
    harness.submit("urgent", 4.0, priority=0)
    assert harness.plan() == ["urgent"]
    harness.grant(harness.ticket_calls[0], VALID_S)
    harness.end_one(next(w for w, r in harness.running.items() if r))
    (context.renewal,) = harness.ticket_calls
    assert set(context.renewal.workers) == {"w0", "w1"}, context.renewal


@when("the workflow worker with the valid ticket becomes free")
def _(context):
    harness = context.harness
    assert harness.end_one("a2") == []
    harness.now += VALID_S
    assert harness.plan() == []


@then(
    "the workflow gang starts with tickets renewed in calls of at most"
    " {limit:d} workers"
)
def _(context, limit):
    harness = context.harness
    while harness.ticket_calls:
        harness.grant(harness.ticket_calls[0], VALID_S)
        assert harness.plan() == []
    harness.now += 2 * VALID_S
    for name in harness.running:
        started = harness.end_one(name)
    assert started == []
    sizes = [len(call.workers) for call in harness.ticket_calls]
    assert sizes and max(sizes) <= limit, sizes
    while harness.ticket_calls:
        harness.grant(harness.ticket_calls[0], VALID_S)
    assert set(harness.plan()) == {"gang"}


def _create_waiting_gang(count):
    """Return a cell with a gang that does not fit, after its first round."""
    harness = harnesses.Harness(workers=[f"w{i:03d}" for i in range(count)])
    harness.submit("batch", 4.0, tasks=count)
    assert len(harness.plan()) == count
    harness.submit("gang", 4.0, tasks=2, ticketed=True, gang=True)
    assert harness.plan() == []
    for call in list(harness.ticket_calls):
        harness.grant(call, VALID_S)
    assert harness.plan() == []
    return harness


@given("a workflow gang that asks about further workers")
def _(context):
    context.harness = _create_waiting_gang(70)
    assert len(context.harness.ticket_calls) == 1


@when("workflow enough allowed workers become free")
def _(context):
    harness = context.harness
    harness.now += 2 * VALID_S
    harness.end_one("w000")
    harness.end_one("w001")


@then("the workflow gang renews its tickets at once")
def _(context):
    renewals = [c for c in context.harness.ticket_calls if c.renewal]
    assert [set(c.workers) for c in renewals] == [{"w000", "w001"}], renewals
    context.harness.grant(renewals[0], VALID_S)
    assert context.harness.plan() == ["gang"] * 2


@given("a workflow gang that does not fit on the workers of its first round")
def _(context):
    context.harness = _create_waiting_gang(200)


@then("workflow all other workers are asked about at once")
def _(context):
    calls = context.harness.ticket_calls
    names = [worker for call in calls for worker in call.workers]
    assert len(set(names)) == len(names) == 140, len(names)
    assert len(calls) == 5, [len(call.workers) for call in calls]


@then("workflow the calls of a job in time come before those of a late one")
def _(context):
    harness = harnesses.Harness()
    harness.submit("late", 4.0, run_s=1.0, ticketed=True)
    (job,) = harness.scheduler.jobs.values()
    harness.now = job.due_at
    harness.submit("later", 4.0, run_s=1.0, priority=2, ticketed=True)
    harness.plan()
    calls = {call.step.job: call for call in harness.ticket_calls}
    assert calls["later"].urgency < calls["late"].urgency, calls


@when("a workflow worker of the renewal is removed before its answer")
def _(context):
    harness = context.harness
    harness.scheduler.on_worker_unlisted("w1", harness.now)
    harness.scheduler.on_renewal_failed("w1", "no answer", harness.now)
    del harness.infos["w1"], harness.running["w1"], harness.ends["w1"]
    harness.now += harnesses.LEASE_S * 2
    harness.report_all()
    harness.plan()
    assert "w1" not in harness.scheduler.workers
    harness.grant(context.renewal, VALID_S)
    harness.add_worker("w2")


@then("the workflow gang starts on another worker")
def _(context):
    harness = context.harness
    started = []
    for _ in range(3):
        started += harness.plan()
        for call in list(harness.ticket_calls):
            harness.grant(call, VALID_S)
    started += harness.plan()
    assert started == ["gang"] * 2, (started, harness.ticket_calls)
