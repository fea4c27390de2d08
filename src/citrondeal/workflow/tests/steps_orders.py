"""Steps for orders without an answer, and for owners that are cut off."""

from behave import given
from behave import then
from behave import when

from citrondeal import election
from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

OUTCOMES = workflow.OrderOutcome
# A worker's clock may be this much slower than that of an owner.
CLOCK_DRIFT = 1.02
PASS_S = 0.1
STOP_CALL_PERIOD_S = 0.4
REPORT_PERIOD_S = 1.0


def _decide_start(harness):
    [start] = harness.scheduler.plan(harness.now)
    assert isinstance(start, workflow.Start), start
    return start


def _answer(harness, start, outcome):
    harness.scheduler.on_started(
        start.task, start.run, start.worker, outcome, harness.now
    )


@given("a workflow worker whose start got no answer")
def _(context):
    context.harness = harness = harnesses.Harness()
    harness.submit_with_tickets("a", 4.0)
    _answer(harness, _decide_start(harness), OUTCOMES.UNKNOWN)
    context.freed_after_s = None


@when("workflow stops are repeated while each report takes a second")
def _(context):
    harness = context.harness
    scheduler = harness.scheduler
    began = requested_at = harness.now
    while harness.now - began < 10 * REPORT_PERIOD_S:
        harness.now += PASS_S
        for action in scheduler.plan(harness.now):
            if isinstance(action, workflow.Stop):
                scheduler.on_stopped(
                    action.task,
                    action.run,
                    action.worker,
                    OUTCOMES.OK,
                    harness.now,
                )
        if harness.now - requested_at >= REPORT_PERIOD_S:
            report = workflow.Report(harness.now, 1, [], [])
            scheduler.on_report("w0", report, requested_at, harness.now)
            requested_at = harness.now
        if not scheduler.workers["w0"].runs:
            context.freed_after_s = harness.now - began
            return


@then("the workflow resources of the run are free within {seconds:d} seconds")
def _(context, seconds):
    assert context.freed_after_s is not None, "never"
    assert context.freed_after_s <= seconds, context.freed_after_s


@then("workflow a job whose start was refused still counts as waiting")
def _(context):
    harness = harnesses.Harness()
    harness.submit("a", 4.0)
    start = _decide_start(harness)
    assert harness.scheduler.backlog("queue") == 1
    _answer(harness, start, OUTCOMES.REFUSED)
    assert harness.scheduler.backlog("queue") == 1


@then("workflow a job whose start was confirmed does not count as waiting")
def _(context):
    harness = harnesses.Harness()
    harness.submit("a", 4.0)
    _answer(harness, _decide_start(harness), OUTCOMES.OK)
    assert harness.scheduler.backlog("queue") == 0


@then("workflow a job whose start got no answer waits until it is reported")
def _(context):
    harness = harnesses.Harness()
    harness.submit("a", 4.0)
    start = _decide_start(harness)
    _answer(harness, start, OUTCOMES.UNKNOWN)
    assert harness.scheduler.backlog("queue") == 1
    harness.running[start.worker][start.task] = start.run
    harness.end_one()
    assert harness.scheduler.backlog("queue") == 0


@then(
    "workflow tasks of a worker that only the earlier owner reaches start"
    " elsewhere after its last lease"
)
def _(context):
    earlier = harnesses.Harness(workers=("cut", "free"))
    # The worker "cut" is chosen for its name.
    earlier.submit("a", 4.0, run_s=60.0)
    assert earlier.plan() == ["a"]
    assert len(earlier.running["cut"]) == 1
    _, workers, _ = earlier.store()
    began = earlier.now
    confirmation = election.Confirmation(1, began)
    later = workflow.Scheduler(
        workflow.Config(harnesses.LEASE_S, harnesses.STATUS_S), 2
    )
    [submission] = [j.submission for j in earlier.scheduler.jobs.values()]
    later.on_submission(submission, 0, began, recovered=True)
    stored = [workflow.StoredWorker(i) for i in earlier.infos.values()]
    later.recover_workers(stored, began)
    for info in earlier.infos.values():
        later.on_worker(info, began)
    lease_ends_at = 0.0
    now = began
    while now < began + 10 * harnesses.LEASE_S:
        now += PASS_S
        if confirmation.holds({"other zone"}, now):
            lease_ends_at = now + harnesses.LEASE_S * CLOCK_DRIFT
        report = workflow.Report(now, 1, [], [])
        later.on_report("free", report, now, now)
        later.on_stored(*later.take_changes())
        starts = [a for a in later.plan(now) if isinstance(a, workflow.Start)]
        if starts:
            assert [s.worker for s in starts] == ["free"], starts
            assert now > lease_ends_at, (now - began, lease_ends_at - began)
            return
    raise AssertionError("the task never starts again")
