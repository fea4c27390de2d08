"""Reports of workers about their running and ended tasks."""

import logging

from citrondeal.workflow import _crashes
from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _late_starts
from citrondeal.workflow import _messages
from citrondeal.workflow import _model
from citrondeal.workflow import _placement

# A running task is stalled if it makes no progress for this time plus this
# share of its estimated run time. Workers report at least every second.
MIN_STALL_S = 0.7
STALL_SHARE = 0.1


class Reports:
    """Applies the answers of workers to lease renewals to the state.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def on_report(self, worker_id, report, sent_at, now):
        """Apply the answer of a worker to a lease renewal.

        Parameters
        ----------
        worker_id : str
        report : Report
        sent_at : float
            When the renewal was sent.
        now : float
        """
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return
        if not self._state.incarnations.on_report(
            worker, report, sent_at, now
        ):
            return
        if not worker.reachable:
            self._state.set_reachable(worker, True)
            _events.log(logging.INFO, "worker answers", worker=worker_id)
            self._state.remove_replaced(worker, now)
        worker.reported_at = now
        self._state.learning.on_report(worker, report, now)
        worker.clock = (report.clock_s, sent_at)
        if worker.first_report_at is None:
            worker.first_report_at = now
        self._state.witnesses.on_report(worker, now)
        self._state.run_numbers.skip(_highest_run(report))
        for end in report.ended:
            self._on_end(worker, end, now)
        listed = {reported.task: reported for reported in report.running}
        self._remove_unrecognized(worker, listed)
        if not report.truncated:
            worker.ends_known_at = now
        self._remove_unlisted_runs(worker, listed, sent_at, now)
        for reported in report.running:
            self._on_running(worker, reported, sent_at, now)
        stalled = [r for r in worker.runs.values() if _is_stalled(r, now)]
        if self._state.learning.at_fault(worker, stalled, now):
            self._on_stall(worker, now)
        self._state.crashes.on_reported(worker, now)
        if worker.ends_known_at >= worker.first_report_at:
            self._state.mark_resolved(worker, now)

    def _on_stall(self, worker, now):
        if not _placement.failed_recently(worker, now):
            _events.log(
                logging.WARNING,
                "tasks of a worker stand still",
                worker=worker.id,
            )
        worker.failed_at = now

    def on_renewal_failed(self, worker_id, reason, now):
        """Mark a worker as unreachable, because a lease renewal failed."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and self._has_open_lease(worker):
            # Its record says that its leases may be renewed at any time.
            self._state.changed_workers[worker.id] = worker
        if worker is not None and worker.reachable:
            self._state.raise_fence(worker, now)
            self._state.set_reachable(worker, False)
            _events.log(
                logging.WARNING,
                "worker does not answer",
                worker=worker_id,
                reason=reason,
            )

    def on_connection_lost(self, worker_id, now):
        """Raise the fence of a worker, because its connection has ended.

        It may have started again. Until a report shows that it has not, no
        ends are acknowledged and no tasks started there.
        """
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return
        self._state.raise_fence(worker, now)
        _events.log(
            logging.INFO,
            "connection to a worker has ended, its fence is raised",
            worker=worker_id,
            fence=worker.fence,
        )

    def on_other_incarnation(self, worker_id, now):
        """Mark a worker as unreachable, because it has started again.

        A new connection to it has led to another incarnation than its last
        report. The known one answers no more, so its leases are to expire
        unless a report of the present one settles what runs there.
        """
        reason = "another incarnation answers"
        self.on_renewal_failed(worker_id, reason, now)

    def _has_open_lease(self, worker):
        """Return whether the end of an earlier owner's lease can be stored."""
        return (
            worker.id in self._state.unresolved_workers
            and not worker.lease_is_stored
            and bool(self._state.witnesses.choose(worker))
        )

    def _on_end(self, worker, end, now):
        if end.number <= worker.last_end_number:
            return
        self._state.anomalies.on_end(worker, end)
        worker.last_end_number = end.number
        worker.reads_all_ends = True
        run = worker.runs.get(end.task)
        if run is not None and _may_end(end, run):
            # Ends are listed in their order, so no earlier one is omitted.
            worker.ends_known_at = max(worker.ends_known_at, run.alive_at)
            self._state.release_run(worker, run)
        worker.unrecognized_runs.pop(end.task, None)
        task = self._state.task(end.task)
        _events.log(
            logging.INFO,
            "run ended",
            job=end.task.job,
            task=_events.task_name(end.task),
            run=end.run,
            worker=worker.id,
            born_ms=worker.info.born_ms,
            number=end.number,
            how=end.outcome.value,
            known=task is not None,
        )
        if task is None or task.step.job.ended:
            return
        self._state.mark_running(task.step.job)
        if end.checkpoint and not task.done:
            self._record_checkpoint(task, end.checkpoint)
        if end.outcome is _messages.RunOutcome.DONE:
            self._on_done(task, now)
        elif end.outcome is _messages.RunOutcome.FAILED:
            self._on_failed(task, end.run, worker, now)
        if task.step.spec.gang:
            self._state.stop_gang(task.step, end.run, "gang member ended", now)

    def _on_done(self, task, now):
        if task.done:
            return
        step = task.step
        step.mark_done(task)
        self._state.mark_changed(step.job)
        if task.run is not None and not step.spec.gang:
            self._state.stop(task.run, "task is done", now)
        if step.job.done:
            self._state.end_job(step.job, _model.JobState.COMPLETED, now)

    def _on_failed(self, task, number, worker, now):
        accounting_task = task.step.accounting_task(task)
        if number in accounting_task.failures or task.done:
            return
        job = task.step.job
        self._state.count_run(
            accounting_task.failures, accounting_task, number
        )
        task.avoid.add(worker.id)
        worker.failed_at = now
        if len(accounting_task.failures) >= job.policy.max_attempts:
            self._state.end_job(job, _model.JobState.FAILED, now)
        self._state.end_full_jobs(now)

    def _remove_unlisted_runs(self, worker, listed, sent_at, now):
        """Remove runs whose end a report proves by not listing them."""
        for run in list(worker.runs.values()):
            reported = listed.get(run.task.id)
            if reported is not None and run.number in (
                reported.number,
                _jobs.UNKNOWN_RUN_NUMBER,
            ):
                continue
            if run.confirmed_at is None or run.confirmed_at >= sent_at:
                continue
            if not _late_starts.is_void(run, sent_at):
                continue
            run.missing_at = now if run.missing_at is None else run.missing_at
            if worker.ends_known_at < run.missing_at:
                continue  # its end may be among those that are omitted
            if worker.runs.get(run.task.id) is not run:
                continue  # released with another member of its gang
            _events.log(
                logging.INFO,
                "run is gone",
                job=run.task.id.job,
                task=_events.task_name(run.task.id),
                run=run.number,
                worker=worker.id,
                state=run.state.value,
            )
            self._state.crashes.on_lost(run, now)
            self._state.release_run(worker, run)

    def _remove_unrecognized(self, worker, listed):
        """Remove unrecognized runs that are not running any more.

        How they ended does not matter, so the list of ends may be truncated.
        """
        for task_id in list(worker.unrecognized_runs):
            if task_id not in listed:
                del worker.unrecognized_runs[task_id]

    def _on_running(self, worker, reported, sent_at, now):
        run = worker.runs.get(reported.task)
        if run is not None and run.number == _jobs.UNKNOWN_RUN_NUMBER:
            run.number = reported.number
        if run is not None and run.number == reported.number:
            run.unanswered = False
            _late_starts.settle(run)
            run.alive_at = max(run.alive_at, sent_at)
            run.born_ms = worker.info.born_ms
            self._state.crashes.on_survived(run, worker)
            if run.state is _jobs.RunState.STARTING:
                run.state = _jobs.RunState.RUNNING
                run.confirmed_at = now
                self._state.mark_running(run.task.step.job)
            if reported.percent > run.percent:
                run.percent = reported.percent
                run.progress_at = now
            if reported.checkpoint:
                self._record_checkpoint(run.task, reported.checkpoint)
            self._stop_if_ended(run, now)
            return
        task = self._state.task(reported.task)
        if run is not None or task is None or task.step.job.ended:
            worker.unrecognized_runs[reported.task] = [reported.number, None]
            return
        self._adopt(worker, task, reported, sent_at, now)

    def _stop_if_ended(self, run, now):
        """Stop a run that was taken over after the end of its job."""
        job = run.task.step.job
        if job.ended and not run.task.done:
            self._state.stop(run, f"job is {job.state.value}", now)

    def _adopt(self, worker, task, reported, sent_at, now):
        run = _jobs.Run(
            task, reported.number, worker.id, _jobs.RunState.RUNNING, now, now
        )
        run.percent, run.progress_at = reported.percent, now
        run.born_ms, run.alive_at = worker.info.born_ms, sent_at
        run.isolated = _crashes.is_suspect(task.step.accounting_task(task))
        worker.add(run)
        _events.log(
            logging.INFO,
            "run is taken over",
            job=task.id.job,
            task=_events.task_name(task.id),
            run=reported.number,
            worker=worker.id,
            born_ms=worker.info.born_ms,
        )
        other = task.run
        if task.done or other is not None:
            self._state.anomalies.on_repeated_run(worker, task, run.number)
        if task.done or (other is not None and other.number > run.number):
            self._state.stop(run, "another run of the task is kept", now)
            return
        task.run = run
        self._state.mark_running(task.step.job)
        if other is not None:
            self._state.stop(other, "another run of the task is kept", now)

    def _record_checkpoint(self, task, checkpoint):
        task.step.accounting_task(task).checkpoint = checkpoint


def _highest_run(report):
    """Return the highest number of a run that a report lists."""
    return max(
        max((end.run for end in report.ended), default=0),
        max((run.number for run in report.running), default=0),
    )


def _may_end(end, run):
    """Return whether an end of its task may be that of a run."""
    if run.number == _jobs.UNKNOWN_RUN_NUMBER:
        return end.run >= run.stored_number
    return end.run == run.number


def _is_stalled(run, now):
    estimate_s = run.task.step.spec.estimate_s
    return (
        run.state is _jobs.RunState.RUNNING
        and run.percent < 100
        and now - run.progress_at > MIN_STALL_S + STALL_SHARE * estimate_s
    )
