"""Random runs of a cell with faults; checks P4 and P5 at each event."""

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
_ATTEMPTS = 5  # per id


def _pick(items, index):
    return items[index % len(items)] if items else None


class _Base(stateful.RuleBasedStateMachine):
    """Callers, network and shells without faults."""

    ledger = dedup.Ledger
    max_ids = st.just(1000)

    def __init__(self):
        super().__init__()
        self.cell = None
        self.crowded = False

    @stateful.initialize(data=st.data(), size=st.integers(3, 4))
    def set_up(self, data, size):
        max_ids = data.draw(self.max_ids)
        self.crowded = max_ids < 10
        config = dedup.Config(max_ids=max_ids)
        self.cell = cells.Cell(size, self.ledger, config)
        kind = data.draw(st.sampled_from(["uuid7", "uuid7", "plain"]))
        skew_s = data.draw(st.sampled_from([0.0, 2.0, -2.0]))
        request_id = self.cell.new_id(kind, skew_s)
        self.cell.send(request_id, "a")
        self.cell.flight[0].held = data.draw(st.booleans())
        depth = data.draw(_DEPTH)
        target = _pick(self.cell.names, data.draw(_PICK))
        self.cell.run_until_idle(request_id, depth, target)

    @stateful.rule(index=_PICK, gateway=_PICK, held=st.booleans())
    def resubmit(self, index, gateway, held):
        self._resubmit(index, gateway, held)

    @stateful.rule(index=_PICK, gateway=_PICK, depth=_DEPTH, onward=_PICK)
    def resubmit_and_carry_on(self, index, gateway, depth, onward):
        request_id = self._resubmit(index, gateway, False)
        target = _pick(self.cell.listed, onward)
        self.cell.run_until_idle(request_id, depth, target)

    @stateful.rule(depth=_DEPTH, onward=_PICK)
    def carry_on(self, depth, onward):
        self.cell.run_until_idle(None, depth, _pick(self.cell.listed, onward))

    def _resubmit(self, index, gateway, held):
        request_id = _pick(list(self.cell.sends)[:2], index)
        sends = self.cell.sends[request_id]
        age_s = self.cell.now - sends[0].sent_at
        if len(sends) < _ATTEMPTS and age_s < dedup.ID_WINDOW_S:
            name = _pick(self.cell.listed, gateway)
            self.cell.send(request_id, name)
            self.cell.flight[-1].held = held
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
    def shell(self, step, index):
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
        """Let everything that is late arrive."""
        if self.cell is None:
            return
        cell = self.cell
        cell.cuts.clear()
        for node in [*cell.nodes.values(), *cell.zombies]:
            node.paused = False
            assert len(json.dumps(node.ledger.dump())) < 10_000
        for _ in range(3):
            for message in cell.flight:
                message.held = False
            cell.run_until_idle()
            cell.check()

    @stateful.invariant()
    def guarantees(self):
        if self.cell is not None:
            self.cell.check()


class DelaysOnly(_Base):
    """Delay and reordering only: nothing may end as unknown."""

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
    """Adds loss, cuts, kills, pauses, replacements and a full memory."""

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
            cell.cuts ^= {frozenset(pair)}
        elif message := _pick(cell.flight, index):
            (cell.time_out if kind == "late" else cell.lose)(message)

    @stateful.rule(index=_PICK, gateway=_PICK)
    def forward_late(self, index, gateway):
        """Break a forward that is delivered later all the same."""
        chosen = _pick(self.cell.queued(), index)
        if chosen is None:
            return
        self.cell.route(*chosen, _pick(self.cell.listed, gateway))
        if self.cell.flight and self.cell.flight[-1].kind == "forward":
            self.cell.time_out(self.cell.flight[-1])

    @stateful.rule(
        kind=st.sampled_from(["kill", "kill", "replace", "pause"]),
        index=_PICK,
    )
    def process(self, kind, index):
        cell = self.cell
        name = _pick(sorted(cell.nodes), index)
        if kind == "kill":
            cell.kill(name)
        elif kind == "replace" and len(cell.zombies) < 2:
            cell.replace(name, _pick([0.0, 0.0, 2.9], index // 4))
        else:
            nodes = [*cell.nodes.values(), *cell.zombies]
            node = _pick(nodes, index)
            node.paused = not node.paused

    @stateful.rule(
        kind=st.sampled_from(["hand over", "vanish", "join"]),
        index=_PICK,
        heir=_PICK,
    )
    def membership(self, kind, index, heir):
        cell = self.cell
        gone = sorted(set(cell.names) - set(cell.listed))
        if kind == "join" and gone:
            cell.join(gone[0])
        elif len(cell.listed) > 2:
            name = _pick(cell.listed, index)
            heir = _pick([n for n in cell.listed if n != name], heir)
            cell.leave(name, heir if kind == "hand over" else None)

    @stateful.precondition(lambda self: self.crowded)
    @stateful.rule()
    def fill(self):
        """Replace the older half of each memory by other ids."""
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
    def other(self, kind, index, seconds):
        cell = self.cell
        if kind == "time":
            cell.advance(seconds)
        elif kind == "give up":
            if chosen := _pick(cell.running(), index):
                cell.finish(*chosen, "unknown")
        elif node := _pick([n for n in cell.awake() if n.waiting], index):
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
    """Run a machine and raise on the first broken guarantee.

    Parameters
    ----------
    seed : int or None
        Seed of the generated runs; None selects a fixed one.
    max_examples : int
        Number of runs.
    ledger : type, optional
        Ledger to test.
    machine : type, optional
        `Faults` or `DelaysOnly`.
    steps : int, optional
        Events per run.
    shrink : bool, optional
        Whether a failing run is reduced before it is reported.
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
