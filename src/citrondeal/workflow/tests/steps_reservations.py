"""Steps for resources that are reserved for a task with a crash."""

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import crash_harness

TICKET_S = 2.0
DOWN_S = 2.0
LONG_S = 60.0


class _TicketedCell(crash_harness.Cell):
    """A cell whose ticket service allows all workers, or none."""

    allows = True

    def _deliver(self, action):
        if not isinstance(action, workflow.FetchTickets):
            super()._deliver(action)
            return
        granted = dict.fromkeys(action.workers, "ticket")
        self.scheduler.on_tickets(
            action.step,
            action.workers,
            granted if self.allows else {},
            self.now + TICKET_S,
            self.now,
        )


@given("a workflow cell of {count:d} workers with tickets")
def _(context, count):
    context.cell = _TicketedCell(count)


@when("a workflow task crashes its worker and gets no other ticket")
def _(context):
    cell = context.cell
    step = workflow.Step(1, workflow.Size(6000, 10), LONG_S)
    policy = workflow.Policy("queue", "service", 1, 3, 10.0, ticketed=True)
    submission = workflow.Submission("ticketed", "", (step,), policy)
    cell.submissions["ticketed"] = submission
    cell.durations["ticketed"] = LONG_S
    cell.scheduler.on_submission(submission, 0, cell.now)
    cell.run(TICKET_S + 1.0)
    cell.allows = False
    cell.leave(cell.worker_of("ticketed"), DOWN_S)
    cell.run(DOWN_S + 4.0)
    assert cell.start_count("ticketed") == 1, cell.starts


@then("other workflow tasks fill both workers within {seconds:d} seconds")
def _(context, seconds):
    cell = context.cell
    cell.submit("other", tasks=2, run_s=LONG_S, cores=8)
    cell.run(float(seconds))
    used = {n: len(w.runs) for n, w in cell.workers.items()}
    assert set(used.values()) == {1}, used
