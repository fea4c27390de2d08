"""Steps for the fences of orders to a worker that may have started again."""

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

OUTCOMES = workflow.OrderOutcome
EPOCH = 1  # of the harness
CUT_OFF_S = 20.0  # longer than any lease


def _report(harness, born_ms, runs=(), sent_at=None):
    """Let a worker answer a renewal that was sent now or earlier."""
    harness.now += 0.05
    sent_at = harness.now if sent_at is None else sent_at
    running = [workflow.ReportedRun(t, n, "", 0.0) for t, n in runs]
    report = workflow.Report(1.0, born_ms, running, [])
    harness.scheduler.on_report("w0", report, sent_at, harness.now)


@given("a workflow worker with a listed run and an end that is stored")
def _(context):
    context.harness = harness = harnesses.Harness()
    harness.submit("first", 4.0)
    harness.submit("second", 4.0, run_s=60.0)
    harness.plan()
    harness.end_one()
    harness.report_all()
    harness.store()
    context.worker = worker = harness.scheduler.workers["w0"]
    assert worker.acknowledgement == 1 and len(worker.runs) == 1
    context.fence = worker.fence


@when("a report under the earlier fence shows that the worker started again")
def _(context):
    context.sent_at = context.harness.now
    _report(context.harness, 2)


@then("workflow the run stays, no end is acknowledged and the fence is higher")
def _(context):
    worker = context.worker
    assert len(worker.runs) == 1 and worker.acknowledgement == 0
    assert worker.fence > context.fence and not worker.usable
    assert worker.info.born_ms == 1


@then("workflow a report that was sent before changes nothing")
def _(context):
    _report(context.harness, 2, sent_at=context.sent_at)
    assert len(context.worker.runs) == 1 and context.worker.info.born_ms == 1


@then("workflow a report under the higher fence releases the run")
def _(context):
    _report(context.harness, 2)
    assert not context.worker.runs and context.worker.info.born_ms == 2


@given("a workflow worker whose start got no answer and whose stop {stop}")
def _(context, stop):
    context.harness = harness = harnesses.Harness()
    scheduler = harness.scheduler
    harness.submit_with_tickets("a", 4.0, run_s=60.0)
    [start] = scheduler.plan(harness.now)
    order = (start.task, start.run, "w0")
    scheduler.on_started(*order, OUTCOMES.UNKNOWN, harness.now)
    [stop_order] = scheduler.plan(harness.now)
    assert isinstance(stop_order, workflow.Stop)
    outcome = OUTCOMES.OK if stop == "was confirmed" else OUTCOMES.UNKNOWN
    scheduler.on_stopped(*order, outcome, harness.now)
    context.start = start


@when("the workflow worker starts again and {has} the run")
def _(context, has):
    harness = context.harness
    harness.scheduler.on_renewal_failed("w0", "cut", harness.now)
    runs = [(context.start.task, context.start.run)] if has == "has" else []
    context.listed = len(runs)
    _report(harness, 2, runs)


@then("workflow the run is kept only if the new incarnation has it")
def _(context):
    worker = context.harness.scheduler.workers["w0"]
    assert len(worker.runs) == context.listed, worker.runs


@then("workflow a refusal under a fence that was raised shows no newer owner")
def _(context):
    harness = harnesses.Harness()
    worker = harness.scheduler.workers["w0"]
    sent_under = worker.fence
    harness.scheduler.on_renewal_failed("w0", "cut", harness.now)
    for outcome in OUTCOMES:
        late = workflow.settle_outcome(outcome, sent_under, worker)
        is_fenced = outcome is OUTCOMES.FENCED
        assert late is (OUTCOMES.UNKNOWN if is_fenced else outcome), late
        assert workflow.settle_outcome(outcome, worker.fence, worker) is (
            outcome
        )


@then("workflow a worker that is removed and listed again has a higher fence")
def _(context):
    harness = harnesses.Harness()
    scheduler = harness.scheduler
    scheduler.on_renewal_failed("w0", "cut", harness.now)
    seen = scheduler.workers["w0"].fence
    scheduler.on_worker_unlisted("w0", harness.now)
    harness.now += CUT_OFF_S
    harness.plan()
    assert "w0" not in scheduler.workers
    scheduler.on_worker(harness.infos["w0"], harness.now)
    assert scheduler.workers["w0"].fence > seen


@then("workflow the fence of a worker stays below those of the next epoch")
def _(context):
    worker = harnesses.Harness().scheduler.workers["w0"]
    following = workflow.Scheduler(workflow.Config(), EPOCH + 1)
    following.on_worker(worker.info, 0.0)
    worker.fence = following.workers["w0"].fence - 2
    for _ in range(3):
        worker.raise_fence(0.0)
    assert worker.fence == following.workers["w0"].fence - 1
