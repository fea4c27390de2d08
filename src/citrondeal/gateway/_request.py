"""State of the requests in progress at one gateway."""

import dataclasses

import anyio
import result


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """Caller or origin gateway that waits for the outcome of a request.

    Attributes
    ----------
    origin : str
        Gateway that forwarded the request; empty for a caller.
    done : anyio.Event
        Set together with `outcome`.
    outcome : result.Result or None
        Contains a `callers.Reply` or an `errors.Failure`.
    """

    origin: str = ""
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    outcome: result.Result | None = None

    def resolve(self, outcome):
        """Set the outcome; later calls have no effect."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()


@dataclasses.dataclass(eq=False, slots=True)
class ActiveRequest:
    """Request id that this gateway handles.

    Attributes
    ----------
    key : int
        Unique in this process. The id is not: an idempotent request may be
        submitted again after its answer while its last attempt still runs.
    request_id, service, path, request_class, team : str
        As the caller sent them, with defaults filled in.
    idempotent : bool
        Whether the request may run more than once.
    deadline : float
        Monotonic seconds by which the caller needs the answer.
    attempt_timeout_s : float
        Seconds for one attempt at an endpoint.
    headers : dict of str to str
        Headers for the endpoint.
    body : bytes
        Complete body.
    forwarded : bool
        Whether another gateway forwarded the request.
    waiters : list of Waiter
        Callers and origin gateways to answer.
    ready : anyio.Event
        Set once the ledger permits a local dispatch.
    ended : anyio.Event
        Set once the waiters have the outcome.
    tries : int
        Number of dispatches and forwards so far.
    queued_at : float
        Monotonic seconds at which the request entered the queue.
    """

    key: int
    request_id: str
    service: str
    path: str
    request_class: str
    team: str
    idempotent: bool
    deadline: float
    attempt_timeout_s: float
    headers: dict
    body: bytes
    forwarded: bool = False
    waiters: list = dataclasses.field(default_factory=list)
    ready: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    tries: int = 0
    queued_at: float = 0.0
