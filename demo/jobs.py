"""Settings and jobs of the demonstration.

The system scenarios, the soak and the benches use the settings as well.
"""

import time
import uuid

RUN_S = (0.2, 1.0)
JOBS_TIMEOUT_S = 30.0
FINAL_STATES = ("finished", "failed", "cancelled", "unknown")

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
    """Set values of a branch of the settings tree.

    Parameters
    ----------
    cell : tests.cell.Cell
    path : str
        Path of the branch; it is created if it does not exist.
    values : dict of str to object
        Values by key.
    scheduler : tests.layout.Daemon, optional
        Receiver of the edit; by default the last scheduler of the cell.

    Returns
    -------
    dict
        Answer to the accepted edit, with the new ``version``.

    Raises
    ------
    RuntimeError
        If the edit is not accepted.
    """
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
        raise RuntimeError(f"edit of {path} was not accepted: {answer}")
    return answer


def create_settings(cell):
    """Create the branches and wait until all daemons have read them."""
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
    """Submits jobs of each kind over all zones and follows their states.

    Parameters
    ----------
    cell : tests.cell.Cell
        Cell to use.
    count : int
        Jobs of each branch below ``/batch``.
    """

    def __init__(self, cell, count):
        self._cell = cell
        self._count = count
        self._jobs = {}
        self._states = {}
        self._running_service_tasks = 0

    @property
    def count(self):
        """Number of submitted jobs."""
        return len(self._jobs)

    def submit(self):
        """Submit all jobs, to the schedulers in turn."""
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
                raise RuntimeError(
                    f"{job_id} was not accepted by {scheduler.name}: {answer}"
                )
            self._jobs[job_id] = (scheduler, path)

    def wait(self):
        """Wait until batch jobs and gangs have ended and services run.

        The running tasks of the services are counted; then the services
        are cancelled.
        """
        self._wait_for_all(
            lambda state, tasks: self._is_ended_or_running(state, tasks)
        )
        for job_id, (scheduler, path) in self._jobs.items():
            if path == "/batch/mirror":
                self._running_service_tasks += self._count_running_tasks(
                    job_id
                )
                url = f"http://{scheduler.http}/v1/jobs/{job_id}"
                self._cell.http_client.request("DELETE", url)
        self._wait_for_all(lambda state, tasks: state in FINAL_STATES)

    def _count_running_tasks(self, job_id):
        status = self._read_status(job_id)
        return sum(t["state"] == "running" for t in status["task_states"])

    def _read_status(self, job_id):
        scheduler, _ = self._jobs[job_id]
        status = self._cell.get(scheduler.http, f"/v1/jobs/{job_id}")
        return {"state": "missing", "task_states": [], **status}

    def _is_ended_or_running(self, state, tasks):
        if state in FINAL_STATES:
            return True
        return bool(tasks) and all(t["state"] == "running" for t in tasks)

    def _wait_for_all(self, is_done):
        deadline = time.monotonic() + JOBS_TIMEOUT_S
        waiting = list(self._jobs)
        while waiting and time.monotonic() < deadline:
            unfinished = []
            for job_id in waiting:
                status = self._read_status(job_id)
                self._states[job_id] = status["state"]
                if not is_done(status["state"], status["task_states"]):
                    unfinished.append(job_id)
            waiting = unfinished
            time.sleep(0.1)

    def figures(self):
        """Return counts of jobs and tasks.

        Returns
        -------
        dict of str to int
            ``tasks_done`` are tasks of finished or cancelled jobs,
            ``service_tasks_running`` those that ran when the services were
            cancelled.
        """
        tasks_done = unfinished = 0
        for job_id, (_, path) in self._jobs.items():
            tasks = SETTINGS[path]["job.tasks"]
            if self._states.get(job_id) in ("finished", "cancelled"):
                tasks_done += tasks
            else:
                unfinished += tasks
        return {
            "jobs": len(self._jobs),
            "tasks_done": tasks_done,
            "tasks_unfinished": unfinished,
            "service_tasks_running": self._running_service_tasks,
        }
