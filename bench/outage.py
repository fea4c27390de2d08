"""Share of the work that goes on while the log is away for minutes.

Examples
--------
``python -m bench.outage --seconds 120``
"""

import json
import time

import fire

from demo import callers
from demo import jobs
from tests import cell as cells
from tests import layout

CALLERS = 12
UNDISTURBED_S = 20.0
SETTLE_S = 8.0
TASKS = 4000  # more than a zone can run in the time
CORES = 8.0
RUN_S = 4.0
ZONES = (
    layout.Zone("bkk-a", "bkk", 2, 8, 8),
    layout.Zone("cnx-a", "cnx", 1, 8, 8),
)


class Phase:
    """Counts what is served while a phase lasts."""

    def __init__(self, cell, load):
        self._cell = cell
        self._load = load

    def run(self, seconds):
        """Return answers and task starts a second, and failures."""
        before = self._load.figures()
        starts = self._cell.sum_worker_counter("starts")
        begin = time.monotonic()
        while time.monotonic() - begin < seconds:
            self._load.send("outage", CALLERS)
        took = time.monotonic() - begin
        after = self._load.figures()
        answers = after["whole_answers"] - before["whole_answers"]
        requests = after["requests"] - before["requests"]
        started = self._cell.sum_worker_counter("starts") - starts
        return {
            "answers_per_s": round(answers / took, 1),
            "unanswered": requests - answers,
            "starts_per_s": round(started / took, 2),
        }


def submit_backlog(cell):
    """Fill the queue of each zone with batch work."""
    for zone in ZONES:
        scheduler = cell.select("scheduler", zone.name)[0]
        job = {
            "id": f"backlog-{zone.name}",
            "path": "/batch/timetable",
            "tasks": TASKS,
            "cores": CORES,
            "run_time_s": RUN_S,
        }
        cell.post(scheduler.http, "/v1/jobs", job)


def run(seconds=120):
    """Measure an undisturbed phase and an outage of the log.

    Parameters
    ----------
    seconds : float
        Length of the outage.

    Returns
    -------
    dict
        Rates of both phases and the share that the outage leaves.
    """
    with cells.Cell(ZONES) as cell:
        cell.start()
        jobs.create_settings(cell)
        time.sleep(SETTLE_S)
        submit_backlog(cell)
        load = callers.LoadGenerator(cell, CALLERS)
        phase = Phase(cell, load)
        phase.run(SETTLE_S)
        undisturbed = phase.run(UNDISTURBED_S)
        cell.set_log_faults(outage=1)
        outage = phase.run(seconds)
        cell.set_log_faults(outage=0)
        expired = cell.sum_worker_counter("expired")
        doubles = sum(len(f["two_places"]) for f in cell.fleet_stats())
        overcommits = cell.sum_worker_counter("overcommits")
    return {
        "undisturbed": undisturbed,
        "outage": outage,
        "share_of_answers": round(
            outage["answers_per_s"] / undisturbed["answers_per_s"], 3
        ),
        "share_of_starts": round(
            outage["starts_per_s"] / undisturbed["starts_per_s"], 3
        ),
        "expired_tasks": expired,
        "task_in_two_places": doubles,
        "vm_overcommits": overcommits,
    }


def main():
    """Run the bench and print its figures as JSON."""
    fire.Fire(lambda seconds=120: print(json.dumps(run(seconds), indent=2)))


if __name__ == "__main__":
    main()
