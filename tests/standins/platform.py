"""Stand-in for the users' platform: store, runners and ticket service.

It implements the part of the platform's protocol that the cell uses and
counts what must not happen: a task on two runners at once (``doubles``), a
start after the end of the task was acknowledged (``after_end``) and a start
that exceeds the capacity of its runner (``over``).  Fault switches:
``store_down`` (answers 503) and ``store_lost`` (share of appends that take
effect but are answered with the status of a lost answer) and ``append_ms``
(time of an append; a partition handles one at a time and answers 503 while too
much work waits).  ``POST /compact`` deletes the history of all topics; the
newest record of each key stays.

``POST /capacity`` changes the capacity of runners; a smaller one counts
`_runner.CAPACITY_GRACE_S` later.  A task whose specification has ``crash_s``
crashes its runner that long after its start.  Crashes are counted by the task
that caused them (``crashes``), and so are the starts of a task after its third
crash (``late_starts``).
"""

import collections
import json
import time

import anyio
import fire

from citrondeal import web
from tests.standins import _common
from tests.standins import _runner
from tests.standins import _store

APPEND_MS = 2.0
ENTRY_PERIOD_S = 0.5
TICKET_VALID_S = 2.5
UNLISTED_AFTER_S = 3 * ENTRY_PERIOD_S
# Starts of a task are counted from this crash on.
LAST_CRASH = 3


class Platform:
    """The store, the runners and the ticket service of one cell."""

    def __init__(self, runners, first_port, advertised_port):
        self.faults = _common.Faults(
            store_down=0.0, store_lost=0.0, append_ms=APPEND_MS
        )
        self.store = _store.Store(self.faults)
        self.runners = [
            _runner.Runner(
                self,
                f"i-{i}",
                f"127.0.0.1:{first_port + 2 + i}",
                f"127.0.0.1:{advertised_port + i}",
            )
            for i in range(runners)
        ]
        self.acknowledged_done = set()
        self.jobs = set()
        self.crashes = collections.Counter()
        self.late_starts = collections.Counter()
        self.counts = {"starts": 0, "doubles": 0, "after_end": 0, "over": 0}

    def count_start(self, runner, task, spec):
        """Count a start and the rules that it breaks."""
        self.counts["starts"] += 1
        self.jobs.add(task.partition(".")[0])
        self.counts["doubles"] += any(task in r.running for r in self.runners)
        self.counts["after_end"] += task in self.acknowledged_done
        self.counts["over"] += not runner.has_room(spec)
        self.late_starts[task] += self.crashes[task] >= LAST_CRASH

    def count_crash(self, task):
        """Count a crash of a runner by the task that caused it."""
        self.crashes[task] += 1

    def configure(self):
        """Write the first configuration to the operator's topic."""
        route = {
            "name": "holds",
            "host": "lanes.example",
            "path-prefix": "/holds/",
            "service": "lanes",
            "priority": 0,
            "max-attempts": 3,
            "stretch": 1.5,
            "target-latency-ms": 500,
            "advice": {"decide-ms": 5.0, "each-ms": 1.0, "valid-ms": 2500},
        }
        config = {"version": 1, "routes": [route], "services": []}
        self.store.put_json("keyed.op", "config", config)

    async def grant_tickets(self, request):
        """Answer ``POST /v1/advise``: grant a ticket for each worker."""
        names = json.loads(request.body)["workers"]
        await anyio.sleep(0.005)
        granted = [[name, f"ticket-{name}"] for name in names]
        return web.json_response(
            {"good": granted, "valid-ms": TICKET_VALID_S * 1000}
        )

    async def compact(self, request):
        """Answer ``POST /compact``: delete the history of all topics."""
        for partition in self.store.topics.values():
            partition.compact()
        return web.Response(200)

    async def report_counts(self, request):
        """Answer ``GET /counts``."""
        return web.json_response(
            {
                **self.counts,
                "jobs": sorted(self.jobs),
                "crashes": dict(+self.crashes),
                "late_starts": dict(+self.late_starts),
            }
        )

    async def change_capacities(self, request):
        """Answer ``POST /capacity`` with resources by runner."""
        changes = json.loads(request.body)
        for runner in self.runners:
            if runner.name in changes:
                runner.change_capacity(changes[runner.name])
        return web.json_response({r.name: r.capacity for r in self.runners})

    def apps(self, first_port):
        """Return ``(address, app)`` of each server."""
        control = web.App()
        control.add_route("POST", "/v1/advise", self.grant_tickets)
        control.add_route("POST", "/faults", self.faults.handle)
        control.add_route("POST", "/compact", self.compact)
        control.add_route("POST", "/capacity", self.change_capacities)
        control.add_route("GET", "/counts", self.report_counts)
        apps = [
            (f"127.0.0.1:{first_port}", self.store.app()),
            (f"127.0.0.1:{first_port + 1}", control),
        ]
        return apps + [(r.address, r.app()) for r in self.runners]

    async def run(self, apps):
        """Serve until a signal stops the process."""
        self.configure()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._tick)
            task_group.start_soon(self._publish_entries)
            await _common.serve_apps(apps)
            task_group.cancel_scope.cancel()

    async def _tick(self):
        while True:
            for runner in self.runners:
                runner.tick(time.monotonic())
            await anyio.sleep(_runner.TICK_S)

    async def _publish_entries(self):
        while True:
            for runner in self.runners:
                if runner.crashed_at is None:
                    self.store.put_json(
                        "keyed.servers", runner.name, runner.entry()
                    )
                elif time.monotonic() - runner.crashed_at > UNLISTED_AFTER_S:
                    self.store.delete("keyed.servers", runner.name)
            await anyio.sleep(ENTRY_PERIOD_S)


def main(first_port, runners=4, advertised_port=0):
    """Run the stand-ins on consecutive ports of 127.0.0.1.

    Parameters
    ----------
    first_port : int
        Port of the store; the next ones are those of the ticket service and
        of the runners.
    runners : int
        Number of runners.
    advertised_port : int
        Port of the first runner in the list of runners, if the cell
        reaches the runners through proxies; 0 if it reaches them directly.
    """
    platform = Platform(runners, first_port, advertised_port or first_port + 2)
    anyio.run(platform.run, platform.apps(first_port))


if __name__ == "__main__":
    fire.Fire(main)
