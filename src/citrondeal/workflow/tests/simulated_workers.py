"""Simulated workers that follow the rules of real ones.

They reject orders of earlier epochs, lose all state at a restart, end runs
whose lease has lapsed, and list ends until these are acknowledged.
"""

import dataclasses
import math
import random

from citrondeal import workflow
from citrondeal.workflow.tests import capacities
from citrondeal.workflow.tests import simulated_late_calls

STOP_DURATION_S = 0.2
CLOCK_RATES = (0.98, 1.02)
START_VALID_S = 2.5  # from when a start is sent
DOWN_S = (1.0, 4.0)  # from a crash to the next incarnation
MAX_LISTED_ENDS = 2  # in one report; low, since few runs end in a history


@dataclasses.dataclass(eq=False)
class SimulatedRun:
    """A run on a simulated worker."""

    task: workflow.TaskId
    number: int
    size: workflow.Size
    started_at: float
    ends_at: float
    outcome: workflow.RunOutcome
    stopping_at: float | None = None
    # When it crashes its worker.
    crashes_at: float = math.inf


class SimulatedWorker:
    """One simulated worker."""

    def __init__(self, simulation, name, address=None):
        self.simulation = simulation
        self.name = name
        self.address = address or f"{name}:1"
        self.born_ms = 0
        self.down_until = 0.0
        self.clock_rate = random.Random(name).uniform(*CLOCK_RATES)
        self.unanswered = set()  # starts, as accounting task and run
        self.unreachable = False
        self.reachable_at = math.inf  # end of a cut
        self.removed = False
        self.restart()

    def restart(self):
        """Start a new incarnation."""
        # Later than that of an incarnation that began at the same time.
        started_ms = int(self.simulation.now * 1000) + 1
        self.started_at = self.simulation.now
        self.born_ms = max(started_ms, self.born_ms + 1)
        self.fence = 0
        self.runs = {}
        self.rejected_up_to = {}
        self.unacknowledged_ends = []
        self.end_count = 0
        self.ended_at = {}  # by the number of the end
        self.lease_until = self.lapsed_at = self.simulation.now
        self.capacity = capacities.Capacity(self.simulation.new_capacity())

    def info(self):
        """Return the entry in the list of workers."""
        return workflow.WorkerInfo(
            self.name,
            self.address,
            "service",
            "zone",
            ("kind", "rack"),
            "rack",
            self.capacity.current,
            born_ms=self.born_ms,
            clock_s=self.clock_s,
        )

    @property
    def clock_s(self):
        """Time on its clock, which begins anew with each incarnation."""
        return (self.simulation.now - self.started_at) * self.clock_rate

    @property
    def ticket(self):
        """Ticket that is valid during its present life."""
        return f"{self.name} {self.born_ms}"

    @property
    def down(self):
        """Whether it has crashed and is not back yet."""
        return self.simulation.now < self.down_until

    def crash(self, down_s):
        """Lose all runs, and be away for a time."""
        self.simulation.record_crash(self)
        runs, self.runs = list(self.runs.values()), {}
        self.simulation.break_gangs(runs)
        self.down_until = self.simulation.now + down_s

    def tick(self, now):
        """End runs that were stopped, have lost their lease, or are done."""
        if any(now >= run.crashes_at for run in self.runs.values()):
            self.crash(self.simulation.deadly_random.uniform(*DOWN_S))
            return
        if self.down_until and not self.down:
            self.down_until = 0.0
            self.simulation.bring_back(self)
        if now >= self.reachable_at:
            self.reachable_at = math.inf
            self.unreachable = self.removed
        if now >= self.lease_until:
            self.lapsed_at = now
        for run in list(self.runs.values()):
            if run.stopping_at is not None and now >= run.stopping_at:
                self.end(run, workflow.RunOutcome.STOPPED)
            elif now >= self.lease_until:
                self.end(run, workflow.RunOutcome.LAPSED)
            elif now >= run.ends_at and self.simulation.gang_complete(run):
                self.end(run, run.outcome)

    def end(self, run, outcome):
        """End a run and list its end."""
        if self.runs.pop(run.task, None) is None:
            return
        self.end_count += 1
        end = workflow.RunEnd(
            self.end_count, run.task, run.number, outcome, ""
        )
        self.unacknowledged_ends.append(end)
        self.ended_at[end.number] = self.simulation.now
        self.rejected_up_to[run.task] = max(
            self.rejected_up_to.get(run.task, 0), run.number
        )
        self.simulation.on_end(self, run, outcome)

    def renew(self, fence, acknowledged, until):
        """Renew the leases and return a `Report`.

        None if the owner is superseded.
        """
        if fence < self.fence:
            return None
        self.fence = fence
        if until is not None:
            self._extend_lease(until)
        for end in self.unacknowledged_ends:
            if end.number <= acknowledged:
                self.simulation.on_acknowledged(self, end)
        self.unacknowledged_ends = [
            e for e in self.unacknowledged_ends if e.number > acknowledged
        ]
        running = [
            workflow.ReportedRun(r.task, r.number, "", 0.0)
            for r in self.runs.values()
        ]
        return workflow.Report(
            self.clock_s,
            self.born_ms,
            running,
            self.unacknowledged_ends[:MAX_LISTED_ENDS],
            len(self.unacknowledged_ends) >= MAX_LISTED_ENDS,
        )

    def start(self, order, fence, until):
        """Start a run as ordered."""
        if fence < self.fence:
            return workflow.OrderOutcome.FENCED
        self.fence = fence
        if self.simulation.now > until:
            return workflow.OrderOutcome.LATE
        self._extend_lease(until)
        if order.ticket not in ("", self.ticket):
            return workflow.OrderOutcome.BAD_TICKET
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run:
            return workflow.OrderOutcome.OK
        if (
            run is not None
            or self.rejected_up_to.get(order.task, 0) >= order.run
        ):
            return workflow.OrderOutcome.OLD
        self.simulation.on_start(self, order, until - START_VALID_S)
        return workflow.OrderOutcome.OK

    def _extend_lease(self, until):
        """Extend the leases, which it measures on its own clock."""
        now = self.simulation.now
        clock_s = min(until - now, simulated_late_calls.HOLD_MAX_S)
        self.lease_until = max(
            self.lease_until, now + clock_s / self.clock_rate
        )

    def stop(self, order, fence):
        """Stop a run as ordered."""
        if fence < self.fence:
            return workflow.OrderOutcome.FENCED
        self.fence = fence
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.run:
            if run.stopping_at is None:
                run.stopping_at = self.simulation.now + STOP_DURATION_S
        self.rejected_up_to[order.task] = max(
            self.rejected_up_to.get(order.task, 0), order.run
        )
        return workflow.OrderOutcome.OK
