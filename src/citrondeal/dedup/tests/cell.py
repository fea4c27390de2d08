"""A cell of ledgers with a fake network, callers and endpoint."""

import dataclasses
import json
import uuid

from citrondeal import dedup
from citrondeal import errors

START = 100_000.0  # monotonic seconds; all first incarnations are old
UNIX = 1_700_000_000.0  # Unix time minus monotonic time


@dataclasses.dataclass(eq=False)
class Send:
    """One attempt that a caller sent, and what it was answered."""

    request_id: str
    attempt: int
    sent_at: float
    result: object = None  # Answer, Failure or "dropped"


@dataclasses.dataclass(eq=False)
class Run:
    """A run at the endpoint with the attempts it is done for."""

    request_id: str
    sends: frozenset
    dispatcher: str


class Node:
    """One incarnation of a gateway and the state of its shell."""

    def __init__(self, name, incarnation, ledger):
        self.name = name
        self.incarnation = incarnation
        self.ledger = ledger
        self.alive = True
        self.paused = False
        self.waiting = {}  # id -> list of Send or Message (forward)
        self.lead = {}  # id -> Send for which the request is handled
        self.queued = set()
        self.ready = set()
        self.running = {}  # id -> Run or None
        self.intents = {}  # (id, gateway) -> number


@dataclasses.dataclass(eq=False)
class Message:
    """A message in flight; `reply` messages refer to their call."""

    kind: str
    source: Node | None
    target: object  # Node, or a name for a caller's send
    request_id: str
    body: object
    lead: Send | None = None
    call: object = None
    failed: bool = False  # the caller of this call has given up
    held: bool = False  # delivered late


