"""Settings of a ledger, messages between ledgers, and ledger actions."""

import dataclasses
import enum
import re

from citrondeal import errors

# `uuid.UUID` takes about three times as long for this check.
_UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)

# Time after the creation of an id within which it may be submitted again.
ID_WINDOW_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Settings of a ledger.

    Parameters
    ----------
    window_s : float
        Seconds for which ids are remembered and may be resubmitted.
    margin_s : float
        Seconds by which records outlive the window. Covers the time of a
        claim round and twice `skew_s`.
    skew_s : float
        Upper bound, in seconds, of the clock skew between callers and
        gateways and of the lag of the gateway list. A gateway whose memory
        is shorter than the age of an id plus this value does not witness a
        first attempt of that id.
    max_ids : int
        Number of remembered ids. Beyond it the oldest finished ids are
        forgotten, and the ledger reports a shorter memory.
    answer_bytes : int
        Bytes of complete answers that are cached.
    max_claimants : int
        Number of claimant incarnations that are remembered for one id.
    suspect_s : float
        Seconds for which a gateway that did not reply to an intent is
        chosen as witness only if no other gateway is left.
    """

    window_s: float = ID_WINDOW_S
    margin_s: float = 15.0
    skew_s: float = 3.0
    max_ids: int = 50_000
    answer_bytes: int = 8 * 1024 * 1024
    max_claimants: int = 64
    suspect_s: float = 5.0


class ExecutionStatus(enum.StrEnum):
    """Status of an id at one process, as a gateway reports it."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    # The process may have dispatched the id; only the same incarnation of
    # that process knows whether it did.
    WITNESSED = "witnessed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Data on which the acceptance of an intent or a forward depends.

    Parameters
    ----------
    process, incarnation : str
        The sender.
    attempt : int
        Attempt number; resubmissions without a number count as 2.
    claim : int
        Number of the sender's successful claim, 0 for a first attempt.
    over : tuple of (str, str, int)
        Claims that the sender knows to have ended: process, incarnation
        and the highest number of such a claim.
    age_s : float
        Lower bound of the id's age in seconds.
    """

    process: str
    incarnation: str
    attempt: int
    claim: int
    over: tuple
    age_s: float


class Verdict(enum.StrEnum):
    """Answer to an intent."""

    ACCEPTED = "accepted"
    BARRED = "barred"
    SEEN = "seen"
    # The receiver's memory is too short to tell whether the id is barred.
    YOUNG = "young"


@dataclasses.dataclass(frozen=True, slots=True)
class IntentReply:
    """Reply to an intent.

    Parameters
    ----------
    verdict : Verdict
        Whether the receiver has recorded the intent, or why not.
    attempt : int
        Highest attempt that has claimed the id at the receiver.
    """

    verdict: Verdict
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Request for what is known of an id; bars all other attempts of it.

    Parameters
    ----------
    process, incarnation : str
        The claimant.
    number : int
        Increases with each claim of this incarnation.
    attempt : int
        Attempt number of the claimant's request.
    fence : int
        If not 0, nothing is claimed: the receiver only refuses those
        forwards from this sender, up to this number, that it has not
        dispatched.
    """

    process: str
    incarnation: str
    number: int
    attempt: int
    fence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim.

    Parameters
    ----------
    process, incarnation : str
        The gateway that replies.
    up_for_s : float
        Seconds for which the memory of that gateway is complete.
    claims_over : int
        All claims of the replying incarnation on this id up to this
        number have ended without a dispatch; 0 if one is active.
    refused : int
        Highest attempt that it refused as not run.
    seen : tuple of (str, str, ExecutionStatus)
        Status of the id by process and incarnation.
    claims : tuple of (str, str, int, int)
        Claims on the id: process, incarnation, number, attempt.
    known : tuple of str
        Gateways listed now or within the window.
    inherited : tuple of (str, str, float)
        Processes whose records were imported: name, incarnation and
        seconds for which these records are complete.
    answer : object
        The complete answer, if the id is done and the answer is cached.
    """

    process: str
    incarnation: str
    up_for_s: float
    claims_over: int = 0
    refused: int = 0
    seen: tuple = ()
    claims: tuple = ()
    known: tuple = ()
    inherited: tuple = ()
    answer: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """The request may be queued and routed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The caller waits for the answer to the attempt in progress here."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """A second gateway has recorded the intent: call `Ledger.start`."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The first byte may be sent to an endpoint now."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Send a complete answer to all that wait for this id here."""

    request_id: str
    answer: object


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send a failure to all that wait for this id here."""

    request_id: str
    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class RejectForward:
    """Send a failure to one forward call; others keep waiting."""

    request_id: str
    gateway: str
    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Remove the request from the queue: nobody waits for it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendIntent:
    """Send an intent to a gateway."""

    request_id: str
    gateway: str
    number: int
    permit: Permit


@dataclasses.dataclass(frozen=True, slots=True)
class SendClaims:
    """Send a claim to each of the gateways."""

    request_id: str
    gateways: tuple
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class SendForward:
    """Forward the request to a gateway."""

    request_id: str
    gateway: str
    number: int
    permit: Permit


@dataclasses.dataclass(frozen=True, slots=True)
class SendIntentReply:
    """Reply to the intent of a gateway."""

    request_id: str
    gateway: str
    reply: IntentReply


@dataclasses.dataclass(frozen=True, slots=True)
class SendClaimReply:
    """Reply to the claim of a gateway."""

    request_id: str
    gateway: str
    reply: ClaimReply


def created_unix(request_id):
    """Return the creation time that a UUIDv7 contains.

    Only the canonical text form counts: one in 64 random strings of 32
    hexadecimal digits has the version and variant bits of a UUIDv7.

    Parameters
    ----------
    request_id : str
        Id of a request.

    Returns
    -------
    float or None
        Unix seconds, or None if the id is not a UUIDv7.

    Examples
    --------
    >>> created_unix("018bcfe5-6800-7000-8000-000000000001")
    1700000000.0
    """
    if _UUID7.fullmatch(request_id) is None:
        return None
    return int(request_id[:8] + request_id[9:13], 16) / 1000.0
