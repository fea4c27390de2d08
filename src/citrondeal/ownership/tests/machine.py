"""Random faults of lease groups, as a hypothesis state machine.

Hypothesis orders the rules by number of arguments and name, and arguments by
name.  A rename that changes this order changes the events of each seed.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from citrondeal import ownership
from citrondeal.ownership.tests import simulation

_PICK = strategies.integers(0, 7)
_SECONDS = strategies.sampled_from([0.25, 1, 2.5, 5])
_BOOL = strategies.booleans()
_UNUSABLE_RECORDS = (
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
    table_class = ownership.LeaseTable
    checks_liveness = True

    def __init__(self):
        super().__init__()
        self.simulation = None

    @stateful.initialize(count=strategies.integers(2, 4))
    def begin(self, count):
        self.simulation = simulation.Simulation(
            count, self.group_class, table_class=self.table_class
        )
        self.simulation.advance(3.0)

    def pick(self, index):
        """Return the holder of one of three resources, or any process."""
        alive = self.simulation.alive_processes()
        if index < len(simulation.RESOURCES):
            lease = self.simulation.table.leases.get(
                simulation.RESOURCES[index]
            )
            for process in alive:
                if lease and process.incarnation == lease.incarnation:
                    return process
        return alive[index % len(alive)]

    @stateful.rule(seconds=_SECONDS)
    def advance(self, seconds):
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def pause(self, index, seconds):
        self.pick(index).paused = True
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def pause_after_tick(self, index, seconds):
        """Pause a process between a tick and the append of its records."""
        process = self.pick(index)
        process.postpones_appends = True
        self.simulation.advance(0.25)
        process.postpones_appends, process.paused = False, True
        self.simulation.advance(seconds)

    @stateful.rule(seconds=_SECONDS)
    def resume(self, seconds):
        for process in self.simulation.alive_processes():
            process.paused = False
        self.simulation.check()
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def kill(self, index, seconds):
        if len(self.simulation.alive_processes()) > 1:
            self.simulation.kill(self.pick(index))
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def restart(self, index, seconds):
        self.simulation.restart(self.pick(index))
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, is_dead=_BOOL, seconds=_SECONDS)
    def replace(self, index, is_dead, seconds):
        if len(self.simulation.alive_processes()) < 5:
            self.simulation.replace(self.pick(index), is_dead)
        self.simulation.advance(seconds)

    @stateful.rule(seconds=_SECONDS)
    def join(self, seconds):
        names = {p.name for p in self.simulation.alive_processes()}
        for name in sorted(set("abcd") - names)[:1]:
            number = len(self.simulation.processes)
            self.simulation.start(name, f"{name}:{number}", number)
        self.simulation.advance(seconds)

    @stateful.rule(down=_BOOL, seconds=_SECONDS)
    def log_outage(self, down, seconds):
        self.simulation.log.down = down
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, reads=_BOOL, appends=_BOOL, seconds=_SECONDS)
    def cut_from_log(self, index, reads, appends, seconds):
        process = self.pick(index)
        process.reads, process.appends = reads, appends
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def isolate_from_log(self, index, seconds):
        process = self.pick(index)
        process.reads = process.appends = False
        self.simulation.advance(seconds)

    @stateful.rule(one=_PICK, other=_PICK, is_cut=_BOOL, seconds=_SECONDS)
    def cut_between(self, one, other, is_cut, seconds):
        pair = frozenset((self.pick(one).address, self.pick(other).address))
        (
            self.simulation.cut_links.add
            if is_cut
            else self.simulation.cut_links.discard
        )(pair)
        self.simulation.advance(seconds)

    @stateful.rule(
        index=_PICK,
        delay_s=strategies.sampled_from([0, 1, 3.5]),
        seconds=_SECONDS,
    )
    def delay_messages(self, index, delay_s, seconds):
        self.pick(index).delay_s = delay_s
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, postpones_appends=_BOOL, seconds=_SECONDS)
    def postpone_appends(self, index, postpones_appends, seconds):
        self.pick(index).postpones_appends = postpones_appends
        self.simulation.advance(seconds)

    @stateful.rule(
        index=_PICK, times=strategies.integers(1, 2), seconds=_SECONDS
    )
    def perform_postponed_append(self, index, times, seconds):
        if self.simulation.postponed_appends:
            self.simulation.append_postponed(-1 - index, times)
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, batch=strategies.sampled_from([1, 50]))
    def slow_reads(self, index, batch):
        self.pick(index).batch = batch

    @stateful.rule(index=_PICK, is_isolated=_BOOL)
    def resume_before_claim_is_appended(self, index, is_isolated):
        """Resume a paused process while appends of its peers are late."""
        process = self.pick(index)
        others = [
            p for p in self.simulation.alive_processes() if p is not process
        ]
        process.paused = True
        self.simulation.advance(3.5)
        for other in others:
            other.postpones_appends = True
        self.simulation.advance(4.0)
        process.paused = False
        process.reads = process.appends = not is_isolated
        self.simulation.advance(1.5)
        while self.simulation.postponed_appends:
            self.simulation.append_postponed(0)
        for other in others:
            other.postpones_appends = False
        self.simulation.advance(1.0)

    @stateful.rule(
        index=_PICK, seconds=strategies.sampled_from([6, 23]), joins=_BOOL
    )
    def isolate_without_relay(self, index, seconds, joins):
        """Cut a process from the log while appends of its peers are late."""
        process = self.pick(index)
        others = [
            p for p in self.simulation.alive_processes() if p is not process
        ]
        process.reads = process.appends = False
        for other in others:
            other.postpones_appends = True
        if joins:
            self.join(1)
        self.simulation.advance(seconds)
        for other in others:
            other.postpones_appends = False
        self.simulation.advance(1.0)

    @stateful.rule(index=_PICK)
    def join_then_isolate(self, index):
        """Cut a process from the log once it has listed a new peer.

        It does not read back the heartbeat that lists the peer.
        """
        process = self.pick(index)
        self.join(0.25)
        name = self.simulation.processes[-1].name
        for _ in range(8):
            record = self.simulation.log.last_of(process.incarnation)
            if name in record.get("members", ()):
                process.reads = process.appends = False
                break
            self.simulation.advance(0.25)
        self.simulation.advance(6.0)

    @stateful.rule(index=strategies.integers(0, 50))
    def duplicate(self, index):
        records = self.simulation.log.records
        if records:
            self.simulation.log.append(records[-1 - index % len(records)])

    @stateful.rule(record=strategies.sampled_from(_UNUSABLE_RECORDS))
    def append_unusable(self, record):
        self.simulation.log.append(record)

    @stateful.rule(count=strategies.sampled_from([0, 5, 30]), seconds=_SECONDS)
    def retain(self, count, seconds):
        self.simulation.retain(count)
        self.simulation.advance(seconds)

    @stateful.rule(
        index=_PICK,
        resource=strategies.sampled_from(simulation.RESOURCES),
        seconds=_SECONDS,
    )
    def release(self, index, resource, seconds):
        process = self.pick(index)
        if not process.paused:
            self.simulation.release(process, resource)
        self.simulation.advance(seconds)

    def teardown(self):
        if self.simulation is not None and self.checks_liveness:
            self.simulation.check_recovery()


class _ForgettingTable(ownership.LeaseTable):
    """Lease table that drops released resources at once."""

    def __init__(self, role):
        super().__init__(role, released_limit=0)


class _ForgettingGroup(ownership.LeaseGroup):
    def __init__(self, zone, role, *args):
        super().__init__(zone, role, *args)
        self._table = _ForgettingTable(role)


class ForgettingMachine(Machine):
    """The same faults while the lease table drops released resources."""

    group_class = _ForgettingGroup
    table_class = _ForgettingTable


def run(machine, examples, steps=30, seed=None):
    """Run a machine; raise AssertionError with the failing events.

    Parameters
    ----------
    machine : type
        Rule-based state machine.
    examples, steps : int
        Number of histories, and of events in each.
    seed : int, optional
        Seed of the histories.  Without it they are the same in each run,
        as long as the source of the machine is the same.
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
        # The seed is stored in the class, so this run gets a class of its own.
        machine = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    stateful.run_state_machine_as_test(machine, settings=settings)
