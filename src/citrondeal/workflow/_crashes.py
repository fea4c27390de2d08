"""Crashes of workers, and the tasks that are given up because of them.

A worker has crashed if a later incarnation of it, or a later worker at its
address, is seen while it was not draining.  Silence, a lapsed lease and a
drained worker are no crashes.  A crash counts for each task that ran on the
worker, as the number of the run: the workers of a gang that crash together,
or an outage of many workers, add one to each task that ran on them.
"""

import collections
import dataclasses
import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _model

# A task with this many crashed runs is started apart from others, because some
# of the crashes may have been the fault of tasks beside it.
SUSPECT_CRASHES = 2
# A task is given up after this many crashed runs.
MAX_CRASHES = 3
# Crashes of one task that are excused instead of being the last one, because
# another task or a power failure may have been the cause.  With more, a task
# that does crash its workers would start too often.
MAX_EXCUSED = 1
# Workers that fall silent within this time may share a cause. A running worker
# reports every second at least.
OUTAGE_WINDOW_S = 1.5
# This many other workers that fell silent at the same time show a cause
# outside of a task, such as a power failure.
OUTAGE_WORKERS = 3
# Assumed bound of the difference between the clocks of a worker and of the
# process that accepted a job.
CLOCK_SKEW_MS = 1_000
# Newest crashes of workers that are searched for an outage.
MAX_RECENT = 100
# Entries of each list in the state dump, which is to stay short.
MAX_SHOWN = 20


@dataclasses.dataclass(frozen=True, slots=True)
class _WorkerCrash:
    """A crash of a worker and what ran there.

    Attributes
    ----------
    worker : str
    silent_since : float or None
        When the worker last reported, see `WorkerState.reported_at`.
    alone : bool
        Whether it is known that exactly one task ran there. It is not if the
        worker has not confirmed the start, which may not have arrived.
    """

    worker: str
    silent_since: float | None = None
    alone: bool = False


