"""Steps for workers that crash at a start and are away for a long time."""

from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import crash_harness

WORKERS = 6
RUN_S = 300.0
WATCH_S = 150.0


class _Cell(crash_harness.Cell):
    """A cell of which each worker crashes at its start, before it answers.

    Parameters
    ----------
    away_s : float
        Seconds from a crash to the next incarnation.
    takeovers : set of int
        Numbers of the starts right after which the owner is replaced.
    """

    def __init__(self, away_s, takeovers):
        self._away_s = away_s
        self._takeovers = takeovers
        self._is_owner_lost = False
        super().__init__(WORKERS)

    def tick(self):
        """Advance the time, and replace an owner that was lost."""
        super().tick()
        if self._is_owner_lost:
            self._is_owner_lost = False
            self.take_over()

    def _deliver(self, action):
        if not isinstance(action, workflow.Start):
            super()._deliver(action)
            return
        self.starts.append((action.task, action.run, action.worker))
        self.leave(action.worker, self._away_s)
        self.scheduler.on_started(
            action.task,
            action.run,
            action.worker,
            workflow.OrderOutcome.UNKNOWN,
            self.now,
        )
        self._is_owner_lost = len(self.starts) in self._takeovers


@when(
    "a workflow task crashes workers for {away_s:d} seconds each, with a new"
    " owner after start {number:d}"
)
def _(context, away_s, number):
    context.cell = _Cell(away_s, {number})
    context.cell.submit("deadly", run_s=RUN_S)
    context.cell.run(WATCH_S)


@then("the workflow task is given up after at most {limit:d} starts")
def _(context, limit):
    cell = context.cell
    assert cell.state("deadly") is workflow.JobState.FAILED, cell.starts
    assert len(cell.starts) <= limit, cell.starts
