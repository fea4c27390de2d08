"""Steps for workers that crash, shrink and grow under a cell of processes."""

import signal
import time
import uuid

from behave import then
from behave import when

from citrondeal.cell.tests import processes

CRASH_LIMIT_S = 30.0
CRASH_AFTER_S = 0.3  # from the start of a task that crashes its worker
SUBMIT_ATTEMPTS = 8
FULL_MILLICORES = 8000


def _submit(context, body):
    """Submit a job, at other members until one accepts it."""
    job_id = uuid.uuid4().hex[:16]
    running = [m for m in context.cell.members if m.process]
    for attempt in range(SUBMIT_ATTEMPTS):
        member = running[attempt % len(running)]
        answer = context.cell.client_request(
            member, "POST", f"/holds/{job_id}", body
        )
        if answer is not None and answer[0] == 200:
            return job_id
    raise AssertionError(f"{job_id} was not accepted")


def _crash_count(context):
    return sum(context.cell.counts()["crashes"].values())


@when("cell clients submit a job that crashes each worker")
def _(context):
    body = processes.job_body(tasks=1, work_s=60.0, crash_s=CRASH_AFTER_S)
    context.deadly = _submit(context, body)


@when("the cell owner is killed after each of the first {count:d} crashes")
def _(context, count):
    for number in range(1, count + 1):
        context.cell.wait(
            lambda: _crash_count(context) >= number, CRASH_LIMIT_S
        )
        owner = context.cell.wait(context.cell.owner)
        owner.end(signal.SIGKILL)
        owner.start()


@then("the cell shows the job as failed within {seconds:d} seconds")
def _(context, seconds):
    def failed():
        running = [m for m in context.cell.members if m.process]
        answer = context.cell.client_request(
            running[0], "GET", f"/holds/{context.deadly}"
        )
        return answer and answer[1] and answer[1].get("state") == "failed"

    try:
        context.cell.wait(failed, seconds)
    except AssertionError as exc:
        raise AssertionError(f"{exc}: {context.cell.counts()}") from exc


@then("the cell started it at most {count:d} times after its third crash")
def _(context, count):
    counts = context.cell.counts()
    assert counts["crashes"], "the task has crashed no worker"
    assert all(n <= count for n in counts["late_starts"].values()), counts


@when(
    "cell clients submit {count:d} jobs with tasks of {millicores:d}"
    " millicores for {seconds:d} seconds"
)
def _(context, count, millicores, seconds):
    body = processes.job_body(work_s=float(seconds), cpu=millicores)
    for _ in range(count):
        context.accepted.append(_submit(context, body))


def _shrink(context, millicores, seconds):
    context.cell.set_capacities(cpu=millicores)
    time.sleep(seconds)
    context.cell.set_capacities(cpu=FULL_MILLICORES)


@when(
    "the cell workers shrink to {millicores:d} millicores for {seconds:d}"
    " seconds"
)
def _(context, millicores, seconds):
    _shrink(context, millicores, seconds)


@when(
    "the cell store is unavailable while workers shrink to {millicores:d}"
    " millicores for {seconds:d} seconds"
)
def _(context, millicores, seconds):
    context.cell.set_faults(store_down=1.0)
    _shrink(context, millicores, seconds)
    context.cell.set_faults(store_down=0.0)


@when(
    "the cell workers have shrunk to {millicores:d} millicores for {seconds:d}"
    " seconds"
)
def _(context, millicores, seconds):
    context.cell.set_capacities(cpu=millicores)
    time.sleep(seconds)


@then("the cell starts no task for {seconds:d} seconds")
def _(context, seconds):
    time.sleep(seconds)
    counts = context.cell.counts()
    assert counts["starts"] == 0, counts


@then(
    "the cell completes all jobs within {seconds:d} seconds once its workers"
    " grow"
)
def _(context, seconds):
    context.cell.set_capacities(cpu=FULL_MILLICORES)
    context.execute_steps(
        f"Then the cell completes all jobs within {seconds} seconds"
    )
