"""A worker in memory that follows the orders of several owners."""

import dataclasses

import anyio
import msgspec
import result

from citrondeal.cell.tests import paged_store
from citrondeal import errors
from citrondeal import workflow
from citrondeal.workflow import _fences

CAPACITY = 12  # runs
MAX_LISTED_ENDS = 3  # in one report
POLL_S = 0.05
FAILED_SHARE = 0.05  # of runs
LOST_SHARE = 0.05  # of calls that are carried out and not answered
REFUSED_SHARE = 0.03


@dataclasses.dataclass(slots=True)
class _Run:
    number: int
    ends_at: float


class Worker:
    """Runs tasks while their leases last.

    Parameters
    ----------
    name : str
    rng : random.Random
    on_start, on_acknowledged : callable
        ``on_start(worker, task, epoch)`` is called with each start that
        arrives, ``on_acknowledged(end, epoch)`` with each end that is
        forgotten.
    """

    def __init__(self, name, rng, on_start, on_acknowledged):
        self.name = name
        self.address = name + ".test:1"
        self.runs = {}
        self.away_until = 0.0
        self._rng = rng
        self._on_start = on_start
        self._on_acknowledged = on_acknowledged
        self._ends = []
        self._last_end = 0
        self._fence = 0
        self._until_s = 0.0
        self._highest = {}

    def entry(self):
        """Return its entry in the list of workers."""
        return msgspec.json.encode(
            {
                "service": "service",
                "address": self.address,
                "zone": "z",
                "state": "ready",
                "capacity": {"cpu": 100 * CAPACITY, "mem-mb": 1000},
                "labels": [],
                "clock-ms": int(anyio.current_time() * 1000),
                "born": 1,
            }
        )

    def advance(self):
        """End the runs whose time is over."""
        now = anyio.current_time()
        for task, run in sorted(
            self.runs.items(), key=lambda item: item[1].ends_at
        ):
            if min(run.ends_at, self._until_s) <= now:
                self._end(task, self._outcome(run))

    def _outcome(self, run):
        if run.ends_at > self._until_s:
            return workflow.RunOutcome.LAPSED
        if self._rng.random() < FAILED_SHARE:
            return workflow.RunOutcome.FAILED
        return workflow.RunOutcome.DONE

    def _end(self, task, outcome):
        run = self.runs.pop(task)
        self._last_end += 1
        self._ends.append(
            workflow.RunEnd(self._last_end, task, run.number, outcome, "")
        )
        self._highest[task] = max(self._highest.get(task, 0), run.number)

    def start(self, order, fence, until_s):
        """Carry out a start."""
        self.advance()
        if fence < self._fence:
            return workflow.OrderOutcome.FENCED
        self._fence = fence
        self._until_s = max(self._until_s, until_s)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run:
            return workflow.OrderOutcome.OK
        if order.run <= self._highest.get(order.task, 0) or run is not None:
            return workflow.OrderOutcome.OLD
        if len(self.runs) >= CAPACITY:
            return workflow.OrderOutcome.NO_ROOM
        now = anyio.current_time()
        if until_s < now:
            return workflow.OrderOutcome.LATE
        self._on_start(self, order.task, _epoch(fence))
        self.runs[order.task] = _Run(
            order.run, now + self._rng.choice((0.05, 0.1, 0.3, 1.5))
        )
        return workflow.OrderOutcome.OK

    def stop(self, order, fence):
        """Carry out a stop."""
        self.advance()
        if fence < self._fence:
            return workflow.OrderOutcome.FENCED
        self._fence = fence
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run:
            self._end(order.task, workflow.RunOutcome.STOPPED)
        highest = self._highest.get(order.task, 0)
        self._highest[order.task] = max(highest, order.run)
        return workflow.OrderOutcome.OK

    async def renew(self, renewal):
        """Carry out a renewal; return its outcome."""
        self.advance()
        if renewal.fence < self._fence:
            return paged_store.failure(errors.Kind.BARRED)
        self._fence = renewal.fence
        if renewal.until_s is not None:
            self._until_s = max(self._until_s, renewal.until_s)
        while self._ends and self._ends[0].number <= renewal.acknowledged:
            self._on_acknowledged(self._ends.pop(0), _epoch(renewal.fence))
        limit = anyio.current_time() + renewal.wait_s
        while not self._ends and anyio.current_time() < limit:
            await anyio.sleep(POLL_S)
            self.advance()
        listed = self._ends[:MAX_LISTED_ENDS]
        running = [
            workflow.ReportedRun(task, run.number, "", 50.0)
            for task, run in self.runs.items()
        ]
        return result.Ok(
            workflow.Report(
                anyio.current_time(),
                1,
                running,
                listed,
                len(listed) == MAX_LISTED_ENDS,
            )
        )


class WorkerClient:
    """Stands for `platform.RunnerClient`.

    Parameters
    ----------
    worker : Worker
    rng : random.Random
    on_order : callable
        ``on_order(task, epoch)`` is called with each start that is sent.
    """

    def __init__(self, worker, rng, on_order):
        self._worker = worker
        self._rng = rng
        self._on_order = on_order
        self.address = worker.address

    async def start(self, order, fence, until_s):
        """Send a start."""
        self._on_order(order.task, _epoch(fence))
        return await self._send(
            lambda: self._worker.start(order, fence, until_s)
        )

    async def stop(self, order, fence):
        """Send a stop."""
        return await self._send(lambda: self._worker.stop(order, fence))

    async def _send(self, carry_out):
        await anyio.sleep(self._rng.uniform(0.001, 0.01))
        fault = self._rng.random()
        if self._is_away() or fault < REFUSED_SHARE:
            return workflow.OrderOutcome.REFUSED
        outcome = carry_out()
        await anyio.sleep(self._rng.uniform(0.001, 0.01))
        if fault < REFUSED_SHARE + LOST_SHARE:
            return workflow.OrderOutcome.UNKNOWN
        return outcome

    async def renew_leases(self, renewal):
        """Send a renewal."""
        await anyio.sleep(self._rng.uniform(0.001, 0.01))
        if self._is_away():
            await anyio.sleep(0.5)
            return paged_store.failure(errors.Kind.UNAVAILABLE)
        outcome = await self._worker.renew(renewal)
        await anyio.sleep(self._rng.uniform(0.001, 0.01))
        if self._rng.random() < LOST_SHARE:
            return paged_store.failure(errors.Kind.UNKNOWN_OUTCOME)
        return outcome

    def _is_away(self):
        return anyio.current_time() < self._worker.away_until

    async def aclose(self):
        """Close nothing."""


def _epoch(fence):
    """Return the epoch of the owner that has sent an order."""
    return fence // _fences.FENCES_PER_EPOCH
