"""The owner's decisions: events in, orders to workers out."""

import dataclasses
import logging

from citrondeal import telemetry
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model
from citrondeal.workflow import _places
from citrondeal.workflow import _tickets
from citrondeal.workflow import _workers

# Runs of one epoch are numbered within this range, so that numbers rise
# over changes of the owner without a stored counter.
RUNS_PER_EPOCH = 100_000
STOP_RETRY_S = 0.4
# A gang that does not fit gets room kept once it has waited this long.
GANG_WAIT_S = 1.0
# An earlier owner may renew leases until it learns of the next one.
RECOVERY_MARGIN_S = 1.5

_LOG = logging.getLogger(__name__)

_STATES = _jobs.RunState
_OUTCOMES = _model.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Bounds of the deployment.

    Attributes
    ----------
    lease_s : float
        Longest lease of a worker's tasks.
    """

    lease_s: float = 10.0


class Scheduler:
    """State of the owner of a cell.

    Parameters
    ----------
    config : Config
    epoch : int
        Number of the ownership; higher than any before.
    now : float
        Seconds on the scheduler's clock, as in all methods.
    """

    def __init__(self, config, epoch, now):
        self._config = config
        self._epoch = epoch
        self._next_run = epoch * RUNS_PER_EPOCH + 1
        self._jobs = {}
        self._active = {}
        self._workers = {}
        self._unresolved = set()
        self._dirty = {}
        self._changed_workers = {}
        self._early_cancels = set()
        self._first_gang = None
        self.deposed = False

    # Properties and queries

    @property
    def epoch(self):
        """Number of this ownership."""
        return self._epoch

    @property
    def workers(self):
        """States of the workers by id."""
        return self._workers

    @property
    def jobs(self):
        """All known jobs by id."""
        return self._jobs

    @property
    def resolved(self):
        """Whether the runs of earlier owners are all known."""
        return not self._unresolved

    @property
    def active(self):
        """Jobs that have not ended, by id."""
        return self._active

    def job_state(self, job_id):
        """Return the `JobState` for clients, or None if unknown."""
        job = self._jobs.get(job_id)
        return None if job is None else job.shown_state

    def backlog(self, queue):
        """Return the number of jobs of a queue that have not begun."""
        return sum(
            1
            for job in self._active.values()
            if job.policy.queue == queue
            and job.state is _model.JobState.QUEUED
        )

    def dump(self):
        """Return a JSON-ready summary for the state dump."""
        return {
            "epoch": self._epoch,
            "jobs": len(self._jobs),
            "active": len(self._active),
            "unresolved": sorted(self._unresolved),
            "workers": {
                w.id: {
                    "usable": w.usable,
                    "runs": len(w.runs),
                    "used_millicores": w.used.millicores,
                }
                for w in self._workers.values()
            },
        }

    # Recovery

    def recover_workers(self, stored, now):
        """Take over the workers that earlier owners have used.

        Parameters
        ----------
        stored : list of StoredWorker
            After all submissions and progress.
        now : float
        """
        for each in stored:
            worker = self._add_worker(each.info, now)
            worker.stored = each.runs is None
            worker.listed = False
            if each.runs is None:
                self._changed_workers.pop(worker.id, None)
                self._unresolved.add(worker.id)
            else:
                self._recover_runs(worker, each.runs, now)

    def _recover_runs(self, worker, task_ids, now):
        """Assume runs on a worker that an earlier owner did not reach."""
        for task_id in task_ids:
            task = self._task(task_id)
            if task is None or task.done or task.run is not None:
                continue
            task.run = _jobs.Run(
                task, _jobs.ANY_NUMBER, worker.id, _STATES.RUNNING, now, now
            )
            worker.add(task.run)

    def restore(self, job_id, progress):
        """Take over the stored progress of a job."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        try:
            job.restore(progress)
        except (IndexError, ValueError):
            _event(logging.ERROR, "stored progress is skipped", job=job_id)
            return
        if job.ended:
            self._active.pop(job_id, None)

    def remember_ended(self, job_id, progress):
        """Keep the end of a job whose submission is already dropped."""
        submission = _model.Submission(job_id, "", (), _model.Policy("", ""))
        job = _jobs.JobRecord(submission, -1, 0.0)
        job.restore(progress)
        self._jobs[job_id] = job

    # Events from the log and from the list of workers

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
        if submission.job in self._jobs:
            return
        job = _jobs.JobRecord(submission, offset, now - age_s, recovered)
        self._jobs[job.id] = job
        self._active[job.id] = job
        _event(
            logging.INFO,
            "job is known",
            job=job.id,
            queue=job.policy.queue,
            offset=offset,
            tasks=len(job.tasks()),
            age_s=round(age_s, 3),
        )
        if job.id in self._early_cancels:
            self._early_cancels.discard(job.id)
            self.on_cancel(job.id, now)

    def on_cancel(self, job_id, now):
        """Note that a job is cancelled."""
        job = self._jobs.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
            return
        if job.ended:
            return
        self._end_job(job, _model.JobState.CANCELLED, now)

    def on_barrier(self, epoch):
        """Note the barrier of an owner in the log of submissions.

        An earlier owner may have started what comes before the barrier in
        the log, but must not start what comes after it.
        """
        if epoch > self._epoch:
            self.deposed = True

    def on_worker(self, info, now):
        """Note an entry of the list of workers."""
        worker = self._workers.get(info.worker)
        if worker is None:
            worker = self._add_worker(info, now)
        if info.born_ms > worker.info.born_ms:
            self._restarted(worker, info.born_ms, now)
        elif info.born_ms < worker.info.born_ms:
            return  # written by an earlier incarnation
        worker.listed = True
        worker.listed_at = now
        if info.draining and not worker.info.draining:
            _event(logging.INFO, "worker is draining", worker=worker.id)
        worker.info = info
        self._replace_at(info, now)

    def _replace_at(self, info, now):
        """Drop workers whose address another one has taken over."""
        for other in list(self._workers.values()):
            if (
                other.info.address == info.address
                and other.id != info.worker
                and other.info.born_ms < info.born_ms
            ):
                _event(
                    logging.INFO,
                    "worker is replaced",
                    worker=other.id,
                    by=info.worker,
                    lost_runs=len(other.runs),
                )
                self._remove_worker(other, now)

    def _remove_worker(self, worker, now):
        self._forget_runs(worker)
        del self._workers[worker.id]
        self._changed_workers[worker.id] = worker
        self._resolve(worker, now)

    def on_worker_unlisted(self, worker_id, now):
        """Note that the entry of a worker is gone from the list."""
        worker = self._workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            _event(logging.INFO, "worker is not listed", worker=worker_id)

    def _add_worker(self, info, now):
        lapses = now + self._config.lease_s * _workers.CLOCK_SLACK
        lapses += RECOVERY_MARGIN_S
        worker = _workers.WorkerState(
            info, now, lapses + _workers.LEASE_MARGIN_S
        )
        self._workers[info.worker] = worker
        self._changed_workers[info.worker] = worker
        return worker

    # Reports of workers

    def on_report(self, worker_id, report, sent_at, now):
        """Take the answer of a worker to a lease renewal.

        Parameters
        ----------
        worker_id : str
        report : Report
        sent_at : float
            When the renewal was sent.
        now : float
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        if report.born_ms and report.born_ms != worker.info.born_ms:
            if report.born_ms < worker.info.born_ms:
                return
            self._restarted(worker, report.born_ms, now)
        if not worker.reachable:
            self._set_reachable(worker, True)
            _event(logging.INFO, "worker answers", worker=worker_id)
        worker.reported_at = now
        for end in report.ended:
            self._on_end(worker, end, now)
        listed = {seen.task: seen for seen in report.running}
        self._drop_missing(worker, listed, sent_at, now)
        for seen in report.running:
            self._on_running(worker, seen, now)
        self._resolve(worker, now)

    def on_no_report(self, worker_id, reason, now):
        """Note that a lease renewal of a worker got no answer."""
        worker = self._workers.get(worker_id)
        if worker is not None and worker.reachable:
            self._set_reachable(worker, False)
            _event(
                logging.WARNING,
                "worker does not answer",
                worker=worker_id,
                reason=reason,
            )

    def _set_reachable(self, worker, reachable):
        # The next owner learns which tasks may run on a worker that it may
        # not reach.  New tasks wait until this is stored.
        worker.reachable = reachable
        worker.stored = False
        self._changed_workers[worker.id] = worker

    def _on_end(self, worker, end, now):
        if end.number <= worker.last_end:
            return
        worker.last_end = end.number
        run = worker.runs.get(end.task)
        if run is not None and run.number in (end.run, _jobs.ANY_NUMBER):
            self._release(worker, run)
        worker.orphans.pop(end.task, None)
        task = self._task(end.task)
        _event(
            logging.INFO,
            "run ended",
            job=end.task.job,
            task=_name(end.task),
            run=end.run,
            worker=worker.id,
            how=end.how.value,
            known=task is not None,
        )
        if task is None or task.step.job.ended:
            return
        if end.checkpoint and not task.done:
            self._keep_checkpoint(task, end.checkpoint)
        if end.how is _model.How.DONE:
            self._on_done(task, now)
        elif end.how is _model.How.FAILED:
            self._on_failed(task, end.run, worker, now)
        if task.step.spec.gang:
            self._stop_gang(task.step, end.run, "gang member ended", now)

    def _on_done(self, task, now):
        if task.done:
            return
        step = task.step
        step.mark_done(task)
        self._mark_dirty(step.job)
        if task.run is not None and not step.spec.gang:
            self._stop(task.run, "task is done", now)
        if step.job.done:
            self._end_job(step.job, _model.JobState.COMPLETED, now)

    def _on_failed(self, task, number, worker, now):
        counter = task.step.counter_of(task)
        if number in counter.failures or task.done:
            return
        counter.failures.add(number)
        task.avoid.add(worker.id)
        worker.failed_at = now
        job = task.step.job
        self._mark_dirty(job)
        if len(counter.failures) >= job.policy.max_attempts:
            self._end_job(job, _model.JobState.FAILED, now)

    def _drop_missing(self, worker, listed, sent_at, now):
        """Remove runs that a report proves to be gone."""
        for run in list(worker.runs.values()):
            seen = listed.get(run.task.id)
            if seen is not None and run.number in (
                seen.number,
                _jobs.ANY_NUMBER,
            ):
                continue
            if run.confirmed_at is None or run.confirmed_at >= sent_at:
                continue
            _event(
                logging.INFO,
                "run is gone",
                job=run.task.id.job,
                task=_name(run.task.id),
                run=run.number,
                worker=worker.id,
                state=run.state.value,
            )
            self._release(worker, run)
        for task_id in list(worker.orphans):
            if task_id not in listed:
                del worker.orphans[task_id]

    def _on_running(self, worker, seen, now):
        run = worker.runs.get(seen.task)
        if run is not None and run.number == _jobs.ANY_NUMBER:
            run.number = seen.number
        if run is not None and run.number == seen.number:
            if run.state is _STATES.STARTING:
                run.state = _STATES.RUNNING
                run.confirmed_at = now
            if seen.percent > run.percent:
                run.percent = seen.percent
                run.progress_at = now
            if seen.checkpoint:
                self._keep_checkpoint(run.task, seen.checkpoint)
            return
        task = self._task(seen.task)
        if run is not None or task is None or task.step.job.ended:
            worker.orphans[seen.task] = [seen.number, None]
            return
        self._adopt(worker, task, seen, now)

    def _adopt(self, worker, task, seen, now):
        run = _jobs.Run(
            task, seen.number, worker.id, _STATES.RUNNING, now, now
        )
        run.percent, run.progress_at = seen.percent, now
        worker.add(run)
        _event(
            logging.INFO,
            "run is taken over",
            job=task.id.job,
            task=_name(task.id),
            run=seen.number,
            worker=worker.id,
        )
        other = task.run
        if task.done or (other is not None and other.number > run.number):
            self._stop(run, "another run counts", now)
            return
        task.run = run
        self._note_begun(task.step.job)
        if other is not None:
            self._stop(other, "another run counts", now)

    def _keep_checkpoint(self, task, checkpoint):
        task.step.counter_of(task).checkpoint = checkpoint

    def _restarted(self, worker, born_ms, now):
        """Forget what ran on an earlier incarnation of a worker."""
        _event(
            logging.INFO,
            "worker has a new incarnation",
            worker=worker.id,
            lost_runs=len(worker.runs),
        )
        worker.info = dataclasses.replace(worker.info, born_ms=born_ms)
        self._forget_runs(worker)
        worker.orphans.clear()
        worker.last_end = worker.acknowledged = 0
        self._set_reachable(worker, False)

    def _forget_runs(self, worker):
        for run in list(worker.runs.values()):
            self._release(worker, run)

    def _resolve(self, worker, now):
        if worker.id not in self._unresolved:
            return
        self._unresolved.discard(worker.id)
        if self.resolved:
            _event(logging.INFO, "all earlier runs are known")
            self._settle_gangs(now)

    def _settle_gangs(self, now):
        """Stop gangs of which only some members have been found."""
        for job in self._active.values():
            for step in job.steps:
                runs = {t.run.number for t in step.tasks if t.run}
                whole = all(t.run is not None for t in step.tasks)
                if step.spec.gang and runs and not (whole and len(runs) == 1):
                    self._stop_gang(step, None, "gang is incomplete", now)

    # Answers to orders

    def on_started(self, task_id, number, worker_id, outcome, now):
        """Take the outcome of a start."""
        worker = self._workers.get(worker_id)
        run = worker and worker.runs.get(task_id)
        if not run or run.number != number:
            return
        step = run.task.step
        if outcome is _OUTCOMES.OK:
            run.confirmed_at = now
            if run.state is _STATES.STARTING:
                run.state = _STATES.RUNNING
            return
        _event(
            logging.INFO,
            "start failed",
            job=task_id.job,
            task=_name(task_id),
            run=number,
            worker=worker_id,
            outcome=outcome.value,
        )
        if outcome is _OUTCOMES.UNKNOWN:
            self._stop(run, "start got no answer", now)
            worker.failed_at = now
        else:
            self._release(worker, run)
            if outcome is _OUTCOMES.FENCED:
                self.deposed = True
            elif outcome is _OUTCOMES.BAD_TICKET:
                step.tickets.pop(worker_id, None)
                step.asked.pop(worker_id, None)
            else:
                worker.failed_at = now
        if step.spec.gang:
            self._stop_gang(step, number, "gang member did not start", now)

    def on_stopped(self, task_id, number, worker_id, outcome, now):
        """Take the outcome of a stop."""
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        if outcome is _OUTCOMES.FENCED:
            self.deposed = True
        run = worker.runs.get(task_id)
        if run is None or run.number != number:
            return
        if outcome is _OUTCOMES.OK:
            run.confirmed_at = now

    def on_tickets(self, step_id, asked, granted, valid_until, now):
        """Take the answer of the ticket service.

        Parameters
        ----------
        step_id : StepId
        asked : tuple of str
            Workers that the call named.
        granted : dict of str to str, or None
            Tickets by worker; None if the call failed.
        valid_until : float
            End of the tickets.
        now : float
        """
        step = self._step(step_id)
        if step is None:
            return
        workers = [self._workers[i] for i in asked if i in self._workers]
        _tickets.on_answer(step, workers, granted, valid_until, now)
        _event(
            logging.INFO,
            "tickets answered",
            job=step_id.job,
            step=step_id.step,
            asked=len(asked),
            granted=-1 if granted is None else len(granted),
            valid_s=round(valid_until - now, 3),
        )

    # What is to be stored

    def take_stored(self):
        """Return what waits to be stored.

        Returns
        -------
        jobs : dict of str to Progress
        workers : dict of str to StoredWorker or None
            None drops the record of a worker.
        ends : dict of str to (int, int)
            By worker, its incarnation and the end number up to which ends
            may be acknowledged once all of this is stored.
        """
        jobs = {job.id: job.progress() for job in self._dirty.values()}
        workers = {
            w.id: self._stored_worker(w)
            for w in self._changed_workers.values()
        }
        ends = {
            w.id: (w.info.born_ms, w.last_end)
            for w in self._workers.values()
            if w.last_end > w.acknowledged
        }
        self._dirty = {}
        self._changed_workers = {}
        return jobs, workers, ends

    def _stored_worker(self, worker):
        if self._workers.get(worker.id) is not worker:
            return None
        if worker.reachable:
            return _model.StoredWorker(worker.info)
        return _model.StoredWorker(worker.info, tuple(worker.runs))

    def on_stored(self, jobs, workers, ends):
        """Note that what `take_stored` returned is stored."""
        for job_id, progress in jobs.items():
            job = self._jobs.get(job_id)
            if job is not None:
                job.stored_state = progress.state
        for worker_id, stored in workers.items():
            worker = self._workers.get(worker_id)
            if worker is not None and worker_id not in self._changed_workers:
                worker.stored = stored is not None and stored.runs is None
        for worker_id, (born_ms, number) in ends.items():
            worker = self._workers.get(worker_id)
            if worker is not None and worker.info.born_ms == born_ms:
                worker.acknowledged = max(worker.acknowledged, number)

    # Decisions

    def plan(self, now):
        """Return the orders that are due.

        Returns
        -------
        list of Start, Stop and FetchTickets
        """
        if self.deposed:
            return []
        self._expire(now)
        actions = self._due_stops(now)
        self._first_gang = None
        for worker in self._workers.values():
            worker.end_keeping()
        for step in self._ready_steps(now):
            self._plan_step(step, actions, now)
        return actions

    def _expire(self, now):
        for worker in list(self._workers.values()):
            if worker.reachable or now < worker.lapses_at:
                continue
            if worker.runs:
                _event(
                    logging.WARNING,
                    "leases of a worker have lapsed",
                    worker=worker.id,
                    lost_runs=len(worker.runs),
                )
                self._forget_runs(worker)
            worker.orphans.clear()
            if worker.listed:
                self._resolve(worker, now)
            else:
                self._remove_worker(worker, now)

    def _due_stops(self, now):
        stops = []
        for worker in self._workers.values():
            for run in worker.runs.values():
                if run.state is not _STATES.STOPPING:
                    continue
                sent = run.stop_sent_at
                if sent is not None and now - sent < STOP_RETRY_S:
                    continue
                run.stop_sent_at = now
                stops.append(
                    _model.Stop(worker.id, run.task.id, run.number, "")
                )
            for task_id, orphan in worker.orphans.items():
                number, sent = orphan
                if sent is None or now - sent >= STOP_RETRY_S:
                    orphan[1] = now
                    stops.append(
                        _model.Stop(worker.id, task_id, number, "unknown")
                    )
        return stops

    def _ready_steps(self, now):
        steps = [
            step
            for job in self._active.values()
            for step in job.steps
            if step.ready and self._may_start(step)
        ]
        steps.sort(key=lambda step: _urgency(step, now))
        return steps

    def _may_start(self, step):
        """Whether no unknown run of an earlier owner can exist."""
        return self.resolved or not step.job.recovered

    def _plan_step(self, step, actions, now):
        waiting = step.waiting()
        if not waiting:
            return
        if step.spec.gang and len(waiting) < len(step.tasks):
            return  # members of an earlier run are still ending
        usable = [
            w
            for w in self._workers.values()
            if w.usable and _places.suits(step, w)
        ]
        allowed = _tickets.allowed(step, usable)
        chosen = _places.choose(step, waiting, allowed, now)
        if step.spec.gang and len(chosen) < len(waiting):
            chosen = []
        if not chosen or len(chosen) < len(waiting):
            fresh = _tickets.unasked(step, usable)
            if step.job.policy.ticketed and fresh:
                self._fetch(step, fresh, actions, now)
        if chosen:
            self._start_or_fetch(step, chosen, allowed, actions, now)
            return
        self._reserve(step, [])
        if self._may_earmark(step, now):
            for _, worker in _places.earmark(step, waiting, allowed):
                worker.keep(step.spec.size)

    def _may_earmark(self, step, now):
        """Whether room is kept for a step that does not fit now.

        Urgent steps always get it.  Of the gangs only the first one does,
        since the room that it waits for lies idle.
        """
        if step.job.policy.priority == 0:
            return True
        if not step.spec.gang or now - step.job.known_at < GANG_WAIT_S:
            return False
        if self._first_gang not in (None, step):
            return False
        self._first_gang = step
        return True

    def _start_or_fetch(self, step, chosen, allowed, actions, now):
        ready = [
            (task, worker, _tickets.valid(step, worker, now))
            for task, worker in chosen
        ]
        stale = [entry for entry in ready if entry[2] is None]
        if stale:
            self._fetch_again(step, chosen, allowed, actions, now)
            if step.spec.gang:
                return
        else:
            self._reserve(step, [])
        number = self._take_run() if step.spec.gang else None
        for task, worker, ticket in ready:
            if ticket is not None:
                actions.append(self._start(task, worker, ticket, number, now))

    def _fetch_again(self, step, chosen, allowed, actions, now):
        """Renew tickets of the chosen workers and hold their room."""
        needed = {worker.id: worker for _, worker in chosen}
        self._fetch(step, list(needed.values()), actions, now)
        self._reserve(step, chosen)

    def _fetch(self, step, workers, actions, now):
        if step.fetching or now < step.fetch_after:
            return
        _tickets.on_asked(step, workers)
        policy = step.job.policy
        actions.append(
            _model.FetchTickets(
                step.id,
                tuple(w.id for w in workers),
                policy.ticket_base_s + policy.ticket_each_s * len(workers),
                policy.priority,
                step.job.due_at,
            )
        )

    def _reserve(self, step, chosen):
        """Hold room for a step while its tickets are fetched."""
        if not chosen and not step.reserving:
            return
        step.reserving = bool(chosen)
        for worker in self._workers.values():
            worker.reserved.pop(step.id, None)
        for _, worker in chosen:
            size = worker.reserved.get(step.id, _model.Size())
            worker.reserved[step.id] = size.plus(step.spec.size)

    def _start(self, task, worker, ticket, number, now):
        if number is None:
            number = self._take_run()
        run = _jobs.Run(task, number, worker.id, _STATES.STARTING, now)
        run.progress_at = now
        task.run = run
        worker.add(run)
        step = task.step
        self._note_begun(step.job)
        _event(
            logging.INFO,
            "start is decided",
            job=task.id.job,
            task=_name(task.id),
            run=number,
            worker=worker.id,
            report_age_s=round(now - worker.reported_at, 3),
            waited_s=round(now - step.job.known_at, 3),
        )
        checkpoint = step.counter_of(task).checkpoint
        return _model.Start(
            worker.id,
            task.id,
            number,
            step.job.submission.spec,
            checkpoint,
            ticket,
            worker.info.born_ms,
        )

    def _take_run(self):
        number = self._next_run
        self._next_run += 1
        return number

    # Changes of state

    def _end_job(self, job, state, now):
        job.state = state
        self._active.pop(job.id, None)
        self._mark_dirty(job)
        _event(
            logging.INFO,
            "job ended",
            job=job.id,
            state=state.value,
            took_s=round(now - job.known_at, 3),
        )
        for step in job.steps:
            self._reserve(step, [])
            for task in step.tasks:
                if task.run is None:
                    continue
                # The members of a gang end together with the first.
                if not (step.spec.gang and step.done):
                    self._stop(task.run, f"job is {state.value}", now)

    def _note_begun(self, job):
        if job.state is _model.JobState.QUEUED:
            job.state = _model.JobState.RUNNING

    def _mark_dirty(self, job):
        self._dirty[job.id] = job

    def _stop(self, run, reason, now):
        if run.state is _STATES.STOPPING:
            return
        run.state = _STATES.STOPPING
        run.confirmed_at = None
        _event(
            logging.INFO,
            "stop is decided",
            job=run.task.id.job,
            task=_name(run.task.id),
            run=run.number,
            worker=run.worker,
            reason=reason,
        )

    def _stop_gang(self, step, number, reason, now):
        """Stop all members of a run, or of all runs if `number` is None."""
        if step.done:
            return
        for task in step.tasks:
            run = task.run
            if run is not None and number in (None, run.number):
                self._stop(run, reason, now)

    def _release(self, worker, run):
        worker.remove(run)
        if run.task.run is run:
            run.task.run = None

    def _task(self, task_id):
        step = self._step(
            _model.StepId(task_id.job, task_id.occurrence, task_id.step)
        )
        if step is None or not 0 <= task_id.index < len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def _step(self, step_id):
        job = self._jobs.get(step_id.job)
        if job is None or step_id.occurrence != 0:
            return None
        if not 0 <= step_id.step < len(job.steps):
            return None
        return job.steps[step_id.step]


def _urgency(step, now):
    """Return the sort key of a step: late work last, then by priority."""
    job = step.job
    late = now > job.due_at
    return (
        late,
        job.policy.priority if not late else 0,
        job.due_at - step.spec.estimate_s,
        job.offset,
        step.id.step,
    )


def _name(task_id):
    return f"{task_id.occurrence}.{task_id.step}.{task_id.index}"


def _event(level, message, **fields):
    telemetry.event(_LOG, level, message, **fields)
