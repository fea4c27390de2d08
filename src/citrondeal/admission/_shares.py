"""Division of slots between classes.

A class is entitled to the next slot while it holds fewer slots than its
guaranteed number.  That number need not be whole; its fraction is met on
average over time: `credit` integrates the shortage of the class while it has
requests queued, and its sign decides whether the number is rounded up or
down.  The division counts slots in use rather than requests, so that a class
cannot gain by longer requests.
"""

import dataclasses
import math

from citrondeal.admission import _estimate

# Bound on the credit in slot seconds.  Rounding needs only a part of one
# slot; a larger bound would let a class hold an extra slot long after a
# shortage has ended.
CREDIT_LIMIT_SLOT_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class ClassState:
    """Slots and queue of one class of one service.

    `running` counts slots of this gateway, `remote` requests dispatched to
    other gateways; `credit` is in slot seconds.
    """

    name: str
    rank: int
    share: float
    queue: object
    running: int = 0
    remote: int = 0
    credit: float = 0.0
    dispatch_rate: _estimate.Rate = dataclasses.field(
        default_factory=_estimate.Rate
    )


def advance(states, slots, elapsed_s):
    """Integrate the credit of each class over a period without events."""
    for state in states:
        if not state.queue.count:
            state.credit = 0.0
            continue
        guaranteed = state.share * slots
        held = min(state.running, math.floor(guaranteed) + 1)
        credit = state.credit + (guaranteed - held) * elapsed_s
        state.credit = max(
            -CREDIT_LIMIT_SLOT_S, min(CREDIT_LIMIT_SLOT_S, credit)
        )


def entitled(state, slots):
    """Return whether the class holds less than its guaranteed slots."""
    # A rounding error may put the product just below a whole number, as with
    # 0.29 * 100.
    whole = int(state.share * slots + 1e-9)
    return state.running < whole + (state.credit > 0.0)


def reserved(reserve, slots):
    """Return the number of slots that low-class work leaves free.

    With a single slot there is nothing to reserve.
    """
    # Up to a tenth of a slot is not rounded up, so that a low reserve does
    # not cost a whole slot.
    return 0 if slots < 2 else math.ceil(reserve * slots - 0.1)


def frees_slots_slowly(running, slots, released_per_s, limit_s):
    """Return whether a class would free a slot more rarely than `limit_s`.

    By Little's law the mean time of its requests in a slot is ``running /
    released_per_s``; if the class held all slots, one of them would become
    free every ``1 / slots`` of that time.
    """
    return running > released_per_s * slots * limit_s


def choose(states, slots, reserved_slots, free):
    """Return the class that gets the next free slot, or None.

    Parameters
    ----------
    states : list of ClassState
        Classes, most urgent first.
    slots : int
        Slots of this gateway.
    reserved_slots : int
        Slots that the least urgent class leaves free.
    free : int
        Free slots, including the one to be assigned.
    """
    best_entitled = None
    best_other = None
    for state in states:
        if not state.queue.count:
            continue
        guaranteed = state.share * slots
        if guaranteed > 0 and entitled(state, slots):
            fill_ratio = state.running / guaranteed
            if best_entitled is None or fill_ratio < best_entitled[0]:
                best_entitled = (fill_ratio, state)
        elif best_other is None and (
            state is not states[-1] or free > reserved_slots
        ):
            best_other = state
    return best_entitled[1] if best_entitled is not None else best_other


def wait_s(states, state, slots, ahead_us, cost_us, now):
    """Return the expected wait of a new request in seconds.

    `ahead_us` is the slot time, in microseconds, of the requests before it.
    The class is served by its guaranteed slots, by the slots that the other
    classes leave to it, or at the observed dispatch rate, whichever is most;
    dispatches to other gateways count in that rate.  Without slots and
    dispatches nothing is known, and the result is 0.
    """
    available = slots
    for other in states:
        if other is state:
            continue
        guaranteed = other.share * slots
        if not other.queue.count:
            available -= other.running
        elif other.rank < state.rank:
            available -= max(guaranteed, other.running)
        else:
            available -= guaranteed
    serving_slots = max(
        state.share * slots,
        available,
        state.dispatch_rate.value(now) * cost_us / 1e6,
    )
    return ahead_us / 1e6 / serving_slots if serving_slots > 1e-6 else 0.0
