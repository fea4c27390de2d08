"""Simulated cell: ledgers with a simulated network, callers and endpoint."""

import json
import uuid

from citrondeal import dedup
from citrondeal.dedup.tests import traffic
from citrondeal import errors

# Monotonic time at which a cell starts. The first incarnations start at 0, so
# that their memories cover every id.
START_S = 100_000.0
UNIX_OFFSET_S = 1_700_000_000.0  # Unix time minus monotonic time


class Cell:
    """Gateways ``a``, ``b``, ... with two of them in each zone."""

    def __init__(self, size, ledger=dedup.Ledger, config=None):
        self.ledger_class = ledger
        self.config = config
        self.now = START_S
        self.unix_offset_s = UNIX_OFFSET_S
        self.names = [chr(ord("a") + i) for i in range(size)]
        self.zones = {n: f"z{i // 2}" for i, n in enumerate(self.names)}
        self.listed = list(self.names)
        self.nodes = {}
        self.replaced_nodes = []
        # name -> (replaced process that still gets calls, end of that time)
        self.stale_targets = {}
        self.in_flight = []
        self.partitions = set()  # pairs of gateways that are cut off
        self.sends = {}  # id -> list of traffic.Send
        self.runs = []
        self.refused = set()  # ids that admission refused
        self.message_count = 0
        self.incarnation_count = 0
        for name in self.names:
            self.boot(name, 0.0)

    # Starts and stops of gateways

    def boot(self, name, since=None):
        self.incarnation_count += 1
        ledger = self.ledger_class(
            name,
            f"i{self.incarnation_count}",
            self.zones[name],
            self.now if since is None else since,
            self.config,
        )
        self.nodes[name] = traffic.Node(
            name, f"i{self.incarnation_count}", ledger
        )
        ledger.set_gateways({n: self.zones[n] for n in self.listed}, self.now)

    def kill(self, name):
        """Restart a gateway without its memory."""
        node = self.nodes[name]
        node.alive = False
        for waiting in node.waiting.values():
            for waiter in waiting:
                if isinstance(waiter, traffic.Message):
                    self._fail(waiter)
        self._delay_from(node)
        self.boot(name)

    def _delay_from(self, node):
        """Delay the messages that a process sent before its end."""
        for message in self.in_flight:
            if message.source is node:
                message.delayed = True

    def replace(self, name, lag_s=0.0):
        """Start a successor while the predecessor still exists.

        The predecessor is paused, unless the list of gateways lags: then it
        still runs and gets the calls for `lag_s` seconds.
        """
        old = self.nodes[name]
        old.paused = lag_s == 0.0
        self.stale_targets[name] = (old, self.now + lag_s)
        self.replaced_nodes.append(old)
        self.boot(name)

    def leave(self, name, receiver):
        """Stop a gateway; it hands its records to the receiver, if any."""
        node = self.nodes.pop(name)
        if receiver is not None:
            state = json.loads(json.dumps(node.ledger.export(self.now)))
            self.nodes[receiver].ledger.import_records(state, self.now)
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
        for node in [*self.nodes.values(), *self.replaced_nodes]:
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
        send = traffic.Send(request_id, attempt, self.now)
        sends.append(send)
        self.in_flight.append(
            traffic.Message("send", None, name, request_id, send, send)
        )
        return send

    # Network

    def deliverable(self):
        return [m for m in self.in_flight if self._can_deliver(m)]

    def _can_deliver(self, message):
        target = message.target
        if message.kind == "send":
            target = self.nodes.get(target)
            return target is not None and not target.paused
        if target.paused:
            return False
        ends = frozenset((message.source.name, target.name))
        return ends not in self.partitions

    def deliver(self, message):
        self.in_flight.remove(message)
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
        """Lose a message; if it belongs to a call, the call fails."""
        self.in_flight.remove(message)
        if message.kind != "send":
            self._fail(message.call or message)

    def time_out(self, message):
        """Fail a call whose message or reply is still delivered later."""
        message.delayed = True
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
        first_send = node.first_send.get(request_id)
        message = traffic.Message(
            kind, node, None, request_id, body, first_send
        )
        self.message_count += 1
        old, until = self.stale_targets.get(target, (None, 0.0))
        if self.now >= until or not old.alive:
            old = None
        message.target = old or self.nodes.get(target)
        if message.target is None:
            message.target = node
            message.target = traffic.Node(target, "gone", None)
            message.target.alive = False
        self.in_flight.append(message)

    def _reply(self, call, body):
        self.message_count += 1
        self.in_flight.append(
            traffic.Message(
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
        # Without a creation time in the id, a first attempt that arrives
        # later than the configured skew (3 s) is not recognized as late.
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

    def _wait(self, node, request_id, waiter, first_send):
        waiting = node.waiting.setdefault(request_id, [])
        if not waiting:
            node.first_send[request_id] = first_send
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
                self._wait(
                    node, message.request_id, message, message.first_send
                )
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
            if isinstance(waiter, traffic.Message):
                self._reply(waiter, result)
            else:
                waiter.result = result

    # Requests at the gateways

    def queued(self):
        return [
            (node, request_id)
            for node in self.unpaused_nodes()
            for request_id in sorted(node.queued)
        ]

    def ready(self):
        return [
            (node, request_id)
            for node in self.unpaused_nodes()
            for request_id in sorted(node.ready)
        ]

    def running(self):
        return [
            (node, request_id)
            for node in self.unpaused_nodes()
            for request_id in sorted(node.running)
        ]

    def unpaused_nodes(self):
        nodes = [*self.nodes.values(), *self.replaced_nodes]
        return [node for node in nodes if node.alive and not node.paused]

    def is_forwarded(self, node, request_id):
        """Return whether the request was forwarded here."""
        waiting = node.waiting.get(request_id, [])
        return any(isinstance(waiter, traffic.Message) for waiter in waiting)

    def route(self, node, request_id, target):
        """Prepare a local dispatch, or forward to the gateway `target`."""
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
        sends = {w for w in waiting if isinstance(w, traffic.Send)}
        sends.add(node.first_send[request_id])
        run = traffic.Run(request_id, frozenset(sends), node.name)
        if runs:
            self.runs.append(run)
        node.running[request_id] = run if runs else None

    def finish(self, node, request_id, outcome):
        """End a dispatch: ``answer``, ``not_run``, ``retry``, ``unknown``.

        An endpoint that ran the request never answers "not run".
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
        """Continue one request, or all, until nothing more can happen.

        Depth 0 delivers messages, 1 also routes, 2 also starts and 3 also
        finishes. Delayed messages stay in flight.
        """

        def first(items):
            matching = [i for i in items if request_id in (None, i[1])]
            return matching[0] if matching else None

        for _ in range(limit):
            messages = [
                (m, m.request_id) for m in self.deliverable() if not m.delayed
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
        for node in self.unpaused_nodes():
            node.ledger.tick(self.now)

    # Guarantees

    def check(self):
        """Raise if an answer is untrue or an id has run more than once.

        A refusal that says "not run" must be true, and so must an answer
        that says that the request ran.
        """
        runs = {}
        for run in self.runs:
            runs.setdefault(run.request_id, []).append(run)
        for request_id, sends in self.sends.items():
            ran = runs.get(request_id, [])
            assert len(ran) <= 1, f"{request_id} has {len(ran)} runs"
            for send in sends:
                reported = traffic.reported_run(send)
                if reported == errors.Run.RAN:
                    assert ran, f"{request_id} answered, but never ran"
                if reported == errors.Run.NOT_RUN:
                    own = [run for run in ran if send in run.sends]
                    assert not own, f"attempt {send.attempt} ran"
            if sends and traffic.reported_run(sends[-1]) == errors.Run.NOT_RUN:
                assert not ran, "refused as last attempt, but the id ran"
