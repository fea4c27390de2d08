"""Steps for jobs with very many tasks whose workers have crashed."""

import time

from behave import then
from behave import when

from citrondeal.workflow.tests import crash_harness

DOWN_S = 2.0
LONG_S = 600.0
# An owner that answers nothing for this long is replaced.
MAX_PASS_S = 0.9


def _run_count(cell):
    return sum(len(worker.runs) for worker in cell.workers.values())


@when("a power failure hits a workflow job of {tasks:d} running tasks")
def _(context, tasks):
    context.cell = cell = crash_harness.Cell(24, cores=250)
    cell.submit("wide", tasks=tasks, run_s=LONG_S, cores=2)
    cell.run(2.0)
    assert _run_count(cell) == tasks, _run_count(cell)
    for name in list(cell.workers):
        cell.leave(name, DOWN_S)


@then("no workflow planning pass takes so long that the owner is replaced")
def _(context):
    cell = context.cell
    plan, passes = cell.scheduler.plan, []

    def timed(*args):
        started = time.perf_counter()
        actions = plan(*args)
        passes.append(time.perf_counter() - started)
        return actions

    cell.scheduler.plan = timed
    while len(passes) < 60 and max(passes, default=0.0) <= MAX_PASS_S:
        cell.tick()
    assert max(passes) <= MAX_PASS_S, (len(passes), max(passes))


@then("all {tasks:d} workflow tasks run {seconds:d} seconds after its end")
def _(context, tasks, seconds):
    cell = context.cell
    cell.run(DOWN_S + seconds)
    assert _run_count(cell) == tasks, _run_count(cell)
