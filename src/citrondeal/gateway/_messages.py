"""Conversion between the types of `dedup` and the peer messages."""

import base64
import json

from citrondeal import callers
from citrondeal import dedup
from citrondeal import errors
from citrondeal.peers.gen.peers import ttypes

HANDOVER_PART = 1024 * 1024  # bytes; fits a peer frame
HANDOVER_PARTS = 64  # bounds the memory for records that are handed over

_REPLY = "__reply__"  # marks an encoded answer in a handover


def permit_out(permit):
    """Return the message of a `dedup.Permit`."""
    over = [ttypes.ClaimRef(p, i, n, 0) for p, i, n in permit.over]
    return ttypes.Permit(
        permit.process,
        permit.incarnation,
        permit.attempt,
        permit.claim,
        over,
        permit.age_s,
    )


def permit_in(message):
    """Return the `dedup.Permit` of a message."""
    over = tuple((c.process, c.incarnation, c.number) for c in message.over)
    return dedup.Permit(
        message.process,
        message.incarnation,
        message.attempt,
        message.claim,
        over,
        message.age_s,
    )


def intent_reply_out(reply):
    """Return the message of a `dedup.IntentReply`."""
    return ttypes.IntentReply(reply.verdict.value, reply.attempt)


def intent_reply_in(message):
    """Return the `dedup.IntentReply` of a message."""
    return dedup.IntentReply(dedup.Verdict(message.verdict), message.attempt)


def claim_out(request_id, claim):
    """Return the message of a `dedup.Claim`."""
    return ttypes.Claim(
        request_id,
        claim.process,
        claim.incarnation,
        claim.number,
        claim.attempt,
        claim.fence,
    )


def claim_in(message):
    """Return the `dedup.Claim` of a message."""
    return dedup.Claim(
        message.process,
        message.incarnation,
        message.number,
        message.attempt,
        message.fence,
    )


def claim_reply_out(reply):
    """Return the message of a `dedup.ClaimReply`."""
    answer = None if reply.answer is None else reply_out(reply.answer)
    return ttypes.ClaimReply(
        reply.process,
        reply.incarnation,
        reply.up_for_s,
        reply.claims_over,
        reply.refused,
        [ttypes.SeenBy(p, i, s.value) for p, i, s in reply.seen],
        [ttypes.ClaimRef(*claim) for claim in reply.claims],
        list(reply.known),
        [ttypes.Inherited(*row) for row in reply.inherited],
        answer,
    )


def claim_reply_in(message):
    """Return the `dedup.ClaimReply` of a message."""
    answer = None if message.answer is None else reply_in(message.answer)
    return dedup.ClaimReply(
        process=message.process,
        incarnation=message.incarnation,
        up_for_s=message.up_for_s,
        claims_over=message.claims_over,
        refused=message.refused,
        seen=tuple(
            (s.process, s.incarnation, dedup.ExecutionStatus(s.state))
            for s in message.seen
        ),
        claims=tuple(
            (c.process, c.incarnation, c.number, c.attempt)
            for c in message.claims
        ),
        known=tuple(message.known),
        inherited=tuple(
            (r.process, r.incarnation, r.complete_for_s)
            for r in message.inherited
        ),
        answer=answer,
    )


def reply_out(reply):
    """Return the message of a `callers.Reply`."""
    return ttypes.Reply(reply.status, dict(reply.headers), reply.body)


def reply_in(message):
    """Return the `callers.Reply` of a message."""
    return callers.Reply(message.status, dict(message.headers), message.body)


def fault_out(failure):
    """Return the message of an `errors.Failure`."""
    return ttypes.Fault(
        failure.kind.value, failure.message, failure.retry_after_s
    )


def fault_in(message):
    """Return the `errors.Failure` of a message."""
    try:
        kind = errors.Kind(message.kind)
    except ValueError:
        # A kind of a newer version says nothing about execution.
        kind = errors.Kind.INTERNAL
    return errors.Failure(kind, message.message, message.retry_after_s)


def handover_out(state):
    """Return the messages of exported id records.

    Parameters
    ----------
    state : dict
        Result of `dedup.Ledger.export`; its answers are `callers.Reply`.

    Returns
    -------
    list of ttypes.Handover
        Parts, each of which fits into a frame.
    """
    text = json.dumps(state, default=_encode, separators=(",", ":")).encode()
    parts = [
        text[start : start + HANDOVER_PART]
        for start in range(0, len(text), HANDOVER_PART)
    ]
    return [
        ttypes.Handover(number, len(parts), part)
        for number, part in enumerate(parts)
    ]


class Handovers:
    """Collects the parts of records that other gateways hand over."""

    def __init__(self):
        self._parts = {}

    def add(self, sender, message):
        """Add one part.

        Parameters
        ----------
        sender : str
            Process that hands over.
        message : ttypes.Handover
            One of its parts, which come in order.

        Returns
        -------
        dict or None
            The records once all parts are there.

        Raises
        ------
        ValueError
            If a part is missing or the records are too large.
        """
        parts = self._parts.setdefault(sender, [])
        if message.part == 0:
            parts.clear()
        if message.part != len(parts) or message.parts > HANDOVER_PARTS:
            del self._parts[sender]
            raise ValueError("unexpected part of a handover")
        parts.append(message.state)
        if len(parts) < message.parts:
            return None
        del self._parts[sender]
        return json.loads(b"".join(parts), object_hook=_decode)


def _encode(value):
    body = base64.b64encode(value.body).decode()
    return {_REPLY: [value.status, value.headers, body]}


def _decode(value):
    if _REPLY not in value:
        return value
    status, headers, body = value[_REPLY]
    return callers.Reply(status, headers, base64.b64decode(body))
