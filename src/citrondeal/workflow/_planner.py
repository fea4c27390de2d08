"""Planning of orders: starts, stops and requests for tickets."""

import logging
import math

from citrondeal.workflow import _backfill
from citrondeal.workflow import _crashes
from citrondeal.workflow import _events
from citrondeal.workflow import _isolation
from citrondeal.workflow import _jobs
from citrondeal.workflow import _kept_room
from citrondeal.workflow import _late_starts
from citrondeal.workflow import _messages
from citrondeal.workflow import _placement
from citrondeal.workflow import _precedence
from citrondeal.workflow import _racks
from citrondeal.workflow import _ticket_calls
from citrondeal.workflow import _tickets
from citrondeal.workflow import _uncertain_tasks
from citrondeal.workflow import _waits

STOP_RETRY_S = 0.4


class Planner:
    """Expires leases, repeats stops, and starts the tasks of ready steps.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state
        self._capacities_valid = True
        self._numbers_left = True
        self._kept_room = _kept_room.KeptRoom()
        self._usable_workers = {}  # by service, then by worker id
        self._uncertain_tasks = frozenset()  # in this pass
        self._action_limit = math.inf  # of the current pass
        self._isolation = _isolation.Isolation(state)
        self._ticket_calls = _ticket_calls.TicketCalls(state)

    def plan(self, now, max_starts=math.inf):
        """Return the orders that are due.

        Parameters
        ----------
        now : float
        max_starts : float
            Largest number of starts, which a gang may exceed, since it starts
            as a whole.

        Returns
        -------
        list of Start, Stop and FetchTickets
        """
        if self._state.superseded:
            return []
        self._expire_leases(now)
        self._state.end_full_jobs(now)
        actions = self._due_stops(now)
        self._check_capacities(now)
        self._check_numbers()
        if max_starts <= 0 or not self._capacities_valid:
            self._state.waits.end_pass(self._startable_steps(), now)
            return actions
        actions += self._state.withheld.take_due(now)
        self._ticket_calls.renew_expired(actions, now)
        kept_gang = self._kept_room.gang
        self._look_at_workers()
        self._state.move_jobs()
        self._isolation.begin_pass(now)
        self._action_limit = len(actions) + max_starts
        ready = self._ready_steps(now)
        steps = self._state.quotas.begin_pass(ready, now)
        self._kept_room.begin_pass(self._usable_workers)
        for step in self._state.shares.arrange(
            steps,
            self._usable_workers,
            kept_gang,
            lambda step: _precedence.urgency(step, now)[:2],
            now,
        ):
            if len(actions) >= self._action_limit:
                break
            if _precedence.is_low(step, now):
                self._kept_room.keep_for_waiting_gangs(now)
            self._plan_step(step, actions, now)
            self._state.quotas.on_planned(step, now)
        self._state.waits.end_pass(ready, now)
        self._note_starts(actions)
        return actions

    def _note_starts(self, actions):
        for action in actions:
            if not isinstance(action, _messages.Start):
                continue
            run = self._state.workers[action.worker].runs.get(action.task)
            if run is not None:  # not released in the same pass
                self._state.late_starts.on_ordered(run, action.ticket)

    def _look_at_workers(self):
        """Begin a pass with all workers as they are now."""
        workers = self._state.workers.values()
        self._uncertain_tasks = _uncertain_tasks.find(workers)
        self._usable_workers = {}
        for worker in workers:
            worker.clear_pass_reservations()
            if worker.usable:
                service = self._usable_workers.setdefault(
                    worker.info.service, {}
                )
                service[worker.id] = worker

    def still_holds(self, start, now):
        """Return whether a start that was decided may be sent now.

        Its worker may have shrunk, started again or gone silent since, or the
        run may have been stopped.
        """
        worker = self._state.workers.get(start.worker)
        run = worker and worker.runs.get(start.task)
        return bool(
            run
            and run.number == start.run
            and run.state is not _jobs.RunState.STOPPING
            and worker.usable
            and worker.info.born_ms == start.born_ms
            and worker.used.fits(worker.info.capacity)
            and self._state.quotas.is_within_cap(run)
            and self._list_age_s(now) <= self._state.config.capacities_valid_s
        )

    def _list_age_s(self, now):
        return now - self._state.workers_read_at

    def _check_capacities(self, now):
        """Check whether the list of workers was read recently enough.

        A worker may have shrunk since, so what it last reported is worth
        nothing after some time.
        """
        age_s = self._list_age_s(now)
        valid = age_s <= self._state.config.capacities_valid_s
        if valid != self._capacities_valid:
            self._capacities_valid = valid
            _events.log(
                logging.INFO if valid else logging.WARNING,
                "capacities of workers are known again"
                if valid
                else "starts wait until the capacities of workers are read",
                list_age_s=round(age_s, 3),
            )

    def _check_numbers(self):
        """Log when starts wait for run numbers, and when they go on."""
        left = self._state.run_numbers.left > 0
        if left != self._numbers_left:
            self._numbers_left = left
            _events.log(
                logging.INFO if left else logging.WARNING,
                "starts have run numbers again"
                if left
                else "starts wait until a limit of run numbers is stored",
            )

    def _expire_leases(self, now):
        for worker in list(self._state.workers.values()):
            if worker.reachable or now < worker.lease_expires_at:
                continue
            over = self._state.runs_over(worker, now)
            if over:
                _events.log(
                    logging.WARNING,
                    "leases of a worker have lapsed",
                    worker=worker.id,
                    born_ms=worker.info.born_ms,
                    expired_ago_s=round(now - worker.lease_expires_at, 3),
                    renewed_ago_s=_age_s(worker.renewed_at, now),
                    started_ago_s=_age_s(worker.started_at, now),
                    lost_runs=len(over),
                    kept_runs=len(worker.runs) - len(over),
                )
                self._state.crashes.on_lapse(worker, over, now)
            self._state.on_leases_lapsed(worker, now)

    def _due_stops(self, now):
        stops = []
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                if run.state is not _jobs.RunState.STOPPING:
                    continue
                sent = run.stop_sent_at
                if sent is not None and now - sent < STOP_RETRY_S:
                    continue
                if _late_starts.is_open(run) and run.confirmed_at is not None:
                    continue  # it only waits until its start is void
                run.stop_sent_at = now
                stops.append(
                    _messages.Stop(worker.id, run.task.id, run.number, "")
                )
            for task_id, unrecognized in worker.unrecognized_runs.items():
                number, sent = unrecognized
                if sent is None or now - sent >= STOP_RETRY_S:
                    unrecognized[1] = now
                    stops.append(
                        _messages.Stop(worker.id, task_id, number, "unknown")
                    )
        return stops

    def _startable_steps(self):
        return [
            step
            for job in self._state.active.values()
            for step in job.steps
            if step.ready and self._may_start(step)
        ]

    def _ready_steps(self, now):
        steps = self._startable_steps()
        steps.sort(key=lambda step: _precedence.urgency(step, now))
        return steps

    def _may_start(self, step):
        """Return whether no unknown run of an earlier owner can exist."""
        return self._state.earlier_runs_known or not step.job.recovered

    def _plan_step(self, step, actions, now):
        waits = self._state.waits
        waiting = step.waiting()
        if not waiting:
            waits.note(step, None, now)
            return
        if self._uncertain_tasks:
            waiting = [t for t in waiting if t.id not in self._uncertain_tasks]
            if not waiting:
                self._wait_without_room(step, _waits.WaitReason.UNCERTAIN, now)
                return
        if step.spec.gang and len(waiting) < len(step.tasks):
            # Members of an earlier run are still ending.
            waits.note(step, _waits.WaitReason.MEMBERS, now)
            return
        waiting = self._state.quotas.admissible(step, waiting, now)
        if not waiting:
            self._wait_without_room(step, _waits.WaitReason.QUOTA, now)
            return
        if step.spec.gang and step.reserving and step.open_renewals:
            # Another choice now would take workers whose tickets are not
            # being renewed, and would have to wait for another call.
            waits.note(step, _waits.WaitReason.RENEWAL, now)
            return
        step.ends_by = _backfill.latest_end(step, now)
        if step.spec.same_rack:
            _racks.update(
                step, self._state.workers, self._state.config.far_factor, now
            )
        if self._isolation.concerns(step):
            waiting = self._plan_crashed(step, waiting, actions, now)
            if not waiting:
                return
        usable, allowed = self._candidates(step)
        self._state.learning.prepare(step, now)
        chosen = _placement.choose(
            step, waiting, allowed, _has_ticket(step, now), now
        )
        waits.note(step, None, now)
        if len(chosen) < len(waiting):
            self._ticket_calls.ask(
                step, len(waiting) - len(chosen), usable, actions, now
            )
            waits.note(step, _missing(step), now)
            if step.spec.gang:
                chosen = []
        if chosen:
            self._start_or_renew_tickets(step, chosen, actions, now)
            return
        self._state.reserve(step, [])
        self._kept_room.keep(step, waiting, allowed, now)

    def _wait_without_room(self, step, reason, now):
        self._state.waits.note(step, reason, now)
        if not step.open_renewals:
            self._state.reserve(step, [])

    def _candidates(self, step, task=None):
        """Return the open workers, and those of them that may run a step.

        Parameters
        ----------
        step : StepState
        task : TaskState or None
            Task that has crashed workers; None for all others.
        """
        usable = self._isolation.open_workers(
            self._usable_workers.get(step.job.service, {}), task
        )
        allowed = [
            worker
            for worker in _tickets.allowed_workers(step, usable)
            if _placement.is_eligible(step, worker)
        ]
        return usable, allowed

    def _plan_crashed(self, step, waiting, actions, now):
        """Plan the tasks that have crashed workers, and return the others."""
        others = []
        for tasks in [waiting] if step.spec.gang else [[t] for t in waiting]:
            task = step.accounting_task(tasks[0])
            if not task.crashes:
                others += tasks
            elif self._may_place_crashed(task):
                self._place_crashed(step, tasks, task, actions, now)
            elif workers := self._isolation.awaited_workers(task):
                # Otherwise other tasks would take the room between attempts.
                self._kept_room.keep(step, tasks, workers, now)
        return others

    def _may_place_crashed(self, task):
        return _crashes.may_start(task) and self._isolation.may_attempt(task)

    def _place_crashed(self, step, tasks, task, actions, now):
        usable, allowed = self._candidates(step, task)
        chosen = self._isolation.choose(
            step, tasks, allowed, _has_ticket(step, now), now
        )
        if chosen:
            self._start_or_renew_tickets(step, chosen, actions, now)
            return
        self._isolation.on_not_placed(task, now)
        if not step.open_renewals:
            # Another task of the step may have reserved resources while its
            # ticket is renewed.
            self._state.reserve(step, [])
        self._ticket_calls.ask(step, len(tasks), usable, actions, now)
        if not self._isolation.waits(task, now):
            awaited = self._kept_room.keep(step, tasks, allowed, now)
            self._isolation.on_reserved(task, awaited)

    def _start_or_renew_tickets(self, step, chosen, actions, now):
        ready = [
            (task, worker, _tickets.valid_ticket(step, worker, now))
            for task, worker in chosen
        ]
        stale = [entry for entry in ready if entry[2] is None]
        if stale:
            self._ticket_calls.renew(step, chosen, actions, now)
            self._state.waits.note(step, _waits.WaitReason.RENEWAL, now)
            if step.spec.gang:
                return
        else:
            self._state.reserve(step, [])
        numbers = self._state.run_numbers
        if not numbers.left:
            self._state.waits.note(step, _waits.WaitReason.PASS, now)
            return
        number = None
        if step.spec.gang:
            number = numbers.take()
            self._state.waits.on_gang_started(step, number, now)
        starts = []
        for task, worker, ticket in ready:
            if number is None and (
                len(actions) + len(starts) >= self._action_limit
                or not numbers.left
            ):
                break  # a wide step continues in the next pass
            if ticket is not None:
                starts.append(self._start(task, worker, ticket, number, now))
        task = step.accounting_task(chosen[0][0])
        if self._make_room_for_record(task, starts):
            self._state.withheld.hold(task, starts)
        else:
            actions.extend(starts)

    def _make_room_for_record(self, task, starts):
        """Return whether starts can be recorded before their orders are sent.

        Tasks of a wide job whose starts do not fit in its record are not to
        wait until others end.
        """
        return bool(
            starts and task.crashes
        ) and self._state.open_starts.make_room(task.step.job, len(starts))

    def _start(self, task, worker, ticket, number, now):
        if number is None:
            number = self._state.run_numbers.take()
        run = _jobs.Run(task, number, worker.id, _jobs.RunState.STARTING, now)
        run.progress_at = run.alive_at = now
        task.run = run
        step = task.step
        self._state.learning.interference.on_start(step, worker)
        worker.add(run)
        self._isolation.on_start(step.accounting_task(task), run)
        _events.log(
            logging.INFO,
            "start is decided",
            job=task.id.job,
            task=_events.task_name(task.id),
            run=number,
            worker=worker.id,
            born_ms=worker.info.born_ms,
            lease_left_s=round(worker.lease_expires_at - now, 3),
            report_age_s=round(now - worker.reported_at, 3),
            waited_s=round(now - step.job.accepted_at, 3),
        )
        checkpoint = step.accounting_task(task).checkpoint
        return _messages.Start(
            worker.id,
            task.id,
            number,
            step.job.submission.spec,
            checkpoint,
            ticket,
            worker.info.born_ms,
            worker.allow_start(now),
        )


def _age_s(time_s, now):
    return None if time_s is None else round(now - time_s, 3)


def _has_ticket(step, now):
    return lambda worker: _tickets.has_ticket_or_reservation(step, worker, now)


def _missing(step):
    """Return what tasks lack that were not placed."""
    if step.open_calls:
        return _waits.WaitReason.TICKETS
    return _waits.WaitReason.ROOM
