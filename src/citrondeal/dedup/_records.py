"""Records of request ids: the state that a `Ledger` keeps for each id."""

import enum

from citrondeal.dedup import _model

# In ascending order of precedence: what a process reports of itself
# outweighs what its witness knows.
_STATUS_PRECEDENCE = (
    _model.ExecutionStatus.WITNESSED,
    _model.ExecutionStatus.REFUSED,
    _model.ExecutionStatus.RUNNING,
    _model.ExecutionStatus.UNKNOWN,
    _model.ExecutionStatus.DONE,
)


class State(enum.IntEnum):
    """State of an id at this gateway."""

    NONE = 0  # known only from other gateways
    CLAIMING = 1  # waits for the replies of a claim round
    QUEUED = 2
    PREPARING = 3  # waits for the reply to an intent
    READY = 4  # a second gateway has recorded the intent
    FORWARDED = 5
    RESOLVING = 6  # the forward failed; asks its receiver for the outcome
    DISPATCHED = 7
    DONE = 8
    UNKNOWN = 9
    REFUSED = 10  # answered "not run"
    YIELDED = 11  # ended without a run here, not answered "not run"


WAITING = (State.QUEUED, State.PREPARING, State.READY)
FORWARDING = (State.FORWARDED, State.RESOLVING)
STARTED = (*FORWARDING, State.DISPATCHED)


class ActiveAttempt:
    """State of an attempt in progress; dropped from the record at its end.

    Parameters
    ----------
    attempt : int
        Attempt number of the request.
    latest_creation_at : float
        Monotonic seconds; the id was created at this time or earlier.
    age_known : bool
        Whether the id itself shows its age (UUIDv7).
    now : float
        Monotonic seconds.
    """

    __slots__ = (
        "age_known",
        "attempt",
        "call_number",
        "claim",
        "claim_denied",
        "claim_round",
        "ended_claims",
        "forward_origin",
        "forward_target",
        "forwarded_at",
        "latest_creation_at",
        "settled_attempt",
        "superseded_by",
        "tried_witnesses",
        "waiters",
    )

    def __init__(self, attempt, latest_creation_at, age_known, now):
        self.attempt = attempt  # highest attempt that waits here
        self.waiters = 1
        self.latest_creation_at = latest_creation_at
        self.age_known = age_known
        # All attempts up to this number are handled here or have ended.
        self.settled_attempt = 0
        self.claim = 0  # number of the claim of this attempt
        self.ended_claims = {}  # (process, incarnation) -> claim number
        # Whether a claim was denied since the last intent was sent.
        self.claim_denied = False
        self.claim_round = None
        # (process, incarnation, number) of a forward received from there.
        self.forward_origin = None
        # (process, incarnation) to which this gateway forwarded.
        self.forward_target = None
        self.forwarded_at = now
        # Number of the intent, forward or claim in progress.
        self.call_number = 0
        # Highest attempt that claimed the id while it was forwarded.
        self.superseded_by = 0
        # Gateways to which no further intent is sent.
        self.tried_witnesses = None


class ClaimRound:
    """Replies to the claims of one attempt.

    Parameters
    ----------
    asked : frozenset of str
        Gateways to which the claim is sent.
    started_at : float
        Monotonic seconds.
    """

    __slots__ = ("asked", "complete_since", "failed", "replies", "started_at")

    def __init__(self, asked, started_at):
        self.asked = asked
        self.started_at = started_at
        self.replies = {}  # by gateway
        # Time since which the memory of each gateway is complete.
        self.complete_since = {}
        self.failed = set()

    @property
    def pending(self):
        """Number of gateways that have neither replied nor failed."""
        return len(self.asked) - len(self.replies) - len(self.failed)


class Record:
    """What is known of one id.

    There are as many records as `Config.max_ids` allows; to save memory,
    parts that most of them lack are None until they are needed.
    """

    __slots__ = ("active", "attempt", "claims", "process_status", "refused")
    __slots__ += ("state", "touched_at")

    def __init__(self, now):
        self.state = State.NONE
        self.attempt = 0  # highest attempt handled here
        self.refused = 0  # highest attempt answered "not run" here
        self.touched_at = now
        self.active = None  # ActiveAttempt
        # (process, incarnation) -> (number, attempt) of a claim, and
        # (process, incarnation, "fence") -> (forward number, 0) of a fence
        self.claims = None
        # (process, incarnation) -> ExecutionStatus
        self.process_status = None


def merge_status(process_status, key, status):
    """Set the status of a process unless a higher-ranking one is known."""
    known = process_status.get(key, status)
    process_status[key] = max(known, status, key=_STATUS_PRECEDENCE.index)
