"""Steps for workers whose capacity shrinks and grows."""

import dataclasses

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

OUTCOMES = workflow.OrderOutcome
CAPACITIES_VALID_S = 2.5
FULL = workflow.Size(4000, 1000, 2)
HALVES = {
    "cores": workflow.Size(2000, 1000, 2),
    "memory": workflow.Size(4000, 500, 2),
    "accelerators": workflow.Size(4000, 1000, 1),
}
HALF_TASK = workflow.Size(2000, 500, 1)


def _report_capacity(harness, capacity, name="w0", **fields):
    """Let the owner read a new entry of a worker."""
    info = harness.infos[name]
    fields.setdefault("clock_s", info.clock_s + 1.0)
    info = dataclasses.replace(info, capacity=capacity, **fields)
    harness.infos[name] = info
    harness.scheduler.on_worker(info, harness.now)


def _restart(harness, clock_s):
    """Let a new incarnation report until the owner has taken it over."""
    for _ in range(2):
        report = workflow.Report(clock_s, 2, [], [])
        harness.scheduler.on_report("w0", report, harness.now, harness.now)
    harness.store()


def _submit(harness, job, size=HALF_TASK):
    step = workflow.Step(1, size, 1.0)
    policy = workflow.Policy("queue", "service", 1, 3, 10.0)
    harness.scheduler.on_submission(
        workflow.Submission(job, "", (step,), policy), 0, harness.now
    )


def _orders(harness):
    return harness.scheduler.plan(harness.now)


@given("a workflow worker with two tasks that fill it")
def _(context):
    context.harness = harness = harnesses.Harness()
    _report_capacity(harness, FULL)
    _submit(harness, "a")
    _submit(harness, "b")
    assert harness.plan() == ["a", "b"]


@when("the workflow worker shrinks by half in {resource}")
def _(context, resource):
    context.half = HALVES[resource]
    _report_capacity(context.harness, context.half)


@then("workflow no run is stopped and no task starts")
def _(context):
    _submit(context.harness, "c")
    _submit(context.harness, "d")
    orders = _orders(context.harness)
    assert orders == [], orders


@then("workflow a task starts only after both have ended, with room for one")
def _(context):
    assert context.harness.end_one() == []
    assert context.harness.end_one() == ["c"]
    assert context.harness.end_one() == ["d"]


@then(
    "workflow a large task waits, smaller ones run, and it starts after growth"
)
def _(context):
    harness = context.harness
    _submit(harness, "large", FULL)
    _submit(harness, "small")
    assert harness.end_one() == []
    assert harness.end_one() == ["small"]
    assert harness.end_one() == []
    _report_capacity(harness, FULL)
    assert harness.plan() == ["large"]


@when("a workflow task is stopped and the worker shrinks to half its cores")
def _(context):
    harness = context.harness
    harness.scheduler.on_cancel("a", harness.now)
    [stop] = _orders(harness)
    assert isinstance(stop, workflow.Stop), stop
    harness.scheduler.on_stopped(
        stop.task, stop.run, "w0", OUTCOMES.OK, harness.now
    )
    _report_capacity(harness, HALVES["cores"])


@then("workflow the room is used again only after both runs have ended")
def _(context):
    harness = context.harness
    _submit(harness, "c")
    assert harness.plan() == []
    assert harness.end_one() == []
    assert harness.end_one() == ["c"]


@then("workflow nothing starts beside an unanswered start on a shrunk worker")
def _(context):
    harness = harnesses.Harness()
    harness.submit_with_tickets("a", 2.0)
    [start] = _orders(harness)
    harness.scheduler.on_started(
        start.task, start.run, "w0", OUTCOMES.UNKNOWN, harness.now
    )
    _report_capacity(harness, HALVES["cores"])
    harness.submit("b", 2.0)
    assert harness.plan() == []
    # The stop is confirmed, and a later report does not list the run.
    harness.scheduler.on_stopped(
        start.task, start.run, "w0", OUTCOMES.OK, harness.now
    )
    harness.report_all()
    assert len(harness.plan()) == 1


@then(
    "workflow a gang whose tickets are renewed does not start on shrunk"
    " workers"
)
def _(context):
    harness = harnesses.Harness(workers=("w0", "w1"))
    harness.submit("gang", 4.0, tasks=2, gang=True, ticketed=True)
    assert harness.plan() == []
    harness.grant(harness.ticket_calls[0], 0.0)
    # The tickets have expired on arrival, so they are renewed.
    assert harness.plan() == []
    [renewal] = harness.ticket_calls
    assert renewal.renewal
    _report_capacity(harness, HALVES["cores"], "w1")
    harness.submit("other", 1.0)
    assert harness.plan() == []
    harness.grant(renewal, 10.0)
    assert harness.plan() == ["other"]
    harness.end_one("w0" if harness.running["w0"] else "w1")
    _report_capacity(harness, FULL, "w1")
    assert harness.plan() == ["gang", "gang"]


