"""Settings, requests and results of admission."""

import dataclasses

from citrondeal import errors

# Most urgent first; the position is the rank of the class.
CLASSES = ("urgent", "normal", "low")


@dataclasses.dataclass(frozen=True)
class ServiceConfig:
    """Settings of one service.

    Parameters
    ----------
    share_urgent, share_normal, share_low : float
        Guaranteed part of the slots and of the queue, 0 to 1; the sum is
        at most 1.
    reserve : float
        Part of the slots, 0 to 1, that requests of the low class above its
        guaranteed share leave free, so that urgent requests find a slot
        while long requests of the low class occupy the others.
    reserve_long : float
        Reserve while requests of the low class are long.  Urgent and normal
        requests then wait long for a slot that the low class holds, so the
        reserve must cover the variation of their own number.
    urgent_wait_s : float
        Target for the wait of urgent requests, seconds.  `reserve_long` is
        in force while slots, if the low class held them all, would become
        free more rarely than this.
    flood_wait_s : float
        Expected wait of the low class, seconds, from which on `reserve` is
        fully in force; below, it is in force in proportion to the wait.  A
        shorter queue is ordinary high load, at which the full reserve would
        make the queue of the low class grow without bound.
    queue_count : int
        Bound on queued requests.
    queue_bytes : int
        Bound on queued bytes of bodies.
    wait_limit_s : float
        Longest wait in the queue, seconds, also for requests without a
        deadline.
    retry_ratio : float
        Retries allowed per success.
    retry_min_per_s : float
        Retries per second allowed without successes, so that a service
        that recovers from an outage is tried at all.
    retry_burst : float
        Bound on retries that the budget accumulates.
    team_weights : dict of str to int
        Weights of teams, 1 or more; 1 for teams that are not listed.
    """

    share_urgent: float = 0.4
    share_normal: float = 0.4
    share_low: float = 0.2
    reserve: float = 0.15
    reserve_long: float = 0.4
    urgent_wait_s: float = 0.02
    flood_wait_s: float = 2.0
    queue_count: int = 2000
    queue_bytes: int = 4 << 20
    wait_limit_s: float = 30.0
    retry_ratio: float = 0.1
    retry_min_per_s: float = 0.5
    retry_burst: float = 10.0
    team_weights: dict = dataclasses.field(default_factory=dict)

    def __post_init__(self):
        """Reject shares, reserves and weights outside their ranges."""
        shares = self.shares
        if min(shares) < 0 or sum(shares) > 1 + 1e-9:
            raise ValueError(
                f"shares of the classes {CLASSES} are {shares}, expected at"
                " least 0 each and at most 1 in sum"
            )
        if not (0 <= self.reserve < 1 and 0 <= self.reserve_long < 1):
            raise ValueError(
                f"reserve is {self.reserve} and reserve_long is"
                f" {self.reserve_long}, expected at least 0 and below 1"
            )
        if any(weight < 1 for weight in self.team_weights.values()):
            raise ValueError(
                f"a team weight is {min(self.team_weights.values())}, expected"
                " at least 1"
            )

    @property
    def shares(self):
        """Guaranteed shares of the classes, in the order of `CLASSES`."""
        return (self.share_urgent, self.share_normal, self.share_low)


@dataclasses.dataclass(frozen=True)
class Config:
    """Bounds over all services.

    Parameters
    ----------
    total_count : int
        Bound on queued requests of all services.
    total_bytes : int
        Bound on queued bytes of bodies of all services; the memory limit
        of a daemon is 32 MB.
    unit_bytes : int
        Bytes per unit of queue space.  A request occupies
        ``1 + size_bytes // unit_bytes`` units, which makes requests of any
        size comparable.  The number of units is limited to the smaller of
        the bound on requests and the bound on bytes divided by
        `unit_bytes`, so that both bounds hold.
    services : int
        Bound on configured services.
    """

    total_count: int = 4000
    total_bytes: int = 8 << 20
    unit_bytes: int = 2048
    services: int = 256


@dataclasses.dataclass(eq=False, slots=True)
class Request:
    """A request to queue.

    Parameters
    ----------
    key : str or int
        Unique among queued and dispatched requests of this gateway.
    service : str
        Name of the service.
    request_class : str
        One of `CLASSES`.
    team : str
        Team that the request is counted for.
    size_bytes : int
        Bytes held while it is queued.
    deadline : float, optional
        Monotonic time, in seconds, by which an answer is needed.
    forwarded : bool
        Whether another gateway forwarded it; it is then taken only for an
        endpoint of this gateway.
    payload : object
        Kept for the owner of the request; not used here.
    """

    key: object
    service: str
    request_class: str = "normal"
    team: str = ""
    size_bytes: int = 0
    deadline: float | None = None
    forwarded: bool = False
    payload: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A queued request that was removed, with the reason; it has not run."""

    request: Request
    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is queued; `refused` lists requests evicted for it."""

    refused: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TakeResult:
    """Request to dispatch, or None, and expired requests removed before it."""

    request: Request | None
    refused: tuple = ()
