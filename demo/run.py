"""Demonstration of a whole cell on loopback.

Starts two regions with three availability zones, sends requests and jobs,
edits a branch of the settings tree, drains an endpoint, kills and replaces
a gateway, and stops everything gracefully.  All figures are counted by the
stand-ins and the callers, not by the system itself.
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
LEAVING_LIMIT_S = 3.0  # after it a leaving endpoint gets no requests
CONFIG_TIMEOUT_S = 10.0


class Demonstration:
    """Runs all steps on one cell and collects the figures."""

    def __init__(self, cell):
        self._cell = cell
        self._figures = {}
        self._exit_statuses = {}

    @property
    def figures(self):
        """Figures counted so far."""
        return self._figures

    def run(self):
        """Run all steps in order."""
        start = time.monotonic()
        self._cell.start()
        print_progress(start, "cell started")
        jobs.create_settings(self._cell)
        self._wait_until_endpoints_held()
        load = callers.LoadGenerator(self._cell, CALLERS)
        demo_jobs = jobs.Jobs(self._cell, JOBS)
        demo_jobs.submit()
        print_progress(start, f"{demo_jobs.count} jobs submitted")
        load.send("quiet", REQUESTS)
        print_progress(start, "requests sent to the undisturbed cell")
        self._edit_branch()
        print_progress(start, "branch edited")
        self._drain_endpoint(load)
        print_progress(start, "endpoint drained")
        self._kill_gateway(load)
        print_progress(start, "gateway killed and replaced")
        demo_jobs.wait()
        print_progress(start, "jobs ended")
        self._figures.update(load.figures())
        self._figures.update(demo_jobs.figures())
        self._stop_cell(load)
        print_progress(start, "cell stopped")

    def _wait_until_endpoints_held(self):
        """Wait until gateways hold leases of all endpoints."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            held = sum(
                self._cell.get(d.http, "/debug/state")["leases"]["held"]
                for d in self._cell.select("gateway")
            )
            if held == len(self._cell.endpoints):
                return
            time.sleep(0.1)
        raise RuntimeError(
            "gateways did not hold all"
            f" {len(self._cell.endpoints)} endpoints within 20 s"
        )

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
        while behind and time.monotonic() - started < CONFIG_TIMEOUT_S:
            behind = [d for d in behind if self._settings_version(d) < wanted]
        elapsed_s = time.monotonic() - started
        self._figures["config_everywhere_s"] = round(elapsed_s, 3)
        self._figures["config_behind"] = len(behind)

    def _settings_version(self, daemon):
        state = self._cell.get(daemon.http, "/debug/state")
        return state["tree"]["version"]

    def _drain_endpoint(self, load):
        name = next(iter(self._cell.endpoints))
        address = self._cell.endpoints[name]
        pending = load.start("draining", REQUESTS // 2)
        row = {"id": name, "state": "leaving"}
        self._cell.post(self._cell.vm_list_address, "/rows", [row])
        time.sleep(LEAVING_LIMIT_S)
        before = self._cell.get(address, "/stats")["counts"].get("runs", 0)
        pending.wait()
        load.send("drained", REQUESTS // 4)
        after = self._cell.get(address, "/stats")["counts"].get("runs", 0)
        self._figures["runs_on_leaving_endpoint"] = after - before

    def _kill_gateway(self, load):
        victim = self._cell.select("gateway")[0]
        pending = load.start("killing", REQUESTS)
        time.sleep(0.5)
        self._cell.kill(victim)
        load.exclude(victim)
        pending.wait()
        self._cell.launch(victim)
        self._cell.wait_ready(victim)
        load.include(victim)
        self._wait_until_endpoints_held()
        load.send("replaced", REQUESTS // 4)

    def _stop_cell(self, load):
        pending = load.start("stopping", REQUESTS // 4)
        first_gateways = [
            d
            for d in self._cell.daemons.values()
            if d.name.endswith("0") and d.role == "gateway"
        ]
        for daemon in first_gateways:
            load.exclude(daemon)
        self._exit_statuses.update(self._cell.stop_daemons(first_gateways))
        pending.wait()
        self._figures.update(load.figures())
        self._figures.update(self._standin_figures(load))
        self._exit_statuses.update(self._cell.stop())
        unclean = [
            n for n, status in self._exit_statuses.items() if status != 0
        ]
        self._figures["unclean_exits"] = len(unclean)

    def _standin_figures(self, load):
        cell = self._cell
        runs = cell.runs_by_request()
        duplicated_tasks = sum(
            len(f["two_places"]) for f in cell.fleet_stats()
        )
        return {
            "double_runs": load.double_runs(runs),
            "false_refusals": load.false_refusals(runs),
            "slots_exceeded": cell.sum_endpoint_counter("slots_exceeded"),
            "connections_exceeded": cell.sum_endpoint_counter(
                "connections_exceeded"
            ),
            "vm_overcommits": cell.sum_worker_counter("overcommits"),
            "task_in_two_places": duplicated_tasks,
        }


def print_progress(start, text):
    """Print `text` behind the seconds since `start`."""
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
    """Run the demonstration; exit with 1 if a guarantee was broken."""
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
