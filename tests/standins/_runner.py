"""A runner of the platform: its tasks, leases, capacity and crashes."""

import json
import math
import time

import anyio

from citrondeal import web
from tests.standins import _common

TICK_S = 0.02
STOP_DELAY_S = 0.1
# A smaller capacity counts the contact time (4 s) and a heartbeat (1.5 s)
# after a runner has shrunk.
CAPACITY_GRACE_S = 5.5
FULL_CAPACITY = {"cpu": 8000, "mem-mb": 8192, "gpu": 0}
RESTART_S = 2.0  # from the crash of a runner until it is back
MAX_LEASE_MS = 10_000


class Runner:
    """One runner with its running and ended tasks.

    Attributes
    ----------
    highest_fence : int
        Orders with a lower fence are refused.
    lease_until_ms : int
        End of the lease of all runs, on the runner's clock.
    last_closed_run : dict of str to int
        Run of each task that was stopped or has ended last; it and lower
        ones are not started.
    ended : list of list
        Ends that were not acknowledged yet: number, task, run, outcome and
        information.
    end_count : int
        Ends so far, the number of the last one.
    crashed_at : float or None
        When it crashed; None while it runs.
    """

    def __init__(self, platform, name, address, advertised_address):
        self.platform = platform
        self.name = name
        self.address = address
        self.advertised_address = advertised_address
        self.capacity = dict(FULL_CAPACITY)
        self._earlier_capacities = []  # with the time of their end
        self._clock_starts_at = 0.0
        self._begin()

    def _begin(self):
        """Begin an incarnation, which knows nothing of earlier ones."""
        self.born_ms = int(time.time() * 1000)
        self.crashed_at = None
        self.highest_fence = 0
        self.lease_until_ms = 0.0
        self.running = {}
        self.last_closed_run = {}
        self.ended = []
        self.end_count = 0

    def crash(self, now):
        """End without a word; `tick` brings it back later."""
        self.crashed_at = now
        self.running = {}

    def change_capacity(self, capacity):
        """Change some resources of the capacity."""
        self._earlier_capacities.append((time.monotonic(), self.capacity))
        self.capacity = {**self.capacity, **capacity}

    def has_room(self, spec):
        """Return whether a task fits a capacity that counts at present."""
        sizes = [_size(spec), *(run["size"] for run in self.running.values())]
        used = {name: sum(s[name] for s in sizes) for name in FULL_CAPACITY}
        since = time.monotonic() - CAPACITY_GRACE_S
        counted = [c for end, c in self._earlier_capacities if end > since]
        return any(
            all(used[name] <= capacity[name] for name in used)
            for capacity in [self.capacity, *counted]
        )

    def app(self):
        """Return the HTTP application."""
        app = web.App()
        app.add_route("POST", "/v1/run-start", self.start)
        app.add_route("POST", "/v1/run-stop", self.stop)
        app.add_route("POST", "/v1/hold", self.hold)
        return app

    def entry(self):
        """Return the entry in the list of runners."""
        return {
            "service": "lanes",
            "address": self.advertised_address,
            "zone": "z",
            "state": "ready",
            "slots": 8,
            "capacity": self.capacity,
            "labels": ["a", "rack"],
            "clock-ms": self.clock_ms(),
            "born": self.born_ms,
            "seq": 1,
        }

    def clock_ms(self):
        """Return the milliseconds on the runner's clock."""
        return int((time.monotonic() - self._clock_starts_at) * 1000)

    def _extend_lease(self, until_ms):
        """Extend the lease of all runs, which never shortens it."""
        until_ms = min(until_ms, self.clock_ms() + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def _answer(self, status=200, **fields):
        return web.json_response(
            {"clock-ms": self.clock_ms(), **fields}, status
        )

    async def start(self, request):
        """Answer ``POST /v1/run-start``."""
        if self.crashed_at is not None:
            return web.Response(_common.LOST_ANSWER_STATUS)
        order = json.loads(request.body)
        if order["fence"] < self.highest_fence:
            return self._answer(409, reason="fence")
        self.highest_fence = order["fence"]
        if order["until-ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        self._extend_lease(order["until-ms"])
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task]["run"] == run:
            return self._answer()
        if task in self.running or self.last_closed_run.get(task, 0) >= run:
            return self._answer(409, reason="old")
        spec = json.loads(order["spec"])
        self.platform.count_start(self, task, spec)
        self.running[task] = {
            "run": run,
            "ends": time.monotonic() + spec["work_s"],
            "crashes": time.monotonic() + spec.get("crash_s", math.inf),
            "size": _size(spec),
            "stop": None,
        }
        return self._answer()

    async def stop(self, request):
        """Answer ``POST /v1/run-stop``; the run ends after `STOP_DELAY_S`."""
        if self.crashed_at is not None:
            return web.Response(_common.LOST_ANSWER_STATUS)
        order = json.loads(request.body)
        if order["fence"] < self.highest_fence:
            return self._answer(409, reason="fence")
        self.highest_fence = order["fence"]
        task = order["task"]
        self.last_closed_run[task] = max(
            self.last_closed_run.get(task, 0), order["run"]
        )
        if task in self.running and self.running[task]["run"] <= order["run"]:
            self.running[task]["stop"] = time.monotonic() + STOP_DELAY_S
        return self._answer()

    async def hold(self, request):
        """Answer ``POST /v1/hold``: renew leases and list runs and ends."""
        if self.crashed_at is not None:
            return web.Response(_common.LOST_ANSWER_STATUS)
        born_ms = self.born_ms
        order = json.loads(request.body)
        if order["fence"] < self.highest_fence:
            return self._answer(409, reason="fence")
        self.highest_fence = order["fence"]
        self._extend_lease(order.get("until-ms", 0))
        acknowledged = order["seen-upto"]
        for end in self.ended:
            if end[0] <= acknowledged and end[3] == "done":
                self.platform.acknowledged_done.add(end[1])
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        limit = time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < limit:
            await anyio.sleep(TICK_S)
        if self.crashed_at is not None or self.born_ms != born_ms:
            return web.Response(_common.LOST_ANSWER_STATUS)
        running = [[t, r["run"], "", 0] for t, r in self.running.items()]
        return self._answer(
            running=running, ended=self.ended, born=self.born_ms
        )

    def tick(self, now):
        """End the runs that are stopped, done or without a lease.

        Starts the runner again some time after a crash.
        """
        if self.crashed_at is not None:
            if now - self.crashed_at >= RESTART_S:
                self._clock_starts_at = now
                self._begin()
            return
        for task, run in self.running.items():
            if now >= run["crashes"]:
                self.platform.count_crash(task)
                self.crash(now)
                return
        for task, run in list(self.running.items()):
            outcome = None
            if run["stop"] is not None and now >= run["stop"]:
                outcome = "stopped"
            elif now >= run["ends"]:
                outcome = "done"
            elif self.clock_ms() >= self.lease_until_ms:
                outcome = "lapsed"
            if outcome is not None:
                del self.running[task]
                self.last_closed_run[task] = max(
                    self.last_closed_run.get(task, 0), run["run"]
                )
                self.end_count += 1
                self.ended.append(
                    [self.end_count, task, run["run"], outcome, ""]
                )


def _size(spec):
    return {
        "cpu": spec["cpu"],
        "mem-mb": spec.get("mem_mb", 0),
        "gpu": spec.get("gpu", 0),
    }
