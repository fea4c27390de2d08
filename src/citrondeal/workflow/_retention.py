"""What the store need not keep any longer."""

# Beyond the time for which clients may ask, against clocks that differ.
MARGIN_S = 30.0


class Retention:
    """Tells which records of ended jobs can be dropped.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def take_droppable(self):
        """Return the jobs whose submissions are no longer needed.

        Their end is stored, so the next owner needs no more of them.

        Returns
        -------
        list of str
        """
        found = [
            job.id
            for job in self._state.jobs.values()
            if job.ended
            and job.stored_state == job.state
            and not job.submission_dropped
        ]
        for job_id in found:
            self._state.jobs[job_id].submission_dropped = True
        return found

    def keep(self, job_ids):
        """Note that submissions could not be dropped."""
        for job_id in job_ids:
            if job_id in self._state.jobs:
                self._state.jobs[job_id].submission_dropped = False

    def forget_expired_jobs(self, now):
        """Forget jobs that ended long ago, also in the store."""
        limit = now - self._state.config.status_s - MARGIN_S
        for job in list(self._state.jobs.values()):
            if job.ended and job.submission_dropped and job.ended_at < limit:
                del self._state.jobs[job.id]
                self._state.forgotten.append(job.id)
