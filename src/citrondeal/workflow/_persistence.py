"""Changes that are to be stored for the next owner."""

from citrondeal.workflow import _jobs
from citrondeal.workflow import _model

# More tasks would not fit in a record of the store. Without the list, a next
# owner waits until the worker answers or its leases have lapsed.
MAX_STORED_RUNS = 5_000


class Persistence:
    """Collects changes, and records which of them are stored.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def take_changes(self):
        """Return the changes since the last call, to be stored.

        `Scheduler.run_limit_to_store` is one of these, unless it is None.

        Returns
        -------
        jobs : dict of str to Progress or None
            None deletes the record of a job.
        workers : dict of str to StoredWorker or None
            None deletes the record of a worker.
        ends : dict of str to (int, int)
            By worker, its incarnation (``born_ms``) and the number up to
            which its ends may be acknowledged once all changes are stored.
        """
        jobs = {
            job.id: job.progress() for job in self._state.changed_jobs.values()
        }
        jobs.update(dict.fromkeys(self._state.forgotten_jobs))
        workers = {
            w.id: self._stored_worker(w)
            for w in self._state.changed_workers.values()
        }
        ends = {
            w.id: (w.info.born_ms, w.last_end_number)
            for w in self._state.workers.values()
            if w.last_end_number > w.acknowledged
        }
        self._state.run_numbers.take_limit()
        self._state.changed_jobs = {}
        self._state.forgotten_jobs = []
        self._state.changed_workers = {}
        return jobs, workers, ends

    def _stored_worker(self, worker):
        if self._state.workers.get(worker.id) is not worker:
            return None
        if worker.reachable:
            return _model.StoredWorker(worker.info, unseen_ms=worker.unseen_ms)
        witnesses = self._state.witnesses.choose(worker)
        worker.lease_is_stored = worker.lease_is_stored or bool(witnesses)
        numbers = _stored_runs(worker)
        if (
            worker.id in self._state.unresolved_workers
            or len(numbers) > MAX_STORED_RUNS
        ):
            numbers = None
        return _model.StoredWorker(
            worker.info,
            None if numbers is None else tuple(numbers),
            tuple((numbers or {}).values()),
            worker.unseen_ms,
            witnesses,
        )

    def on_stored(self, jobs, workers, ends):
        """Record that the changes of one `take_changes` call are stored."""
        self._state.run_numbers.on_stored()
        for job_id, progress in jobs.items():
            job = self._state.jobs.get(job_id)
            if job is not None and progress is not None:
                job.stored_state = progress.state
                self._state.crashes.on_stored(job, progress)
        for worker_id, stored in workers.items():
            worker = self._state.workers.get(worker_id)
            if (
                worker is not None
                and worker_id not in self._state.changed_workers
            ):
                worker.stored = stored is not None and stored.runs is None
                worker.lease_is_stored = bool(stored and stored.witnesses)
        for worker_id, (born_ms, number) in ends.items():
            worker = self._state.workers.get(worker_id)
            if worker is not None and worker.info.born_ms == born_ms:
                worker.acknowledged = max(worker.acknowledged, number)


def _stored_runs(worker):
    """Return the numbers of all runs that may be on a worker, by task."""
    numbers = {i: run.last_known_number for i, run in worker.runs.items()}
    # They use resources of their accounts until they have ended.
    for task_id, (number, _) in worker.unrecognized_runs.items():
        numbers.setdefault(task_id, number)
    for task_id in worker.unaccounted_tasks:
        numbers.setdefault(task_id, _jobs.UNKNOWN_RUN_NUMBER)
    return numbers
