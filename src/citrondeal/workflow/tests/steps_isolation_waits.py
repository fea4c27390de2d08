"""Steps for jobs that wait for a worker beside suspects."""

from behave import then
from behave import when

from citrondeal import workflow

LONG_S = 300.0
DOWN_S = 2.0
SETTLE_S = 2.0
# No job may have nothing running for this long while there is room for it.
MAX_WAIT_S = 3.0


def _running_jobs(cell):
    return {
        task.job for worker in cell.workers.values() for task in worker.runs
    }


def _fail_power(cell):
    for name in list(cell.workers):
        cell.leave(name, DOWN_S)
    cell.run(DOWN_S)


@when("{jobs:d} workflow jobs have two outages, a new owner and an outage")
def _(context, jobs):
    cell = context.cell
    for number in range(jobs):
        cell.submit(f"job{number:04d}", run_s=LONG_S, cores=1)
    cell.run(SETTLE_S)
    for _ in range(2):
        _fail_power(cell)
        cell.run(SETTLE_S)
    assert len(_running_jobs(cell)) == jobs, len(_running_jobs(cell))
    cell.take_over()
    cell.run(SETTLE_S)
    assert len(_running_jobs(cell)) == jobs, len(_running_jobs(cell))
    _fail_power(cell)


@then("each workflow job has waited for at most 3 s after the last outage")
def _(context):
    cell = context.cell
    cell.run(MAX_WAIT_S)
    waiting = set(cell.submissions) - _running_jobs(cell)
    count = len(waiting)
    returned_at = cell.now - MAX_WAIT_S
    while set(cell.submissions) - _running_jobs(cell):
        assert cell.now < returned_at + 60.0, "some never start"
        cell.tick()
    last_s = round(cell.now - returned_at, 1)
    assert not count, f"{count} wait after 3 s; the last starts at {last_s} s"


def _lose_ticket_service(cell):
    """Let all later calls to the ticket service fail."""
    deliver = cell._deliver

    def fail(action):
        if not isinstance(action, workflow.FetchTickets):
            deliver(action)
            return
        cell.scheduler.on_tickets(
            action.step, action.workers, None, 0.0, cell.now
        )

    cell._deliver = fail


def _has_suspect(cell):
    return bool(cell.scheduler.dump()["crashes"]["suspects"])


def _is_decided(cell, job):
    return any(
        task.job == job
        for worker in cell.scheduler.workers.values()
        for task in worker.runs
    )


def _wait_until(cell, is_met):
    limit = cell.now + 30.0
    while not is_met():
        assert cell.now < limit, cell.starts
        cell.tick()


@when("the ticket service fails {moment} the workflow suspect is decided")
def _(context, moment):
    cell = context.cell
    slow_s, cell.answer_s = cell.answer_s, 0.0
    _wait_until(cell, lambda: cell.start_count("crashed") == 2)
    cell.run(SETTLE_S)
    if moment == "after":
        cell.answer_s = slow_s
    cell.leave(cell.worker_of("crashed"), DOWN_S)
    if moment == "after":
        _wait_until(
            cell,
            lambda: _has_suspect(cell) and _is_decided(cell, "crashed"),
        )
    _lose_ticket_service(cell)
    cell.run(2 * DOWN_S)
    assert _has_suspect(cell)


@then("another workflow job starts within 3 s on the worker of the suspect")
def _(context):
    cell = context.cell
    # Only the worker that the suspect waits for has so many free cores.
    for number in range(2):
        cell.submit(f"full{number}", run_s=LONG_S, cores=6)
    cell.run(SETTLE_S)
    cell.submit("next", run_s=LONG_S, cores=4)
    asked_at = cell.now
    while not cell.start_count("next") and cell.now < asked_at + 60.0:
        cell.tick()
    waited_s = round(cell.now - asked_at, 1)
    assert waited_s <= MAX_WAIT_S, f"it waited for {waited_s} s"


@when("three power failures hit a workflow job of {tasks:d} long tasks")
def _(context, tasks):
    cell = context.cell
    cell.submit("wide", tasks=tasks, run_s=LONG_S, cores=1)
    for _ in range(3):
        limit = cell.now + 30.0
        while sum(len(w.runs) for w in cell.workers.values()) < tasks:
            assert cell.now < limit, "not all tasks run"
            cell.tick()
        _fail_power(cell)
    cell.run(SETTLE_S)


@then("the wide workflow job is not failed")
def _(context):
    state = context.cell.state("wide")
    assert state is workflow.JobState.RUNNING, state
