"""Orders of owners to simulated workers, which may get lost or be late."""

from citrondeal import workflow

MAX_DELAY_S = 8.0
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
        self._late = []  # of time and the function that carries it out

    def tick(self, now):
        """Carry out the late orders that are due."""
        for _, carry_out in [x for x in self._late if x[0] <= now]:
            carry_out()
        self._late = [x for x in self._late if x[0] > now]

    def deliver(self, owner, action):
        """Deliver an order, or answer a call for tickets."""
        scheduler, now = owner.scheduler, self._simulation.now
        if isinstance(action, workflow.FetchTickets):
            granted = {w: "t" for w in action.workers}
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
        if is_start and outcome is workflow.OrderOutcome.UNKNOWN:
            task = self._simulation.accounting_task(action.task)
            worker.unanswered.add((task, action.run))
        callback = scheduler.on_started if is_start else scheduler.on_stopped
        callback(action.task, action.run, action.worker, outcome, now)

    def _send(self, owner, worker, action, now):
        """Return the outcome of an order as its owner sees it."""
        carry_out = self._order(owner, worker, action, now)
        rng = self._simulation.random
        roll = rng.random()
        may_fail = now < self._simulation.faults_ended_at
        if (
            worker.unreachable
            or self._is_gone(worker)
            or now < owner.unreachable_until.get(worker.name, 0.0)
        ):
            return workflow.OrderOutcome.UNKNOWN
        if roll < LATE_SHARE and may_fail:
            delay_s = rng.uniform(0.5, MAX_DELAY_S)
            self._late.append((now + delay_s, carry_out))
            return workflow.OrderOutcome.UNKNOWN
        outcome = carry_out()
        if roll < LATE_SHARE + UNANSWERED_SHARE and may_fail:
            return workflow.OrderOutcome.UNKNOWN
        return outcome

    def _order(self, owner, worker, action, now):
        """Return a function that carries out an order on its worker."""
        epoch, born_ms = owner.epoch, worker.born_ms

        def carry_out():
            # An order that is delayed ends with the connection to its worker.
            if self._is_gone(worker) or worker.born_ms != born_ms:
                return workflow.OrderOutcome.UNKNOWN
            if isinstance(action, workflow.Start):
                return worker.start(action, epoch, action.valid_until)
            return worker.stop(action, epoch)

        return carry_out

    def _is_gone(self, worker):
        return worker.down or worker.name not in self._simulation.workers
