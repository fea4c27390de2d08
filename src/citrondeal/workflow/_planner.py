"""Decides which orders are due."""

import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs
from citrondeal.workflow import _model
from citrondeal.workflow import _places
from citrondeal.workflow import _tickets

STOP_RETRY_S = 0.4
# A gang that does not fit gets room kept once it has waited this long.
GANG_WAIT_S = 1.0
# Share of the estimated run time that a job takes at least.
HOPE = 0.5


class Planner:
    """Expires leases, repeats stops, and starts what is ready.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state
        self._first_gang = None
        self._usable = {}  # by service, workers by id

    def plan(self, now):
        """Return the orders that are due.

        Returns
        -------
        list of Start, Stop and FetchTickets
        """
        if self._state.superseded:
            return []
        self._expire(now)
        actions = self._due_stops(now)
        self._first_gang = None
        self._usable = {}
        for worker in self._state.workers.values():
            worker.end_keeping()
            if worker.usable:
                service = self._usable.setdefault(worker.info.service, {})
                service[worker.id] = worker
        for step in self._ready_steps(now):
            self._plan_step(step, actions, now)
        return actions

    def _expire(self, now):
        for worker in list(self._state.workers.values()):
            if worker.reachable or now < worker.lease_expires_at:
                continue
            if worker.runs:
                _events.log(
                    logging.WARNING,
                    "leases of a worker have lapsed",
                    worker=worker.id,
                    lost_runs=len(worker.runs),
                )
                self._state.forget_runs(worker)
            worker.orphans.clear()
            if worker.listed:
                self._state.resolve(worker, now)
            else:
                self._state.remove_worker(worker, now)

    def _due_stops(self, now):
        stops = []
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                if run.state is not _jobs.RunState.STOPPING:
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
            for job in self._state.active.values()
            for step in job.steps
            if step.ready and self._may_start(step)
        ]
        steps.sort(key=lambda step: _urgency(step, now))
        return steps

    def _may_start(self, step):
        """Whether no unknown run of an earlier owner can exist."""
        return self._state.resolved or not step.job.recovered

    def _plan_step(self, step, actions, now):
        waiting = step.waiting()
        if not waiting:
            return
        if step.spec.gang and len(waiting) < len(step.tasks):
            return  # members of an earlier run are still ending
        usable = self._usable.get(step.job.policy.service, {})
        allowed = [
            worker
            for worker in _tickets.allowed(step, usable)
            if _places.suits(step, worker)
        ]
        chosen = _places.choose(
            step,
            waiting,
            allowed,
            lambda worker: _tickets.at_hand(step, worker, now),
            now,
        )
        if len(chosen) < len(waiting):
            self._ask(step, len(waiting) - len(chosen), usable, actions, now)
            if step.spec.gang:
                chosen = []
        if chosen:
            self._start_or_fetch(step, chosen, actions, now)
            return
        self._state.reserve(step, [])
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

    def _start_or_fetch(self, step, chosen, actions, now):
        ready = [
            (task, worker, _tickets.valid(step, worker, now))
            for task, worker in chosen
        ]
        stale = [entry for entry in ready if entry[2] is None]
        if stale:
            self._fetch_again(step, chosen, actions, now)
            if step.spec.gang:
                return
        else:
            self._state.reserve(step, [])
        number = self._state.take_run() if step.spec.gang else None
        for task, worker, ticket in ready:
            if ticket is not None:
                actions.append(self._start(task, worker, ticket, number, now))

    def _ask(self, step, missing, usable, actions, now):
        """Ask which other workers may run the step."""
        if not step.job.policy.ticketed or not self._may_call(step, now):
            return
        suited = [w for w in usable.values() if _places.suits(step, w)]
        share = self._state.shares.expected(step.job.policy.queue)
        for group in _tickets.next_round(step, suited, missing, share):
            self._call(step, group, actions)

    def _fetch_again(self, step, chosen, actions, now):
        """Renew tickets of the chosen workers and hold their room."""
        self._state.reserve(step, chosen)
        if self._may_call(step, now):
            needed = {worker.id: worker for _, worker in chosen}
            self._call(step, list(needed.values()), actions, renewal=True)

    def _may_call(self, step, now):
        return not step.calls and now >= step.fetch_after

    def _call(self, step, workers, actions, renewal=False):
        _tickets.on_asked(step, workers)
        policy = step.job.policy
        actions.append(
            _model.FetchTickets(
                step.id,
                tuple(w.id for w in workers),
                policy.ticket_base_s + policy.ticket_each_s * len(workers),
                policy.priority,
                step.job.due_at,
                renewal,
            )
        )

    def _start(self, task, worker, ticket, number, now):
        if number is None:
            number = self._state.take_run()
        run = _jobs.Run(task, number, worker.id, _jobs.RunState.STARTING, now)
        run.progress_at = now
        task.run = run
        worker.add(run)
        step = task.step
        self._state.note_begun(step.job)
        _events.log(
            logging.INFO,
            "start is decided",
            job=task.id.job,
            task=_events.task_name(task.id),
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


def _urgency(step, now):
    """Return the sort key of a step.

    Jobs that can still be in time come first, by priority, then late ones,
    and then those that are too late to be of use.
    """
    job = step.job
    earliest_end = now + HOPE * step.remaining_s
    lateness = (earliest_end > job.due_at) + (earliest_end > job.useless_at)
    return (
        lateness,
        job.policy.priority if not lateness else 0,
        job.due_at - step.remaining_s,
        job.offset,
        step.id.step,
    )