@then("workflow a new owner starts tasks only by the capacity in the list")
def _(context):
    earlier = harnesses.Harness()
    info = earlier.infos["w0"]
    owner = workflow.Scheduler(workflow.Config(harnesses.LEASE_S), 2)
    owner.recover_workers([workflow.StoredWorker(info)], 0.0)
    step = workflow.Step(3, workflow.Size(2000, 10), 1.0)
    policy = workflow.Policy("queue", "service")
    owner.on_submission(workflow.Submission("a", "", (step,), policy), 0, 0.0)
    owner.on_report("w0", workflow.Report(0.0, 1, [], []), 0.0, 0.0)
    owner.on_stored(*owner.take_changes())
    assert owner.earlier_runs_known
    assert owner.plan(0.1) == []
    info = dataclasses.replace(info, capacity=HALVES["cores"])
    owner.on_worker(info, 0.1)
    assert len(owner.plan(0.2)) == 1


@then("workflow a worker with a new incarnation is used only by its new entry")
def _(context):
    harness = harnesses.Harness()
    _restart(harness, harness.now)
    harness.submit("large", 4.0)
    harness.submit("small", 2.0)
    assert harness.plan() == []
    _report_capacity(harness, HALVES["cores"], born_ms=2)
    assert harness.plan() == ["small"]


@then("workflow a restarted worker is used although its clock begins anew")
def _(context):
    harness = harnesses.Harness()
    _report_capacity(harness, FULL, clock_s=harness.now)
    _restart(harness, 0.5)
    harness.submit("a", 1.0)
    _report_capacity(harness, FULL, born_ms=2, clock_s=0.5)
    assert harness.plan() == ["a"]


@then(
    "workflow a late entry brings back neither the capacity nor a draining"
    " worker"
)
def _(context):
    harness = harnesses.Harness()
    late = harness.infos["w0"]
    _report_capacity(harness, HALVES["cores"])
    harness.scheduler.on_worker(late, harness.now)
    harness.submit("a", 2.0, tasks=2)
    assert harness.plan() == ["a"]
    _report_capacity(harness, FULL, draining=True)
    harness.scheduler.on_worker(late, harness.now)
    assert harness.plan() == []


@then("workflow entries without an incarnation count in the order of the list")
def _(context):
    harness = harnesses.Harness()
    scheduler = harness.scheduler
    info = dataclasses.replace(
        harness.infos["w0"], worker="w1", address="w1:1", born_ms=0
    )
    scheduler.on_worker(dataclasses.replace(info, clock_s=9.0), harness.now)
    restarted = dataclasses.replace(info, clock_s=1.0, draining=True)
    scheduler.on_worker(restarted, harness.now)
    assert scheduler.workers["w1"].info.draining


@then(
    "workflow tasks start until the list is too old and again once it is read"
)
def _(context):
    config = workflow.Config(
        harnesses.LEASE_S, capacities_valid_s=CAPACITIES_VALID_S
    )
    harness = harnesses.Harness(scheduler=workflow.Scheduler(config, 1))
    read_at = harness.now
    harness.scheduler.on_workers_read(read_at)
    harness.submit("a", 2.0)
    harness.now = read_at + CAPACITIES_VALID_S - 0.1
    assert harness.plan() == ["a"]
    harness.submit("b", 2.0)
    harness.now = read_at + CAPACITIES_VALID_S
    assert harness.plan() == []
    harness.scheduler.on_cancel("a", harness.now)
    [stop] = _orders(harness)
    assert isinstance(stop, workflow.Stop), stop
    harness.scheduler.on_workers_read(harness.now)
    assert harness.plan() == ["b"]


@given("a workflow start that was decided and not sent")
def _(context):
    config = workflow.Config(
        harnesses.LEASE_S, capacities_valid_s=CAPACITIES_VALID_S
    )
    scheduler = workflow.Scheduler(config, 1)
    context.harness = harness = harnesses.Harness(scheduler=scheduler)
    scheduler.on_workers_read(harness.now)
    harness.submit("a", 4.0)
    [context.start] = _orders(harness)
    assert scheduler.still_holds(context.start, harness.now)


@when("workflow its worker shrinks")
def _(context):
    _report_capacity(context.harness, HALVES["cores"])


@when("workflow its worker drains")
def _(context):
    _report_capacity(context.harness, FULL, draining=True)


@when("workflow its worker starts again")
def _(context):
    _report_capacity(context.harness, FULL, born_ms=2)


@when("workflow its job is cancelled")
def _(context):
    context.harness.scheduler.on_cancel("a", context.harness.now)


@when("workflow the list is too old")
def _(context):
    context.harness.now += CAPACITIES_VALID_S + 0.1


@then("the workflow start does not hold any more")
def _(context):
    harness = context.harness
    assert not harness.scheduler.still_holds(context.start, harness.now)
