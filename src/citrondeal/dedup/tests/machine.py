"""Random runs of a cell; checks the guarantees of dedup after each event.

Names and parameters of the rules decide in which order Hypothesis draws
them: a change makes a seed stand for other runs.
"""

import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from citrondeal import dedup
from citrondeal.dedup.tests import cell as cells
from citrondeal import errors

__all__ = ["DelaysOnly", "Faults", "run"]

_PICK = st.integers(0, 11)
_DEPTH = st.integers(0, 3)
_ATTEMPTS_PER_ID = 5


def _pick(items, index):
    return items[index % len(items)] if items else None


class _Base(stateful.RuleBasedStateMachine):
    """Callers, network and gateways without faults."""

    ledger = dedup.Ledger
    max_ids = st.just(1000)

    def __init__(self):
        super().__init__()
        self.cell = None
        self.small_memory = False

    @stateful.initialize(data=st.data(), size=st.integers(3, 4))
    def set_up(self, data, size):
        max_ids = data.draw(self.max_ids)
        self.small_memory = max_ids < 10
        config = dedup.Config(max_ids=max_ids)
        self.cell = cells.Cell(size, self.ledger, config)
        kind = data.draw(st.sampled_from(["uuid7", "uuid7", "plain"]))
        skew_s = data.draw(st.sampled_from([0.0, 2.0, -2.0]))
        request_id = self.cell.new_id(kind, skew_s)
        self.cell.send(request_id, "a")
        self.cell.in_flight[0].delayed = data.draw(st.booleans())
        depth = data.draw(_DEPTH)
        target = _pick(self.cell.names, data.draw(_PICK))
        self.cell.run_until_idle(request_id, depth, target)

    @stateful.rule(index=_PICK, gateway=_PICK, held=st.booleans())
    def resubmit(self, index, gateway, held):
        self._resubmit(index, gateway, held)

    @stateful.rule(
        index=_PICK, gateway=_PICK, depth=_DEPTH, next_gateway=_PICK
    )
    def resubmit_and_carry_on(self, index, gateway, depth, next_gateway):
        request_id = self._resubmit(index, gateway, False)
        target = _pick(self.cell.listed, next_gateway)
        self.cell.run_until_idle(request_id, depth, target)

    @stateful.rule(depth=_DEPTH, next_gateway=_PICK)
    def carry_on(self, depth, next_gateway):
        self.cell.run_until_idle(
            None, depth, _pick(self.cell.listed, next_gateway)
        )

    def _resubmit(self, index, gateway, held):
        request_id = _pick(list(self.cell.sends)[:2], index)
        sends = self.cell.sends[request_id]
        age_s = self.cell.now - sends[0].sent_at
        if len(sends) < _ATTEMPTS_PER_ID and age_s < dedup.ID_WINDOW_S:
            name = _pick(self.cell.listed, gateway)
            self.cell.send(request_id, name)
            self.cell.in_flight[-1].delayed = held
        return request_id

    @stateful.rule(indexes=st.lists(_PICK, min_size=1, max_size=8))
    def deliver(self, indexes):
        for index in indexes:
            message = _pick(self.cell.deliverable(), index)
            if message is not None:
                self.cell.deliver(message)
                self.cell.check()

    @stateful.rule(index=_PICK, gateway=_PICK)
    def route(self, index, gateway):
        chosen = _pick(self.cell.queued(), index)
        if chosen is not None:
            self.cell.route(*chosen, _pick(self.cell.listed, gateway))

    @stateful.rule(
        step=st.sampled_from(["refuse", "start", "start", "fail", "finish"]),
        index=_PICK,
    )
    def step_request(self, step, index):
        cell = self.cell
        if step == "refuse":
            if chosen := _pick(cell.queued() + cell.ready(), index):
                cell.refuse(*chosen)
        elif step == "finish":
            if chosen := _pick(cell.running(), index):
                ran = chosen[0].running[chosen[1]] is not None
                proof = "retry" if index % 2 else "not_run"
                cell.finish(*chosen, "answer" if ran else proof)
        elif chosen := _pick(cell.ready(), index):
            cell.start(*chosen, step == "start")

    def teardown(self):
        """End all faults and delays, finish all requests and check again."""
        if self.cell is None:
            return
        cell = self.cell
        cell.partitions.clear()
        for node in [*cell.nodes.values(), *cell.replaced_nodes]:
            node.paused = False
            assert len(json.dumps(node.ledger.dump())) < 10_000
        for _ in range(3):
            for message in cell.in_flight:
                message.delayed = False
            cell.run_until_idle()
            cell.check()

    @stateful.invariant()
    def guarantees(self):
        if self.cell is not None:
            self.cell.check()


