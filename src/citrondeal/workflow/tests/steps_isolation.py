"""Steps for tasks that have crashed workers and wait for a place."""

import dataclasses

from behave import then
from behave import when

from citrondeal import workflow

STATES = workflow.JobState
LONG_S = 300.0
DOWN_S = 2.0
# Time in which returned workers report and their records are stored.
SETTLE_S = 1.0


def _submit(cell, job, millicores, memory_mb):
    """Submit a job of one long task."""
    step = workflow.Step(1, workflow.Size(millicores, memory_mb), LONG_S)
    policy = workflow.Policy("queue", "service", 1, 3, 10.0)
    submission = workflow.Submission(job, "", (step,), policy)
    cell.submissions[job] = submission
    cell.durations[job] = LONG_S
    cell.scheduler.on_submission(submission, 0, cell.now)


def _running_jobs(cell):
    return {
        task.job for worker in cell.workers.values() for task in worker.runs
    }


@when("a workflow suspect fits only beside others, on the fuller worker")
def _(context):
    cell = context.cell
    _submit(cell, "suspect", 2000, 10)
    cell.run(1.0)
    cell.leave(cell.worker_of("suspect"), DOWN_S)
    cell.run(DOWN_S + SETTLE_S)
    name = cell.worker_of("suspect")
    cell.leave(name, DOWN_S)
    # It comes back only to leave, so that its crash is counted but it is not
    # a place for the suspect.
    worker = cell.workers[name]
    worker.back_as = dataclasses.replace(worker.back_as, draining=True)
    cell.run(0.5)
    _submit(cell, "half-the-cores", 4000, 10)
    cell.run(0.2)
    _submit(cell, "all-memory", 1000, 10000)
    cell.run(DOWN_S + SETTLE_S)
    dump = cell.scheduler.dump()["crashes"]
    assert len(dump["suspects"]) == 1, dump
    running = _running_jobs(cell)
    assert {"half-the-cores", "all-memory"} <= running, running


@then("the workflow suspect starts within {seconds:d} seconds")
def _(context, seconds):
    cell = context.cell
    cell.run(float(seconds))
    used = {
        name: sorted(task.job for task in worker.runs)
        for name, worker in cell.workers.items()
    }
    assert "suspect" in _running_jobs(cell), (used, cell.starts)


@when("two power failures hit a workflow cell that is not half full")
def _(context):
    cell = context.cell
    for number in range(24):
        cell.submit(f"job{number:02d}", run_s=LONG_S, cores=1)
    cell.run(2.0)
    for _ in range(2):
        for name in list(cell.workers):
            cell.leave(name, DOWN_S)
        cell.run(DOWN_S + 2 * SETTLE_S)
    context.returned_at = cell.now


@then("all its workflow jobs run {seconds:d} seconds later")
def _(context, seconds):
    cell = context.cell
    waits = {}
    while cell.now < context.returned_at + 20.0:
        waiting = set(cell.submissions) - _running_jobs(cell)
        waits[round(cell.now - context.returned_at, 1)] = len(waiting)
        cell.tick()
    late = {s: n for s, n in waits.items() if s >= seconds and n}
    assert not late, f"jobs without a run, by time: {late}"


@then(
    "none of its workflow tasks is a suspect, "
    "and all ran within {seconds:d} seconds"
)
def _(context, seconds):
    cell = context.cell
    dump = cell.scheduler.dump()["crashes"]
    assert not dump["suspects"], dump
    waited = cell.now - (context.returned_at - 2 * SETTLE_S)
    cell.run(max(0.0, seconds - waited))
    waiting = set(cell.submissions) - _running_jobs(cell)
    assert not waiting, sorted(waiting)


@when("a workflow suspect runs on the only worker beside free cores")
def _(context):
    cell = context.cell
    cell.submit("suspect", run_s=LONG_S)
    cell.run(1.0)
    for _ in range(2):
        cell.leave("w0", DOWN_S)
        cell.run(15.0)
    assert _running_jobs(cell) == {"suspect"}, cell.starts
    cell.submit("other", run_s=1.0)


@then("another workflow job is completed within {seconds:d} seconds")
def _(context, seconds):
    cell = context.cell
    cell.run(float(seconds))
    assert cell.state("other") is STATES.COMPLETED, cell.state("other")


@when("a workflow suspect starts on a free worker beside a full one")
def _(context):
    cell = context.cell
    cell.submit("suspect", run_s=LONG_S)
    cell.submit("full", run_s=LONG_S, cores=8)
    cell.run(1.0)
    for _ in range(2):
        cell.crash(cell.worker_of("suspect"))
        cell.run(DOWN_S - 0.5)
        count = cell.start_count("suspect")
        limit = cell.now + 10.0
        while cell.start_count("suspect") == count:
            assert cell.now < limit, cell.starts
            cell.tick()
    assert len(cell.scheduler.dump()["crashes"]["suspects"]) == 1
    cell.submit("other", run_s=LONG_S)


@then(
    "no task joins it for {closed:d} second, "
    "and another one does within {seconds:d} seconds"
)
def _(context, closed, seconds):
    cell = context.cell
    name = cell.worker_of("suspect")
    cell.run(float(closed))
    assert {t.job for t in cell.workers[name].runs} == {"suspect"}
    cell.run(float(seconds - closed))
    jobs = {t.job for t in cell.workers[name].runs}
    assert jobs == {"suspect", "other"}, (jobs, cell.starts)


@when("the owner of the workflow cell is replaced while all jobs run")
def _(context):
    cell = context.cell
    cell.wait_until_all_run(20.0)
    cell.take_over()
    limit = cell.now + 10.0
    while not cell.scheduler.dump()["crashes"]["suspects"]:
        assert cell.now < limit, "no suspects are known"
        cell.tick()
    # It starts what is new once it knows all runs of the earlier owner.
    cell.submit("other", run_s=1.0)


@then("another workflow job starts within {seconds:d} second")
def _(context, seconds):
    cell = context.cell
    cell.run(float(seconds))
    assert cell.start_count("other") == 1, cell.starts[-3:]


@when("{count:d} outages hit 24 workflow jobs and a deadly task arrives")
def _(context, count):
    cell = context.cell
    for number in range(24):
        cell.submit(f"job{number:02d}", run_s=30.0, cores=1)
    cell.run(2.0)
    for _ in range(count):
        for name in list(cell.workers):
            cell.leave(name, DOWN_S)
        cell.run(DOWN_S + 2 * SETTLE_S)
    cell.submit("deadly", run_s=LONG_S, cores=1, deadly=(0,))
    cell.run(150.0)


@then("the deadly workflow task is given up after at most {count:d} starts")
def _(context, count):
    cell = context.cell
    assert cell.state("deadly") is STATES.FAILED, cell.state("deadly")
    assert cell.start_count("deadly") <= count, cell.starts
