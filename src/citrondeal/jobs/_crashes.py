"""Crashes of workers, counted for the tasks that ran there.

Only another ``boot_id`` of a worker that was not leaving shows a crash.  A
silent, slow, cut-off or leaving worker shows none.  The count of a task is a
part of the job table, so that it is the same for every owner; `Crashes` finds
the crashes and holds their tasks back until they are recorded.
"""

import collections
import dataclasses
import logging

from citrondeal.jobs import _job
from citrondeal import telemetry

# Workers that fell silent within this time may share a cause; it is the
# default period of the exchanges with idle workers.
OUTAGE_WINDOW_S = 5.0
# This many other workers that fell silent at the same time show a cause
# outside of a task, such as a power failure.
OUTAGE_WORKERS = 3
# Newest crashes of workers that are searched for an outage.
MAX_RECENT = 100
# Ended runs per silent worker that are remembered until it answers again.
MAX_LAPSED = 1000
# Tasks in the state dump.
MAX_SHOWN = 20

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCrash:
    """A crash of a worker.

    Attributes
    ----------
    worker : str
    alone : bool
        Whether no other task and no outage can have caused it.
    at : float
        Monotonic seconds of the last answer before it.
    """

    worker: str
    alone: bool
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run of a task that a crash has ended."""

    job: _job.Job
    index: int
    task: str
    ran_s: float


class Crashes:
    """Finds crashes of workers and the runs that they have ended.

    The counters are those of this process.

    Attributes
    ----------
    worker_crashes, crashed_runs, tasks_given_up : int
    """

    def __init__(self):
        self.worker_crashes = 0
        self.crashed_runs = 0
        self.tasks_given_up = 0
        self._given_up = collections.deque(maxlen=MAX_SHOWN)
        self.reset()

    def reset(self):
        """Forget everything but the counters, as a new owner does."""
        # Task ids by the key of the task.
        self._unrecorded = {}
        # Keys of tasks that an earlier owner may have lost unseen.
        self._maybe_lost = set()
        # Runs whose lease ended on a worker that did not answer, by worker.
        self._lapsed = {}
        self._recent = collections.deque(maxlen=MAX_RECENT)
        self._recent_names = frozenset()

    def holds(self, task_key):
        """Return whether a crash of a task is not in the log yet."""
        return task_key in self._unrecorded

    def on_not_found(self, job, index):
        """Note that a task of an earlier owner does not run any more.

        It may have crashed its worker.  After the first counted crash the
        recorded starts show whether it has.
        """
        if index not in job.crashes:
            self._maybe_lost.add((job.id, index))

    def has_crashed(self, worker):
        """Return whether one of the newest crashes was one of the worker."""
        return worker in self._recent_names

    def on_incarnation(self, worker, workers, quarantined):
        """Return the crash that a new ``boot_id`` shows, and lapsed runs.

        Parameters
        ----------
        worker : _assignments.Worker
            The worker, with the state of its previous incarnation.
        workers : iterable of _assignments.Worker
            All workers, to recognise an outage.
        quarantined : bool
            Whether tasks of several jobs have failed on the worker.

        Returns
        -------
        tuple of (WorkerCrash or None, list of Run)
            None if the worker did not crash.
        """
        lapsed = self._lapsed.pop(worker.info.name, [])
        if worker.boot_id is None or worker.drained:
            return None, []
        at = worker.list_request_sent_at
        suspects = {_suspect_of(run.job, run.task) for run in lapsed}
        for assignment in worker.assignments.values():
            if assignment.may_have_run:
                suspects.add(_suspect_of(assignment.job, assignment.task))
        alone = len(suspects) == 1 and not quarantined
        crash = WorkerCrash(
            worker.info.name,
            alone and not self._in_outage(worker, workers, at),
            at,
        )
        self.worker_crashes += 1
        self._recent.append(crash)
        self._recent_names = frozenset(c.worker for c in self._recent)
        return crash, lapsed

    def unseen(self, worker):
        """Return a crash that no owner has seen; what ran is not known."""
        return WorkerCrash(
            worker.info.name, False, worker.list_request_sent_at
        )

    def on_same_incarnation(self, worker):
        """Forget the lapsed runs of a worker, which was only silent."""
        self._lapsed.pop(worker.info.name, None)

    def on_lapse(self, worker, run):
        """Remember a run on a worker that does not answer.

        Whether the worker has crashed shows when it answers again.
        """
        if worker.drained or worker.unlisted:
            return
        runs = self._lapsed.setdefault(worker.info.name, [])
        if len(runs) < MAX_LAPSED:
            runs.append(run)

    def on_unlisted(self, name):
        """Forget the lapsed runs of a worker that has left the list."""
        self._lapsed.pop(name, None)

    def entry(self, run, crash):
        """Return the entry of the ``finished`` record for a crashed run."""
        task_key = (run.job.id, run.index)
        self._unrecorded[task_key] = run.task
        self.crashed_runs += 1
        crashes = run.job.crashes.get(run.index)
        telemetry.event(
            _LOG,
            logging.WARNING,
            "run ended by a crash of its worker",
            job=run.job.id,
            task=run.task,
            worker=crash.worker,
            crashes_before=crashes.counted if crashes else 0,
            alone=crash.alone,
        )
        entry = {
            "task": run.task,
            "outcome": "crashed",
            "worker": crash.worker,
            "alone": crash.alone,
            "ran_s": round(run.ran_s, 3),
        }
        if task_key in self._maybe_lost:
            self._maybe_lost.discard(task_key)
            entry["unseen"] = True
        return entry

    def on_recorded(self, task_key, task):
        """Note that the log has the crash of a run."""
        if self._unrecorded.get(task_key) == task:
            del self._unrecorded[task_key]

    def on_given_up(self, job, task):
        """Count a task that the log shows as given up."""
        self.tasks_given_up += 1
        self._given_up.append(task)
        telemetry.event(
            _LOG,
            logging.WARNING,
            "task is given up",
            job=job.id,
            task=task,
            reason=job.give_up_reason,
        )

    def dump(self):
        """Return the state for the state dump, bounded in size."""
        return {
            "worker_crashes": self.worker_crashes,
            "crashed_runs": self.crashed_runs,
            "tasks_given_up": self.tasks_given_up,
            "unrecorded": len(self._unrecorded),
            "given_up": list(self._given_up),
        }

    def _in_outage(self, worker, workers, at):
        others = {
            crash.worker
            for crash in self._recent
            if abs(crash.at - at) <= OUTAGE_WINDOW_S
        }
        others.update(
            other.info.name
            for other in workers
            if not other.answering
            and not other.unlisted
            and abs(other.list_request_sent_at - at) <= OUTAGE_WINDOW_S
        )
        return len(others - {worker.info.name}) >= OUTAGE_WORKERS


def _suspect_of(job, task):
    """Return what may have caused a crash: a task, or a gang as a whole."""
    if job is not None and job.work.kind == "gang":
        return job.id
    return task