class DelaysOnly(_Base):
    """Delays and reorders messages only: nothing may end as unknown."""

    def teardown(self):
        super().teardown()
        if self.cell is None:
            return
        kind = errors.Kind.UNKNOWN_OUTCOME
        for request_id, sends in self.cell.sends.items():
            for send in sends:
                assert send.result is not None, "a caller got no answer"
                assert getattr(send.result, "kind", None) != kind
            if sends and request_id not in self.cell.refused:
                ran = [r.request_id for r in self.cell.runs]
                assert request_id in ran, "no attempt ran without a fault"


class Faults(_Base):
    """Adds loss, partitions, kills, pauses, replacements and evictions."""

    max_ids = st.sampled_from([1000, 1000, 1000, 2])

    @stateful.rule(
        kind=st.sampled_from(["late", "late", "lose", "cut"]),
        index=_PICK,
        other=_PICK,
    )
    def network(self, kind, index, other):
        cell = self.cell
        if kind == "cut":
            pair = _pick(cell.names, index), _pick(cell.names, other)
            cell.partitions ^= {frozenset(pair)}
        elif message := _pick(cell.in_flight, index):
            (cell.time_out if kind == "late" else cell.lose)(message)

    @stateful.rule(index=_PICK, gateway=_PICK)
    def forward_late(self, index, gateway):
        """Time out a forward that is delivered later."""
        chosen = _pick(self.cell.queued(), index)
        if chosen is None:
            return
        self.cell.route(*chosen, _pick(self.cell.listed, gateway))
        if self.cell.in_flight and self.cell.in_flight[-1].kind == "forward":
            self.cell.time_out(self.cell.in_flight[-1])

    @stateful.rule(
        kind=st.sampled_from(["kill", "kill", "replace", "pause"]),
        index=_PICK,
    )
    def process(self, kind, index):
        cell = self.cell
        name = _pick(sorted(cell.nodes), index)
        if kind == "kill":
            cell.kill(name)
        elif kind == "replace" and len(cell.replaced_nodes) < 2:
            cell.replace(name, _pick([0.0, 0.0, 2.9], index // 4))
        else:
            nodes = [*cell.nodes.values(), *cell.replaced_nodes]
            node = _pick(nodes, index)
            node.paused = not node.paused

    @stateful.rule(
        kind=st.sampled_from(["hand over", "vanish", "join"]),
        index=_PICK,
        hand_over_to=_PICK,
    )
    def membership(self, kind, index, hand_over_to):
        cell = self.cell
        gone = sorted(set(cell.names) - set(cell.listed))
        if kind == "join" and gone:
            cell.join(gone[0])
        elif len(cell.listed) > 2:
            name = _pick(cell.listed, index)
            hand_over_to = _pick(
                [n for n in cell.listed if n != name], hand_over_to
            )
            cell.leave(name, hand_over_to if kind == "hand over" else None)

    @stateful.precondition(lambda self: self.small_memory)
    @stateful.rule()
    def fill(self):
        """Add ids at each gateway until older ones are evicted."""
        if len(self.cell.sends) > 40:
            return
        for name in sorted(self.cell.nodes):
            for _ in range(2):
                request_id = self.cell.new_id("uuid7")
                self.cell.send(request_id, name)
                self.cell.run_until_idle(request_id, 3)

    @stateful.rule(
        kind=st.sampled_from(["give up", "caller gone", "time"]),
        index=_PICK,
        seconds=st.sampled_from([0.5, 4.0, 60.0, 400.0]),
    )
    def outcome_or_time(self, kind, index, seconds):
        cell = self.cell
        if kind == "time":
            cell.advance(seconds)
        elif kind == "give up":
            if chosen := _pick(cell.running(), index):
                cell.finish(*chosen, "unknown")
        elif node := _pick(
            [n for n in cell.unpaused_nodes() if n.waiting], index
        ):
            request_id = _pick(sorted(node.waiting), index)
            actions = node.ledger.caller_gone(request_id, cell.now)
            cell.apply(node, actions)


def run(
    seed,
    max_examples,
    ledger=dedup.Ledger,
    machine=Faults,
    steps=40,
    shrink=True,
):
    """Run a machine; raise AssertionError on a broken guarantee.

    Parameters
    ----------
    seed : int or None
        Seed of the generated runs; None selects a fixed one, which
        Hypothesis derives from the source of the machine.
    max_examples : int
        Number of runs.
    ledger : type, optional
        Class of the ledgers.
    machine : type, optional
        `Faults` or `DelaysOnly`.
    steps : int, optional
        Events per run.
    shrink : bool, optional
        Whether a failing run is reduced to a minimal one first.
    """
    factory = type(machine.__name__, (machine,), {"ledger": ledger})
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=max_examples,
        stateful_step_count=steps,
        database=None,
        derandomize=seed is None,
        deadline=None,
        phases=phases,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if seed is not None:
        factory = hypothesis.seed(seed)(factory)
    stateful.run_state_machine_as_test(factory, settings=settings)
