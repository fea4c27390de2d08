"""Starts that the next incarnation of their worker may still carry out.

An order that gets no answer may be carried out seconds later, also by an
incarnation that knows neither the fence nor the runs that were stopped, and
whose clock has begun anew.  A ticket bars this, since it is valid for one
incarnation.  The run of a start without one is kept on its worker until no
incarnation can begin it any more, so that its task starts nowhere else.

Such a start is sent once: when its answer or a report shows that it was
carried out or refused, no other copy of it is left.
"""

import dataclasses
import logging
import math

from citrondeal.workflow import _events
from citrondeal.workflow import _workers

# A worker may carry out an order for so long after it was sent.
MAX_ORDER_DELAY_S = 12.0


@dataclasses.dataclass(slots=True)
class LateStarts:
    """Decides which runs may begin on a later incarnation of their worker.

    Parameters
    ----------
    lease_s : float
        Longest time for which an incarnation lets the tasks run.

    Attributes
    ----------
    unanswered : int
        Number of starts without a ticket that got no answer.
    """

    lease_s: float
    unanswered: int = 0

    def on_ordered(self, run, ticket):
        """Note that a start is sent.

        Parameters
        ----------
        run : Run
        ticket : str
            Empty if the queue needs none.
        """
        run.open_until = None if ticket else math.inf

    def on_unanswered(self, run, now):
        """Note that a start got no answer."""
        if run.open_until is None:
            return
        run.open_until = now + MAX_ORDER_DELAY_S
        self.unanswered += 1
        _events.log(
            logging.INFO,
            "task waits until its unanswered start is void",
            job=run.task.id.job,
            task=_events.task_name(run.task.id),
            run=run.number,
            worker=run.worker,
            wait_s=MAX_ORDER_DELAY_S,
        )

    def ends_at(self, worker, run):
        """Return when a run on a silent worker is over at the latest.

        A later incarnation that carries out its start takes the longest
        lease, and a renewal that is late may extend it.

        Parameters
        ----------
        worker : WorkerState
        run : Run
        """
        if run.open_until is None:
            return worker.lease_expires_at
        orders_void_at = run.open_until
        if worker.renewed_at is not None:
            orders_void_at = max(
                orders_void_at, worker.renewed_at + MAX_ORDER_DELAY_S
            )
        longest_s = self.lease_s * _workers.CLOCK_DRIFT_FACTOR
        longest_s += _workers.LEASE_MARGIN_S
        return max(worker.lease_expires_at, orders_void_at + longest_s)


def settle(run):
    """Note that a start was carried out, or never will be."""
    run.open_until = None


def is_open(run):
    """Return whether a later incarnation may still carry out a start."""
    return run.open_until is not None


def is_void(run, sent_at):
    """Return whether a report shows that a run it does not list is gone.

    Parameters
    ----------
    run : Run
    sent_at : float
        When the renewal that it answers was sent.
    """
    return run.open_until is None or sent_at > run.open_until
