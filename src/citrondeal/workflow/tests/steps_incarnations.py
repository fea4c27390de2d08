"""Steps for entries and reports that disagree on a worker's incarnation."""

import dataclasses

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses
from citrondeal.workflow.tests import odd_entries

LATE_S = 0.5  # from an entry to the next report
LATER_BORN_MS = 5


def _report(scheduler, info, now, runs=(), ends=()):
    running = [
        workflow.ReportedRun(task, number, "", 0.0)
        for task, number in dict(runs).items()
    ]
    report = workflow.Report(now, info.born_ms, running, list(ends))
    scheduler.on_report(info.worker, report, now, now)
    scheduler.on_stored(*scheduler.take_changes())


def _waiting(harness, job="batch"):
    return len(harness.scheduler.jobs[job].steps[0].waiting())


@given("a workflow cell whose two workers are filled by a job")
def _(context):
    context.harness = harness = harnesses.Harness(workers=("w0", "w1"))
    harness.submit("batch", 2.0, tasks=4, run_s=60.0)
    assert len(harness.plan()) == 4
    harness.report_all()


@when("another writer names a later incarnation of a workflow worker")
def _(context):
    harness = context.harness
    harness.scheduler.on_worker(
        odd_entries.far(harness.infos["w1"]), harness.now
    )


@then("workflow nothing is started before the worker reports")
def _(context):
    harness = context.harness
    assert not _waiting(harness)
    assert not harness.scheduler.workers["w1"].usable
    assert harness.scheduler.workers["w1"].reachable
    harness.now += LATE_S
    assert harness.plan() == []


@then("workflow the runs stay and the worker is used once it has reported")
def _(context):
    harness = context.harness
    harness.report_all()
    assert not _waiting(harness)
    assert len(harness.scheduler.workers["w1"].runs) == 2
    assert harness.scheduler.workers["w1"].info == harness.infos["w1"]
    harness.submit("next", 2.0)
    assert harness.end_one("w1") == ["next"]
    assert len(harness.running["w1"]) == 2


@then("workflow the same entry does not take the worker out of use again")
def _(context):
    scheduler, now = context.harness.scheduler, context.harness.now
    scheduler.on_worker(odd_entries.far(context.harness.infos["w1"]), now)
    assert scheduler.workers["w1"].usable


@when("a workflow worker starts again and writes its entry")
def _(context):
    harness = context.harness
    info = dataclasses.replace(harness.infos["w1"], born_ms=2)
    harness.infos["w1"] = info
    harness.scheduler.on_worker(info, harness.now)


@then("workflow its tasks are started again once the new incarnation reports")
def _(context):
    harness = context.harness
    assert harness.plan() == []
    harness.running["w1"].clear()
    _report(harness.scheduler, harness.infos["w1"], harness.now)
    assert _waiting(harness) == 2
    # After a crash each start is stored before it is sent.
    started = harness.plan()
    harness.store()
    started += harness.plan()
    assert started == ["batch", "batch"], started
    assert len(harness.running["w1"]) == 2


@given("a workflow worker that has confirmed a start which no report lists")
def _(context):
    context.harness = harness = harnesses.Harness(workers=("w0", "w1"))
    harness.submit("batch", 4.0, run_s=60.0)
    assert harness.plan() == ["batch"]
    [context.worker] = [n for n, runs in harness.running.items() if runs]


@when("the workflow worker turns out to have started again")
def _(context):
    harness, name = context.harness, context.worker
    harness.infos[name] = info = dataclasses.replace(
        harness.infos[name], born_ms=2
    )
    harness.scheduler.on_worker(info, harness.now)


@then("workflow the task is not started on another worker")
def _(context):
    context.harness.store()
    assert context.harness.plan() == []


@then("workflow the task runs on after the report of the new incarnation")
def _(context):
    harness, name = context.harness, context.worker
    harness.now += LATE_S
    runs = harness.running[name]
    _report(harness.scheduler, harness.infos[name], harness.now, runs)
    assert harness.plan() == []
    [run] = harness.scheduler.workers[name].runs.values()
    assert {run.task.id: run.number} == runs


@then("workflow its ends are acknowledged only after its next report")
def _(context):
    harness = context.harness
    worker = harness.scheduler.workers["w1"]
    worker.acknowledged = 3
    assert worker.acknowledgement == 0
    harness.report_all()
    assert worker.acknowledgement == 3


@when("another writer adds an entry with a clock far ahead")
def _(context):
    harness = context.harness
    entry = odd_entries.ahead(harness.infos["w1"])
    harness.scheduler.on_worker(entry, harness.now)
    assert harness.scheduler.workers["w1"].usable


@then("workflow the next entry of the worker counts")
def _(context):
    harness = context.harness
    info = dataclasses.replace(
        harness.infos["w1"],
        capacity=workflow.Size(8000, 1000),
        clock_s=harness.now,
    )
    harness.scheduler.on_worker(info, harness.now)
    harness.submit("next", 4.0)
    assert harness.plan() == ["next"]


def _owner_with_wrong_entry(info, where):
    """Return an owner that knows a worker by a wrong entry."""
    owner = workflow.Scheduler(workflow.Config(harnesses.LEASE_S), 2)
    wrong = odd_entries.far(info)
    if where == "was read before the true one":
        owner.on_worker(wrong, 0.0)
    else:
        owner.recover_workers([workflow.StoredWorker(wrong)], 0.0)
    return owner


@then("workflow a worker whose wrong entry {where} is used once it reports")
def _(context, where):
    info = harnesses.Harness().infos["w0"]
    owner = _owner_with_wrong_entry(info, where)
    owner.on_worker(info, 0.1)
    _report(owner, info, 0.2)
    worker = owner.workers["w0"]
    assert worker.usable and owner.earlier_runs_known
    assert worker.info == info
    # Without an entry the incarnation is known, but not the capacity.
    owner = _owner_with_wrong_entry(info, where)
    _report(owner, info, 0.2)
    assert not owner.workers["w0"].usable
    owner.on_worker(info, 0.3)
    assert owner.workers["w0"].usable


@then("workflow no crash is counted once the worker has reported")
def _(context):
    harness = context.harness
    harness.report_all()
    dump = harness.scheduler.dump()["crashes"]
    assert dump["worker_crashes"] == 0 and not dump["suspects"], dump
    tasks = harness.scheduler.jobs["batch"].steps[0].tasks
    assert not any(task.crashes for task in tasks)


@when("a workflow worker starts again and its wall clock has gone back")
def _(context):
    harness = context.harness
    for name, born_ms in (("w1", LATER_BORN_MS), ("w1", 1)):
        harness.scheduler.on_connection_lost(name, harness.now)
        info = dataclasses.replace(harness.infos[name], born_ms=born_ms)
        _report(harness.scheduler, info, harness.now)
        harness.scheduler.on_worker(info, harness.now)


@then("workflow its leases are not renewed, and its tasks are given up")
def _(context):
    worker = context.harness.scheduler.workers["w1"]
    assert worker.info.born_ms == LATER_BORN_MS and not worker.may_renew
    context.harness.plan()
    context.harness.now += 2 * harnesses.LEASE_S
    context.harness.plan()
    assert not worker.runs
