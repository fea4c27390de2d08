"""Steps for reports that contradict what an owner believed."""

from behave import then

from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

GONE_S = 20.0  # longer than any lease


def _end(number):
    task = workflow.TaskId("other", 0, 0, number)
    return workflow.RunEnd(number, task, 1, workflow.RunOutcome.DONE, "")


def _read_ends(harness, *numbers):
    """Let a worker report these ends, and return how many were missed."""
    harness.ends["w0"] = [_end(number) for number in numbers]
    harness.report_all()
    return harness.scheduler.anomalies.missing_ends


@then(
    "workflow a report whose ends begin above the last one counts the others"
)
def _(context):
    harness = harnesses.Harness()
    assert _read_ends(harness, 1, 2) == 0
    assert _read_ends(harness, 2, 3) == 0
    assert _read_ends(harness, 6) == 2


@then("workflow the first ends that an owner reads count as complete")
def _(context):
    harness = harnesses.Harness(workers=())
    harness._add_worker("w0", 4)
    assert _read_ends(harness) == 0
    assert _read_ends(harness, 58) == 0
    assert _read_ends(harness, 60) == 1


@then("workflow a run that is found beside another one of its task counts")
def _(context):
    harness = harnesses.Harness(workers=("w0", "w1"))
    harness.submit("batch", 4.0, run_s=60.0)
    harness.plan()
    [name] = [name for name, runs in harness.running.items() if runs]
    harness.scheduler.on_renewal_failed(name, "cut", harness.now)
    harness.now += GONE_S
    assert harness.plan() == ["batch"]
    assert harness.scheduler.anomalies.repeated_runs == 0
    harness.report_all()
    assert harness.scheduler.anomalies.repeated_runs == 1
