"""Answers of runners to orders."""

import msgspec

from citrondeal import workflow


class _OrderReply(msgspec.Struct, rename="kebab"):
    clock_ms: float = 0.0
    reason: str = ""


_DECODER = msgspec.json.Decoder(_OrderReply)

_OUTCOME_BY_REASON = {
    "fence": workflow.OrderOutcome.FENCED,
    "old": workflow.OrderOutcome.OLD,
    "late": workflow.OrderOutcome.LATE,
    "room": workflow.OrderOutcome.NO_ROOM,
    "ticket": workflow.OrderOutcome.BAD_TICKET,
}


def outcome(reply):
    """Return the `workflow.OrderOutcome` that an answer tells.

    Parameters
    ----------
    reply : web.Reply
    """
    if reply.status == 200:
        return workflow.OrderOutcome.OK
    if reply.status == 421:
        return workflow.OrderOutcome.OTHER_INCARNATION
    if reply.status == 409:
        decoded = _decode(reply)
        if decoded is None:
            return workflow.OrderOutcome.UNKNOWN
        return _OUTCOME_BY_REASON.get(
            decoded.reason, workflow.OrderOutcome.REFUSED
        )
    if reply.status in (400, 429, 503):
        return workflow.OrderOutcome.REFUSED
    return workflow.OrderOutcome.UNKNOWN


def outcome_after_repeat(outcome):
    """Return the outcome of an order that was sent twice.

    The first attempt got no answer. It may still be carried out after the
    second was rejected, so the rejection is certain only if the worker has a
    newer owner.

    Parameters
    ----------
    outcome : citrondeal.workflow.OrderOutcome
        Outcome of the second attempt.

    Returns
    -------
    citrondeal.workflow.OrderOutcome
        ``UNKNOWN`` unless the second attempt settles it.
    """
    if outcome in (workflow.OrderOutcome.OK, workflow.OrderOutcome.FENCED):
        return outcome
    return workflow.OrderOutcome.UNKNOWN


def clock_ms(reply):
    """Return the runner's clock in an answer, in milliseconds, or None."""
    decoded = _decode(reply)
    return decoded.clock_ms if decoded and decoded.clock_ms > 0.0 else None


def _decode(reply):
    try:
        return _DECODER.decode(reply.body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return None
