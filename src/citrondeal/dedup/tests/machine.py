"""Random runs of a cell with faults; checks P4 and P5 at each event."""

import functools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from citrondeal import dedup
from citrondeal.dedup.tests import cell as cells
from citrondeal import errors

__all__ = ["Faults", "Quiet", "run"]

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

    @stateful.initialize(data=st.data(), size=st.integers(3, 4))
    def set_up(self, data, size):
        config = dedup.Config(max_ids=data.draw(self.max_ids))
        self.cell = cells.Cell(size, self.ledger, config)
        kind = data.draw(st.sampled_from(["uuid7", "uuid7", "plain"]))
        skew_s = data.draw(st.sampled_from([0.0, 2.0, -2.0]))
        request_id = self.cell.new_id(kind, skew_s)
        self.cell.send(request_id, "a")
        self.cell.flight[0].held = data.draw(st.booleans())
        depth = data.draw(_DEPTH)
        target = _pick(self.cell.names, data.draw(_PICK))
        self.cell.settle(request_id, depth, target)

    @stateful.rule(index=_PICK, gateway=_PICK, held=st.booleans())
    def resubmit(self, index, gateway, held):
        self._resubmit(index, gateway, held)

    @stateful.rule(index=_PICK, gateway=_PICK, depth=_DEPTH, onward=_PICK)
    def resubmit_and_carry_on(self, index, gateway, depth, onward):
        request_id = self._resubmit(index, gateway, False)
        target = _pick(self.cell.listed, onward)
        self.cell.settle(request_id, depth, target)

    @stateful.rule(depth=_DEPTH, onward=_PICK)
    def carry_on(self, depth, onward):
        self.cell.settle(None, depth, _pick(self.cell.listed, onward))

    def _resubmit(self, index, gateway, held):
        request_id = _pick(list(self.cell.sends), index)
        sends = self.cell.sends[request_id]
        age_s = self.cell.now - sends[0].sent_at
        if len(sends) < _ATTEMPTS and age_s < dedup.ID_WINDOW:
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

    @stateful.rule(index=_PICK)
    def refuse(self, index):
        chosen = _pick(self.cell.queued() + self.cell.ready(), index)
        if chosen is not None:
            self.cell.refuse(*chosen)

    @stateful.rule(index=_PICK, runs=st.booleans())
    def start(self, index, runs):
        chosen = _pick(self.cell.ready(), index)
        if chosen is not None:
            self.cell.start(*chosen, runs)

    @stateful.rule(index=_PICK, retry=st.booleans())
    def finish(self, index, retry):
        chosen = _pick(self.cell.running(), index)
        if chosen is not None:
            node, request_id = chosen
            ran = node.running[request_id] is not None
            proof = "retry" if retry else "not_run"
            self.cell.finish(*chosen, "answer" if ran else proof)

    def teardown(self):
        """Let everything that is late arrive."""
        if self.cell is None:
            return
        cell = self.cell
        cell.cuts.clear()
        for node in [*cell.nodes.values(), *cell.zombies]:
            node.paused = False
        for _ in range(3):
            for message in cell.flight:
                message.held = False
            cell.settle()
            cell.check()

    @stateful.invariant()
    def guarantees(self):
        if self.cell is not None:
            self.cell.check()


class Quiet(_Base):
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

    max_ids = st.sampled_from([1000, 1000, 2])

    @stateful.rule(index=_PICK, late=st.booleans())
    def lose(self, index, late):
        message = _pick(self.cell.flight, index)
        if message is not None:
            (self.cell.time_out if late else self.cell.lose)(message)

    @stateful.rule(index=_PICK)
    def kill(self, index):
        self.cell.kill(_pick(sorted(self.cell.nodes), index))

    @stateful.rule(index=_PICK)
    def pause_or_resume(self, index):
        nodes = [*self.cell.nodes.values(), *self.cell.zombies]
        node = _pick(nodes, index)
        node.paused = not node.paused

    @stateful.rule(index=_PICK)
    def replace(self, index):
        if len(self.cell.zombies) < 2:
            self.cell.replace(_pick(sorted(self.cell.nodes), index))

    @stateful.rule(index=_PICK, other=_PICK)
    def cut_or_heal(self, index, other):
        names = self.cell.names
        pair = frozenset((_pick(names, index), _pick(names, other)))
        self.cell.cuts ^= {pair}

    @stateful.rule(index=_PICK, heir=_PICK, graceful=st.booleans())
    def leave(self, index, heir, graceful):
        if len(self.cell.listed) < 3:
            return
        name = _pick(self.cell.listed, index)
        others = [n for n in self.cell.listed if n != name]
        self.cell.leave(name, _pick(others, heir) if graceful else None)

    @stateful.rule()
    def join(self):
        gone = sorted(set(self.cell.names) - set(self.cell.listed))
        if gone:
            self.cell.join(gone[0])

    @stateful.rule(index=_PICK)
    def give_up(self, index):
        """End a dispatch without an answer."""
        chosen = _pick(self.cell.running(), index)
        if chosen is not None:
            self.cell.finish(*chosen, "unknown")

    @stateful.rule(index=_PICK)
    def caller_gone(self, index):
        nodes = [node for node in self.cell.awake() if node.waiting]
        node = _pick(nodes, index)
        if node is not None:
            request_id = _pick(sorted(node.waiting), index)
            actions = node.ledger.caller_gone(request_id, self.cell.now)
            self.cell.apply(node, actions)

    @stateful.rule(seconds=st.sampled_from([0.5, 4.0, 60.0, 400.0]))
    def advance(self, seconds):
        self.cell.advance(seconds)


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
    seed : int
        Seed of the generated runs.
    max_examples : int
        Number of runs.
    ledger : type, optional
        Ledger to test.
    machine : type, optional
        `Faults` or `Quiet`.
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
        derandomize=False,
        deadline=None,
        phases=phases,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(factory), settings=settings
    )


run_quiet = functools.partial(run, machine=Quiet)
