"""State of the jobs of one zone, computed from its ``jobs-<zone>`` stream.

Every replica that applies the same records holds the same state.
"""

import collections
import dataclasses
import math

from citrondeal import errors
from citrondeal.jobs import _budget
from citrondeal.jobs import _job
from citrondeal.jobs import _job_form
from citrondeal.jobs import _starts

# Outcomes in ``finished`` records; "released" is the end of a recorded start
# without an outcome and without a crash.
RECORDED_OUTCOMES = ("finished", "failed", "unknown", "crashed", "released")

# Attempts per task whose recorded end is remembered, so that a repeated
# record isn't counted twice.  An append is repeated within seconds, and a task
# fails at most about once a second.
MAX_RECORDED_ATTEMPTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class JobTableConfig:
    """Settings of a `JobTable`, the same in all replicas of a zone.

    Parameters
    ----------
    max_history : int
        Ended jobs that are remembered (about 1 kB each), so that a repeated
        id is recognised and the status can be read.
    max_open_jobs : int
        Open jobs (about 1 kB each) at which further ones are refused; the
        limit is for jobs on hold, which accumulate.
    max_restarts : int
        Restarts of a failed batch or gang task if the job has no
        ``max_restarts``.
    hold_workers : int
        Distinct workers on which a job has to fail before it is put on
        hold.
    """

    max_history: int = 2048
    max_open_jobs: int = 10_000
    max_restarts: int = 3
    hold_workers: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Effect of one record.

    Parameters
    ----------
    kind : str
        Kind of the record.
    job : str
        Id of the job; empty for a ``finished`` record.
    tasks : tuple of str
        Task ids of a ``finished`` or ``intent`` record.
    given_up : tuple of str
        Those of them whose task was given up with this record.
    """

    kind: str
    job: str = ""
    tasks: tuple = ()
    given_up: tuple = ()


class JobTable:
    """Jobs of one zone, as the records of its stream define them.

    Parameters
    ----------
    config : JobTableConfig, optional
        Settings.
    """

    def __init__(self, config=None):
        self._config = config or JobTableConfig()
        self._open = {}
        self._history = collections.OrderedDict()
        self._starts = _starts.Starts()
        self._malformed = 0
        self._offset = -1

    @classmethod
    def from_config(cls, config):
        """Return an empty table with the settings in `config`."""
        return cls(config)

    @property
    def malformed(self):
        """Number of malformed records and entries that were skipped."""
        return self._malformed

    @property
    def offset(self):
        """Offset of the last record applied, -1 before the first."""
        return self._offset

    @property
    def starts(self):
        """Recorded starts of tasks under which workers have crashed."""
        return self._starts

    @property
    def open_jobs(self):
        """Mapping of ids to jobs that have not ended; not a copy."""
        return self._open

    def get(self, job_id):
        """Return the job, or None if it is unknown or no longer remembered."""
        return self._open.get(job_id) or self._history.get(job_id)

    def apply(self, offset, record, appended_after=None):
        """Apply one record.

        Parameters
        ----------
        offset : int
            Offset in the log; records up to the last one applied are
            skipped.
        record : object
            Decoded JSON.
        appended_after : float, optional
            Send time of the last read of the stream that reached its end,
            on this process's clock.

        Returns
        -------
        Change or None
            None if the record changes nothing.
        """
        if offset <= self._offset:
            return None
        self._offset = offset
        kind = record.get("kind") if isinstance(record, dict) else None
        if kind == "snapshot":
            return None
        handlers = {
            "submit": self._apply_submit,
            "cancel": self._apply_cancel,
            "intent": self._apply_intent,
            "finished": self._apply_finished,
        }
        handler = handlers.get(kind) if isinstance(kind, str) else None
        if handler is None:
            self._malformed += 1
            return None
        try:
            return handler(record, appended_after)
        except ValueError:
            self._malformed += 1
            return None

    def _apply_submit(self, record, appended_after):
        job = _job_form.read_job(record.get("job"))
        if self.get(job.id) is not None:
            return None
        job.appended_after = appended_after
        self._open[job.id] = job
        return Change("submit", job.id)

    def _apply_cancel(self, record, _appended_after):
        job_id = record.get("job")
        if not isinstance(job_id, str):
            raise ValueError(
                f"cancel needs a job id, not {type(job_id).__name__}"
            )
        job = self._open.get(job_id)
        if job is None:
            return None
        job.cancelled = True
        self._close_job(job)
        return Change("cancel", job_id)

    def _find_task(self, task):
        parts = _job.parse_task_id(task)
        if parts is None:
            raise ValueError("task id must be <job>/<index>/<attempt>")
        job = self.get(parts[0])
        if job is not None and parts[1] >= job.tasks:
            raise ValueError(
                f"job {job.id} has {job.tasks} tasks, but the task id has"
                f" index {parts[1]}"
            )
        return job, parts[1], parts[2]

    def _apply_intent(self, record, _appended_after):
        task = record.get("task")
        job, index, attempt = self._find_task(task)
        if job is not None and not job.once:
            return self._apply_start(job, index, attempt, record)
        if job is None or index in job.intents:
            return None
        if job.intents is _job.EMPTY:
            job.intents = {}
        job.intents[index] = attempt
        return Change("intent", job.id, (task,))

    def _apply_start(self, job, index, attempt, record):
        """Remember where a task under which workers crashed is started."""
        task = record["task"]
        worker = record.get("worker")
        boot_id = record.get("boot_id")
        if job.ended or not job.is_open(index) or boot_id is None:
            return None
        if not (
            _job_form.is_text(worker) and worker and _job_form.is_text(boot_id)
        ):
            raise ValueError("intent needs the name of a worker and a boot_id")
        is_ended = self.is_end_recorded(job, index, attempt)
        if index in job.crashes and not is_ended:
            self._starts.add((job.id, index), task, worker, boot_id)
        return Change("intent", job.id, (task,))

    def _apply_finished(self, record, _appended_after):
        entries = record.get("tasks")
        if not isinstance(entries, list):
            raise ValueError(
                f"tasks must be a list, not {type(entries).__name__}"
            )
        applied = []
        given_up = []
        for entry in entries:
            try:
                if not isinstance(entry, dict):
                    raise ValueError(
                        f"entry must be an object, not {type(entry).__name__}"
                    )
                task = entry.get("task")
                outcome = entry.get("outcome")
                worker = entry.get("worker", "")
                if outcome not in RECORDED_OUTCOMES:
                    raise ValueError(
                        "outcome must be one of "
                        + ", ".join(RECORDED_OUTCOMES)
                    )
                if not _job_form.is_text(worker):
                    raise ValueError(
                        "worker must be a string of at most 256 characters"
                    )
                job, index, attempt = self._find_task(task)
            except ValueError:
                self._malformed += 1
                continue
            applied.append(task)
            if job is not None:
                self._starts.remove((job.id, index), task)
            if outcome == "released":
                continue
            if job is not None and outcome == "crashed" and not job.once:
                if self._apply_crash(job, index, attempt, worker, entry):
                    given_up.append(task)
            elif job is not None:
                # A failure that is blamed on the worker doesn't count against
                # the job.
                counted_worker = (
                    worker if entry.get("blame") != "worker" else ""
                )
                self._apply_outcome(
                    job, index, attempt, outcome, counted_worker
                )
        return Change("finished", "", tuple(applied), tuple(given_up))

    def is_end_recorded(self, job, index, attempt):
        """Return whether the log has the end of the attempt or the task."""
        if not job.is_open(index):
            return True
        return attempt in job.attempts.get(index, ())

    def _remember_attempt(self, job, index, attempt):
        """Return whether the end of an attempt is recorded just now."""
        if self.is_end_recorded(job, index, attempt):
            return False
        if job.attempts is _job.EMPTY:
            job.attempts = {}
        recorded = job.attempts.setdefault(index, [])
        recorded.append(attempt)
        del recorded[:-MAX_RECORDED_ATTEMPTS]
        return True

    def _apply_crash(self, job, index, attempt, worker, entry):
        """Count a crash of a task's worker; return whether it is given up."""
        if not self._remember_attempt(job, index, attempt):
            return False
        if job.crashes is _job.EMPTY:
            job.crashes = {}
        crashes = job.crashes.setdefault(index, _budget.TaskCrashes())
        crashes.add(entry, job.work.kind == "service")
        if not crashes.spent:
            return False
        if job.give_up_reason is None:
            job.give_up_reason = (
                f"task {index} was given up after {crashes.counted} crashes"
                f" of its workers, the last one on {worker}"
            )
        self._fail_task(job, index)
        return True

    def _fail_task(self, job, index):
        self._close_task(job, index, _job.FAILED)
        if job.work.kind == "gang":
            # A gang cannot do its work without one of its tasks.
            for other in job.open_indices():
                self._close_task(job, other, _job.FAILED)

    def _apply_outcome(self, job, index, attempt, outcome, worker):
        if not self._remember_attempt(job, index, attempt):
            return
        if outcome == "failed":
            failures = job.failures.get(index, 0) + 1
            if job.failures is _job.EMPTY:
                job.failures = {}
            job.failures[index] = failures
            if worker and worker not in job.failed_on:
                names = (*job.failed_on, worker)
                job.failed_on = names[-self._config.hold_workers :]
            if not job.finishes:
                self._hold_if_failing(job)
            if failures <= self.max_restarts_of(job):
                return
            self._fail_task(job, index)
        elif job.work.kind == "service":
            # A service task that exits is started again.
            job.finishes += 1
        elif outcome == "finished":
            job.finishes += 1
            self._close_task(job, index, _job.FINISHED)
        elif job.once:
            self._close_task(job, index, _job.UNKNOWN)

    def max_restarts_of(self, job):
        """Return how often a failed task of the job may be restarted."""
        if job.once:
            return 0
        if job.max_restarts is not None:
            return job.max_restarts
        if job.work.kind == "service":
            return math.inf
        return self._config.max_restarts

    def _hold_if_failing(self, job):
        if job.hold_reason is None and (
            len(job.failed_on) >= self._config.hold_workers
        ):
            job.hold_reason = "failed on " + ", ".join(sorted(job.failed_on))

    def _close_task(self, job, index, outcome):
        job.outcomes[index] = ord(outcome)
        self._starts.remove_all((job.id, index))
        for table in (job.attempts, job.failures, job.crashes):
            if index in table:
                del table[index]
        job.open_tasks -= 1
        if not job.open_tasks and not job.cancelled:
            self._close_job(job)

    def _close_job(self, job):
        self._open.pop(job.id, None)
        for index in job.crashes:
            self._starts.remove_all((job.id, index))
        # The command is not needed any more, as no task will be started;
        # without it, a snapshot of the history stays small.
        job.command = ""
        self._history[job.id] = job
        while len(self._history) > self._config.max_history:
            self._history.popitem(last=False)

    # Snapshots

    def snapshot(self):
        """Return a record that replaces all records up to `offset`."""
        return {
            "kind": "snapshot",
            "covers": self._offset,
            "state": {
                "malformed": self._malformed,
                "open": [_job_form.to_state(j) for j in self._open.values()],
                "history": [
                    _job_form.to_state(j) for j in self._history.values()
                ],
                "starts": self._starts.to_state(),
            },
        }

    @classmethod
    def from_snapshot(cls, record, config=None):
        """Return a table with the state in a snapshot record.

        Raises
        ------
        ValueError
            If the record is malformed.
        """
        job_table = cls(config)
        try:
            state = record["state"]
            for name, table in (
                ("open", job_table._open),
                ("history", job_table._history),
            ):
                for raw in state[name]:
                    job = _job_form.from_state(raw)
                    table[job.id] = job
            # Snapshots of earlier versions have no starts.
            job_table._starts = _starts.Starts.from_state(
                state.get("starts", [])
            )
            job_table._malformed = int(state["malformed"])
            job_table._offset = int(record["covers"])
        except (KeyError, TypeError, AttributeError) as exc:
            raise ValueError(
                f"malformed snapshot of a job table: {exc!r}"
            ) from exc
        return job_table

    def refusal(self, raw, pool):
        """Return why a job record cannot be accepted, or None.

        Parameters
        ----------
        raw : dict
            The job, as in a ``submit`` record.
        pool : placement.Pool
            Checks the job against workers, quotas and the queue's length.

        Returns
        -------
        errors.Failure or None
            ``malformed``, ``never_fits`` or ``overloaded``.
        """
        try:
            job = _job_form.read_job(raw)
        except ValueError as exc:
            return errors.Failure(errors.Kind.MALFORMED, str(exc))
        if self.get(job.id) is not None:
            return None
        if len(self._open) >= self._config.max_open_jobs:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                f"{len(self._open)} jobs are open, at most"
                f" {self._config.max_open_jobs} may be",
                retry_after_s=60.0,
            )
        return pool.refusal(job.work, job.tasks)

    def status(self, job_id):
        """Return the JSON-ready status of a job, or None if it is unknown.

        It comes from the log alone and does not tell which tasks run.
        """
        job = self.get(job_id)
        if job is None:
            return None
        return {
            "id": job.id,
            "state": job.state,
            "reason": job.hold_reason or job.give_up_reason,
            "path": job.path,
            "kind": job.work.kind,
            "team": job.work.team,
            "priority": job.work.priority,
            "tasks": job.tasks,
            "open": job.open_tasks,
        }

    def dump(self):
        """Return counts for the state dump."""
        return {
            "offset": self._offset,
            "open": len(self._open),
            "history": len(self._history),
            "malformed": self._malformed,
        }
