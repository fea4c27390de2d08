"""Steps for tasks of which several workers may have a run."""

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import crash_harness
from citrondeal.workflow.tests import harness as harnesses
from citrondeal.workflow.tests import random_silences

JOB = "00000000000000aa"
LONG_S = 300.0
FIRST_CUT_S = 13.0  # longer than any lease
SECOND_CUT_S = 5.5
LIMIT_S = 20.0


def _wait_for_second_start(cell):
    limit = cell.now + LIMIT_S
    while cell.start_count(JOB) < 2:
        assert cell.now < limit, "the task does not start elsewhere"
        cell.tick()


@given(
    "a workflow task that was started again after its worker {first} was lost"
)
def _(context, first):
    context.cell = cell = crash_harness.Cell(3)
    for name in cell.workers:  # the only free worker is the first one
        if name != first:
            cell.drain(name)
    cell.run(0.5)
    cell.submit(JOB, run_s=LONG_S)
    cell.run(1.0)
    assert cell.worker_of(JOB) == first
    for name in cell.workers:
        cell.admit(name)
    cell.run(0.5)
    cell.silence(first, FIRST_CUT_S)
    _wait_for_second_start(cell)
    assert cell.worker_of(JOB) != first


@when("its next worker is cut off, too, and the workflow owner changes")
def _(context):
    cell = context.cell
    cell.silence(cell.worker_of(JOB), SECOND_CUT_S)
    cell.run(0.5)
    cell.take_over()


@when("that worker has crashed meanwhile")
def _(context):
    cell = context.cell
    cell.leave(cell.worker_of(JOB), SECOND_CUT_S)


@then("one crash of the workflow task is counted")
def _(context):
    cell = context.cell
    cell.run(SECOND_CUT_S + 1.0)
    [task] = cell.scheduler.jobs[JOB].tasks()
    assert len(task.crashes) == 1, task.crashes


@then(
    "the workflow task runs on until it is heard from, and starts nowhere else"
)
def _(context):
    cell = context.cell
    cell.run(LIMIT_S)
    assert cell.start_count(JOB) == 2, cell.starts
    [task] = cell.workers[cell.worker_of(JOB)].runs
    assert task.job == JOB


@given("a workflow cell with a task on a worker that is cut off for good")
def _(context):
    context.cell = cell = crash_harness.Cell(3)
    cell.submit(JOB, run_s=LONG_S)
    cell.run(1.0)
    context.lost = cell.worker_of(JOB)
    cell.silence(context.lost, LONG_S)


@when("the workflow owner changes {count:d} times and the leases lapse")
def _(context, count):
    for _ in range(count):
        context.cell.take_over()
    context.cell.run(LIMIT_S)


@then("the workflow record of the worker shows that nothing runs there")
def _(context):
    cell = context.cell
    assert cell.start_count(JOB) == 2, cell.starts
    stored = workflow.decode_worker(cell.stored_workers[context.lost])
    assert stored.runs == (), stored


@given("a workflow worker that reports another run than the one ordered")
def _(context):
    context.harness = harness = harnesses.Harness()
    harness.submit("batch", 2.0, run_s=60.0)
    [start] = harness.scheduler.plan(harness.now)
    context.start = start
    harness.running["w0"][start.task] = start.run - 1
    harness.report_all()
    harness.add_worker("w1")


@when("the workflow worker refuses the order")
def _(context):
    start, harness = context.start, context.harness
    harness.scheduler.on_started(
        start.task,
        start.run,
        start.worker,
        workflow.OrderOutcome.REFUSED,
        harness.now,
    )


@then("the workflow task starts once the worker reports the other run no more")
def _(context):
    harness = context.harness
    assert harness.plan() == []
    harness.report_all()
    assert harness.plan() == []
    harness.running["w0"].clear()
    harness.report_all()
    harness.store()
    assert harness.plan() == ["batch"]


@then(
    "workflow {count:d} random histories of silent workers start no task twice"
)
def _(context, count):
    for seed in range(count):
        random_silences.play(seed)
