"""Steps for starts that reach no worker."""

from behave import then
from behave import when

from citrondeal import workflow

DOWN_S = 1.0
WAIT_S = 20.0


@when("a workflow worker crashes {count:d} times just before a start arrives")
def _(context, count):
    cell = context.cell
    cell.submit("job", run_s=5.0)
    for _ in range(count):
        _crash_before_start(cell)


def _crash_before_start(cell):
    deliver = cell._deliver

    def crash_first(action):
        if isinstance(action, workflow.Start):
            cell.leave("w0", DOWN_S)
        deliver(action)

    cell._deliver = crash_first
    limit = cell.now + WAIT_S
    while cell.workers["w0"].back_as is None and cell.now < limit:
        cell.tick()
    cell._deliver = deliver
    while cell.workers["w0"].back_as is not None:
        cell.tick()


@then("the workflow job that never ran is not failed")
def _(context):
    cell = context.cell
    assert cell.start_count("job") == 0, cell.starts
    cell.tick()
    dump = cell.scheduler.dump()["crashes"]
    assert cell.state("job") is not workflow.JobState.FAILED, dump
