"""Removal of stored records that are no longer needed."""

# Added to the time for which clients may query a job, because clocks differ.
MARGIN_S = 30.0


class Retention:
    """Decides which records of ended jobs can be dropped.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def take_droppable(self):
        """Return the jobs whose submissions are no longer needed.

        The end of these jobs is stored, and the next owner needs nothing
        else of them.

        Returns
        -------
        list of str
            Ids of the jobs; each is returned once.
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

    def take_foreign(self):
        """Return the submissions to delete that have the id of another job.

        Returns
        -------
        list of (str, str)
            Job id and client account.
        """
        found = self._state.foreign_submissions
        self._state.foreign_submissions = []
        return [(job.id, job.submission.account) for job in found]

    def keep_submissions(self, job_ids):
        """Offer jobs again, because their submissions were not dropped."""
        for job_id in job_ids:
            if job_id in self._state.jobs:
                self._state.jobs[job_id].submission_dropped = False

    def forget_expired_jobs(self, now):
        """Remove jobs that clients can no longer query, and their records."""
        limit = now - self._state.config.status_s - MARGIN_S
        for job in list(self._state.jobs.values()):
            if job.ended and job.submission_dropped and job.ended_at < limit:
                del self._state.jobs[job.id]
                self._state.forgotten_jobs.append(job.id)
