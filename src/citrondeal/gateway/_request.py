"""Requests in progress at one gateway."""

import dataclasses

import anyio
import result


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A caller or an origin gateway that waits for the end of a request.

    Attributes
    ----------
    origin : str
        Gateway that forwarded the request; empty for a caller.
    done : anyio.Event
        Set once `outcome` is there.
    outcome : result.Result or None
        A `callers.Reply` or an `errors.Failure`.
    """

    origin: str = ""
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    outcome: result.Result | None = None

    def resolve(self, outcome):
        """Set the outcome once."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()


@dataclasses.dataclass(eq=False, slots=True)
class ActiveRequest:
    """One request id that is handled here.

    Attributes
    ----------
    key : int
        Unique in this process, unlike the id of an idempotent request that
        was answered while its last attempt still runs.
    request_id, service, path, request_class, team : str
        As the caller sent them, with defaults filled in.
    idempotent : bool
        Whether it may run more than once.
    deadline : float
        Monotonic seconds by which the caller needs the answer.
    attempt_timeout_s : float
        Seconds for one attempt at an endpoint.
    headers : dict of str to str
        Headers for the endpoint.
    body : bytes
        Whole body.
    forwarded : bool
        Whether another gateway forwarded it.
    waiters : list of Waiter
        Who is to be answered.
    ready : anyio.Event
        Set once the ledger permits a local dispatch.
    ended : anyio.Event
        Set once the waiters have their answer.
    tries : int
        Dispatches and forwards begun.
    queued_at : float
        Monotonic seconds of the admission.
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
