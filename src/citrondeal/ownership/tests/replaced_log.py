"""Histories in which the log is replaced by an empty one.

A process notices this at its next read, unless the new log is by then as long
as the earlier one was.  The earlier logs here are too long for that.
"""

from hypothesis import stateful
from hypothesis import strategies

from citrondeal import ownership
from citrondeal.ownership.tests import machine
from citrondeal.ownership.tests import simulation

# More than the processes of one history append to the new log.
_EARLIER_RECORDS = 5000
_PICK = strategies.integers(0, 7)
_SECONDS = strategies.sampled_from([0.25, 1, 2.5, 5])
_BOOL = strategies.booleans()


def lengthen(run):
    """Append records that no process can use, so that the log is long."""
    for _ in range(_EARLIER_RECORDS):
        run.log.append(None)
    for process in run.alive_processes():
        process.batch = 2 * _EARLIER_RECORDS
    run.advance(1.0)
    for process in run.alive_processes():
        process.batch = 50


def replace(run):
    """Replace the log, and the table that the records alone give."""
    run.log.first = 0
    run.log.records = []
    run.table = type(run.table)("gateway")


def _with_cut_holder(group_class):
    """Return a simulation and a holder that keeps its leases by promises."""
    run = simulation.Simulation(3, group_class)
    lengthen(run)
    run.advance(10.0)
    lease = run.table.leases["r0"]
    (holder,) = [p for p in run.alive_processes() if p.name == lease.holder]
    holder.reads = holder.appends = False
    run.advance(6.0)
    assert run.holders("r0") == [holder]
    return run, holder


def unlisted_process(group_class=ownership.LeaseGroup):
    """Replace the log while a holder is cut off from it.

    A process that the holder doesn't ask for promises reads the new log.
    """
    run, _ = _with_cut_holder(group_class)
    run.start("d", "d:1", 1)
    run.advance(6.0)
    replace(run)
    run.advance(simulation.RECOVERY_LIMIT_S)
    run.check_recovery()


def late_first_claim(group_class=ownership.LeaseGroup):
    """Claim of an unclaimed resource that takes effect in the new log.

    Another process has claimed the resource in the earlier log and can't
    read the new one.
    """
    run = simulation.Simulation(0, group_class)
    for _ in range(_EARLIER_RECORDS):
        run.log.append(None)
    late, holder = run.start("a", "a:1"), run.start("b", "b:1", 1)
    late.batch = holder.batch = 2 * _EARLIER_RECORDS
    for process in run.alive_processes():
        process.group.set_wanted([], process.clock(run.time_s))
    run.advance(2.0)
    late.postpones_appends = True
    late.group.set_wanted(["r0"], late.clock(run.time_s))
    run.advance(2.0)
    assert any(r.get("claims") for r in run.postponed_appends)
    holder.group.set_wanted(["r0"], holder.clock(run.time_s))
    run.advance(2.0)
    assert run.holders("r0") == [holder]
    holder.paused = True
    replace(run)
    while run.postponed_appends:
        run.append_postponed(0)
    late.postpones_appends = False
    run.advance(0.5)
    holder.paused = False
    holder.reads = holder.appends = False
    run.check()
    run.advance(3.0)


def later_process(group_class=ownership.LeaseGroup):
    """Start a process on the new log while a holder is cut off from it."""
    run, _ = _with_cut_holder(group_class)
    replace(run)
    # Longer than a read and a promise.
    run.advance(6.0)
    # Nothing tells the new process of the earlier holder, so that it has no
    # bound of its validity.
    run.last_valid_at = {name: {} for name in simulation.RESOURCES}
    process = run.start("d", "d:1", 1)
    run.advance(2.0)
    assert run.holders("r0") == [process], run.holders("r0")
    run.advance(simulation.RECOVERY_LIMIT_S)


def released_after_replacement(group_class=ownership.LeaseGroup):
    """Release a resource soon, and again long after a replacement.

    The bound of the previous holder covers the holder that released, as
    long as one that only the earlier log names has to be bounded too.
    """
    run = simulation.Simulation(2, group_class)
    lengthen(run)
    run.advance(10.0)
    replace(run)
    run.advance(simulation.RECOVERY_LIMIT_S)
    (holder,) = run.holders("r0")
    (other,) = [p for p in run.alive_processes() if p is not holder]
    released_at = run.time_s
    _hand_over(run, holder, other)
    bound = other.group.previous_valid_until("r0")
    assert bound is not None and bound >= other.clock(released_at), bound
    run.advance(2.0 * simulation.CONFIG.outage_limit_s)
    _hand_over(run, other, holder)
    assert holder.group.previous_valid_until("r0") is None


def _hand_over(run, holder, other):
    holder.group.set_wanted([], holder.clock(run.time_s))
    other.group.set_wanted(["r0"], other.clock(run.time_s))
    run.release(holder, "r0")
    run.advance(5.0)
    assert run.holders("r0") == [other]


class Machine(machine.Machine):
    """Replaces the log once; no process starts on the new one."""

    def __init__(self):
        super().__init__()
        self.is_replaced = False

    @stateful.initialize(count=strategies.integers(2, 4))
    def begin(self, count):
        self.simulation = simulation.Simulation(count, self.group_class)
        lengthen(self.simulation)
        self.simulation.advance(3.0)

    @stateful.rule(seconds=_SECONDS)
    def replace_log(self, seconds):
        # A process that has not read the earlier log counts as one that
        # starts on the new log.
        have_read = all(
            process.follower.position >= _EARLIER_RECORDS
            for process in self.simulation.alive_processes()
        )
        if have_read and not self.is_replaced:
            self.is_replaced = True
            replace(self.simulation)
        self.simulation.advance(seconds)

    @stateful.rule(index=_PICK, seconds=_SECONDS)
    def restart(self, index, seconds):
        if not self.is_replaced:
            super().restart(index, seconds)

    @stateful.rule(index=_PICK, is_dead=_BOOL, seconds=_SECONDS)
    def replace(self, index, is_dead, seconds):
        if not self.is_replaced:
            super().replace(index, is_dead, seconds)

    @stateful.rule(seconds=_SECONDS)
    def join(self, seconds):
        if not self.is_replaced:
            super().join(seconds)

    @stateful.rule(index=_PICK)
    def join_then_isolate(self, index):
        if not self.is_replaced:
            super().join_then_isolate(index)
