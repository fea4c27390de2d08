"""Steps for single decisions of the scheduler."""

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import bench as single


@given("a workflow worker with 4 cores and a backlog of 2-core tasks")
def _(context):
    context.bench = single.Bench()
    context.bench.submit("batch", 2.0, tasks=50, run_s=2.0)
    assert context.bench.plan() == ["batch", "batch"]


@when("a workflow urgent task of 3 cores arrives")
def _(context):
    context.bench.submit("urgent", 3.0, priority=0)
    assert context.bench.plan() == []


@then("the workflow urgent task starts once both running tasks have ended")
def _(context):
    assert context.bench.end_one() == []
    assert context.bench.end_one() == ["urgent"]


@when("a workflow gang of 2 tasks with 2 cores waits for 5 seconds")
def _(context):
    context.bench.submit("gang", 2.0, tasks=2, gang=True)
    assert context.bench.plan() == []
    context.bench.now += 5.0
    context.bench.hear()
    assert context.bench.plan() == []


@then("the workflow gang starts once both running tasks have ended")
def _(context):
    assert context.bench.end_one() == []
    assert context.bench.end_one() == ["gang", "gang"]


@given("a workflow worker with 4 cores and a task that fills it")
def _(context):
    context.bench = single.Bench()
    context.bench.submit("batch", 4.0, run_s=2.0)
    assert context.bench.plan() == ["batch"]


@when("workflow jobs wait until one is late and another far too late")
def _(context):
    # The objective of the jobs is ten times their run time.
    bench = context.bench
    bench.submit("far-too-late", 4.0, run_s=0.1)
    bench.now += 2.0
    bench.submit("late", 4.0, run_s=0.1)
    bench.now += 1.5
    bench.submit("in-time", 4.0, run_s=0.1)


@then("the workflow job that is in time starts before the late ones")
def _(context):
    assert context.bench.end_one() == ["in-time"]


@then("the workflow job that is far too late starts last")
def _(context):
    assert context.bench.end_one() == ["late"]
    assert context.bench.end_one() == ["far-too-late"]


@given("two workflow workers of which one makes no progress")
def _(context):
    context.bench = bench = single.Bench(workers=("w0", "w1"))
    bench.submit("stuck", 1.0)
    bench.submit("other", 1.0)
    bench.plan()
    # The fullest worker has both; without the fault it gets the next one.
    assert len(bench.running["w0"]) == 2, bench.running
    bench.now += 2.0
    bench.hear()


@then("a workflow task starts on the other worker")
def _(context):
    context.bench.submit("next", 1.0)
    assert context.bench.plan() == ["next"]
    assert len(context.bench.running["w1"]) == 1, context.bench.running


@then("a workflow task that needs the first worker starts there")
def _(context):
    context.bench.submit("more", 1.0, tasks=5)
    assert context.bench.plan() == ["more"] * 5
    assert len(context.bench.running["w0"]) == 4, context.bench.running


@then("workflow tasks of a silent worker wait and all others start")
def _(context):
    first = single.Bench(workers=("w0", "w1"))
    first.submit("batch", 2.0, tasks=6)
    first.plan()
    first.scheduler.on_renewal_failed("w1", "timeout", first.now)
    stored = first.store()[1]["w1"]
    lost = set(first.running["w1"])
    assert set(stored.runs) == lost and lost, stored
    second = single.Bench(workers=("w0",))
    second.scheduler.on_submission(
        first.scheduler.jobs["batch"].submission, 0, second.now, True
    )
    second.scheduler.recover_workers([stored], second.now)
    assert second.scheduler.earlier_runs_known
    tasks = {a.task for a in second.scheduler.plan(second.now)}
    assert tasks and not tasks & lost, tasks


@then("workflow a worker that is replaced at its address frees its tasks")
def _(context):
    bench = single.Bench(workers=("w0", "w1"))
    bench.submit("batch", 2.0, tasks=4)
    assert len(bench.plan()) == 4
    bench.scheduler.on_renewal_failed("w1", "timeout", bench.now)
    replacement = workflow.WorkerInfo(
        "w2", "w1:1", "service", "zone", born_ms=2
    )
    bench.scheduler.on_worker(replacement, bench.now)
    waiting = bench.scheduler.jobs["batch"].steps[0].waiting()
    assert len(waiting) == 2, waiting
    assert bench.store()[1]["w1"] is None


@then("workflow a worker that is gone is dropped from the stored list")
def _(context):
    bench = single.Bench(workers=("w0", "w1"))
    bench.scheduler.on_renewal_failed("w1", "timeout", bench.now)
    bench.scheduler.on_worker_unlisted("w1", bench.now)
    bench.now += 2 * single.LEASE_S
    bench.plan()
    assert bench.store()[1]["w1"] is None
    assert "w1" not in bench.scheduler.workers


def _with_ended_job():
    bench = single.Bench()
    bench.submit("job", 1.0)
    bench.plan()
    bench.end_one()
    return bench


@then("workflow the submission of a job is dropped once its end is stored")
def _(context):
    bench = _with_ended_job()
    assert bench.scheduler.take_droppable() == []
    bench.store()
    assert bench.scheduler.take_droppable() == ["job"]
    assert bench.scheduler.take_droppable() == []
    bench.scheduler.keep_submissions(["job"])
    assert bench.scheduler.take_droppable() == ["job"]
    # Sent again by its client, and stored again by another process.
    bench.submit("job", 1.0)
    assert bench.plan() == []
    assert bench.scheduler.take_droppable() == ["job"]


@then("workflow the state of a job is kept for as long as clients may ask")
def _(context):
    bench = _with_ended_job()
    bench.store()
    bench.scheduler.take_droppable()
    bench.now += single.STATUS_S
    bench.scheduler.forget_expired_jobs(bench.now)
    state = bench.scheduler.job_state("job")
    assert state is workflow.JobState.COMPLETED, state
    bench.now += single.STATUS_S
    bench.scheduler.forget_expired_jobs(bench.now)
    assert bench.scheduler.job_state("job") is None
    assert bench.store()[0] == {"job": None}
