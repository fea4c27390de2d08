"""Orders of owners to simulated workers, which may get lost or be late."""

from citrondeal import workflow
from citrondeal.workflow.tests import simulated_late_calls

MAX_DELAY_S = simulated_late_calls.MAX_DELAY_S
LATE_SHARE = 0.03
UNANSWERED_SHARE = 0.02
TICKETS_VALID_S = 2.5


class Orders:
    """Delivers the orders of all owners.

    Parameters
    ----------
    simulation : Simulation
    """

    def __init__(self, simulation):
        self._simulation = simulation

    def deliver(self, owner, action):
        """Deliver an order, or answer a call for tickets."""
        scheduler, now = owner.scheduler, self._simulation.now
        if isinstance(action, workflow.FetchTickets):
            workers = self._simulation.workers
            granted = {
                w: workers[w].ticket for w in action.workers if w in workers
            }
            scheduler.on_tickets(
                action.step,
                action.workers,
                granted,
                now + TICKETS_VALID_S,
                now,
            )
            return
        worker = self._simulation.workers.get(action.worker)
        worker = worker or self._simulation.replaced[action.worker]
        is_start = isinstance(action, workflow.Start)
        outcome = self._send(owner, worker, action, now)
        is_unknown = outcome is workflow.OrderOutcome.UNKNOWN
        if is_start and is_unknown and action.ticket:
            second = self._send(owner, worker, action, now)
            outcome = simulated_late_calls.after_repeat(outcome, second)
        if is_start and outcome is workflow.OrderOutcome.UNKNOWN:
            task = self._simulation.accounting_task(action.task)
            worker.unanswered.add((task, action.run))
        callback = scheduler.on_started if is_start else scheduler.on_stopped
        callback(action.task, action.run, action.worker, outcome, now)

    def _send(self, owner, worker, action, now):
        """Return the outcome of an order as its owner sees it."""
        fence = owner.fence(worker)
        known = owner.scheduler.workers.get(worker.name)
        outcome = self._send_once(owner, worker, action, now)
        if outcome is workflow.OrderOutcome.OTHER_INCARNATION:
            self._simulation.renewals.on_other_incarnation(owner, worker)
        return workflow.settle_outcome(outcome, fence, known)

    def _send_once(self, owner, worker, action, now):
        carry_out = self._order(owner, worker, action, now)
        is_kept_back = (
            self._simulation.bound
            and isinstance(action, workflow.Start)
            and not worker.down
            and action.born_ms not in (0, worker.born_ms)
        )
        rng = self._simulation.random
        roll = rng.random()
        may_fail = now < self._simulation.faults_ended_at
        if (
            worker.unreachable
            or self._is_gone(worker)
            or now < owner.unreachable_until.get(worker.name, 0.0)
        ):
            if is_kept_back:  # nobody has answered on the new connection
                return workflow.OrderOutcome.REFUSED
            return workflow.OrderOutcome.UNKNOWN
        if is_kept_back:
            return workflow.OrderOutcome.OTHER_INCARNATION
        if roll < LATE_SHARE and may_fail:
            delay_s = rng.uniform(0.5, MAX_DELAY_S)
            self._simulation.late_calls.add(worker, now + delay_s, carry_out)
            return workflow.OrderOutcome.UNKNOWN
        outcome = carry_out()
        if roll < LATE_SHARE + UNANSWERED_SHARE and may_fail:
            return workflow.OrderOutcome.UNKNOWN
        return outcome

    def _order(self, owner, worker, action, now):
        """Return a function that carries out an order on its worker."""
        fence, born_ms = owner.fence(worker), worker.born_ms
        late_calls = self._simulation.late_calls

        def carry_out():
            if self._is_gone(worker):
                return workflow.OrderOutcome.UNKNOWN
            if not isinstance(action, workflow.Start):
                return worker.stop(action, fence)
            if worker.born_ms != born_ms and not late_calls.may_reach(worker):
                return workflow.OrderOutcome.UNKNOWN
            limit = simulated_late_calls.start_limit(
                worker, action, now, self._simulation.now
            )
            return worker.start(action, fence, limit)

        return carry_out

    def _is_gone(self, worker):
        return worker.down or worker.name not in self._simulation.workers
