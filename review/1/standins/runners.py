"""Stand-in for the runners, which start tasks on orders of the cell."""

import asyncio
import collections
import json
import time

from standins import http
from standins import tickets

HEARTBEAT_S = 1.5
# An entry is removed after three heartbeat intervals of silence.
UNLISTED_AFTER_S = 3 * HEARTBEAT_S
STOP_S = 0.1
GANG_S = 3.0
MAX_LEASE_MS = 10_000
# Ends that one answer lists at most.
ENDS_LISTED = 500
LEASE_CHECK_S = 0.02


class Run:
    """One run of a task."""

    def __init__(self, task, number, spec, earlier_runs):
        self.task = task
        self.number = number
        self.how = "done"
        self.work_s = spec["work_ms"] / 1000
        if earlier_runs < spec.get("failing_runs", 0):
            self.how = "failed"
            self.work_s = spec["fails_after_ms"] / 1000
        self.started_at = time.monotonic()
        self.timer = None
        self.works = False

    def percent(self):
        """Return how much of its work is done, from 0 to 99."""
        if not self.works:
            return 0
        spent_s = time.monotonic() - self.started_at
        return min(99, int(100 * spent_s / self.work_s))


class Runner:
    """One runner with its running and ended tasks.

    Parameters
    ----------
    fleet : Fleet
    name : str
        Id of the runner.
    rack, kind : str
        Its labels.
    """

    def __init__(self, fleet, name, rack, kind):
        self.fleet = fleet
        self.name = name
        self.rack = rack
        self.kind = kind
        self.server = http.Server(self._handle)
        self.alive = False
        self.life = 0
        self._has_power = True

    async def start(self):
        """Begin an incarnation, which knows nothing of earlier ones."""
        self.life += 1
        self.alive = True
        self.born_ms = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._fence = 0
        self._lease_until_ms = 0
        self._lapsed = True
        self.running = {}
        self._closed_runs = {}
        self._ended = []
        self._end_count = 0
        self._ended_event = asyncio.Event()
        self._sequence = 0
        if self._has_power:
            await self.server.start()
        else:
            self._has_power = True
            self.server.regain_power()
        self.fleet.log("up", runner=self.name, life=self.life)
        asyncio.create_task(self._heartbeats(self.life))
        asyncio.create_task(self._watch_lease(self.life))

    def crash(self, power=True):
        """End without a word; without power, connections are not reset."""
        self.alive = False
        self._has_power = power
        if power:
            self.server.stop()
        else:
            self.server.lose_power()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        lost = list(self.running.values())
        self.running = {}
        self.fleet.log(
            "crash",
            runner=self.name,
            life=self.life,
            lost=[[run.task, run.number] for run in lost],
        )
        for run in lost:
            self.fleet.on_broken(run)
        asyncio.create_task(self._unlist(self.life))

    async def _unlist(self, life):
        await asyncio.sleep(UNLISTED_AFTER_S)
        if not self.alive and self.life == life:
            self.fleet.store.put("keyed.servers", self.name, None)

    async def _heartbeats(self, life):
        while self.alive and self.life == life:
            self._sequence += 1
            entry = {
                "service": self.fleet.service,
                "address": f"127.0.0.1:{self.server.port}",
                "zone": "zone-a",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": self._sequence,
                "capacity": self.fleet.capacity,
                "labels": [self.kind, self.rack],
                "clock-ms": self._clock_ms(),
                "born": self.born_ms,
            }
            self.fleet.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self, life):
        while self.alive and self.life == life:
            if not self._lapsed and self._clock_ms() >= self._lease_until_ms:
                self._lapsed = True
                self.fleet.log("lapse", runner=self.name, life=life)
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            await asyncio.sleep(LEASE_CHECK_S)

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_start) * 1000)

    def _answer(self, status=200, **fields):
        return status, {"clock-ms": self._clock_ms(), **fields}

    def _extend_lease(self, until_ms):
        until_ms = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        if until_ms > self._lease_until_ms:
            self._lease_until_ms = until_ms
            self._lapsed = self._lapsed and until_ms <= self._clock_ms()

    async def _handle(self, request):
        if not self.alive:
            return None
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return self._answer(421)
        order = request.json()
        if order.get("fence", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = order.get("fence", 0)
        if request.path == "/v1/run-start":
            return self._start_run(order)
        if request.path == "/v1/run-stop":
            return self._stop_run(order)
        return await self._hold(order)

    def _start_run(self, order):
        if order["until-ms"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend_lease(order["until-ms"])
        task, number = order["task"], order["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return self._answer()
        if known is not None or self._closed_runs.get(task, 0) >= number:
            self.fleet.log(
                "rejected as old", task=task, run=number, runner=self.name
            )
            return self._answer(409, reason="old")
        ticket = order.get("ticket", "")
        if self.fleet.ticketed and not tickets.is_valid(
            ticket, task, self.life
        ):
            return self._answer(409, reason="ticket")
        spec = json.loads(order["spec"])
        run = Run(task, number, spec, self.fleet.count_run(task, number))
        self.running[task] = run
        self._log_run("start", run)
        self.fleet.on_start(self, run)
        return self._answer()

    def work(self, run):
        """Let a run work, and end it when its work is done."""
        run.works = True
        run.started_at = time.monotonic()
        if run.timer is not None:
            run.timer.cancel()
        run.timer = asyncio.get_running_loop().call_later(
            run.work_s, self.fleet.on_worked, self, run
        )

    def _stop_run(self, order):
        task, number = order["task"], order["run"]
        closed = max(self._closed_runs.get(task, 0), number)
        self._closed_runs[task] = closed
        run = self.running.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end, run, "stopped")
        return self._answer()

    def end(self, run, how):
        """End a run and list its end."""
        if not self.alive or self.running.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.running[run.task]
        closed = max(self._closed_runs.get(run.task, 0), run.number)
        self._closed_runs[run.task] = closed
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ""])
        self._ended_event.set()
        self._log_run("end", run, n=self._end_count, how=how)
        if how != "done":
            self.fleet.on_broken(run)

    def _log_run(self, event, run, **fields):
        if run.task.partition(".")[0] in self.fleet.bulk_jobs:
            return
        self.fleet.log(
            event,
            task=run.task,
            run=run.number,
            runner=self.name,
            life=self.life,
            **fields,
        )

    async def _hold(self, order):
        life = self.life
        seen = order.get("seen-upto", 0)
        if self._ended and self._ended[0][0] <= seen:
            self._ended = [end for end in self._ended if end[0] > seen]
            if not self.fleet.bulk_jobs:
                self.fleet.log("noted", runner=self.name, life=life, upto=seen)
        if "until-ms" in order:
            self._extend_lease(order["until-ms"])
        if not self._ended and order.get("wait-ms"):
            self._ended_event = asyncio.Event()
            try:
                async with asyncio.timeout(order["wait-ms"] / 1000):
                    await self._ended_event.wait()
            except TimeoutError:
                pass
        if not self.alive or self.life != life:
            return None
        running = [
            [run.task, run.number, "", run.percent(), 0]
            for run in self.running.values()
        ]
        return self._answer(
            running=running,
            ended=self._ended[:ENDS_LISTED],
            born=self.born_ms,
        )


