"""What a new owner takes over from earlier ones."""

import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model


class Recovery:
    """Takes over stored progress and workers.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def recover_workers(self, stored, now):
        """Take over the workers that earlier owners have used.

        Parameters
        ----------
        stored : list of StoredWorker
            After all submissions and progress.
        now : float
        """
        for each in stored:
            worker = self._state.add_worker(each.info, now)
            worker.stored = each.runs is None
            worker.listed = False
            if each.runs is None:
                self._state.changed_workers.pop(worker.id, None)
                self._state.unresolved.add(worker.id)
            else:
                self._recover_runs(worker, each.runs, now)

    def _recover_runs(self, worker, task_ids, now):
        """Assume runs on a worker that an earlier owner did not reach."""
        for task_id in task_ids:
            task = self._state.task(task_id)
            if task is None or task.done or task.run is not None:
                continue
            task.run = _jobs.Run(
                task,
                _jobs.ANY_NUMBER,
                worker.id,
                _jobs.RunState.RUNNING,
                now,
                now,
                progress_at=now,
            )
            worker.add(task.run)

    def restore(self, job_id, progress, now):
        """Take over the stored progress of a job."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return
        try:
            job.restore(progress)
        except (IndexError, ValueError):
            _events.log(
                logging.ERROR, "stored progress is skipped", job=job_id
            )
            return
        if job.ended:
            job.ended_at = now
            self._state.active.pop(job_id, None)

    def restore_ended_job(self, job_id, progress, now):
        """Keep the end of a job whose submission is already dropped."""
        submission = _model.Submission(job_id, "", (), _model.Policy("", ""))
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
