"""Codec of frames: a 4-byte big-endian length and a Thrift compact message."""

import struct

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TTransport

from citrondeal.peers.gen.peers import ttypes

FRAME_LIMIT_BYTES = 2 * 1024 * 1024  # without the length prefix
PROTOCOL_VERSION = 1
HEADER = struct.Struct(">I")

_DECODE_ERRORS = (
    Thrift.TException,
    AttributeError,
    EOFError,
    IndexError,
    OverflowError,
    TypeError,
    ValueError,
)

# Fields of replies that their receivers compare or iterate over. One member
# that left them out would end an activity of each member that asks it. Fields
# that a later version adds must not be listed, or older members are refused.
_REQUIRED_FIELDS = {
    ttypes.ProbeReply: ("epoch", "owner", "store_age_s", "owner_age_s"),
    ttypes.RecordsReply: ("offsets", "data"),
    ttypes.TicketReply: ("tickets", "valid_s"),
    ttypes.JobState: ("state",),
    ttypes.Backlog: ("waiting",),
}


class FrameError(Exception):
    """Bytes or a message that are not a valid frame of this protocol."""


def encode(message):
    """Return one frame.

    Parameters
    ----------
    message : ttypes.Message
        Message with exactly one field of its body set.

    Returns
    -------
    bytes
        Length prefix and payload.

    Raises
    ------
    FrameError
        If the payload is larger than `FRAME_LIMIT_BYTES`.
    """
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    payload = buffer.getvalue()
    if len(payload) > FRAME_LIMIT_BYTES:
        raise FrameError(
            f"message of {len(payload)} bytes is larger than"
            f" {FRAME_LIMIT_BYTES} bytes"
        )
    return HEADER.pack(len(payload)) + payload


def decode(payload):
    """Return the message in `payload`.

    Parameters
    ----------
    payload : bytes
        A frame without its length prefix.

    Returns
    -------
    ttypes.Message

    Raises
    ------
    FrameError
        If the payload is not a message, its body is empty, or a required
        field of a reply is missing.
    """
    message = ttypes.Message()
    buffer = TTransport.TMemoryBuffer(payload)
    try:
        message.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    except _DECODE_ERRORS as exc:
        raise FrameError(f"message cannot be decoded: {exc}") from exc
    if message.call is None or message.body is None:
        raise FrameError(
            f"message without call id or body: call id {message.call}"
        )
    value = body_value(message)
    if value is None:
        raise FrameError(
            f"message with an empty or unknown body: call id {message.call}"
        )
    for name in _REQUIRED_FIELDS.get(type(value), ()):
        if getattr(value, name) is None:
            raise FrameError(f"{type(value).__name__} without {name}")
    return message


def body_value(message):
    """Return the value of the body's field that is set, or None."""
    body = message.body
    for name in ttypes.Body.__slots__:
        value = getattr(body, name)
        if value is not None:
            return value
    return None


_BODY_FIELDS = {
    ttypes.Hello: "hello",
    ttypes.Fault: "fault",
    ttypes.Forward: "forward",
    ttypes.Reply: "reply",
    ttypes.Intent: "intent",
    ttypes.Claim: "claim",
    ttypes.ClaimReply: "claim_reply",
    ttypes.Promise: "promise",
    ttypes.PromiseReply: "promise_reply",
    ttypes.Load: "load",
    ttypes.Records: "records",
    ttypes.RecordsReply: "records_reply",
    ttypes.Ok: "ok",
    ttypes.IntentReply: "intent_reply",
    ttypes.Handover: "handover",
    ttypes.JobQuery: "job_query",
    ttypes.Document: "document",
    ttypes.Probe: "probe",
    ttypes.ProbeReply: "probe_reply",
    ttypes.TicketQuery: "ticket_query",
    ttypes.TicketReply: "ticket_reply",
    ttypes.JobStateQuery: "job_state_query",
    ttypes.JobState: "job_state",
    ttypes.BacklogQuery: "backlog_query",
    ttypes.Backlog: "backlog",
    ttypes.Relay: "relay",
}


def wrap(value, call, is_reply=False):
    """Return the message that carries `value` as its body.

    Parameters
    ----------
    value : object
        Instance of one of the generated body types.
    call : int
        Id that pairs a reply with its request; 0 for one-way messages.
    is_reply : bool
        Whether the message answers `call`.

    Returns
    -------
    ttypes.Message
    """
    body = ttypes.Body(**{_BODY_FIELDS[type(value)]: value})
    return ttypes.Message(call=call, is_reply=is_reply, body=body)
