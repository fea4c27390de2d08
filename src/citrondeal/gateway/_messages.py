"""Conversion of ids, replies and failures to and from peer messages."""

import base64
import json

from citrondeal import callers
from citrondeal import dedup
from citrondeal import errors
from citrondeal.peers.gen.peers import ttypes

HANDOVER_PART_BYTES = 1024 * 1024  # has to fit into a peer frame
MAX_HANDOVER_PARTS = 64  # limits the memory for records that are received

_REPLY_KEY = "__reply__"  # key of an encoded `callers.Reply` in a handover


def permit_to_message(permit):
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


def permit_from_message(message):
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


def intent_reply_to_message(reply):
    """Return the message of a `dedup.IntentReply`."""
    return ttypes.IntentReply(reply.verdict.value, reply.attempt)


def intent_reply_from_message(message):
    """Return the `dedup.IntentReply` of a message."""
    return dedup.IntentReply(dedup.Verdict(message.verdict), message.attempt)


def claim_to_message(request_id, claim):
    """Return the message of a `dedup.Claim`."""
    return ttypes.Claim(
        request_id,
        claim.process,
        claim.incarnation,
        claim.number,
        claim.attempt,
        claim.fence,
    )


def claim_from_message(message):
    """Return the `dedup.Claim` of a message."""
    return dedup.Claim(
        message.process,
        message.incarnation,
        message.number,
        message.attempt,
        message.fence,
    )


def claim_reply_to_message(reply):
    """Return the message of a `dedup.ClaimReply`."""
    answer = None if reply.answer is None else reply_to_message(reply.answer)
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


def claim_reply_from_message(message):
    """Return the `dedup.ClaimReply` of a message."""
    answer = (
        None if message.answer is None else reply_from_message(message.answer)
    )
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


def reply_to_message(reply):
    """Return the message of a `callers.Reply`."""
    return ttypes.Reply(reply.status, dict(reply.headers), reply.body)


def reply_from_message(message):
    """Return the `callers.Reply` of a message."""
    return callers.Reply(message.status, dict(message.headers), message.body)


def failure_to_message(failure):
    """Return the message of an `errors.Failure`."""
    return ttypes.Fault(
        failure.kind.value, failure.message, failure.retry_after_s
    )


def failure_from_message(message):
    """Return the `errors.Failure` of a message."""
    try:
        kind = errors.Kind(message.kind)
    except ValueError:
        # The kind was added in a newer version; whether the request has run
        # is unknown, as for an internal error.
        kind = errors.Kind.INTERNAL
    return errors.Failure(kind, message.message, message.retry_after_s)


def handover_messages(state):
    """Return the messages that hand over exported id records.

    Parameters
    ----------
    state : dict
        Result of `dedup.Ledger.export`, with answers as `callers.Reply`.

    Returns
    -------
    list of ttypes.Handover
        Parts in order, each of which fits into a peer frame.
    """
    text = json.dumps(
        state, default=_encode_reply, separators=(",", ":")
    ).encode()
    parts = [
        text[start : start + HANDOVER_PART_BYTES]
        for start in range(0, len(text), HANDOVER_PART_BYTES)
    ]
    return [
        ttypes.Handover(number, len(parts), part)
        for number, part in enumerate(parts)
    ]


class HandoverAssembler:
    """Assembles id records from the parts that other gateways send."""

    def __init__(self):
        self._parts = {}

    def add(self, sender, message):
        """Add one part and return the records once they are complete.

        Parameters
        ----------
        sender : str
            Gateway that hands over its records.
        message : ttypes.Handover
            One of its parts, which must arrive in order.

        Returns
        -------
        dict or None
            The records, or None while parts are missing.

        Raises
        ------
        ValueError
            If a part is missing or there are too many parts. The parts
            received so far are then discarded.
        """
        parts = self._parts.setdefault(sender, [])
        if message.part == 0:
            parts.clear()
        if message.part != len(parts) or message.parts > MAX_HANDOVER_PARTS:
            del self._parts[sender]
            raise ValueError(
                f"handover of {sender}: part {message.part} of {message.parts}"
                f" received, expected part {len(parts)} of at most"
                f" {MAX_HANDOVER_PARTS}"
            )
        parts.append(message.state)
        if len(parts) < message.parts:
            return None
        del self._parts[sender]
        return json.loads(b"".join(parts), object_hook=_decode_reply)


def _encode_reply(value):
    body = base64.b64encode(value.body).decode()
    return {_REPLY_KEY: [value.status, value.headers, body]}


def _decode_reply(value):
    if _REPLY_KEY not in value:
        return value
    status, headers, body = value[_REPLY_KEY]
    return callers.Reply(status, headers, base64.b64decode(body))
