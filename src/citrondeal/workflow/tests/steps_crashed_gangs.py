"""Steps for gangs that have crashed a worker of a busy cell."""

from behave import given
from behave import then
from behave import when

from citrondeal.workflow.tests import crash_harness

GANG_TASKS = 6
GANG_RUN_S = 5.0
# Later than those of the gang are the objectives of these jobs.
OTHER_RUN_S = 6.0
STAGGER_S = 0.1
# The gang needs at most as long as the tasks that began during the crash.
LIMIT_S = crash_harness.DOWN_S + OTHER_RUN_S + 2.0


@given("a workflow gang on two workers, and a backlog of later jobs")
def _(context):
    context.cell = cell = crash_harness.Cell(workers=2)
    cell.submit("gang", GANG_TASKS, GANG_RUN_S, gang=True)
    cell.run(0.5)
    assert {w for _, _, w in cell.starts} == {"w0", "w1"}, cell.starts
    for number in range(100):
        run_s = OTHER_RUN_S + STAGGER_S * (number % 9)
        cell.submit(f"other{number}", run_s=run_s)


@when("a worker of the workflow gang crashes")
def _(context):
    cell = context.cell
    task, run, name = cell.starts[-1]
    cell._break_gang(task, run, name)
    cell.crash(name)


@then("the workflow gang starts again once the tasks beside it have ended")
def _(context):
    cell = context.cell
    limit = cell.now + LIMIT_S
    while cell.start_count("gang") < 2:
        assert cell.now < limit, f"not started again after {LIMIT_S} s"
        cell.tick()
