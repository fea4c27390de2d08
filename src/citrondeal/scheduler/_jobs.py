"""Submission, cancellation and status of the jobs of one zone."""

import dataclasses

import anyio
import result

from citrondeal import errors
from citrondeal import jobs
from citrondeal import lifecycle
from citrondeal.runtime import _replica

# Fields of a job that default to the settings of its path.
_INHERITED_FIELDS = (
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

RETRY_AFTER_S = 1.0  # advice to the client


def job_stream_name(zone):
    """Return the name of the log stream with the jobs of a zone."""
    return f"jobs-{zone}"


class JobService:
    """Job functions of the operators' API for one zone.

    Parameters
    ----------
    owner : citrondeal.jobs.PoolOwner
        State of the zone's jobs, workers and tasks.
    settings : citrondeal.runtime.TreeReplica
        Settings tree with the defaults of job fields.
    log : citrondeal.logservice.LogClient
        Client of the log service.
    zone : str
        Availability zone of this process.
    zones : callable
        Returns the names of the zones that have a scheduler.
    task_group : anyio.abc.TaskGroup
        Runs the appends.
    metrics : citrondeal.telemetry.Metrics
        Counts submissions and refusals.
    may_deny_zone : callable, optional
        ``may_deny_zone(now)`` returns whether a zone that `zones` lacks may
        be answered as unknown; `now` is a `lifecycle.boot_time_s`.
    """

    def __init__(
        self,
        owner,
        settings,
        log,
        zone,
        zones,
        task_group,
        metrics,
        may_deny_zone=lambda now: False,
    ):
        self._owner = owner
        self._settings = settings
        self._log = log
        self._zone = zone
        self._zones = zones
        self._may_deny_zone = may_deny_zone
        self._task_group = task_group
        self._metrics = metrics
        self._batch_callbacks = []
        self._replica = _replica.Replica(
            log,
            job_stream_name(zone),
            apply=self._apply,
            load=self._load,
            snapshot=self._snapshot,
            task_group=task_group,
        )

    @property
    def loaded(self):
        """Whether the jobs have been read to the end of their log."""
        return self._replica.loaded

    def on_batch(self, function):
        """Call `function()` after each batch of records that is read."""
        self._batch_callbacks.append(function)

    async def run(self):
        """Follow the job stream of the zone until cancelled."""
        await self._replica.run(self._after_batch, lambda now: None)

    def append(self, record):
        """Append a record to the job stream in the background."""
        self._task_group.start_soon(
            self._log.append, job_stream_name(self._zone), record
        )

    async def submit(self, request):
        """Append a job to the stream of its zone.

        Parameters
        ----------
        request : citrondeal.operators.JobRequest
            The job; fields that are None come from the settings tree.

        Returns
        -------
        result.Result
            ``Ok(dict)`` with the job's id, zone and state once the record is
            in the log; ``Err(errors.Failure)`` if the job is refused or the
            append fails.
        """
        values = self._settings.tree.values(request.path)
        if values is None:
            return self._refuse(self._unknown_path(request.path))
        job = self._job_with_defaults(request, values)
        zone = request.zone or self._zone
        if zone not in self._zones():
            return self._refuse(self._unknown_zone(zone))
        if zone == self._zone:
            failure = self._owner.refusal(job)
            if failure is not None:
                return self._refuse(failure)
        record = {"kind": "submit", "job": job}
        outcome = await self._log.append(job_stream_name(zone), record)
        if outcome.is_err():
            return self._refuse(outcome.err_value)
        self._metrics.count("citrondeal.jobs.submitted", kind=job["kind"])
        return result.Ok({"id": job["id"], "zone": zone, "state": "accepted"})

    def _unknown_path(self, path):
        if self._settings.may_deny(lifecycle.boot_time_s()):
            message = f"path {path!r} is not in the settings tree"
            return errors.Failure(errors.Kind.UNKNOWN_PATH, message)
        message = (
            "the settings tree has not been read up to the end of the log of"
            f" late, so path {path!r} may exist"
        )
        return errors.Failure(errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S)

    def _unknown_zone(self, zone):
        if self._may_deny_zone(lifecycle.boot_time_s()):
            message = f"no scheduler is known in zone {zone!r}"
            return errors.Failure(errors.Kind.UNKNOWN_PATH, message)
        message = (
            "the list of VMs has not been read of late, so zone"
            f" {zone!r} may have a scheduler"
        )
        return errors.Failure(errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S)

    def _job_with_defaults(self, request, values):
        given = dataclasses.asdict(request)
        job = {"id": request.id, "path": request.path}
        for name in _INHERITED_FIELDS:
            value = given[name]
            job[name] = values[f"job.{name}"] if value is None else value
        if job["kind"] == "service":
            job["run_time_s"] = None
        return job

    def _refuse(self, failure):
        self._metrics.count("citrondeal.jobs.refused", kind=failure.kind.value)
        return result.Err(failure)

    async def cancel(self, job_id):
        """Append the cancellation of a job to the job stream."""
        if self._owner.job_table.get(job_id) is None:
            return self._unknown_job(job_id)
        record = {"kind": "cancel", "job": job_id}
        outcome = await self._log.append(job_stream_name(self._zone), record)
        if outcome.is_err():
            return self._refuse(outcome.err_value)
        return result.Ok({"id": job_id, "state": "cancelling"})

    async def status(self, job_id):
        """Return the status of a job and of its tasks."""
        status = self._owner.status(job_id)
        if status is None:
            return self._unknown_job(job_id)
        return result.Ok(status)

    async def list_jobs(self, query):
        """Return the open jobs after the id in the query, sorted by id.

        Fails until the jobs have been read to the end of their log, because
        a list without a job denies it.
        """
        if not self.loaded:
            message = (
                f"the jobs of zone {self._zone} have not been read up to the"
                " end of the log"
            )
            failure = errors.Failure(
                errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S
            )
            return result.Err(failure)
        ids = sorted(
            i for i in self._owner.job_table.open_jobs if i > query.after
        )
        job_table = self._owner.job_table
        statuses = [job_table.status(job_id) for job_id in ids[: query.limit]]
        return result.Ok({"jobs": statuses})

    def _unknown_job(self, job_id):
        if not self._replica.may_deny(lifecycle.boot_time_s()):
            message = (
                f"the jobs of zone {self._zone} have not been read up to the"
                f" end of the log of late, so job {job_id} may exist"
            )
            failure = errors.Failure(
                errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S
            )
            return result.Err(failure)
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
            # The log begins anew without a snapshot. The jobs known here
            # have not ended, so the table is not replaced.
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
        for function in self._batch_callbacks:
            function()
