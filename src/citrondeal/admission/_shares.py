"""Division of slots between classes.

A class is entitled to the next slot while it holds fewer slots than its
guaranteed number.  The fraction of that number is met over time: `credit`
integrates what the class was short of while it had requests queued, and
decides whether the number is rounded up or down.  Slots held are counted
rather than requests, so one class cannot gain by longer requests.
"""

import dataclasses
import math

from citrondeal.admission import _estimate

# Bound on the credit in slot seconds: rounding needs a part of one slot; a
# larger bound would let a class hold an extra slot long after a shortage.
CREDIT_LIMIT_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class ClassState:
    """Slots and queue of one class of one service."""

    name: str
    rank: int
    share: float
    queue: object
    running: int = 0
    remote: int = 0
    credit: float = 0.0
    rate: _estimate.Rate = dataclasses.field(default_factory=_estimate.Rate)


def advance(states, slots, elapsed_s):
    """Integrate the credit of each class over a period without events."""
    for state in states:
        if not state.queue.count:
            state.credit = 0.0
            continue
        due = state.share * slots
        held = min(state.running, math.floor(due) + 1)
        credit = state.credit + (due - held) * elapsed_s
        state.credit = max(-CREDIT_LIMIT_S, min(CREDIT_LIMIT_S, credit))


def entitled(state, slots):
    """Return whether the class holds less than its guaranteed slots."""
    # Shares like 0.1 + 0.2 miss whole numbers by rounding errors.
    whole = int(state.share * slots + 1e-9)
    return state.running < whole + (state.credit > 0.0)


def reserved(reserve, slots):
    """Return the number of slots that low-class work leaves free.

    With a single slot there is nothing to reserve.
    """
    # A tenth of a slot is not worth a whole one at low reserves.
    return 0 if slots < 2 else math.ceil(reserve * slots - 0.1)


def slow(running, slots, released_per_s, limit_s):
    """Return whether a class would free a slot more rarely than `limit_s`.

    By Little's law its mean time in a slot is ``running /
    released_per_s``; if it held all slots, one would become free every
    ``1 / slots`` of that.
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
        Slots that the last class leaves free.
    free : int
        Free slots, including the one to be given.
    """
    best = None
    spare = None
    for state in states:
        if not state.queue.count:
            continue
        due = state.share * slots
        if due > 0 and entitled(state, slots):
            filled = state.running / due
            if best is None or filled < best[0]:
                best = (filled, state)
        elif spare is None and (
            state is not states[-1] or free > reserved_slots
        ):
            spare = state
    return best[1] if best is not None else spare


def wait_s(states, state, slots, ahead_us, cost_us, now):
    """Expected wait in seconds behind `ahead_us` slot microseconds.

    The class is served by its guaranteed slots or by those that the others
    do not use, whichever is more; dispatches to other gateways add to the
    observed rate.  Without slots and dispatches nothing is known, and the
    result is 0.
    """
    left = slots
    for other in states:
        if other is state:
            continue
        due = other.share * slots
        if not other.queue.count:
            left -= other.running
        elif other.rank < state.rank:
            left -= max(due, other.running)
        else:
            left -= due
    speed = max(
        state.share * slots,
        left,
        state.rate.value(now) * cost_us / 1e6,
    )
    return ahead_us / 1e6 / speed if speed > 1e-6 else 0.0