class Crashes:
    """Counts the crashed runs of tasks, and gives tasks up.

    Parameters
    ----------
    state : State

    Attributes
    ----------
    counted : dict of TaskId to TaskState
        Tasks of active jobs with at least one crashed run.
    worker_crashes, tasks_given_up : int
    """

    def __init__(self, state):
        self._state = state
        self.counted = {}
        self.worker_crashes = 0
        self.tasks_given_up = 0
        # Whether a worker crashed after this takeover and before its first
        # report, so that runs of the previous owner may have crashed unseen.
        self._has_unseen = False
        # Unix time of the newest crash that no earlier owner saw.
        self._unseen_ms = 0
        # Tasks with a crash that was stored before this ownership.  Their
        # later starts were recorded, so none of those crashes is unseen.
        self._tasks_with_records = set()
        self._given_up = collections.deque(maxlen=MAX_SHOWN)
        self._recent = collections.deque(maxlen=MAX_RECENT)

    @property
    def waiting(self):
        """Whether tasks cannot start before their crashes are stored."""
        return any(not may_start(task) for task in self.counted.values())

    def on_crash(self, worker, successor, born_ms, now, lost=None):
        """Count a crash for the runs on a worker, before their release.

        Parameters
        ----------
        worker, successor : WorkerState
            The same one, or the next one at its address.
        born_ms : int
            Incarnation of the successor.
        now : float
        lost : list of Run, optional
            Runs that the crash has ended; all, if it is missing.  For the
            others the crash is counted once they are found to be lost.
        """
        if worker.info.draining:
            return
        self.worker_crashes += 1
        if worker.id in self._state.unresolved_workers:
            self._has_unseen = True
            successor.unseen_ms = born_ms
            self._state.changed_workers[successor.id] = successor
        runs = [
            run
            for run in worker.runs.values()
            if not self._state.withheld.holds(_accounting(run), run.number)
        ]
        alone = (
            not worker.unrecognized_runs
            and not any(run.arrival_unknown for run in runs)
            and len({_accounting(run).id for run in runs}) == 1
        )
        crash = _WorkerCrash(worker.id, worker.reported_at, alone)
        self._recent.append(crash)
        for run in runs:
            run.crash = run.crash or crash
        for run in runs if lost is None else lost:
            self.on_lost(run, now)

    def on_lost(self, run, now):
        """Count the crash that has ended a run, if there was one."""
        if run.crash is not None:
            number = run.last_known_number
            self._count(_accounting(run), number, run.crash, now)

    def on_survived(self, run, worker):
        """Forget the crash of a run that the next incarnation lists."""
        if run.crash is None:
            return
        run.crash = None
        task = _accounting(run)
        if worker.id in task.open_starts.get(run.number, ()):
            # Its place is the new incarnation from now on.
            self._state.open_starts.add(task, run.number, worker)

    def on_incarnation(self, key, born_ms, now):
        """Count the open starts on earlier incarnations as crashes.

        A run of which it is not known yet whether the crash has ended it is
        left out.

        Parameters
        ----------
        key : str
            Id of a worker, or the address of one that answers there, so that
            earlier workers at this address have ended.
        born_ms : int
        now : float
        """
        for task, number, name, place in self._state.open_starts.at(key):
            undecided = any(
                run.crash is not None
                and (run.number, run.worker) == (number, name)
                for run in _runs(task)
            )
            if place.born_ms < born_ms and not undecided:
                self._count(task, number, _WorkerCrash(name), now)

    def on_lapse(self, worker, runs, now):
        """Remember lapsed runs on a worker until it is heard again.

        Whether the worker was only silent is not known yet.
        """
        if worker.info.draining:
            return
        for run in runs:
            task = _accounting(run)
            number = run.last_known_number
            if run.crash is not None:
                self.on_lost(run, now)
                continue
            if task.done or task.step.job.ended:
                continue
            if not self._state.withheld.holds(task, number):
                self._state.open_starts.add(task, number, worker)

    def on_draining(self, worker):
        """Forget the open starts on a worker, which is about to leave."""
        for task, number, name, _ in self._state.open_starts.at(worker.id):
            if not self._state.withheld.holds(task, number):
                self._state.open_starts.remove(task, number, name)

    def on_reported(self, worker, now):
        """Settle the open starts on a worker after its report.

        A start of this incarnation that is not reported as running ended
        without a crash.
        """
        starts = self._state.open_starts.at(worker.id)
        if not starts:
            return
        info = worker.info
        self.on_incarnation(worker.id, info.born_ms, now)
        live = {
            (_accounting(run).id, run.number) for run in worker.runs.values()
        }
        for task, number, name, place in starts:
            same = name == worker.id and place.born_ms == info.born_ms
            if same and (task.id, number) not in live:
                self._state.open_starts.remove(task, number, name)

    def on_job_ended(self, job):
        """Forget the crashes of a job that has ended."""
        self._state.withheld.on_job_ended(job)
        for task in job.tasks():
            if task.open_starts:
                self._state.open_starts.drop_all(task)
            if task.crashes:
                self.counted.pop(task.id, None)
                self._tasks_with_records.discard(task.id)

    def restore(self, job, progress):
        """Restore the stored crashes and open starts of a job.

        Raises
        ------
        IndexError, ValueError
            If there is no task of a stored key.
        """
        if job.ended:
            return
        for key, numbers in progress.crashes.items():
            task = job.task_of_key(key)
            job.restore_runs(task.crashes, task, numbers)
            self.counted[task.id] = task
            if not job.has_unrecorded:
                self._tasks_with_records.add(task.id)
        for key, numbers in progress.excused_crashes.items():
            task = job.task_of_key(key)
            job.restore_runs(task.excused, task, numbers)
        self._mark_stored(job, progress)
        for key, starts in progress.open_starts.items():
            task = job.task_of_key(key)
            for start in starts:
                self._state.open_starts.restore(
                    task, start.number, start.places
                )

    def restore_unseen(self, unseen_ms):
        """Restore that a worker had crashed unseen before a time."""
        self._unseen_ms = max(self._unseen_ms, unseen_ms)

    def on_stored(self, job, progress):
        """Record that the progress of a job is stored."""
        self._mark_stored(job, progress)
        self._state.withheld.on_stored(job, progress)

    def dump(self):
        """Return a summary for the state dump, ready for JSON."""
        suspects = [t for t in self.counted.values() if is_suspect(t)]
        return {
            "worker_crashes": self.worker_crashes,
            "tasks_given_up": self.tasks_given_up,
            "suspects": [
                {"task": _full_name(t), "crashed_runs": sorted(t.crashes)}
                for t in suspects[:MAX_SHOWN]
            ],
            "given_up": list(self._given_up),
        }

    def _mark_stored(self, job, progress):
        for key, numbers in progress.crashes.items():
            excused = progress.excused_crashes.get(key, ())
            job.task_of_key(key).stored_crashes = frozenset(
                [*numbers, *excused]
            )

    def _count(self, task, number, crash, now):
        self._state.open_starts.drop(task, number)
        job = task.step.job
        if job.ended or task.done or number in task.crashes | task.excused:
            return
        if self._may_have_unseen(task):
            # Stored, so that later owners excuse no crash of the task either.
            job.add_unseen(task)
        excused = self._is_excused(task, number, crash)
        numbers = task.excused if excused else task.crashes
        self._state.count_run(numbers, task, number)
        if not excused and self._in_outage(crash):
            task.outage_crashes.add(number)
        if task.crashes:
            self.counted[task.id] = task
            self._record_live_runs(task)
        _events.log(
            logging.WARNING,
            "run ended by a crash of its worker",
            job=task.id.job,
            task=_events.task_name(task.id),
            run=number,
            worker=crash.worker,
            crashes=len(task.crashes),
            counted=not excused,
        )
        if len(task.crashes) >= MAX_CRASHES:
            self._give_up(task, now)
        self._state.end_full_jobs(now)

    def _record_live_runs(self, task):
        """Record the runs of the task that are still going on.

        A run after a lapsed lease may have started before the first crash of
        the task was counted, and so without a record.
        """
        numbers = task.crashes | task.excused
        for run in _runs(task):
            if run.last_known_number in numbers:
                continue
            worker = self._state.workers[run.worker]
            if not worker.info.draining:
                self._state.open_starts.add(
                    task, run.last_known_number, worker
                )

    def _give_up(self, task, now):
        numbers = sorted(task.crashes)
        _events.log(
            logging.WARNING,
            "task is given up",
            job=task.id.job,
            task=_events.task_name(task.id),
            runs=numbers,
        )
        self.tasks_given_up += 1
        self._given_up.append(
            {"task": _full_name(task), "crashed_runs": numbers}
        )
        self._state.end_job(task.step.job, _model.JobState.FAILED, now)

    def _is_excused(self, task, number, crash):
        """Return whether a crash may well have had another cause.

        Any other task that ran on the worker may have been the cause; the
        worker may have crashed before a start arrived that got no answer; and
        other workers that crashed at the same time point to a power failure.
        A task gets no excuse if it may have had one crash more: an earlier
        start whose end is not known, or a crash that was not seen, which
        takes the place of the excused one.
        """
        if len(task.crashes) + 1 < MAX_CRASHES:
            return False
        if task.step.job.has_unseen:
            return False
        if len(task.excused) >= MAX_EXCUSED:
            return False
        if self._has_unknown_end(task, number):
            return False
        return not crash.alone or self._in_outage(crash)

    def _has_unknown_end(self, task, number):
        """Return whether another start of a task may be a crash as well.

        A live run is none, unless its worker does not answer.
        """
        known = {number}
        run = task.run
        if run is not None and self._state.workers[run.worker].reachable:
            known.add(run.number)
        return bool(set(task.open_starts) - known)

    def _may_have_unseen(self, task):
        """Return whether a crash of a task may have been seen by no owner.

        This can be a start by an earlier owner on a worker that crashed before
        it reported to the next one, unless the starts of the task were
        recorded.  A job submitted after the crash cannot have had one.
        """
        job = task.step.job
        if not job.recovered or task.id in self._tasks_with_records:
            return False
        if self._has_unseen or not self._unseen_ms:
            return self._has_unseen
        submitted_ms = job.submission.submitted_unix * 1000
        return submitted_ms < self._unseen_ms + CLOCK_SKEW_MS

    def _in_outage(self, crash):
        since = crash.silent_since
        if since is None:
            return False
        others = {
            other.worker
            for other in self._recent
            if _is_near(other.silent_since, since)
        }
        others.update(
            worker.id
            for worker in self._state.workers.values()
            if not worker.reachable and _is_near(worker.reported_at, since)
        )
        return len(others - {crash.worker}) >= OUTAGE_WORKERS


def is_suspect(task):
    """Return whether a task is run apart from others.

    Crashes in an outage of many workers point to no task, and all tasks that
    it hit have to find room at the same time.
    """
    return len(task.crashes - task.outage_crashes) >= SUSPECT_CRASHES


def may_start(task):
    """Return whether the crashes of a task are stored for the next owner."""
    return task.crashes | task.excused <= task.stored_crashes


def _accounting(run):
    return run.task.step.accounting_task(run.task)


def _runs(task):
    members = task.step.tasks if task.step.spec.gang else [task]
    return [member.run for member in members if member.run is not None]


def _is_near(time_s, other_s):
    return time_s is not None and abs(time_s - other_s) <= OUTAGE_WINDOW_S


def _full_name(task):
    return f"{task.id.job}.{_events.task_name(task.id)}"
