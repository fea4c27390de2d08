"""Steps for the leases that starts give to their workers."""

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow import _model
from citrondeal.workflow.tests import harness as harnesses

CUT_OFF_S = 20.0  # longer than any lease
# From a start on. The clock of its worker may be 2 % slow.
START_LEASE_S = 2.5 / 0.98
LATEST_S = START_LEASE_S + 0.5
STEP_S = 0.05
ENDS_AT_S = 100.9  # on the clocks of the harness


def _cut_off(harness, name="w0"):
    harness.scheduler.on_renewal_failed(name, "cut", harness.now)


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
        harness.store()
        assert harness.now < context.started_at + LATEST_S
    assert harness.now > context.started_at + START_LEASE_S, (
        harness.now - context.started_at
    )


@given("a workflow owner that has read when the leases of a worker end")
def _(context):
    scheduler = workflow.Scheduler(workflow.Config(harnesses.LEASE_S), 2)
    context.harness = harnesses.Harness(scheduler=scheduler, workers=())
    info = workflow.WorkerInfo("w0", "w0:1", "service", "zone", born_ms=1)
    ends = {n: _model.Witness(1, ENDS_AT_S) for n in ("w1", "w2")}
    stored = workflow.StoredWorker(info, (), (), 0, ends)
    scheduler.recover_workers([stored], context.harness.now)
    for name in ("w0", "w1", "w2"):
        context.harness.add_worker(name)
    assert scheduler.workers["w0"].lease_expires_at < ENDS_AT_S + 0.1


@when(
    "the workflow worker gets a start and another one becomes free before a"
    " renewal"
)
def _(context):
    harness = context.harness
    for job in ("a", "b", "c"):
        harness.submit(job, 4.0, run_s=60.0)
    assert len(harness.plan()) == 3
    context.started_at = harness.now
    del harness.running["w0"]  # it reports nothing from now on
    _cut_off(harness)
    assert harness.end_one("w1") == []


@given("a workflow task with a crash and workers whose leases are over")
def _(context):
    names = ("w0", "w1", "w2")
    context.harness = harness = harnesses.Harness(workers=names)
    harness.submit("batch", 4.0, run_s=60.0)
    harness.plan()
    harness.report_all()
    [name] = [name for name, runs in harness.running.items() if runs]
    del harness.running[name]
    for _ in range(2):  # the first report raises the fence
        harness.now += STEP_S
        report = workflow.Report(harness.now, 2, [], [])
        harness.scheduler.on_report(name, report, harness.now, harness.now)
    harness.store()
    harness.now += CUT_OFF_S
    harness.report_all()


@when("its next workflow start is stored 2 s after its decision")
def _(context):
    harness = context.harness
    assert harness.plan() == []
    harness.now += 2.0
    harness.store()
    assert harness.plan() == ["batch"]
    context.started_at = harness.now
    [name] = [name for name, runs in harness.running.items() if runs]
    _cut_off(harness, name)
