"""Submission, cancellation and status of jobs."""

import dataclasses

import anyio
import result

from citrondeal import errors
from citrondeal import jobs
from citrondeal.runtime import _replica

# Fields of a job that are inherited from the tree when not given.
_INHERITED = (
    "kind",
    "priority",
    "team",
    "tasks",
    "cores",
    "memory_mb",
    "accelerators",
    "run_time_s",
    "once",
    "max_restarts",
    "command",
)


def stream_of(zone):
    """Return the name of the stream with the jobs of a zone."""
    return f"jobs-{zone}"


class JobService:
    """Jobs of one zone behind the operators' API.

    Parameters
    ----------
    owner : citrondeal.jobs.PoolOwner
        View of the zone's jobs, workers and tasks.
    settings : citrondeal.runtime.TreeReplica
        Defaults by path.
    log : citrondeal.logservice.LogClient
        Client of the log service.
    zone : str
        Availability zone of this process.
    zones : callable
        Returns the names of all zones with a scheduler.
    task_group : anyio.abc.TaskGroup
        Runs the appends.
    metrics : citrondeal.telemetry.Metrics
        Counts submissions and refusals.
    """

    def __init__(self, owner, settings, log, zone, zones, task_group, metrics):
        self._owner = owner
        self._settings = settings
        self._log = log
        self._zone = zone
        self._zones = zones
        self._task_group = task_group
        self._metrics = metrics
        self._changed = []
        self._replica = _replica.Replica(
            log,
            stream_of(zone),
            apply=self._apply,
            load=self._load,
            snapshot=self._snapshot,
            task_group=task_group,
        )

    @property
    def complete(self):
        """Whether all records that were read are applied."""
        return self._replica.follower.complete

    def on_changed(self, function):
        """Call `function()` after each batch of the stream."""
        self._changed.append(function)

    async def run(self):
        """Follow the stream of the zone until cancelled."""
        await self._replica.run(self._after_batch, lambda now: None)

    def append(self, record):
        """Append a record of the owner in the background."""
        self._task_group.start_soon(
            self._log.append, stream_of(self._zone), record
        )

    async def submit(self, request):
        """Append a job and return its id, or the reason of its refusal.

        Parameters
        ----------
        request : citrondeal.operators.JobRequest
            Fields that are None come from the settings tree.

        Returns
        -------
        result.Result
            ``Ok(dict)`` once the record is in the log.
        """
        values = self._settings.tree.values(request.path)
        if values is None:
            message = f"{request.path} is not in the settings tree"
            return self._refuse(errors.Kind.UNKNOWN_PATH, message)
        job = self._job_of(request, values)
        zone = request.zone or self._zone
        if zone not in self._zones():
            message = f"no scheduler is known in zone {zone}"
            return self._refuse(errors.Kind.UNKNOWN_PATH, message)
        if zone == self._zone:
            failure = self._owner.refusal(job)
            if failure is not None:
                return self._refused(failure)
        record = {"kind": "submit", "job": job}
        outcome = await self._log.append(stream_of(zone), record)
        if outcome.is_err():
            return self._refused(outcome.err_value)
        self._metrics.count("citrondeal.jobs.submitted", kind=job["kind"])
        return result.Ok({"id": job["id"], "zone": zone, "state": "accepted"})

    def _job_of(self, request, values):
        given = dataclasses.asdict(request)
        job = {"id": request.id, "path": request.path}
        for name in _INHERITED:
            value = given[name]
            job[name] = values[f"job.{name}"] if value is None else value
        if job["kind"] == "service":
            job["run_time_s"] = None
        return job

    def _refuse(self, kind, message):
        return self._refused(errors.Failure(kind, message))

    def _refused(self, failure):
        self._metrics.count("citrondeal.jobs.refused", kind=failure.kind.value)
        return result.Err(failure)

    async def cancel(self, job_id):
        """Append the cancellation of a job."""
        if self._owner.job_table.get(job_id) is None:
            return self._unknown(job_id)
        record = {"kind": "cancel", "job": job_id}
        outcome = await self._log.append(stream_of(self._zone), record)
        if outcome.is_err():
            return self._refused(outcome.err_value)
        return result.Ok({"id": job_id, "state": "cancelling"})

    async def status(self, job_id):
        """Return the state of a job and of each of its tasks."""
        status = self._owner.status(job_id)
        if status is None:
            return self._unknown(job_id)
        return result.Ok(status)

    async def listing(self, query):
        """Return the open jobs after an id, in the order of ids."""
        ids = sorted(
            i for i in self._owner.job_table.open_jobs if i > query.after
        )
        job_table = self._owner.job_table
        found = [job_table.status(job_id) for job_id in ids[: query.limit]]
        return result.Ok({"jobs": found})

    def _unknown(self, job_id):
        message = f"no job {job_id} in zone {self._zone}"
        return result.Err(errors.Failure(errors.Kind.UNKNOWN_JOB, message))

    def _apply(self, offset, payload):
        self._owner.on_record(offset, payload, anyio.current_time())

    def _snapshot(self):
        job_table = self._owner.job_table
        return {"offset": job_table.offset, **job_table.snapshot()["state"]}

    def _load(self, state):
        job_table = jobs.JobTable()
        if state is None and self._owner.job_table.offset >= 0:
            # A log that starts anew must not end the jobs known here.
            return False
        if state is not None:
            try:
                record = {"covers": state["offset"], "state": state}
                job_table = jobs.JobTable.from_snapshot(record)
            except (KeyError, TypeError, ValueError):
                return False
        self._owner.replace_job_table(job_table, anyio.current_time())
        return True

    def _after_batch(self, follower, sent_at):
        if follower.at_tail and follower.complete:
            self._owner.on_log_end_read(sent_at, anyio.current_time())
        for function in self._changed:
            function()
