"""Recovery of the state that earlier owners stored."""

import itertools
import logging
import operator

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model


class Recovery:
    """Restores progress and workers from their stored records.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def recover_workers(self, stored, now):
        """Restore the workers that earlier owners have used.

        Submissions and progress must be restored before.

        Parameters
        ----------
        stored : list of StoredWorker
        now : float
        """
        silent = []
        for stored_worker in stored:
            worker = self._state.add_worker(stored_worker.info, now)
            worker.stored = stored_worker.runs is None
            # Until it reports, it counts as silent since the takeover: several
            # such workers show an outage that began under an earlier owner.
            worker.reported_at = now
            worker.listed = False
            worker.unseen_ms = stored_worker.unseen_ms
            self._state.crashes.restore_unseen(stored_worker.unseen_ms)
            self._state.run_numbers.skip(max(stored_worker.numbers, default=0))
            # Its leases may be known better than this owner could store them.
            self._state.changed_workers.pop(worker.id, None)
            worker.lease_is_stored = bool(stored_worker.witnesses)
            self._state.witnesses.restore(worker, stored_worker.witnesses)
            if stored_worker.runs is None:
                self._state.unresolved_workers.add(worker.id)
            else:
                silent.append((worker, stored_worker))
        self._assume_runs(silent, now)

    def _assume_runs(self, silent, now):
        """Assume that the tasks run on workers that could not be reached.

        If several records list a task, its newest run is assumed: the leases
        of the others had lapsed before it was started.

        Parameters
        ----------
        silent : list of (WorkerState, StoredWorker)
        now : float
        """
        listed = [
            (number, worker, task_id)
            for worker, stored_worker in silent
            for task_id, number in _listed_runs(stored_worker)
        ]
        listed.sort(key=operator.itemgetter(0), reverse=True)
        for number, worker, task_id in listed:
            self._assume_run(worker, task_id, number, now)
        for worker, _ in silent:
            _log_assumed(worker, now)

    def _assume_run(self, worker, task_id, number, now):
        task = self._state.task(task_id)
        if task is None or task.done or task.run is not None:
            worker.unaccounted_tasks.append(task_id)
            return
        task.run = _jobs.Run(
            task,
            _jobs.UNKNOWN_RUN_NUMBER,
            worker.id,
            _jobs.RunState.RUNNING,
            now,
            now,
            progress_at=now,
            stored_number=number,
        )
        worker.add(task.run)

    def recover_run_limit(self, limit):
        """Begin above the limit of run numbers that is stored."""
        self._state.run_numbers.skip(limit)

    def restore(self, job_id, progress, now):
        """Restore the stored progress of a job."""
        self._state.run_numbers.skip(_highest_run(progress))
        job = self._state.jobs.get(job_id)
        if job is not None and job.submission.account != progress.account:
            job = self._give_back(job, progress, now)
        if job is None:
            return
        cancelled = job.ended
        try:
            job.restore(progress)
            self._state.crashes.restore(job, progress)
        except (IndexError, ValueError):
            _events.log(
                logging.ERROR, "stored progress is skipped", job=job_id
            )
            return
        if cancelled and not job.ended:
            # The cancellation was read with the submission, and no owner has
            # stored the end yet.
            job.state = _model.JobState.CANCELLED
            self._state.crashes.on_job_ended(job)
            self._state.mark_changed(job)
        if job.ended:
            job.ended_at = now
            self._state.active.pop(job_id, None)

    def _give_back(self, other, progress, now):
        """Give an id back to the account whose job earlier owners have known.

        Returns
        -------
        JobRecord or None
            The job whose progress this is; None if nothing is left of it to
            be restored.
        """
        state = self._state
        owned = [
            job
            for job in state.foreign_submissions
            if job.id == other.id
            and job.submission.account == progress.account
        ]
        if not owned and progress.state not in _jobs.FINAL_STATES:
            return other
        state.foreign_submissions = [
            job for job in state.foreign_submissions if job not in owned
        ]
        state.foreign_submissions.append(other)
        state.changed_jobs.pop(other.id, None)
        state.active.pop(other.id, None)
        if not owned:
            self.restore_ended_job(other.id, progress, now)
            return None
        state.jobs[other.id] = state.active[other.id] = owned[0]
        return owned[0]

    def restore_ended_job(self, job_id, progress, now):
        """Restore the end of a job whose submission was dropped."""
        submission = _model.Submission(
            job_id, "", (), _model.Policy("", ""), account=progress.account
        )
        job = _jobs.JobRecord(submission, -1, now)
        job.state = job.stored_state = progress.state
        if not job.ended:
            _events.log(
                logging.ERROR,
                "progress without a submission is skipped",
                job=job_id,
                state=progress.state.value,
            )
            return
        job.submission_dropped = True
        self._state.jobs[job_id] = job


def _listed_runs(stored_worker):
    """Return the task and the number of each run that a record lists."""
    return itertools.zip_longest(
        stored_worker.runs,
        stored_worker.numbers[: len(stored_worker.runs)],
        fillvalue=_jobs.UNKNOWN_RUN_NUMBER,
    )


def _log_assumed(worker, now):
    _events.log(
        logging.INFO,
        "runs on a silent worker are assumed",
        worker=worker.id,
        born_ms=worker.info.born_ms,
        assumed_runs=len(worker.runs),
        unaccounted_tasks=len(worker.unaccounted_tasks),
        lease_left_s=round(worker.lease_expires_at - now, 3),
    )


def _highest_run(progress):
    """Return the highest number of a run in stored progress."""
    runs = [
        number
        for numbers in (
            progress.failures,
            progress.crashes,
            progress.excused_crashes,
        )
        for listed in numbers.values()
        for number in listed
    ]
    runs += [
        s.number for starts in progress.open_starts.values() for s in starts
    ]
    return max(runs, default=0)
