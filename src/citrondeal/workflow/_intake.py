"""Submissions, cancellations and the list of workers."""

import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model


class Intake:
    """Notes what the log and the list of workers say.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def on_submission(
        self, submission, offset, now, recovered=False, age_s=0.0
    ):
        """Note an accepted job; a repeated submission changes nothing.

        Parameters
        ----------
        submission : Submission
        offset : int
            Position in the log.
        now : float
        recovered : bool
            Whether an earlier owner may have started tasks of it.
        age_s : float
            Time since it was accepted.
        """
        known = self._state.jobs.get(submission.job)
        if known is not None:
            # A record that was written again has to be dropped again.
            known.submission_dropped = False
            return
        job = _jobs.JobRecord(submission, offset, now - age_s, recovered)
        self._state.jobs[job.id] = job
        self._state.active[job.id] = job
        _events.log(
            logging.INFO,
            "job is known",
            job=job.id,
            queue=job.policy.queue,
            offset=offset,
            tasks=len(job.tasks()),
            age_s=round(age_s, 3),
        )
        if job.id in self._state.early_cancels:
            self._state.early_cancels.discard(job.id)
            self.on_cancel(job.id, now)

    def on_cancel(self, job_id, now):
        """Note that a job is cancelled."""
        job = self._state.jobs.get(job_id)
        if job is None:
            self._state.early_cancels.add(job_id)
            return
        if job.ended:
            return
        self._state.end_job(job, _model.JobState.CANCELLED, now)

    def on_barrier(self, epoch):
        """Note the barrier of an owner in the log of submissions.

        An earlier owner may have started what comes before the barrier in
        the log, but must not start what comes after it.
        """
        if epoch > self._state.epoch:
            self._state.superseded = True

    def on_worker(self, info, now):
        """Note an entry of the list of workers."""
        worker = self._state.workers.get(info.worker)
        if worker is None:
            worker = self._state.add_worker(info, now)
        if info.born_ms > worker.info.born_ms:
            self._state.restarted(worker, info.born_ms, now)
        elif info.born_ms < worker.info.born_ms:
            return  # written by an earlier incarnation
        worker.listed = True
        worker.listed_at = now
        if info.draining and not worker.info.draining:
            _events.log(logging.INFO, "worker is draining", worker=worker.id)
        worker.info = info
        self._replace_at(info, now)

    def _replace_at(self, info, now):
        """Drop workers whose address another one has taken over."""
        for other in list(self._state.workers.values()):
            if (
                other.info.address == info.address
                and other.id != info.worker
                and other.info.born_ms < info.born_ms
            ):
                _events.log(
                    logging.INFO,
                    "worker is replaced",
                    worker=other.id,
                    by=info.worker,
                    lost_runs=len(other.runs),
                )
                self._state.remove_worker(other, now)

    def on_worker_unlisted(self, worker_id, now):
        """Note that the entry of a worker is gone from the list."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            _events.log(logging.INFO, "worker is not listed", worker=worker_id)
