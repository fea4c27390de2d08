"""Load with faults for some minutes; reports memory and broken promises.

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

CALLERS = 12
REQUESTS = 60  # of each kind per round
FAULT_PERIOD_S = 20.0
SILENCE_AFTER_S = 0.1  # the requests of a round take some tenths of a second
# Reached within the first minutes, so that memory that is not bounded by
# them shows as growth after it.
LIMITS = {"ids": 5000, "answer_cache_bytes": 1024 * 1024}


def resident_kb(daemon):
    """Return the resident memory of a daemon in KB."""
    with open(f"/proc/{daemon.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


class Soak:
    """One cell under load with a seeded schedule of faults."""

    def __init__(self, cell, seed):
        self._cell = cell
        self._random = random.Random(seed)
        self._load = callers.LoadGenerator(cell, CALLERS)
        self._submitted = 0
        self._samples = []
        self._faults = []

    def run(self, seconds):
        """Apply load and faults for some time."""
        start = time.monotonic()
        next_fault = start + FAULT_PERIOD_S
        while time.monotonic() - start < seconds:
            self._load.send("soak", REQUESTS)
            self._submit()
            self._sample(time.monotonic() - start)
            if time.monotonic() >= next_fault:
                next_fault += FAULT_PERIOD_S
                self._fault()

    def _submit(self):
        schedulers = self._cell.select("scheduler")
        scheduler = schedulers[self._submitted % len(schedulers)]
        body = {"id": f"soak-{self._submitted}", "path": "/batch/timetable"}
        self._cell.post(scheduler.http, "/v1/jobs", body)
        self._submitted += 1

    def _sample(self, at):
        sizes = {d.name: resident_kb(d) for d in self._cell.daemons.values()}
        self._samples.append((at, sizes))

    def _fault(self):
        fault = self._random.choice(
            [self._lose_answers, self._outage, self._silence, self._replace]
        )
        self._faults.append(fault.__name__.strip("_"))
        fault()

    def _lose_answers(self):
        self._cell.set_log_faults(lose_answers=0.3)
        self._load.send("soak", REQUESTS)
        self._cell.set_log_faults(lose_answers=0.0)

    def _outage(self):
        self._cell.set_log_faults(outage=1)
        end = time.monotonic() + 8.0
        while time.monotonic() < end:
            self._load.send("soak", REQUESTS)
        self._cell.set_log_faults(outage=0)

    def _silence(self):
        # Idle connections may be closed before the next request, so they go
        # silent while requests are under way.
        running = self._load.start("soak", REQUESTS)
        time.sleep(SILENCE_AFTER_S)
        for address in self._cell.endpoints.values():
            self._cell.post(address, "/silence", {})
        running.wait()

    def _replace(self):
        daemon = self._random.choice(self._cell.select("scheduler"))
        self._cell.stop_daemons([daemon])
        self._cell.launch(daemon)
        self._cell.wait_ready(daemon)

    def figures(self):
        """Return the figures of the run."""
        runs = self._cell.runs_by_request()
        third = max(1, len(self._samples) // 3)
        gateways = [d.name for d in self._cell.select("gateway")]
        early = self._mean(self._samples[third : 2 * third], gateways)
        late = self._mean(self._samples[2 * third :], gateways)
        fleet_stats = self._cell.fleet_stats()
        return {
            **self._load.figures(),
            "jobs": self._submitted,
            "faults": self._faults,
            "gateway_rss_kb_second_third": early,
            "gateway_rss_kb_last_third": late,
            "silenced": self._cell.sum_endpoint_counter("silenced"),
            "double_runs": self._load.double_runs(runs),
            "false_refusals": self._load.false_refusals(runs),
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


BROKEN = (
    "lost",
    "wrong_answers",
    "double_runs",
    "false_refusals",
    "slots_exceeded",
    "vm_overcommits",
    "task_in_two_places",
)


def run(minutes=10, seed=1):
    """Run the soak and print its figures as JSON.

    Parameters
    ----------
    minutes : float
        Duration of the load.
    seed : int
        Seed of the schedule of faults.

    Returns
    -------
    int
        Number of broken promises.
    """
    settings = {"gateway.limits": LIMITS}
    with cells.Cell(seed=seed, settings=settings) as cell:
        cell.start()
        jobs.create_settings(cell)
        time.sleep(6.0)
        soak = Soak(cell, seed)
        soak.run(minutes * 60)
        figures = soak.figures()
        cell.stop()
    print(json.dumps(figures, indent=2))
    return sum(1 for name in BROKEN if figures[name])


def main():
    """Run the soak that the command line describes."""
    broken = fire.Fire(run, serialize=lambda result: None)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
