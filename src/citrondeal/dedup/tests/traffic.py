"""Attempts, messages, runs and gateways of the simulated cell."""

import dataclasses

from citrondeal import errors


@dataclasses.dataclass(eq=False)
class Send:
    """One attempt that a caller sent, and its answer."""

    request_id: str
    attempt: int
    sent_at: float
    result: object = None  # Answer, Failure or "dropped"


@dataclasses.dataclass(eq=False)
class Run:
    """A run at the endpoint and the attempts that it serves."""

    request_id: str
    sends: frozenset
    dispatcher: str


class Node:
    """One incarnation of a gateway: its ledger and its requests."""

    def __init__(self, name, incarnation, ledger):
        self.name = name
        self.incarnation = incarnation
        self.ledger = ledger
        self.alive = True
        self.paused = False
        self.waiting = {}  # id -> list of Send, or Message of a forward
        self.first_send = {}  # id -> Send for which the request is handled
        self.queued = set()
        self.ready = set()
        self.running = {}  # id -> Run or None
        self.intents = {}  # (id, gateway) -> number


@dataclasses.dataclass(eq=False)
class Message:
    """A message in flight; a reply refers to its call by `call`."""

    kind: str
    source: Node | None
    target: object  # Node, or a name for a caller's send
    request_id: str
    body: object
    first_send: Send | None = None
    call: object = None
    failed: bool = False  # this call has failed or has been answered
    delayed: bool = False  # not delivered until this is cleared


def reported_run(send):
    """Return what the answer says about the run, or None without an answer."""
    if send.result is None or send.result == "dropped":
        return None
    if isinstance(send.result, errors.Failure):
        return send.result.run
    return errors.Run.RAN
