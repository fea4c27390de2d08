"""What a ledger keeps of each request id."""

import enum


class State(enum.IntEnum):
    """State of an id at this gateway."""

    NONE = 0  # known only through other gateways
    CLAIMING = 1
    QUEUED = 2
    PREPARING = 3  # waits for the reply to an intent
    READY = 4  # a second gateway holds the intent
    FORWARDED = 5
    RESOLVING = 6  # the forward broke; its receiver is asked
    DISPATCHED = 7
    DONE = 8
    UNKNOWN = 9
    REFUSED = 10  # answered "not run"
    YIELDED = 11  # ended without a run here, not answered "not run"


WAITING = (State.QUEUED, State.PREPARING, State.READY)
ELSEWHERE = (State.FORWARDED, State.RESOLVING)
STARTED = (*ELSEWHERE, State.DISPATCHED)


class ActiveAttempt:
    """The part of a record that exists only while a request is handled."""

    __slots__ = (
        "attempt",
        "latest_creation_at",
        "claim",
        "denied",
        "displaced",
        "call_number",
        "origin",
        "over",
        "age_known",
        "claim_round",
        "sent_at",
        "settled",
        "target",
        "tried",
        "waiters",
    )

    def __init__(self, attempt, latest_creation_at, age_known, now):
        self.attempt = attempt  # highest attempt that waits here
        self.waiters = 1
        self.latest_creation_at = (
            latest_creation_at  # latest time at which the id can be created
        )
        self.age_known = age_known  # whether the id itself shows its age
        # All attempts up to this number are handled here or have ended.
        self.settled = 0
        self.claim = 0  # number of the claim of this attempt
        self.over = {}  # ended claims: (process, incarnation) -> number
        self.denied = False  # a claim was denied since the last intent
        self.claim_round = None
        self.origin = None  # (process, incarnation, number) of the forward
        self.target = None  # (process, incarnation) of our own forward
        self.sent_at = now  # time of that forward
        self.call_number = 0  # of the intent, forward or claim in progress
        self.displaced = 0  # attempt that claimed the id while forwarded
        self.tried = None  # witnesses that did not accept


class ClaimRound:
    """Replies to the claims of one attempt."""

    __slots__ = ("asked", "failed", "replies", "complete_since", "started_at")

    def __init__(self, asked, started_at):
        self.asked = asked
        self.started_at = started_at
        self.replies = {}
        self.complete_since = {}  # times since which the memories are complete
        self.failed = set()

    @property
    def pending(self):
        """Number of gateways that have neither replied nor failed."""
        return len(self.asked) - len(self.replies) - len(self.failed)


class Record:
    """What is known of one id; kept small, since there are many."""

    __slots__ = ("active", "attempt", "claims", "holders", "refused", "state")
    __slots__ += ("touched",)

    def __init__(self, now):
        self.state = State.NONE
        self.attempt = 0  # highest attempt handled here
        self.refused = 0  # highest attempt answered "not run" here
        self.touched = now
        self.active = None
        self.claims = None  # (process, incarnation) -> (number, attempt)
        self.holders = None  # (process, incarnation) -> ExecutionStatus
