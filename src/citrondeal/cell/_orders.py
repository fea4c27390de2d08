"""Sends the starts and stops that the owner has decided to the workers."""

import logging

from citrondeal.cell import _clock
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

# More orders at a time would keep a weak machine from answering the probes of
# the other members, which would then replace it.
MAX_ORDERS_IN_FLIGHT = 48

_LOG = logging.getLogger(__name__)


class OrderSender:
    """Sends the orders of one owner.

    Parameters
    ----------
    scheduler : citrondeal.workflow.Scheduler
        Learns the outcomes of the orders.
    leases : dict of str to citrondeal.cell._leases.LeaseRenewer
        By worker; read at each order.
    may_act : callable
        ``may_act(now)`` tells whether this owner is sure that it has not
        been replaced.
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, scheduler, leases, may_act, metrics):
        self._scheduler = scheduler
        self._leases = leases
        self._may_act = may_act
        self._metrics = metrics
        self._in_flight = 0

    @property
    def free(self):
        """Number of orders that may be sent beside those in flight."""
        return MAX_ORDERS_IN_FLIGHT - self._in_flight

    async def send(self, action):
        """Send an order and pass its outcome to the scheduler.

        Parameters
        ----------
        action : citrondeal.workflow.Start or citrondeal.workflow.Stop
        """
        self._in_flight += 1
        try:
            with telemetry.contain(_LOG, "order", worker=action.worker):
                if isinstance(action, workflow.Start):
                    await self._start(action)
                else:
                    await self._stop(action)
        finally:
            self._in_flight -= 1

    async def send_start(self, action):
        """Send a start, and again if it may not have arrived.

        One without a ticket is sent once: the next incarnation of the worker
        could carry out another copy after the run has ended.

        Returns
        -------
        citrondeal.workflow.OrderOutcome
        """
        lease = self._leases.get(action.worker)
        now = _clock.now()
        if not self._may_start(action, lease, now):
            return workflow.OrderOutcome.REFUSED
        until_s = lease.worker_clock_s(action.valid_until)
        outcome = await self._try_start(action, lease, until_s)
        if (
            outcome is workflow.OrderOutcome.UNKNOWN
            and action.ticket
            and self._may_start(action, lease, _clock.now())
        ):
            # Sending the same run twice is safe: the worker starts it once,
            # whether one or both of the calls arrive.
            outcome = platform.outcome_after_repeat(
                await self._try_start(action, lease, until_s)
            )
        return outcome

    async def _try_start(self, action, lease, until_s):
        worker = self._scheduler.workers[action.worker]
        fence = worker.fence
        outcome = await lease.client.start(action, fence, until_s)
        return workflow.settle_outcome(outcome, fence, worker)

    def _may_start(self, action, lease, now):
        """Return whether a start that was decided may be sent now.

        The process may have been suspended since the decision, or events
        handled that undo it.
        """
        return (
            lease is not None
            and lease.knows_clock(action.born_ms)
            and self._may_act(now)
            and self._scheduler.still_holds(action, now)
        )

    async def _start(self, action):
        # Stands if the exchange fails unexpectedly.
        outcome = workflow.OrderOutcome.UNKNOWN
        with telemetry.contain(_LOG, "start", worker=action.worker):
            outcome = await self.send_start(action)
        self._metrics.count("citrondeal.starts", 1, outcome=outcome.value)
        self._scheduler.on_started(
            action.task, action.run, action.worker, outcome, _clock.now()
        )

    async def _stop(self, action):
        lease = self._leases.get(action.worker)
        worker = self._scheduler.workers.get(action.worker)
        outcome = workflow.OrderOutcome.REFUSED
        if lease is not None and worker is not None:
            fence = worker.fence
            outcome = await lease.client.stop(action, fence)
            outcome = workflow.settle_outcome(outcome, fence, worker)
        self._metrics.count("citrondeal.stops", 1, outcome=outcome.value)
        self._scheduler.on_stopped(
            action.task, action.run, action.worker, outcome, _clock.now()
        )
