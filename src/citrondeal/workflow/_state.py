"""State of the scheduler and the changes that its parts share."""

import dataclasses
import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model
from citrondeal.workflow import _tickets
from citrondeal.workflow import _workers

# Runs of one epoch are numbered within this range, so that numbers rise
# over changes of the owner without a stored counter.
RUNS_PER_EPOCH = 100_000
# An earlier owner may renew leases until it learns of the next one.
RECOVERY_MARGIN_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Bounds of the deployment.

    Attributes
    ----------
    lease_s : float
        Longest lease of a worker's tasks.
    status_s : float
        How long clients may ask for the state of an ended job.
    """

    lease_s: float = 10.0
    status_s: float = 120.0


class State:
    """Jobs, workers and what has changed since it was last stored.

    Parameters
    ----------
    config : Config
    epoch : int
        Number of the ownership; higher than any before.
    """

    def __init__(self, config, epoch):
        self.config = config
        self.epoch = epoch
        self.next_run = epoch * RUNS_PER_EPOCH + 1
        self.jobs = {}
        self.active = {}
        self.workers = {}
        self.unresolved = set()
        self.shares = _tickets.Shares()
        self.dirty = {}
        self.changed_workers = {}
        self.early_cancels = set()
        self.forgotten = []
        self.superseded = False

    @property
    def resolved(self):
        """Whether the runs of earlier owners are all known."""
        return not self.unresolved

    def add_worker(self, info, now):
        lapses = now + self.config.lease_s * _workers.CLOCK_SLACK
        lapses += RECOVERY_MARGIN_S
        worker = _workers.WorkerState(
            info, now, lapses + _workers.LEASE_MARGIN_S
        )
        self.workers[info.worker] = worker
        self.changed_workers[info.worker] = worker
        return worker

    def remove_worker(self, worker, now):
        self.forget_runs(worker)
        del self.workers[worker.id]
        self.changed_workers[worker.id] = worker
        self.resolve(worker, now)

    def forget_runs(self, worker):
        for run in list(worker.runs.values()):
            self.release(worker, run)

    def set_reachable(self, worker, reachable):
        # The next owner learns which tasks may run on a worker that it may
        # not reach.  New tasks wait until this is stored.
        worker.reachable = reachable
        worker.stored = False
        self.changed_workers[worker.id] = worker

    def restarted(self, worker, born_ms, now):
        """Forget what ran on an earlier incarnation of a worker."""
        _events.log(
            logging.INFO,
            "worker has a new incarnation",
            worker=worker.id,
            lost_runs=len(worker.runs),
        )
        worker.info = dataclasses.replace(worker.info, born_ms=born_ms)
        self.forget_runs(worker)
        worker.orphans.clear()
        worker.last_end_number = worker.acknowledged = 0
        self.set_reachable(worker, False)

    def resolve(self, worker, now):
        if worker.id not in self.unresolved:
            return
        self.unresolved.discard(worker.id)
        if self.resolved:
            _events.log(logging.INFO, "all earlier runs are known")
            self.settle_gangs(now)

    def settle_gangs(self, now):
        """Stop gangs of which only some members have been found."""
        for job in self.active.values():
            for step in job.steps:
                runs = {t.run.number for t in step.tasks if t.run}
                whole = all(t.run is not None for t in step.tasks)
                if step.spec.gang and runs and not (whole and len(runs) == 1):
                    self.stop_gang(step, None, "gang is incomplete", now)

    def end_job(self, job, state, now):
        job.state = state
        job.ended_at = now
        self.active.pop(job.id, None)
        self.mark_dirty(job)
        _events.log(
            logging.INFO,
            "job ended",
            job=job.id,
            state=state.value,
            took_s=round(now - job.known_at, 3),
        )
        for step in job.steps:
            self.reserve(step, [])
            for task in step.tasks:
                if task.run is None:
                    continue
                # The members of a gang end together with the first.
                if not (step.spec.gang and step.done):
                    self.stop(task.run, f"job is {state.value}", now)

    def note_begun(self, job):
        if job.state is _model.JobState.QUEUED:
            job.state = _model.JobState.RUNNING

    def mark_dirty(self, job):
        self.dirty[job.id] = job

    def reserve(self, step, chosen):
        """Hold room for a step while its tickets are fetched."""
        if not chosen and not step.reserving:
            return
        step.reserving = bool(chosen)
        for worker in self.workers.values():
            worker.end_reserving(step)
        for _, worker in chosen:
            worker.reserve(step)

    def stop(self, run, reason, now):
        if run.state is _jobs.RunState.STOPPING:
            return
        run.state = _jobs.RunState.STOPPING
        run.confirmed_at = None
        _events.log(
            logging.INFO,
            "stop is decided",
            job=run.task.id.job,
            task=_events.task_name(run.task.id),
            run=run.number,
            worker=run.worker,
            reason=reason,
        )

    def stop_gang(self, step, number, reason, now):
        """Stop all members of a run, or of all runs if `number` is None."""
        if step.done:
            return
        for task in step.tasks:
            run = task.run
            if run is not None and number in (None, run.number):
                self.stop(run, reason, now)

    def release(self, worker, run):
        worker.remove(run)
        if run.task.run is run:
            run.task.run = None

    def take_run(self):
        number = self.next_run
        self.next_run += 1
        return number

    def task(self, task_id):
        step = self.step(
            _model.StepId(task_id.job, task_id.occurrence, task_id.step)
        )
        if step is None or not 0 <= task_id.index < len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def step(self, step_id):
        job = self.jobs.get(step_id.job)
        if job is None or step_id.occurrence != 0:
            return None
        if not 0 <= step_id.step < len(job.steps):
            return None
        return job.steps[step_id.step]
