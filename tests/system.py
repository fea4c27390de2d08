"""A small cell of real processes, with its load, for the system scenarios."""

import time

from demo import callers
from demo import jobs
from tests import cell as cells
from tests import layout

CALLERS = 12
REQUEST_PAUSE_S = 0.02
SETTLE_TIMEOUT_S = 30.0  # leaves time on a busy machine


class System:
    """A cell with the requests and the observations of one scenario."""

    def __init__(self, endpoints, workers):
        zones = (
            layout.Zone("bkk-a", "bkk", 2, endpoints, workers),
            layout.Zone("cnx-a", "cnx", 1, endpoints, workers),
        )
        self.cell = cells.Cell(zones)
        self.cell.start()
        jobs.create_settings(self.cell)
        self.load = callers.LoadGenerator(self.cell, CALLERS)
        self.observations = {}

    def scheduler(self, index=0):
        """Return the running scheduler at `index` in the first zone."""
        running = [
            d for d in self.cell.select("scheduler", "bkk-a") if d.process
        ]
        return running[index]

    def owner(self):
        """Return the scheduler that owns the pool of the first zone."""
        for daemon in self.cell.select("scheduler", "bkk-a"):
            state = self.cell.get(daemon.http, "/debug/state")
            if state["jobs"]["owned"]:
                return daemon
        raise AssertionError("the pool has no owner")

    def submit(self, job_id, **fields):
        """Submit a job in the first zone and return the decoded answer."""
        body = {"id": job_id, "path": "/batch/timetable", **fields}
        return self.cell.post(self.scheduler().http, "/v1/jobs", body)

    def state_of(self, job_id):
        """Return the state of a job and the list of states of its tasks."""
        status = self.cell.get(self.scheduler().http, f"/v1/jobs/{job_id}")
        tasks = [t["state"] for t in status.get("task_states", [])]
        return status.get("state"), tasks

    def starts(self):
        """Return the number of tasks that all workers have started."""
        return self.cell.sum_worker_counter("starts")

    def start_requests_for(self, seconds):
        """Start requests at short intervals for some time.

        Returns
        -------
        list of callers.PendingRequests
        """
        pending = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            pending.append(self.load.start("stream", 1))
            time.sleep(REQUEST_PAUSE_S)
        return pending


def wait_until(condition, limit_s, what):
    """Wait until `condition()` is true.

    Raises
    ------
    AssertionError
        If it is not within `limit_s` seconds; the text names `what`.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"{what}: not reached within {limit_s} s")
