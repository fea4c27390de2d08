"""Random faults for groups, as a hypothesis state machine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from citrondeal import ownership
from citrondeal.ownership.tests import world

_INDEX = strategies.integers(0, 5)


class Machine(stateful.RuleBasedStateMachine):
    """Two to four processes under pauses, cuts, late and lost appends."""

    group_class = ownership.Group
    checks_liveness = True

    def __init__(self):
        super().__init__()
        self.world = None

    @stateful.initialize(count=strategies.integers(2, 4))
    def begin(self, count):
        self.world = world.World(count, self.group_class)
        self.world.advance(2.0)

    def pick(self, index):
        living = self.world.living()
        return living[index % len(living)]

    @stateful.rule(seconds=strategies.sampled_from([0.25, 1, 2, 4, 6]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(index=_INDEX, seconds=strategies.sampled_from([0, 3, 6]))
    def pause(self, index, seconds):
        self.pick(index).paused = True
        self.world.advance(seconds)

    @stateful.rule()
    def resume(self):
        for process in self.world.living():
            process.paused = False
        self.world.check()

    @stateful.rule(index=_INDEX)
    def kill(self, index):
        if len(self.world.living()) > 1:
            self.world.kill(self.pick(index))

    @stateful.rule(index=_INDEX)
    def restart(self, index):
        self.world.restart(self.pick(index))

    @stateful.rule(index=_INDEX, is_dead=strategies.booleans())
    def replace(self, index, is_dead):
        if len(self.world.living()) < 6:
            self.world.replace(self.pick(index), is_dead)

    @stateful.rule()
    def join(self):
        names = {p.name for p in self.world.living()}
        for name in sorted(set("abcde") - names)[:1]:
            number = len(self.world.processes)
            self.world.start(name, f"{name}:{number}", number)

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.world.log.down = down
        self.world.advance(1.0)

    @stateful.rule(
        index=_INDEX,
        reads=strategies.booleans(),
        appends=strategies.booleans(),
    )
    def cut_from_log(self, index, reads, appends):
        process = self.pick(index)
        process.reads, process.appends = reads, appends
        self.world.advance(1.0)

    @stateful.rule(one=_INDEX, other=_INDEX, is_cut=strategies.booleans())
    def cut_between(self, one, other, is_cut):
        pair = frozenset((self.pick(one).address, self.pick(other).address))
        (self.world.cut.add if is_cut else self.world.cut.discard)(pair)

    @stateful.rule(index=_INDEX, delay_s=strategies.sampled_from([0, 1, 3.5]))
    def delay_messages(self, index, delay_s):
        self.pick(index).delay_s = delay_s

    @stateful.rule(index=_INDEX, parks=strategies.booleans())
    def park_appends(self, index, parks):
        self.pick(index).parks = parks
        self.world.advance(1.0)

    @stateful.rule(index=_INDEX, times=strategies.integers(1, 2))
    def land_append(self, index, times):
        if self.world.parked:
            self.world.land(index, times)
            self.world.advance(0.25)

    @stateful.rule(index=strategies.integers(0, 50))
    def duplicate(self, index):
        records = self.world.log.records
        if records:
            self.world.log.append(records[-1 - index % len(records)])

    @stateful.rule(
        record=strategies.sampled_from(
            [None, [], {"kind": "heartbeat"}, {"kind": "snapshot"}, 7]
        )
    )
    def append_malformed(self, record):
        self.world.log.append(record)

    @stateful.rule(count=strategies.sampled_from([0, 5, 30]))
    def retain(self, count):
        self.world.retain(count)
        self.world.advance(0.5)

    @stateful.rule(
        index=_INDEX, resource=strategies.sampled_from(world.RESOURCES)
    )
    def release(self, index, resource):
        process = self.pick(index)
        if not process.paused:
            self.world.release(process, resource)

    def teardown(self):
        if self.world is not None and self.checks_liveness:
            self.world.settle()


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
        derandomize=seed is None,
        phases=[hypothesis.Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if seed is not None:
        machine = hypothesis.seed(seed)(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)
