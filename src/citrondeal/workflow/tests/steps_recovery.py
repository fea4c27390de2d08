"""Steps for jobs that a new owner recovers."""

from behave import then

from citrondeal import workflow

STATES = workflow.JobState
SUBMISSION = workflow.Submission(
    "00000000000000aa",
    "",
    (workflow.Step(2, workflow.Size(1, 1)),),
    workflow.Policy("queue", "service"),
)


def _recover(progress):
    """Return a scheduler that recovers a job with a stored cancellation."""
    scheduler = workflow.Scheduler(workflow.Config(), 2)
    scheduler.on_cancel(SUBMISSION.job, 0.0)
    scheduler.on_submission(SUBMISSION, 0, 0.0, True)
    scheduler.restore(SUBMISSION.job, progress, 0.0)
    return scheduler


def _assert_end(scheduler, state):
    jobs, workers, ends = scheduler.take_changes()
    assert jobs[SUBMISSION.job].state is state, jobs
    scheduler.on_stored(jobs, workers, ends)
    assert scheduler.job_state(SUBMISSION.job) is state
    assert not scheduler.active
    assert scheduler.take_droppable() == [SUBMISSION.job]


@then("workflow a cancellation that no owner has applied ends a running job")
def _(context):
    for state in (STATES.QUEUED, STATES.RUNNING):
        scheduler = _recover(workflow.Progress(state, (b"\x01",), {}))
        _assert_end(scheduler, STATES.CANCELLED)


@then("workflow a cancellation does not change an end that is stored")
def _(context):
    for state in (STATES.COMPLETED, STATES.FAILED):
        _assert_end(_recover(workflow.Progress(state)), state)


@then("workflow changes are to be stored when a recovered worker has answered")
def _(context):
    scheduler = workflow.Scheduler(workflow.Config(), 2)
    info = workflow.WorkerInfo("w", "w:1", "service", "zone", born_ms=1)
    scheduler.recover_workers([workflow.StoredWorker(info)], 0.0)
    scheduler.on_worker(info, 0.0)
    scheduler.take_changes()
    assert not scheduler.wants_to_store
    scheduler.on_report("w", workflow.Report(0.0, 1, [], []), 0.0, 0.0)
    assert scheduler.wants_to_store
    changes = scheduler.take_changes()
    assert not scheduler.wants_to_store
    scheduler.on_stored(*changes)
    assert scheduler.workers["w"].usable


@then("workflow an end of an earlier run releases no run of a later number")
def _(context):
    task = workflow.TaskId(SUBMISSION.job, 0, 0, 0)
    scheduler = workflow.Scheduler(workflow.Config(), 2)
    scheduler.on_submission(SUBMISSION, 0, 0.0, True)
    info = workflow.WorkerInfo("w", "w:1", "service", "zone", born_ms=1)
    stored = workflow.StoredWorker(info, (task,), (7,))
    scheduler.recover_workers([stored], 0.0)
    worker = scheduler.workers["w"]
    for number, run in ((1, 3), (2, 7)):
        assert task in worker.runs
        outcome = workflow.RunOutcome.LAPSED
        end = workflow.RunEnd(number, task, run, outcome, "")
        report = workflow.Report(1.0, 1, [], [end], truncated=True)
        scheduler.on_report("w", report, float(number), float(number))
    assert not worker.runs
