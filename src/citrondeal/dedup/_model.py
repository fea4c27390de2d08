"""Settings, messages between ledgers, and actions of a ledger."""

import dataclasses
import enum
import re

from citrondeal import errors

# `uuid.UUID` takes about three times as long for this check.
_UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)

ID_WINDOW_S = 600.0  # seconds for which an id may be submitted again


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
        Seconds of clock skew between callers and gateways, and of lag of
        the gateway list. A gateway whose memory is shorter than the age of
        an id plus this value does not witness that id.
    max_ids : int
        Number of remembered ids. The oldest finished ids are forgotten
        beyond it, which shortens the memory that the ledger reports.
    answer_bytes : int
        Bytes of complete answers that are kept.
    max_claimants : int
        Number of claimant incarnations that are remembered for one id.
    suspect_s : float
        Seconds for which a gateway that failed as witness is chosen last.
    """

    window_s: float = ID_WINDOW_S
    margin_s: float = 15.0
    skew_s: float = 3.0
    max_ids: int = 50_000
    answer_bytes: int = 8 * 1024 * 1024
    max_claimants: int = 64
    suspect_s: float = 5.0


class ExecutionStatus(enum.StrEnum):
    """What a gateway reports about the handling of an id by a process."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    # The process may have dispatched the id; only that incarnation of it
    # can tell.
    WITNESSED = "witnessed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The part of an intent or a forward that decides its acceptance.

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
        and the highest such number.
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
    # The receiver's memory is too short to know whether the id is barred.
    YOUNG = "young"


@dataclasses.dataclass(frozen=True, slots=True)
class IntentReply:
    """Reply to an intent.

    Parameters
    ----------
    verdict : Verdict
        Whether the receiver now holds the intent, or why not.
    attempt : int
        Highest attempt that has claimed the id at the receiver.
    """

    verdict: Verdict
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Asks what is known of an id and bars every other attempt of it.

    Parameters
    ----------
    process, incarnation : str
        The claimant.
    number : int
        Increases with each claim of this incarnation.
    attempt : int
        Attempt number of the claimant's request.
    fence : int
        If not 0, nothing is claimed: the receiver only refuses forwards
        from this sender up to this number that it has not dispatched.
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
        Seconds for which its memory is complete.
    claims_over : int
        All claims of the replying incarnation on this id up to this
        number have ended without a dispatch; 0 if one is active.
    refused : int
        Highest attempt that it answered with a not-run refusal.
    seen : tuple of (str, str, ExecutionStatus)
        Handling of the id by process and incarnation.
    claims : tuple of (str, str, int, int)
        Claims on the id: process, incarnation, number, attempt.
    known : tuple of str
        Gateways listed now or within the window.
    inherited : tuple of (str, str, float)
        Processes whose records were imported: name, incarnation and
        seconds for which those records are complete.
    answer : object
        The complete answer, if the id is done and the answer is kept.
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
    """The caller waits for the answer of the attempt in progress here."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """A second gateway holds the intent: `Ledger.start` may be called."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The first byte may be sent to an endpoint now."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer all that wait for this id here with a complete answer."""

    request_id: str
    answer: object


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer all that wait for this id here with a failure."""

    request_id: str
    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class RejectForward:
    """Answer one forward call with a failure; others keep waiting."""

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
    """Return the creation time that a UUIDv7 shows.

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
