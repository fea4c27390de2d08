"""Steps for recorded starts while the store answers late."""

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import crash_harness

TICKET_S = 2.0
LONG_S = 300.0
DOWN_S = 2.0


class _SlowStoreCell(crash_harness.Cell):
    """A cell with tickets whose store answers each call some time later."""

    answer_s = 0.0
    call = None
    allows = True

    def store(self):
        if self.call is not None and self.call[0] <= self.now:
            self.scheduler.on_stored(*self.call[1])
            self.call = None
        if self.call is None:
            due = self.now + self.answer_s
            self.call = due, self.scheduler.take_changes()

    def _deliver(self, action):
        if not isinstance(action, workflow.FetchTickets):
            super()._deliver(action)
            return
        allowed = action.workers if self.allows else ()
        granted = dict.fromkeys(allowed, "ticket")
        valid_until = self.now + TICKET_S
        self.scheduler.on_tickets(
            action.step, action.workers, granted, valid_until, self.now
        )


def _submit(cell, job):
    step = workflow.Step(1, workflow.Size(2000, 10), LONG_S)
    policy = workflow.Policy("queue", "service", 1, 3, 10.0, ticketed=True)
    submission = workflow.Submission(job, "", (step,), policy)
    cell.submissions[job] = submission
    cell.durations[job] = LONG_S
    cell.scheduler.on_submission(submission, 0, cell.now)


@given("a workflow cell with tickets whose store answers after {millis:d} ms")
def _(context, millis):
    context.cell = cell = _SlowStoreCell(3)
    _submit(cell, "crashed")
    cell.run(1.0)
    cell.answer_s = millis / 1000
    cell.leave(cell.worker_of("crashed"), DOWN_S)
    cell.run(DOWN_S)
    _submit(cell, "other")


@then("a workflow task with a crash starts like another one in {seconds:d} s")
def _(context, seconds):
    cell = context.cell
    cell.run(float(seconds))
    assert cell.start_count("other") == 1, cell.starts
    assert cell.start_count("crashed") == 2, cell.starts


def _runs_of(cell, job):
    return [
        run
        for worker in cell.scheduler.workers.values()
        for task, run in worker.runs.items()
        if task.job == job
    ]


@when("no workflow worker is allowed any more while a start is recorded")
def _(context):
    cell = context.cell
    limit = cell.now + 30.0
    while (
        _runs_of(cell, "crashed")
        or not cell.scheduler.dump()["crashes"]["worker_crashes"]
    ):
        assert cell.now < limit, "its crash is not counted"
        cell.tick()
    while not _runs_of(cell, "crashed"):
        assert cell.now < limit, "its next start is not decided"
        cell.tick()
    cell.allows = False


@then("the recorded workflow start is cancelled and nothing stays reserved")
def _(context):
    cell = context.cell
    cell.run(15.0)
    assert cell.start_count("crashed") == 1, cell.starts
    assert not _runs_of(cell, "crashed")
    free = [w for w in cell.scheduler.workers.values() if not w.runs]
    cell.submit("wide", tasks=len(free), run_s=LONG_S, cores=8)
    cell.run(5.0)
    assert cell.start_count("wide") == len(free), cell.starts
