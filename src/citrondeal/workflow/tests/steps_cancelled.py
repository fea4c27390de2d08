"""Steps for a cancelled job whose worker is cut off."""

from behave import then
from behave import when

from citrondeal import workflow

STATES = workflow.JobState
LONG_S = 300.0


@when("a workflow job is cancelled while its worker is cut off")
def _(context):
    cell = context.cell
    cell.submit("job", tasks=2, run_s=LONG_S, cores=8)
    cell.run(1.0)
    cell.silence("w0", 4.0)
    cell.run(1.0)
    cell.scheduler.on_cancel("job", cell.now)
    cell.run(1.0)
    cell.take_over()


@then("no workflow task of it runs on a worker {seconds:d} seconds later")
def _(context, seconds):
    cell = context.cell
    cell.run(float(seconds))
    assert cell.state("job") is STATES.CANCELLED, cell.state("job")
    running = {n: list(w.runs) for n, w in cell.workers.items() if w.runs}
    assert not running, running
