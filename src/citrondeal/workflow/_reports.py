"""Reports of workers: what runs there and what has ended."""

import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model
from citrondeal.workflow import _places

# A task that makes no progress for this long, and for this share of its
# estimate, does not work. A report is made at least each second.
STALL_S = 0.7
STALL_SHARE = 0.1


class Reports:
    """Takes what workers answer to the renewal of their leases.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

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
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return
        if report.born_ms and report.born_ms != worker.info.born_ms:
            if report.born_ms < worker.info.born_ms:
                return
            self._state.restarted(worker, report.born_ms, now)
        if not worker.reachable:
            self._state.set_reachable(worker, True)
            _events.log(logging.INFO, "worker answers", worker=worker_id)
        worker.reported_at = now
        for end in report.ended:
            self._on_end(worker, end, now)
        listed = {seen.task: seen for seen in report.running}
        self._drop_missing(worker, listed, sent_at, now)
        for seen in report.running:
            self._on_running(worker, seen, now)
        if any(_stands_still(run, now) for run in worker.runs.values()):
            self._note_stall(worker, now)
        self._state.resolve(worker, now)

    def _note_stall(self, worker, now):
        if not _places.is_doubtful(worker, now):
            _events.log(
                logging.WARNING,
                "tasks of a worker stand still",
                worker=worker.id,
            )
        worker.failed_at = now

    def on_renewal_failed(self, worker_id, reason, now):
        """Note that a lease renewal of a worker got no answer."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.reachable:
            self._state.set_reachable(worker, False)
            _events.log(
                logging.WARNING,
                "worker does not answer",
                worker=worker_id,
                reason=reason,
            )

    def _on_end(self, worker, end, now):
        if end.number <= worker.last_end_number:
            return
        worker.last_end_number = end.number
        run = worker.runs.get(end.task)
        if run is not None and run.number in (end.run, _jobs.ANY_NUMBER):
            self._state.release(worker, run)
        worker.orphans.pop(end.task, None)
        task = self._state.task(end.task)
        _events.log(
            logging.INFO,
            "run ended",
            job=end.task.job,
            task=_events.task_name(end.task),
            run=end.run,
            worker=worker.id,
            how=end.how.value,
            known=task is not None,
        )
        if task is None or task.step.job.ended:
            return
        if end.checkpoint and not task.done:
            self._keep_checkpoint(task, end.checkpoint)
        if end.how is _model.RunOutcome.DONE:
            self._on_done(task, now)
        elif end.how is _model.RunOutcome.FAILED:
            self._on_failed(task, end.run, worker, now)
        if task.step.spec.gang:
            self._state.stop_gang(task.step, end.run, "gang member ended", now)

    def _on_done(self, task, now):
        if task.done:
            return
        step = task.step
        step.mark_done(task)
        self._state.mark_dirty(step.job)
        if task.run is not None and not step.spec.gang:
            self._state.stop(task.run, "task is done", now)
        if step.job.done:
            self._state.end_job(step.job, _model.JobState.COMPLETED, now)

    def _on_failed(self, task, number, worker, now):
        counter = task.step.counter_of(task)
        if number in counter.failures or task.done:
            return
        counter.failures.add(number)
        task.avoid.add(worker.id)
        worker.failed_at = now
        job = task.step.job
        self._state.mark_dirty(job)
        if len(counter.failures) >= job.policy.max_attempts:
            self._state.end_job(job, _model.JobState.FAILED, now)

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
            _events.log(
                logging.INFO,
                "run is gone",
                job=run.task.id.job,
                task=_events.task_name(run.task.id),
                run=run.number,
                worker=worker.id,
                state=run.state.value,
            )
            self._state.release(worker, run)
        for task_id in list(worker.orphans):
            if task_id not in listed:
                del worker.orphans[task_id]

    def _on_running(self, worker, seen, now):
        run = worker.runs.get(seen.task)
        if run is not None and run.number == _jobs.ANY_NUMBER:
            run.number = seen.number
        if run is not None and run.number == seen.number:
            if run.state is _jobs.RunState.STARTING:
                run.state = _jobs.RunState.RUNNING
                run.confirmed_at = now
            if seen.percent > run.percent:
                run.percent = seen.percent
                run.progress_at = now
            if seen.checkpoint:
                self._keep_checkpoint(run.task, seen.checkpoint)
            return
        task = self._state.task(seen.task)
        if run is not None or task is None or task.step.job.ended:
            worker.orphans[seen.task] = [seen.number, None]
            return
        self._adopt(worker, task, seen, now)

    def _adopt(self, worker, task, seen, now):
        run = _jobs.Run(
            task, seen.number, worker.id, _jobs.RunState.RUNNING, now, now
        )
        run.percent, run.progress_at = seen.percent, now
        worker.add(run)
        _events.log(
            logging.INFO,
            "run is taken over",
            job=task.id.job,
            task=_events.task_name(task.id),
            run=seen.number,
            worker=worker.id,
        )
        other = task.run
        if task.done or (other is not None and other.number > run.number):
            self._state.stop(run, "another run counts", now)
            return
        task.run = run
        self._state.note_begun(task.step.job)
        if other is not None:
            self._state.stop(other, "another run counts", now)

    def _keep_checkpoint(self, task, checkpoint):
        task.step.counter_of(task).checkpoint = checkpoint


def _stands_still(run, now):
    estimate_s = run.task.step.spec.estimate_s
    return (
        run.state is _jobs.RunState.RUNNING
        and run.percent < 100
        and now - run.progress_at > STALL_S + STALL_SHARE * estimate_s
    )
