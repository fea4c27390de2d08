"""Random faults for groups, as a hypothesis state machine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from citrondeal import ownership
from citrondeal.ownership.tests import world

_PICK = strategies.integers(0, 7)
_SECONDS = strategies.sampled_from([0.25, 1, 2.5, 5])
_BOOL = strategies.booleans()
_FOREIGN = (
    None,
    [],
    7,
    {"kind": "heartbeat"},
    {"kind": "snapshot"},
    {"kind": "snapshot", "role": "gateway", "covers": 0, "state": 1},
    {"kind": "snapshot", "role": "scheduler", "covers": 0, "state": {}},
)


class Machine(stateful.RuleBasedStateMachine):
    """Two to four processes under pauses, cuts, late and lost appends."""

    group_class = ownership.LeaseGroup
    fold_class = ownership.LeaseTable
    checks_liveness = True

    def __init__(self):
        super().__init__()
        self.world = None

    @stateful.initialize(count=strategies.integers(2, 4))
    def begin(self, count):
        self.world = world.World(count, self.group_class, fold=self.fold_class)
        self.world.advance(3.0)

    def pick(self, index):
        """Return the holder of one of three resources, or any process."""
        living = self.world.living()
        if index < len(world.RESOURCES):
            lease = self.world.fold.leases.get(world.RESOURCES[index])
            for process in living:
                if lease and process.incarnation == lease.incarnation:
                    return process
        return living[index % len(living)]

    @stateful.rule(seconds=_SECONDS)
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def pause(self, index, seconds):
        self.pick(index).paused = True
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def pause_after_tick(self, index, seconds):
        """Pause between a tick and the append of its records."""
        process = self.pick(index)
        process.parks = True
        self.world.advance(0.25)
        process.parks, process.paused = False, True
        self.world.advance(seconds)

    @stateful.rule(seconds=_SECONDS)
    def resume(self, seconds):
        for process in self.world.living():
            process.paused = False
        self.world.check()
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def kill(self, index, seconds):
        if len(self.world.living()) > 1:
            self.world.kill(self.pick(index))
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def restart(self, index, seconds):
        self.world.restart(self.pick(index))
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, is_dead=_BOOL, seconds=_SECONDS)
    def replace(self, index, is_dead, seconds):
        if len(self.world.living()) < 5:
            self.world.replace(self.pick(index), is_dead)
        self.world.advance(seconds)

    @stateful.rule(seconds=_SECONDS)
    def join(self, seconds):
        names = {p.name for p in self.world.living()}
        for name in sorted(set("abcd") - names)[:1]:
            number = len(self.world.processes)
            self.world.start(name, f"{name}:{number}", number)
        self.world.advance(seconds)

    @stateful.rule(down=_BOOL, seconds=_SECONDS)
    def outage(self, down, seconds):
        self.world.log.down = down
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, reads=_BOOL, appends=_BOOL, seconds=_SECONDS)
    def cut_from_log(self, index, reads, appends, seconds):
        process = self.pick(index)
        process.reads, process.appends = reads, appends
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def isolate_from_log(self, index, seconds):
        process = self.pick(index)
        process.reads = process.appends = False
        self.world.advance(seconds)

    @stateful.rule(one=_PICK, other=_PICK, is_cut=_BOOL, seconds=_SECONDS)
    def cut_between(self, one, other, is_cut, seconds):
        pair = frozenset((self.pick(one).address, self.pick(other).address))
        (self.world.cut.add if is_cut else self.world.cut.discard)(pair)
        self.world.advance(seconds)

    @stateful.rule(
        index=_PICK,
        delay_s=strategies.sampled_from([0, 1, 3.5]),
        seconds=_SECONDS,
    )
    def delay_messages(self, index, delay_s, seconds):
        self.pick(index).delay_s = delay_s
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, parks=_BOOL, seconds=_SECONDS)
    def park_appends(self, index, parks, seconds):
        self.pick(index).parks = parks
        self.world.advance(seconds)

    @stateful.rule(
        index=_PICK, times=strategies.integers(1, 2), seconds=_SECONDS
    )
    def land_append(self, index, times, seconds):
        if self.world.parked:
            self.world.land(-1 - index, times)
        self.world.advance(seconds)

    @stateful.rule(index=_PICK, batch=strategies.sampled_from([1, 50]))
    def slow_reads(self, index, batch):
        self.pick(index).batch = batch

    @stateful.rule(index=_PICK, is_isolated=_BOOL)
    def resume_before_claim_lands(self, index, is_isolated):
        """A paused process resumes while the claims of others are late."""
        process = self.pick(index)
        others = [p for p in self.world.living() if p is not process]
        process.paused = True
        self.world.advance(3.5)
        for other in others:
            other.parks = True
        self.world.advance(4.0)
        process.paused = False
        process.reads = process.appends = not is_isolated
        self.world.advance(1.5)
        while self.world.parked:
            self.world.land(0)
        for other in others:
            other.parks = False
        self.world.advance(1.0)

    @stateful.rule(
        index=_PICK, seconds=strategies.sampled_from([6, 23]), joins=_BOOL
    )
    def isolate_without_relay(self, index, seconds, joins):
        """A process loses the log while appends of its peers are late."""
        process = self.pick(index)
        others = [p for p in self.world.living() if p is not process]
        process.reads = process.appends = False
        for other in others:
            other.parks = True
        if joins:
            self.join(1)
        self.world.advance(seconds)
        for other in others:
            other.parks = False
        self.world.advance(1.0)

    @stateful.rule(index=_PICK)
    def join_then_isolate(self, index):
        """A process loses the log before it reads that it listed a peer."""
        process = self.pick(index)
        self.join(0.25)
        name = self.world.processes[-1].name
        for _ in range(8):
            record = self.world.log.last_of(process.incarnation)
            if name in record.get("members", ()):
                process.reads = process.appends = False
                break
            self.world.advance(0.25)
        self.world.advance(6.0)

    @stateful.rule(index=strategies.integers(0, 50))
    def duplicate(self, index):
        records = self.world.log.records
        if records:
            self.world.log.append(records[-1 - index % len(records)])

    @stateful.rule(record=strategies.sampled_from(_FOREIGN))
    def append_foreign(self, record):
        self.world.log.append(record)

    @stateful.rule(count=strategies.sampled_from([0, 5, 30]), seconds=_SECONDS)
    def retain(self, count, seconds):
        self.world.retain(count)
        self.world.advance(seconds)

    @stateful.rule(
        index=_PICK,
        resource=strategies.sampled_from(world.RESOURCES),
        seconds=_SECONDS,
    )
    def release(self, index, resource, seconds):
        process = self.pick(index)
        if not process.paused:
            self.world.release(process, resource)
        self.world.advance(seconds)

    def teardown(self):
        if self.world is not None and self.checks_liveness:
            self.world.settle()


class _SmallFold(ownership.LeaseTable):
    """Forgets released resources at once."""

    def __init__(self, role):
        super().__init__(role, released_limit=0)


class _Forgetting(ownership.LeaseGroup):
    def __init__(self, zone, role, *args):
        super().__init__(zone, role, *args)
        self._table = _SmallFold(role)


class ForgettingMachine(Machine):
    """The same faults while the fold forgets released resources."""

    group_class = _Forgetting
    fold_class = _SmallFold


def run(machine, examples, steps=30, seed=None):
    """Run a machine; raises AssertionError with the failing events.

    Parameters
    ----------
    machine : type
        A rule-based state machine.
    examples, steps : int
        Number of histories, and of events in each.
    seed : int, optional
        Seed of the histories; without it they are the same at each run.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if seed is not None:
        # The seed is kept in the class, hence a class for this run only.
        machine = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    stateful.run_state_machine_as_test(machine, settings=settings)
