"""Settings and jobs of the demonstration."""

import time
import uuid

RUN_S = (0.2, 1.0)
WAIT_S = 30.0
ENDED = ("finished", "failed", "cancelled", "unknown")

SETTINGS = {
    "/services/lanebook": {
        "request.deadline_ms": 8000,
        "request.attempt_timeout_ms": 5000,
    },
    "/batch/timetable": {
        "job.kind": "batch",
        "job.cores": 2.0,
        "job.memory_mb": 2048,
        "job.tasks": 3,
        "job.run_time_s": 0.5,
        "job.priority": "low",
    },
    "/batch/allotment": {
        "job.kind": "gang",
        "job.cores": 4.0,
        "job.memory_mb": 4096,
        "job.tasks": 4,
        "job.run_time_s": 0.5,
    },
    "/batch/mirror": {
        "job.kind": "service",
        "job.cores": 1.0,
        "job.memory_mb": 512,
        "job.tasks": 2,
        "job.priority": "urgent",
    },
}


def edit_branch(cell, path, values, scheduler=None):
    """Set values of a branch and return the accepted edit."""
    scheduler = scheduler or cell.select("scheduler")[-1]
    node = cell.get(scheduler.http, f"/v1/tree/node{path}")
    answer = cell.post(
        scheduler.http,
        "/v1/tree/edits",
        {
            "edit_id": uuid.uuid4().hex,
            "path": path,
            "base": node["version"],
            "set": values,
            "author": "demo",
        },
    )
    if answer.get("outcome") != "accepted":
        raise RuntimeError(f"edit was not accepted: {answer}")
    return answer


def create_settings(cell):
    """Create the branches and wait until all daemons have them."""
    for path, values in SETTINGS.items():
        answer = edit_branch(cell, path, values)
    daemons = list(cell.daemons.values())
    while daemons:
        daemons = [
            d
            for d in daemons
            if cell.get(d.http, "/debug/state")["tree"]["version"]
            < answer["version"]
        ]


class Jobs:
    """Jobs of each kind, spread over the zones.

    Parameters
    ----------
    cell : tests.cell.Cell
        Cell to use.
    count : int
        Jobs of each kind.
    """

    def __init__(self, cell, count):
        self._cell = cell
        self._count = count
        self._jobs = {}
        self._states = {}
        self._service_tasks = 0

    @property
    def count(self):
        """Number of submitted jobs."""
        return len(self._jobs)

    def submit(self):
        """Submit all jobs, each through some scheduler of its zone."""
        schedulers = self._cell.select("scheduler")
        paths = [p for p in SETTINGS if p.startswith("/batch")]
        for index in range(self._count * len(paths)):
            scheduler = schedulers[index % len(schedulers)]
            path = paths[index // self._count]
            job_id = f"job-{index}"
            answer = self._cell.post(
                scheduler.http, "/v1/jobs", {"id": job_id, "path": path}
            )
            if answer.get("id") != job_id:
                raise RuntimeError(f"job was not accepted: {answer}")
            self._jobs[job_id] = (scheduler, path)

    def wait(self):
        """Wait for batch jobs and gangs; check and cancel the services."""
        self._poll(lambda state, tasks: self._is_settled(state, tasks))
        for job_id, (scheduler, path) in self._jobs.items():
            if path == "/batch/mirror":
                self._service_tasks += self._running(job_id)
                url = f"http://{scheduler.http}/v1/jobs/{job_id}"
                self._cell.http_client.request("DELETE", url)
        self._poll(lambda state, tasks: state in ENDED)

    def _running(self, job_id):
        status = self._status(job_id)
        return sum(t["state"] == "running" for t in status["task_states"])

    def _status(self, job_id):
        scheduler, _ = self._jobs[job_id]
        status = self._cell.get(scheduler.http, f"/v1/jobs/{job_id}")
        return {"state": "missing", "task_states": [], **status}

    def _is_settled(self, state, tasks):
        if state in ENDED:
            return True
        return bool(tasks) and all(t["state"] == "running" for t in tasks)

    def _poll(self, is_done):
        deadline = time.monotonic() + WAIT_S
        waiting = list(self._jobs)
        while waiting and time.monotonic() < deadline:
            still = []
            for job_id in waiting:
                status = self._status(job_id)
                self._states[job_id] = status["state"]
                if not is_done(status["state"], status["task_states"]):
                    still.append(job_id)
            waiting = still
            time.sleep(0.1)

    def figures(self):
        """Return counts of jobs and tasks."""
        done = unfinished = 0
        for job_id, (_, path) in self._jobs.items():
            tasks = SETTINGS[path]["job.tasks"]
            if self._states.get(job_id) in ("finished", "cancelled"):
                done += tasks
            else:
                unfinished += tasks
        return {
            "jobs": len(self._jobs),
            "tasks_done": done,
            "tasks_unfinished": unfinished,
            "service_tasks_running": self._service_tasks,
        }