class Fleet:
    """All runners of one service, and the gangs that run on them.

    Parameters
    ----------
    store : standins.store.Store
    log : callable
        ``log(event, **fields)`` records what a runner has seen.
    capacity : dict
        Capacity of each runner, as its entry gives it.
    """

    service = "lanes"

    def __init__(self, store, log, capacity):
        self.store = store
        self.log = log
        self.capacity = capacity
        self.gangs = {}  # number of members by ID.K.STEP
        self.ticketed = False
        # Jobs whose runs are only counted, not recorded one by one.
        self.bulk_jobs = set()
        self.highest_run = 0
        self.start_count = 0
        self.runners = []
        self._run_counts = collections.Counter()  # by task
        self._present = {}  # members of a gang's run that are present

    async def add(self, name, rack, kind="a"):
        """Add and start a runner."""
        runner = Runner(self, name, rack, kind)
        self.runners.append(runner)
        await runner.start()
        return runner

    def count_run(self, task, number):
        """Count a start and return how many the task has had before."""
        self.start_count += 1
        self.highest_run = max(self.highest_run, number)
        if task.partition(".")[0] in self.bulk_jobs:
            return 0
        self._run_counts[task] += 1
        return self._run_counts[task] - 1

    def on_start(self, runner, run):
        """Let a run work, or wait for the other members of its gang."""
        step = run.task.rpartition(".")[0]
        if step not in self.gangs:
            runner.work(run)
            return
        present = self._present.setdefault((step, run.number), [])
        present.append((runner, run))
        if len(present) < self.gangs[step]:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(GANG_S, runner.end, run, "alone")
            return
        for member_runner, member in present:
            member_runner.work(member)

    def on_worked(self, runner, run):
        """End a run, with all members of its gang if it is done."""
        if run.how != "done":
            runner.end(run, run.how)
            return
        step = run.task.rpartition(".")[0]
        members = self._present.pop((step, run.number), [(runner, run)])
        for member_runner, member in members:
            member_runner.end(member, "done")

    def on_broken(self, run):
        """End the other members of a gang after one has ended."""
        step = run.task.rpartition(".")[0]
        for runner, member in self._present.pop((step, run.number), []):
            runner.end(member, "broken")