class Cell:
    """Gateways ``a``, ``b``, ... with one zone per two of them."""

    def __init__(self, size, ledger=dedup.Ledger, config=None):
        self.make_ledger = ledger
        self.config = config
        self.now = START
        self.unix_offset_s = UNIX
        self.names = [chr(ord("a") + i) for i in range(size)]
        self.zones = {n: f"z{i // 2}" for i, n in enumerate(self.names)}
        self.listed = list(self.names)
        self.nodes = {}
        self.zombies = []
        self.stale = {}  # name -> replaced process that gets calls, until
        self.flight = []
        self.cuts = set()
        self.sends = {}  # id -> list of Send
        self.runs = []
        self.refused = set()  # ids that admission refused
        self.message_count = 0
        self.count = 0
        for name in self.names:
            self.boot(name, 0.0)

    # Life cycle

    def boot(self, name, since=None):
        self.count += 1
        ledger = self.make_ledger(
            name,
            f"i{self.count}",
            self.zones[name],
            self.now if since is None else since,
            self.config,
        )
        self.nodes[name] = Node(name, f"i{self.count}", ledger)
        ledger.set_gateways({n: self.zones[n] for n in self.listed}, self.now)

    def kill(self, name):
        """Restart a gateway without its memory."""
        node = self.nodes[name]
        node.alive = False
        for waiting in node.waiting.values():
            for waiter in waiting:
                if isinstance(waiter, Message):
                    self._fail(waiter)
        self._delay_from(node)
        self.boot(name)

    def _delay_from(self, node):
        """Deliver late what a process sent before its end."""
        for message in self.flight:
            if message.source is node:
                message.held = True

    def replace(self, name, lag_s=0.0):
        """Start a successor while the predecessor is only paused.

        Calls still go to the predecessor while the list of gateways lags.
        """
        old = self.nodes[name]
        old.paused = lag_s == 0.0
        self.stale[name] = (old, self.now + lag_s)
        self.zombies.append(old)
        self.boot(name)

    def leave(self, name, heir):
        """Stop a gateway; with an heir it hands its records over."""
        node = self.nodes.pop(name)
        if heir is not None:
            state = json.loads(json.dumps(node.ledger.export(self.now)))
            self.nodes[heir].ledger.import_records(state, self.now)
        node.alive = False
        self._delay_from(node)
        self.listed.remove(name)
        self._publish()

    def join(self, name):
        self.listed = sorted([*self.listed, name])
        self.boot(name)
        self._publish()

    def _publish(self):
        cell = {n: self.zones[n] for n in self.listed}
        for node in [*self.nodes.values(), *self.zombies]:
            node.ledger.set_gateways(cell, self.now)

    # Callers

    def new_id(self, kind, skew_s=0.0):
        number = len(self.sends)
        request_id = f"id-{number}"
        if kind == "uuid7":
            ms = int((self.now + self.unix_offset_s + skew_s) * 1000)
            high = (ms << 16) | 0x7000
            low = (2 << 62) | number
            request_id = str(uuid.UUID(int=(high << 64) | low))
        self.sends[request_id] = []
        return request_id

    def send(self, request_id, name, attempt=None):
        sends = self.sends[request_id]
        attempt = attempt or len(sends) + 1
        send = Send(request_id, attempt, self.now)
        sends.append(send)
        self.flight.append(Message("send", None, name, request_id, send, send))
        return send

    # Network

    def deliverable(self):
        return [m for m in self.flight if self._can_deliver(m)]

    def _can_deliver(self, message):
        target = message.target
        if message.kind == "send":
            target = self.nodes.get(target)
            return target is not None and not target.paused
        if target.paused:
            return False
        ends = frozenset((message.source.name, target.name))
        return ends not in self.cuts

    def deliver(self, message):
        self.flight.remove(message)
        if message.kind == "send":
            self._begin(message)
        elif not message.target.alive:
            self._fail(message.call or message)
        elif message.call is not None:
            if not message.call.failed:
                message.call.failed = True
                self._replied(message)
        else:
            getattr(self, f"_on_{message.kind}")(message)

    def lose(self, message):
        """Lose a message; the caller of a call sees a failure."""
        self.flight.remove(message)
        if message.kind != "send":
            self._fail(message.call or message)

    def time_out(self, message):
        """Give up a call whose message or reply may still be delivered."""
        message.held = True
        if message.kind != "send":
            self._fail(message.call or message)

    def _fail(self, call):
        node = call.source
        if call.failed or not node.alive or node.paused:
            return
        call.failed = True
        number = call.body.number if call.kind == "claim" else call.body[0]
        ledger, request_id = node.ledger, call.request_id
        if call.kind == "intent":
            actions = ledger.intent_failed(request_id, number, self.now)
        elif call.kind == "claim":
            actions = ledger.claim_failed(
                request_id, number, call.target.name, self.now
            )
        else:
            actions = ledger.forward_failed(request_id, number, True, self.now)
        self.apply(node, actions)

    def _call(self, kind, node, action, target, body):
        request_id = action.request_id
        lead = node.lead.get(request_id)
        message = Message(kind, node, None, request_id, body, lead)
        self.message_count += 1
        old, until = self.stale.get(target, (None, 0.0))
        if self.now >= until or not old.alive:
            old = None
        message.target = old or self.nodes.get(target)
        if message.target is None:
            message.target = node
            message.target = Node(target, "gone", None)
            message.target.alive = False
        self.flight.append(message)

    def _reply(self, call, body):
        self.message_count += 1
        self.flight.append(
            Message(
                "reply",
                call.target,
                call.source,
                call.request_id,
                body,
                call=call,
            )
        )

    def _begin(self, message):
        node = self.nodes[message.target]
        send = message.body
        # An id without a creation time is only protected against late
        # delivery within the configured skew.
        late = self.now - send.sent_at > 3.0
        if late and dedup.created_unix(send.request_id) is None:
            return
        self._wait(node, send.request_id, send, send)
        self.apply(
            node,
            node.ledger.begin(
                send.request_id,
                send.attempt,
                False,
                self.now,
                self.now + self.unix_offset_s,
            ),
        )

    def _wait(self, node, request_id, waiter, lead):
        waiting = node.waiting.setdefault(request_id, [])
        if not waiting:
            node.lead[request_id] = lead
        waiting.append(waiter)

    def _on_intent(self, message):
        actions = message.target.ledger.on_intent(
            message.request_id, message.body[1], self.now
        )
        self.apply(message.target, actions, message)

    def _on_claim(self, message):
        actions = message.target.ledger.on_claim(
            message.request_id, message.body, self.now
        )
        self.apply(message.target, actions, message)

    def _on_forward(self, message):
        number, permit = message.body
        node = message.target
        actions = node.ledger.on_forward(
            message.request_id, number, permit, False, self.now
        )
        for action in actions:
            if isinstance(action, (dedup.Proceed, dedup.Answer)):
                self._wait(node, message.request_id, message, message.lead)
            self.apply(node, [action], message)

    def _replied(self, message):
        call = message.call
        node, ledger, body = message.target, message.target.ledger, message
        body = message.body
        request_id = call.request_id
        if call.kind == "intent":
            actions = ledger.intent_reply(
                request_id, call.body[0], body, self.now
            )
        elif call.kind == "claim":
            actions = ledger.claim_reply(
                request_id, call.body.number, call.target.name, body, self.now
            )
        elif isinstance(body, errors.Failure):
            actions = ledger.forward_refused(
                request_id, call.body[0], body, self.now
            )
        else:
            actions = ledger.forward_answered(
                request_id, call.body[0], body, 10, self.now
            )
        self.apply(node, actions)

    # Actions

    def apply(self, node, actions, call=None):
        for action in actions:
            request_id = action.request_id
            name = type(action).__name__
            if name == "Proceed":
                node.queued.add(request_id)
            elif name == "Ready":
                node.ready.add(request_id)
            elif name in ("Answer", "Refuse", "Drop"):
                result = getattr(action, "answer", None)
                result = getattr(action, "failure", result) or "dropped"
                self._end(node, request_id, result)
            elif name == "SendIntent":
                body = (action.number, action.permit)
                self._call("intent", node, action, action.gateway, body)
            elif name == "SendForward":
                body = (action.number, action.permit)
                self._call("forward", node, action, action.gateway, body)
            elif name == "SendClaims":
                for gateway in action.gateways:
                    self._call("claim", node, action, gateway, action.claim)
            elif name in ("SendIntentReply", "SendClaimReply"):
                self._reply(call, action.reply)
            elif name == "RejectForward":
                self._reply(call, action.failure)
            else:
                assert name in ("Join", "Dispatch"), name

    def _end(self, node, request_id, result):
        node.queued.discard(request_id)
        node.ready.discard(request_id)
        for waiter in node.waiting.pop(request_id, []):
            if isinstance(waiter, Message):
                self._reply(waiter, result)
            else:
                waiter.result = result

    # Shells

    def queued(self):
        return [
            (node, request_id)
            for node in self.awake()
            for request_id in sorted(node.queued)
        ]

    def ready(self):
        return [
            (node, request_id)
            for node in self.awake()
            for request_id in sorted(node.ready)
        ]

    def running(self):
        return [
            (node, request_id)
            for node in self.awake()
            for request_id in sorted(node.running)
        ]

    def awake(self):
        nodes = [*self.nodes.values(), *self.zombies]
        return [node for node in nodes if node.alive and not node.paused]

    def is_forwarded(self, node, request_id):
        """Return whether another gateway waits for the answer."""
        waiting = node.waiting.get(request_id, [])
        return any(isinstance(waiter, Message) for waiter in waiting)

    def route(self, node, request_id, target):
        """Dispatch here, or forward to the gateway named by `target`."""
        node.queued.discard(request_id)
        forwarded = self.is_forwarded(node, request_id)
        if target is None or target not in self.nodes or forwarded:
            actions = node.ledger.prepare(request_id, self.now)
        elif target == node.name:
            actions = node.ledger.prepare(request_id, self.now)
        else:
            incarnation = self.nodes[target].incarnation
            actions = node.ledger.forward(
                request_id, target, incarnation, self.now
            )
        self.apply(node, actions)

    def refuse(self, node, request_id):
        """Refuse a queued request by admission."""
        node.queued.discard(request_id)
        self.refused.add(request_id)
        failure = errors.Failure(errors.Kind.OVERLOADED, "queue is full")
        self.apply(node, node.ledger.not_run(request_id, failure, self.now))

    def start(self, node, request_id, runs=True):
        node.ready.discard(request_id)
        waiting = node.waiting.get(request_id, [])
        actions = node.ledger.start(request_id, self.now)
        if not actions:
            return
        sends = {w for w in waiting if isinstance(w, Send)}
        sends.add(node.lead[request_id])
        run = Run(request_id, frozenset(sends), node.name)
        if runs:
            self.runs.append(run)
        node.running[request_id] = run if runs else None

    def finish(self, node, request_id, outcome):
        """End a dispatch: ``answer``, ``not_run``, ``retry``, ``unknown``.

        An endpoint that ran never claims that it did not.
        """
        run = node.running.pop(request_id)
        ledger = node.ledger
        if outcome == "answer" and run is not None:
            actions = ledger.completed(request_id, "answer", 10, self.now)
        elif outcome in ("not_run", "retry") and run is None:
            failure = errors.Failure(errors.Kind.UNAVAILABLE, "not run")
            self.refused.add(request_id)
            retry = outcome == "retry"
            actions = ledger.not_run(request_id, failure, self.now, retry)
        else:
            actions = ledger.unknown(request_id, "silent", self.now)
        self.apply(node, actions)

    def run_until_idle(self, request_id=None, depth=3, target=None, limit=400):
        """Carry on with one request, or all, as far as they can go.

        Depth 0 delivers messages, 1 also routes, 2 also starts and 3 also
        finishes. Held messages stay in flight.
        """

        def first(items):
            of = [i for i in items if request_id in (None, i[1])]
            return of[0] if of else None

        for _ in range(limit):
            messages = [
                (m, m.request_id) for m in self.deliverable() if not m.held
            ]
            if chosen := first(messages):
                self.deliver(chosen[0])
            elif depth > 0 and (chosen := first(self.queued())):
                self.route(*chosen, target)
            elif depth > 1 and (chosen := first(self.ready())):
                self.start(*chosen)
            elif depth > 2 and (chosen := first(self.running())):
                ran = chosen[0].running[chosen[1]] is not None
                self.finish(*chosen, "answer" if ran else "not_run")
            else:
                return

    def advance(self, seconds):
        self.now += seconds
        for node in self.awake():
            node.ledger.tick(self.now)

    # Guarantees

    def check(self):
        """Raise if an answer or a run breaks P4 or P5."""
        runs = {}
        for run in self.runs:
            runs.setdefault(run.request_id, []).append(run)
        for request_id, sends in self.sends.items():
            ran = runs.get(request_id, [])
            assert len(ran) <= 1, f"{request_id} has {len(ran)} runs"
            for send in sends:
                said = said_of(send)
                if said == errors.Run.RAN:
                    assert ran, f"{request_id} answered, but never ran"
                if said == errors.Run.NOT_RUN:
                    own = [run for run in ran if send in run.sends]
                    assert not own, f"attempt {send.attempt} ran"
            if sends and said_of(sends[-1]) == errors.Run.NOT_RUN:
                assert not ran, "refused as last attempt, but the id ran"


def said_of(send):
    """Return what the answer to a send says about the run, or None."""
    if send.result is None or send.result == "dropped":
        return None
    if isinstance(send.result, errors.Failure):
        return send.result.run
    return errors.Run.RAN
