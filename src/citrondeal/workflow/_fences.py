"""Fences of the orders to a worker, which tell its incarnations apart.

A worker does nothing for an order whose fence is lower than the highest that
it has seen. An owner raises the fence of a worker whenever it may have started
again: once the worker has answered under the new one, no order that was sent
before can take effect there.
"""

from citrondeal.workflow import _messages

# How often an owner can raise the fence of one worker. With an epoch of up to
# 2^33 the fence is below 2^53, from where readers of JSON may round.
FENCES_PER_EPOCH = 2**20


def first_fence(epoch):
    """Return the lowest fence of an epoch, above those of earlier ones."""
    return epoch * FENCES_PER_EPOCH


def raise_fence(fence):
    """Return the next fence of an epoch, or the same if it was the last."""
    raised = fence + 1
    return raised if raised % FENCES_PER_EPOCH else fence


def settle(outcome, fence, worker):
    """Return what the answer to an order tells after the fence was raised.

    An order under a lower fence than the present one may have been refused
    because of this owner's own later orders. It may have been sent twice, and
    the first copy carried out before.

    Parameters
    ----------
    outcome : OrderOutcome
    fence : int
        Fence of the order.
    worker : WorkerState or None

    Returns
    -------
    OrderOutcome
        ``FENCED`` only if the worker knows a newer owner.
    """
    is_own = worker is not None and fence < worker.fence
    if outcome is _messages.OrderOutcome.FENCED and is_own:
        return _messages.OrderOutcome.UNKNOWN
    return outcome
