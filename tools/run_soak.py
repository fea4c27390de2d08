"""Soak test with load and faults; reports memory and violated guarantees.

Examples
--------
``python -m tools.run_soak --minutes 10``
"""

import json
import random
import sys
import time

import fire

from demo import callers
from demo import jobs
from tests import cell as cells

CALLER_COUNT = 12
REQUESTS_PER_KIND = 60  # per round
FAULT_PERIOD_S = 20.0
SILENCE_DELAY_S = 0.1  # a round takes some tenths of a second
# Small enough to be reached within the first minutes, so that memory that
# these limits do not bound shows as growth afterwards.
GATEWAY_LIMITS = {"ids": 5000, "answer_cache_bytes": 1024 * 1024}


def resident_kb(daemon):
    """Return the resident memory of a daemon in KB, 0 if none is listed."""
    with open(f"/proc/{daemon.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


class Soak:
    """Applies load and a seeded schedule of faults to one cell."""

    def __init__(self, cell, seed):
        self._cell = cell
        self._random = random.Random(seed)
        self._load_generator = callers.LoadGenerator(cell, CALLER_COUNT)
        self._submitted = 0
        self._samples = []
        self._faults = []

    def run(self, seconds):
        """Apply load and faults for `seconds`."""
        start = time.monotonic()
        next_fault = start + FAULT_PERIOD_S
        while time.monotonic() - start < seconds:
            self._load_generator.send("soak", REQUESTS_PER_KIND)
            self._submit()
            self._sample(time.monotonic() - start)
            if time.monotonic() >= next_fault:
                next_fault += FAULT_PERIOD_S
                self._inject_fault()

    def _submit(self):
        schedulers = self._cell.select("scheduler")
        scheduler = schedulers[self._submitted % len(schedulers)]
        body = {"id": f"soak-{self._submitted}", "path": "/batch/timetable"}
        self._cell.post(scheduler.http, "/v1/jobs", body)
        self._submitted += 1

    def _sample(self, elapsed_s):
        sizes = {d.name: resident_kb(d) for d in self._cell.daemons.values()}
        self._samples.append((elapsed_s, sizes))

    def _inject_fault(self):
        fault = self._random.choice(
            [self._lose_answers, self._outage, self._silence, self._replace]
        )
        # The method names are printed with the figures.
        self._faults.append(fault.__name__.strip("_"))
        fault()

    def _lose_answers(self):
        self._cell.set_log_faults(lose_answers=0.3)
        self._load_generator.send("soak", REQUESTS_PER_KIND)
        self._cell.set_log_faults(lose_answers=0.0)

    def _outage(self):
        self._cell.set_log_faults(outage=1)
        end = time.monotonic() + 8.0
        while time.monotonic() < end:
            self._load_generator.send("soak", REQUESTS_PER_KIND)
        self._cell.set_log_faults(outage=0)

    def _silence(self):
        # Idle connections may be closed before the next request, so the
        # endpoints go silent while requests are in flight.
        running = self._load_generator.start("soak", REQUESTS_PER_KIND)
        time.sleep(SILENCE_DELAY_S)
        for address in self._cell.endpoints.values():
            self._cell.post(address, "/silence", {})
        running.wait()

    def _replace(self):
        daemon = self._random.choice(self._cell.select("scheduler"))
        self._cell.stop_daemons([daemon])
        self._cell.launch(daemon)
        self._cell.wait_ready(daemon)

    def figures(self):
        """Return load, memory and violation figures of the run, by name."""
        runs = self._cell.runs_by_request()
        third = max(1, len(self._samples) // 3)
        gateways = [d.name for d in self._cell.select("gateway")]
        early = self._mean(self._samples[third : 2 * third], gateways)
        late = self._mean(self._samples[2 * third :], gateways)
        fleet_stats = self._cell.fleet_stats()
        return {
            **self._load_generator.figures(),
            "jobs": self._submitted,
            "faults": self._faults,
            "gateway_rss_kb_second_third": early,
            "gateway_rss_kb_last_third": late,
            "silenced": self._cell.sum_endpoint_counter("silenced"),
            "double_runs": self._load_generator.double_runs(runs),
            "false_refusals": self._load_generator.false_refusals(runs),
            "slots_exceeded": self._cell.sum_endpoint_counter(
                "slots_exceeded"
            ),
            "vm_overcommits": self._cell.sum_worker_counter("overcommits"),
            "task_in_two_places": sum(
                len(f["two_places"]) for f in fleet_stats
            ),
        }

    def _mean(self, samples, names):
        values = [sizes[n] for _, sizes in samples for n in names]
        return round(sum(values) / max(1, len(values)))


VIOLATION_KEYS = (
    "lost",
    "wrong_answers",
    "double_runs",
    "false_refusals",
    "slots_exceeded",
    "vm_overcommits",
    "task_in_two_places",
)


def run(minutes=10, seed=1):
    """Run the soak test and print its figures as JSON.

    Parameters
    ----------
    minutes : float
        Duration of the load, in minutes.
    seed : int
        Seed of the schedule of faults.

    Returns
    -------
    int
        Number of kinds of violation that were seen.
    """
    settings = {"gateway.limits": GATEWAY_LIMITS}
    with cells.Cell(seed=seed, settings=settings) as cell:
        cell.start()
        jobs.create_settings(cell)
        time.sleep(6.0)
        soak = Soak(cell, seed)
        soak.run(minutes * 60)
        figures = soak.figures()
        cell.stop()
    print(json.dumps(figures, indent=2))
    return sum(1 for name in VIOLATION_KEYS if figures[name])


def main():
    """Run as the command line says; exit with 1 on a violation."""
    violations = fire.Fire(run, serialize=lambda result: None)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
