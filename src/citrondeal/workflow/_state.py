"""State that the parts of one scheduler share, and the changes of it."""

import dataclasses
import logging
import math

from citrondeal.workflow import _anomalies
from citrondeal.workflow import _crashes
from citrondeal.workflow import _events
from citrondeal.workflow import _fences
from citrondeal.workflow import _incarnations
from citrondeal.workflow import _jobs
from citrondeal.workflow import _late_starts
from citrondeal.workflow import _learning
from citrondeal.workflow import _model
from citrondeal.workflow import _open_starts
from citrondeal.workflow import _quotas
from citrondeal.workflow import _rates
from citrondeal.workflow import _run_numbers
from citrondeal.workflow import _shares
from citrondeal.workflow import _tickets
from citrondeal.workflow import _usage
from citrondeal.workflow import _waits
from citrondeal.workflow import _withheld
from citrondeal.workflow import _witnesses
from citrondeal.workflow import _workers

# Deployments give 1.5 to 3.
DEFAULT_FAR_FACTOR = 2.0
# An earlier owner that is cut off may renew leases for as long as the last
# confirmation of its epoch counts.
RECOVERY_MARGIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Time limits of the deployment.

    Attributes
    ----------
    lease_s : float
        Longest time for which the leases of a worker's tasks are renewed.
    status_s : float
        Time for which clients may query the state of a job after its end.
    capacities_valid_s : float
        Time for which tasks may be started by the capacities in the list of
        workers after it was read.
    far_factor : float
        How many times as long the tasks of a step with `same_rack` take on
        several racks.
    config_apply_s : float
        Time after which each member of the cell has the newest configuration.
    quota_overrun : float
        Share by which an account may use more than its cap.  Only what is
        reported to operators depends on it.
    """

    lease_s: float = 10.0
    status_s: float = 120.0
    capacities_valid_s: float = math.inf
    far_factor: float = DEFAULT_FAR_FACTOR
    config_apply_s: float = 4.0
    quota_overrun: float = 0.1


class State:
    """Jobs, workers, and the changes that are not stored yet.

    Parameters
    ----------
    config : Config
    epoch : int
        Number of this ownership; higher than that of any earlier one.
    """

    crashes_class = _crashes.Crashes
    incarnations_class = _incarnations.Incarnations
    quotas_class = _quotas.Quotas
    shares_class = _shares.Shares

    def __init__(self, config, epoch):
        self.config = config
        self.epoch = epoch
        self._next_fence = _fences.first_fence(epoch)
        self.run_numbers = _run_numbers.RunNumbers(epoch)
        self.jobs = {}
        self.active = {}
        self.usage = _usage.Usage()
        self.quotas = self.quotas_class(self)
        self.rates = _rates.AccountRates()
        self.queue_services = {}  # of the newest configuration, by queue
        self.shares = self.shares_class(self)
        self.workers = {}
        self.workers_read_at = -math.inf
        self.unresolved_workers = set()
        self.allowed_shares = _tickets.AllowedShares()
        self.changed_jobs = {}
        self.changed_workers = {}
        self.pending_cancels = {}  # sets of `Caller` by job id
        self.foreign_submissions = []  # `JobRecord`s, to be deleted
        self.forgotten_jobs = []
        self.superseded = False
        self._full_jobs = {}
        self.open_starts = _open_starts.OpenStarts(self.mark_changed)
        self.late_starts = _late_starts.LateStarts(config.lease_s)
        self.withheld = _withheld.WithheldStarts(self)
        self.crashes = self.crashes_class(self)
        self.anomalies = _anomalies.Anomalies()
        self.learning = _learning.Learning()
        self.waits = _waits.Waits()
        self.witnesses = _witnesses.Witnesses(self)
        self.incarnations = self.incarnations_class(self)

    @property
    def earlier_runs_known(self):
        """Whether all runs that earlier owners started are known."""
        return not self.unresolved_workers

    def _serves(self, service):
        """Return whether a service has a worker that may get tasks."""
        return any(
            worker.info.service == service
            for worker in self.workers.values()
            if worker.has_entry and not worker.info.draining
        )

    def move_jobs(self):
        """Let jobs follow their queue if their service has no worker left.

        Tasks that run stay where they are.
        """
        if self.workers_read_at == -math.inf:
            return  # which services have workers is not known yet
        for job in self.active.values():
            current = self.queue_services.get(job.policy.queue)
            if current in (None, job.service) or self._serves(job.service):
                continue
            _events.log(
                logging.INFO,
                "job moves with its queue",
                job=job.id,
                queue=job.policy.queue,
                service=current,
            )
            job.service = current

    def add_worker(self, info, now):
        expires_at = now + self.config.lease_s * _workers.CLOCK_DRIFT_FACTOR
        expires_at += RECOVERY_MARGIN_S
        worker = _workers.WorkerState(
            info,
            now,
            expires_at + _workers.LEASE_MARGIN_S,
            self.usage,
            self._next_fence,
        )
        self.workers[info.worker] = worker
        self.changed_workers[info.worker] = worker
        return worker

    def remove_worker(self, worker, now):
        self.learning.forget_worker(worker.id)
        self.release_all_runs(worker)
        del self.workers[worker.id]
        # It may be listed again, and has seen this fence.
        self._next_fence = max(
            self._next_fence, _fences.raise_fence(worker.fence)
        )
        self.changed_workers[worker.id] = worker
        self.mark_resolved(worker, now)

    def remove_replaced(self, successor, now):
        """Remove earlier workers that had the address of one that answers.

        Its entry alone proves nothing: any writer of the list may give the
        address of a worker that is alive.
        """
        info = successor.info
        for other in list(self.workers.values()):
            if (
                other.info.address == info.address
                and other is not successor
                and other.info.born_ms < info.born_ms
            ):
                _events.log(
                    logging.INFO,
                    "worker is replaced",
                    worker=other.id,
                    by=successor.id,
                    lost_runs=len(other.runs),
                )
                self.crashes.on_crash(other, successor, info.born_ms, now)
                self.remove_worker(other, now)
        self.crashes.on_incarnation(info.address, info.born_ms, now)

    def on_leases_lapsed(self, worker, now):
        """Forget what may have run on a worker whose leases are over.

        Its stored record is replaced, since the tasks may start elsewhere and
        a next owner would take them as running here.  Runs that a later
        incarnation may still begin are kept.
        """
        over = self.runs_over(worker, now)
        if (
            over
            or worker.unrecognized_runs
            or worker.unaccounted_tasks
            or worker.id in self.unresolved_workers
        ):
            self.changed_workers[worker.id] = worker
        self._release(worker, over)
        worker.unrecognized_runs.clear()
        worker.unaccounted_tasks.clear()
        if worker.has_entry or worker.runs:
            self.mark_resolved(worker, now)
        else:
            self.remove_worker(worker, now)

    def runs_over(self, worker, now):
        """Return the runs on a silent worker that have ended by now."""
        return [
            run
            for run in worker.runs.values()
            if now >= self.late_starts.ends_at(worker, run)
        ]

    def leases_end_at(self, worker):
        """Return when no run is left on a worker that stays silent.

        It is infinite while the answer to a start is awaited.
        """
        ends = (
            self.late_starts.ends_at(worker, r) for r in worker.runs.values()
        )
        return max(ends, default=worker.lease_expires_at)

    def release_all_runs(self, worker):
        self._release(worker, list(worker.runs.values()))

    def _release(self, worker, runs):
        for run in runs:
            # The release of one member of a gang may release others.
            if worker.runs.get(run.task.id) is run:
                self.release_run(worker, run)

    def raise_fence(self, worker, now):
        """Raise the fence of a worker that may be a new incarnation."""
        worker.raise_fence(now)

    def set_reachable(self, worker, reachable):
        # The record of an unreachable worker lists the tasks that may run on
        # it, for a next owner that cannot reach it either.  Until the change
        # is stored, no new tasks are started on the worker.
        worker.reachable = reachable
        worker.stored = False
        self.changed_workers[worker.id] = worker

    def on_worker_restart(self, worker, born_ms, now):
        """Release the runs of an earlier incarnation of a worker.

        A start that was sent before the new incarnation was known may have
        been carried out by it, since calls may be late.  Its run is
        kept until a report of the new incarnation shows whether it has it.
        The report that shows the restart is under a fence that voids all
        earlier orders.
        """
        lost = [run for run in worker.runs.values() if self._is_lost(run)]
        _events.log(
            logging.INFO,
            "worker has a new incarnation",
            worker=worker.id,
            born_ms=born_ms,
            earlier_born_ms=worker.info.born_ms,
            lost_runs=len(lost),
            undecided_runs=len(worker.runs) - len(lost),
        )
        self.crashes.on_crash(worker, worker, born_ms, now, lost)
        # The clock of an incarnation begins anew, so no entry of the new one
        # is older than what is known of it.
        worker.info = dataclasses.replace(
            worker.info, born_ms=born_ms, clock_s=0.0
        )
        # Its capacity and its labels may have changed, so nothing starts there
        # before its own entry is read.
        worker.listed = False
        worker.clock = worker.first_report_at = None
        worker.ends_known_at = -math.inf
        for run in worker.runs.values():
            run.missing_at = None
            # What the earlier incarnation confirmed does not count, but the
            # next report does: no order of this run can take effect after.
            run.confirmed_at = run.ordered_at
        self._release(worker, lost)
        # Any order or renewal that was late may have given it a lease.
        worker.extend_lease(now, self.config.lease_s)
        worker.unrecognized_runs.clear()
        worker.unaccounted_tasks.clear()
        worker.phase = None
        worker.last_end_number = worker.acknowledged = 0
        worker.reads_all_ends = True
        self.set_reachable(worker, False)

    def _is_lost(self, run):
        """Return whether a run ended with the last incarnation."""
        task = run.task.step.accounting_task(run.task)
        return run.born_ms > 0 or self.withheld.holds(task, run.number)

    def mark_resolved(self, worker, now):
        worker.unaccounted_tasks.clear()
        if worker.id not in self.unresolved_workers:
            return
        self.unresolved_workers.discard(worker.id)
        if self.earlier_runs_known:
            _events.log(logging.INFO, "all earlier runs are known")
            self.stop_incomplete_gangs(now)

    def stop_incomplete_gangs(self, now):
        """Stop gangs of which only some members were found to run."""
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
        self.mark_changed(job)
        _events.log(
            logging.INFO,
            "job ended",
            job=job.id,
            state=state.value,
            took_s=round(now - job.accepted_at, 3),
        )
        self.crashes.on_job_ended(job)
        for step in job.steps:
            self.reserve(step, [])
            for task in step.tasks:
                if task.run is None:
                    continue
                # When one member of a gang is done, the workers end the
                # others as well.
                if not (step.spec.gang and step.done):
                    self.stop(task.run, f"job is {state.value}", now)

    def count_run(self, numbers, task, number):
        """Add a run to the failed or crashed runs of a task, to be stored.

        If it does not fit, open starts of ended runs make room.  If it still
        does not, the job is to end: see `end_full_jobs`.  Otherwise the owner
        could store no more of it, or would start a task too often.

        Parameters
        ----------
        numbers : set of int
            `failures`, `crashes` or `excused` of the task.
        task : TaskState
        number : int
        """
        job = task.step.job
        self.mark_changed(job)
        if job.add_run(numbers, task, number):
            return
        self.open_starts.drop_ended(job)
        if not job.add_run(numbers, task, number):
            self.mark_full(job)

    def mark_full(self, job):
        """Record that the progress of a job does not fit in a record."""
        self._full_jobs[job.id] = job

    def end_full_jobs(self, now):
        """End the jobs whose progress does not fit in a record as failed."""
        while self._full_jobs:
            _, job = self._full_jobs.popitem()
            if job.ended:
                continue
            _events.log(
                logging.WARNING,
                "job has too many failed and crashed runs to store",
                job=job.id,
                record_bytes=job.record_bytes,
            )
            self.end_job(job, _model.JobState.FAILED, now)

    def mark_running(self, job):
        if job.state is _model.JobState.QUEUED:
            job.state = _model.JobState.RUNNING

    def mark_changed(self, job):
        self.changed_jobs[job.id] = job

    def reserve(self, step, chosen):
        """Replace the resources reserved for a step.

        They are reserved on the workers of `chosen` while their tickets are
        fetched.  An empty list releases all of them.
        """
        if not chosen and not step.reserving:
            return
        step.reserving = bool(chosen)
        for worker in self.workers.values():
            worker.cancel_reservation(step)
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
        """Stop one run of a gang, or all its runs if `number` is None."""
        if step.done:
            return
        for task in step.tasks:
            run = task.run
            if run is not None and number in (None, run.number):
                self.stop(run, reason, now)

    def release_run(self, worker, run):
        worker.remove(run)
        if run.task.run is run:
            run.task.run = None
        self.withheld.on_released(run)

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
