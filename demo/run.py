"""Demonstration of a whole cell on loopback.

Starts two regions with three availability zones, sends requests and jobs,
edits a branch, drains an endpoint, kills and replaces a gateway, and stops
everything gracefully.  All figures are counted by the stand-ins and the
callers, not by the system itself.
"""

import json
import sys
import time

from demo import callers
from demo import jobs
from tests import cell as cells

REQUESTS = 400  # of each kind
JOBS = 12  # of each kind
CALLERS = 24
LEAVING_S = 3.0  # a leaving endpoint must be idle after this time
CONFIG_LIMIT_S = 10.0


class Demonstration:
    """One run against one cell."""

    def __init__(self, cell):
        self._cell = cell
        self._figures = {}
        self._exits = {}

    @property
    def figures(self):
        """Figures counted so far."""
        return self._figures

    def run(self):
        """Run all steps in order."""
        start = time.monotonic()
        self._cell.start()
        note(start, "cell started")
        jobs.create_settings(self._cell)
        self._wait_slots()
        load = callers.LoadGenerator(self._cell, CALLERS)
        batch = jobs.Jobs(self._cell, JOBS)
        batch.submit()
        note(start, f"{batch.count} jobs submitted")
        load.send("quiet", REQUESTS)
        note(start, "requests sent to the undisturbed cell")
        self._edit_branch()
        note(start, "branch edited")
        self._drain_endpoint(load)
        note(start, "endpoint drained")
        self._kill_gateway(load)
        note(start, "gateway killed and replaced")
        batch.wait()
        note(start, "jobs ended")
        self._figures.update(load.figures())
        self._figures.update(batch.figures())
        self._stop(load)
        note(start, "cell stopped")

    def _wait_slots(self):
        """Wait until every endpoint is held by a gateway of its zone."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            held = sum(
                self._cell.get(d.http, "/debug/state")["leases"]["held"]
                for d in self._cell.select("gateway")
            )
            if held == len(self._cell.endpoints):
                return
            time.sleep(0.1)
        raise RuntimeError("not every endpoint is held")

    def _edit_branch(self):
        daemons = [d for d in self._cell.daemons.values() if d.process]
        edit = jobs.edit_branch(
            self._cell,
            "/services/lanebook",
            {"request.attempt_timeout_ms": 4000},
        )
        started = time.monotonic()
        wanted = edit["version"]
        behind = daemons
        while behind and time.monotonic() - started < CONFIG_LIMIT_S:
            behind = [d for d in behind if self._version(d) < wanted]
        taken = time.monotonic() - started
        self._figures["config_everywhere_s"] = round(taken, 3)
        self._figures["config_behind"] = len(behind)

    def _version(self, daemon):
        state = self._cell.get(daemon.http, "/debug/state")
        return state["tree"]["version"]

    def _drain_endpoint(self, load):
        name = next(iter(self._cell.endpoints))
        address = self._cell.endpoints[name]
        running = load.start("draining", REQUESTS // 2)
        row = {"id": name, "state": "leaving"}
        self._cell.post(self._cell.vm_list_address, "/rows", [row])
        time.sleep(LEAVING_S)
        before = self._cell.get(address, "/stats")["counts"].get("runs", 0)
        running.wait()
        load.send("drained", REQUESTS // 4)
        after = self._cell.get(address, "/stats")["counts"].get("runs", 0)
        self._figures["runs_on_leaving_endpoint"] = after - before

    def _kill_gateway(self, load):
        victim = self._cell.select("gateway")[0]
        running = load.start("killing", REQUESTS)
        time.sleep(0.5)
        self._cell.kill(victim)
        load.exclude(victim)
        running.wait()
        self._cell.launch(victim)
        self._cell.wait_ready(victim)
        load.include(victim)
        self._wait_slots()
        load.send("replaced", REQUESTS // 4)

    def _stop(self, load):
        running = load.start("stopping", REQUESTS // 4)
        first = [
            d
            for d in self._cell.daemons.values()
            if d.name.endswith("0") and d.role == "gateway"
        ]
        for daemon in first:
            load.exclude(daemon)
        self._exits.update(self._cell.stop_daemons(first))
        running.wait()
        self._figures.update(load.figures())
        self._figures.update(self._standin_figures(load))
        self._exits.update(self._cell.stop())
        unclean = [n for n, status in self._exits.items() if status != 0]
        self._figures["unclean_exits"] = len(unclean)

    def _standin_figures(self, load):
        cell = self._cell
        runs = cell.runs_by_request()
        doubles = sum(len(f["two_places"]) for f in cell.fleet_stats())
        return {
            "double_runs": load.double_runs(runs),
            "false_refusals": load.false_refusals(runs),
            "slots_exceeded": cell.sum_endpoint_counter("slots_exceeded"),
            "connections_exceeded": cell.sum_endpoint_counter(
                "connections_exceeded"
            ),
            "vm_overcommits": cell.sum_worker_counter("overcommits"),
            "task_in_two_places": doubles,
        }


def note(start, text):
    """Print one step with the seconds since the start."""
    print(f"{time.monotonic() - start:6.1f} s  {text}", flush=True)


MUST_BE_ZERO = (
    "lost",
    "wrong_answers",
    "config_behind",
    "runs_on_leaving_endpoint",
    "tasks_unfinished",
    "double_runs",
    "false_refusals",
    "slots_exceeded",
    "connections_exceeded",
    "vm_overcommits",
    "task_in_two_places",
    "unclean_exits",
)


def main():
    """Run the demonstration; exits with 1 if a promise was broken."""
    with cells.Cell() as cell:
        demonstration = Demonstration(cell)
        demonstration.run()
    figures = demonstration.figures
    width = max(map(len, figures))
    print()
    for name, value in figures.items():
        print(f"{name:<{width}}  {value}")
    broken = [name for name in MUST_BE_ZERO if figures[name]]
    print("broken promises:", ", ".join(broken) or "none")
    print(json.dumps(figures))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
