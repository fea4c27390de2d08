"""Answers of workers to orders, and of the ticket service."""

import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _late_starts
from citrondeal.workflow import _messages
from citrondeal.workflow import _tickets


class Answers:
    """Applies the outcomes of starts, stops and ticket calls to the state.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def on_started(self, task_id, number, worker_id, outcome, now):
        """Apply the outcome of a start."""
        worker = self._state.workers.get(worker_id)
        run = worker and worker.runs.get(task_id)
        if not run or run.number != number:
            return
        step = run.task.step
        if outcome is _messages.OrderOutcome.OK:
            run.confirmed_at = now
            _late_starts.settle(run)
            self._state.mark_running(step.job)
            if run.state is _jobs.RunState.STARTING:
                run.state = _jobs.RunState.RUNNING
            return
        _events.log(
            logging.INFO,
            "start failed",
            job=task_id.job,
            task=_events.task_name(task_id),
            run=number,
            worker=worker_id,
            outcome=outcome.value,
        )
        if outcome is _messages.OrderOutcome.UNKNOWN:
            run.unanswered = True
            self._state.late_starts.on_unanswered(run, now)
            self._state.stop(run, "start got no answer", now)
            worker.failed_at = now
        else:
            self._state.release_run(worker, run)
            self._state.open_starts.remove(
                step.accounting_task(run.task), number, worker_id
            )
            if outcome is _messages.OrderOutcome.FENCED:
                self._state.superseded = True
            elif outcome is _messages.OrderOutcome.BAD_TICKET:
                step.tickets.pop(worker_id, None)
                step.asked_incarnations.pop(worker_id, None)
            elif outcome is not _messages.OrderOutcome.OTHER_INCARNATION:
                worker.failed_at = now
        if step.spec.gang:
            self._state.stop_gang(
                step, number, "gang member did not start", now
            )

    def on_stopped(self, task_id, number, worker_id, outcome, now):
        """Apply the outcome of a stop."""
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return
        if outcome is _messages.OrderOutcome.FENCED:
            self._state.superseded = True
        run = worker.runs.get(task_id)
        if run is None or run.number != number:
            return
        # Stops that are repeated must not move the time of the confirmation:
        # the next report has to be requested after it.
        if outcome is _messages.OrderOutcome.OK and run.confirmed_at is None:
            run.confirmed_at = now

    def on_tickets(self, step_id, asked, granted, valid_until, now):
        """Apply the answer of the ticket service.

        Parameters
        ----------
        step_id : StepId
        asked : tuple of str
            Workers that the call named.
        granted : dict of str to str, or None
            Ticket values by worker; None if the call failed.
        valid_until : float
            Time at which the tickets expire.
        now : float
        """
        step = self._state.step(step_id)
        if step is None:
            return
        # Some of the workers may have been removed meanwhile.
        step.open_renewals.discard(tuple(asked))
        workers = [
            self._state.workers[i] for i in asked if i in self._state.workers
        ]
        newly_asked = [w for w in workers if w.id not in step.tickets]
        if granted is not None and newly_asked:
            granted_count = sum(1 for w in newly_asked if w.id in granted)
            self._state.allowed_shares.record(
                step.job.policy.queue, granted_count, len(newly_asked)
            )
        _tickets.on_answer(step, workers, granted, valid_until, now)
        _events.log(
            logging.INFO,
            "tickets answered",
            job=step_id.job,
            step=step_id.step,
            asked=len(asked),
            granted=-1 if granted is None else len(granted),
            valid_s=round(valid_until - now, 3),
        )
