"""Steps for leases that are kept in the log."""

import json

from behave import then

from citrondeal import ownership
from citrondeal.ownership.tests import histories
from citrondeal.ownership.tests import machine
from citrondeal.ownership.tests import mutations
from citrondeal.ownership.tests import reference
from citrondeal.ownership.tests import replaced_log


def _fails(function, *args):
    try:
        function(*args)
    except AssertionError:
        return True
    return False


@then("ownership the state machine passes {count:d} histories")
def machine_passes(context, count):
    machine.run(machine.Machine, count)


@then(
    "ownership the state machine passes {count:d} histories that forget "
    "releases"
)
def forgetting_machine_passes(context, count):
    machine.run(machine.ForgettingMachine, count)


@then(
    'ownership the state machine finds the mutation "{name}" with seed '
    "{seed:d}"
)
def machine_finds(context, name, seed):
    class Mutated(machine.Machine):
        group_class = mutations.MUTATIONS[name]
        # The checks of safety must find all mutations but that of liveness.
        checks_liveness = name == "no claims"

    assert _fails(machine.run, Mutated, 40, 30, seed), name


@then("ownership a late claim of a restarted process gives no second holder")
def late_claim(context):
    histories.late_claim_of_restarted_process()


@then('ownership the mutation "{name}" gives a second one')
def late_claim_mutated(context, name):
    group_class = mutations.MUTATIONS[name]
    assert _fails(histories.late_claim_of_restarted_process, group_class)


def _lease_states(table):
    return {
        name: (
            lease.epoch,
            lease.holder,
            lease.incarnation,
            lease.held,
            lease.offset,
            lease.early_claimants,
            lease.age_s,
        )
        for name, lease in table.leases.items()
    }


def _table_after(history, table=None, start=0):
    table = table or ownership.LeaseTable("gateway")
    for offset in range(start, len(history)):
        table.apply(offset, history[offset][0])
    return table


@then(
    "ownership the lease table of {count:d} random histories equals the "
    "reference"
)
def table_equals_reference(context, count):
    claim_count = 0
    for seed in range(count):
        history = reference.history(seed)
        table = _table_after(history)
        assert _lease_states(table) == reference.lease_states(history), seed
        assert table.malformed == sum(not ok for _, ok in history), seed
        claim_count += sum(lease.epoch for lease in table.leases.values())
    assert claim_count > 5 * count


@then(
    "ownership lease tables of {count:d} histories from snapshots equal the "
    "whole"
)
def table_from_snapshot(context, count):
    for seed in range(count):
        history = reference.history(seed)
        cut = seed % len(history)
        state = _table_after(history[:cut]).state()
        copy = ownership.LeaseTable("gateway")
        copy.load(json.loads(json.dumps(state)))
        assert _table_after(history, copy, cut).state() == (
            _table_after(history).state()
        ), seed


@then("ownership the comparison finds a lease table without compare-and-set")
def comparison_finds(context):
    group_class = mutations.MUTATIONS["claim without compare-and-set"]
    difference_count = 0
    for seed in range(20):
        history = reference.history(seed)
        table = group_class("z", "gateway", "a", "1", "a:1", None)._table
        difference_count += _lease_states(
            _table_after(history, table)
        ) != reference.lease_states(history)
    assert difference_count


@then("ownership a forgotten resource continues above its last epoch")
def forgotten_resource(context):
    table = ownership.LeaseTable("gateway", released_limit=1)
    changed_fields = (
        {"claims": {"r": [1, -1], "s": [1, -1]}},
        {"releases": {"r": [1, None], "s": [1, None]}},
        # Both resources had epoch 1; "r" was dropped, since it sorts first.
        {"claims": {"r": [1, -1], "s": [1, -1]}},
        {"claims": {"r": [2, -1]}},
    )
    for offset, fields in enumerate(changed_fields):
        table.apply(offset, {**_HEARTBEAT, "seq": offset, **fields})
        copy = ownership.LeaseTable("gateway", released_limit=1)
        copy.load(json.loads(json.dumps(table.state())))
        assert copy.state() == table.state()
    assert table.leases["r"].epoch == 2 and table.leases["r"].held
    assert not table.leases["s"].held


def _group(name="a"):
    return ownership.LeaseGroup("z", "gateway", name, f"{name}1", f"{name}:1")


_HEARTBEAT = {
    "kind": "heartbeat",
    "process": "b",
    "incarnation": "b1",
    "address": "b:1",
    "role": "gateway",
    "seq": 1,
    "members": {},
    "holds": {},
    "claims": {},
    "releases": {},
    "relay_of": None,
    "relay_incarnation": None,
}
_MALFORMED_VALUES = {
    "process": ["", None, 3],
    "incarnation": [None, []],
    "address": ["", 1],
    "role": [None],
    "seq": [None, -1, True, 1.0, "1"],
    "members": [None, [], {"a": 1}],
    "holds": [None, {"r": None}, {"r": -1}, {"r": True}],
    "claims": [None, {"r": [1]}, {"r": [1, -2]}, {"r": "ab"}],
    "releases": [[], {"r": [1, -1]}, {"r": [1, float("nan")]}, {"r": 1}],
    "relay_of": [1, "b"],
}


@then("ownership malformed records are skipped and counted")
def malformed_records(context):
    group = _group()
    group.on_log_end_read(0.0, True)
    offset = 0
    for key, values in _MALFORMED_VALUES.items():
        for value in values:
            actions = group.on_record(offset, {**_HEARTBEAT, key: value}, 1.0)
            offset += 1
            assert actions == [], (key, value)
            assert group.malformed == offset, (key, value)
    group.on_record(offset, _HEARTBEAT, 1.0)
    group.on_log_end_read(1.0, True)
    assert group.malformed == offset
    assert group.members(1.0) == ["a", "b"]


@then("ownership malformed snapshots are refused without a change")
def malformed_snapshots(context):
    group = _sole_member(["r"])
    before = group.snapshot()
    rows = {"r": [1, "a", "i", True, 3, 9, None]}
    for state in (
        [],
        {},
        {**before, "leases": rows},
        {**before, "incarnations": [[1]]},
        {**before, "position": "x"},
    ):
        is_loaded, actions = group.load(state, 3.0)
        assert not is_loaded and actions == []
        assert group.snapshot() == before


def _records(actions):
    kind = ownership.AppendRecord
    return [a.record for a in actions if isinstance(a, kind)]


class _SharedLog:
    """Log whose records several groups read at once, on one clock."""

    def __init__(self, *groups):
        self.groups = list(groups)
        self.next = 0
        self.drains = []

    def run(self, start, end):
        now = start
        while now < end:
            for group in self.groups:
                actions = group.tick(now)
                for record in _records(actions):
                    self.append(record, now)
                for action in actions:
                    if isinstance(action, ownership.Drain):
                        self.drains.append(now)
                        group.release(action.resource, now)
            for group in self.groups:
                group.on_log_end_read(now, True)
            now += 0.25

    def append(self, record, now):
        for group in self.groups:
            group.on_record(self.next, record, now)
        self.next += 1


def _sole_member(resources):
    group = _group()
    group.set_wanted(resources, 0.0)
    _SharedLog(group).run(0.0, 2.0)
    return group


@then("ownership the bound is None for a first holder and after a release")
def bound_after_release(context):
    one, other = _group("a"), _group("b")
    one.set_wanted(["r"], 0.0)
    log = _SharedLog(one, other)
    log.run(0.0, 3.0)
    assert one.valid_until("r", 3.0) is not None
    assert one.previous_valid_until("r") is None
    one.set_wanted([], 3.0)
    other.set_wanted(["r"], 3.0)
    one.release("r", 3.0)
    assert one.valid_until("r", 3.0) is None
    log.run(3.0, 6.0)
    assert other.valid_until("r", 6.0) is not None
    assert other.holder_of("r") == ("b", "b1", 2)
    assert other.previous_valid_until("r") is None


@then("ownership the bound after a crash covers the lease of the holder")
def bound_after_crash(context):
    one, other = _group("a"), _group("b")
    one.set_wanted(["r"], 0.0)
    log = _SharedLog(one, other)
    log.run(0.0, 3.0)
    end = one.valid_until("r", 3.0)
    log.groups.remove(one)
    other.set_wanted(["r"], 3.0)
    log.run(3.0, 10.0)
    assert other.valid_until("r", 10.0) is not None
    assert end <= other.previous_valid_until("r") <= end + 1.5


@then("ownership resources of a killed holder are held again in {limit:g} s")
def takeover(context, limit):
    assert histories.killed_holder() <= limit


@then("ownership a group that restarts at once has holders in {limit:g} s")
def group_restart(context, limit):
    assert histories.restart_of_the_group() <= limit


@then("ownership a cut holder stays the only holder for {seconds:g} s")
def cut_holder(context, seconds):
    names, holder, relays = histories.cut_holder(seconds)
    assert names == {holder}, names
    # Both peers relay a renewal each second once they are asked.
    assert relays >= seconds, relays


@then("ownership a joined process gets its share after the stable time")
def joined_member_gets_share(context):
    before, after = histories.joined_process()
    assert before == {"a"}
    for resource, name in after.items():
        assert name == ownership.rendezvous_order(resource, "ab")[0], resource
    assert "b" in after.values()


@then("ownership a member that does not want a resource is offered it rarely")
def rare_drains(context):
    # A resource for which "b" is preferred, and which "b" never claims.
    names = (f"r{number}" for number in range(100))
    resource = next(
        r for r in names if ownership.rendezvous_order(r, "ab")[0] == "b"
    )
    one, other = _group("a"), _group("b")
    one.set_wanted([resource], 0.0)
    log = _SharedLog(one, other)
    log.run(0.0, 200.0)
    # The first request comes after 10 s, then the waits are doubled.
    drains = log.drains
    assert 4 <= len(drains) <= 6, drains
    assert one.valid_until(resource, 200.0) is not None


@then("ownership a promise longer than the wait is refused")
def long_promise(context):
    try:
        ownership.Config(promise_ttl_s=5.0)
    except ValueError:
        return
    raise AssertionError("a promise longer than the wait was accepted")


_REPLACED_LOG_HISTORIES = {
    "unlisted process": replaced_log.unlisted_process,
    "late first claim": replaced_log.late_first_claim,
    "later process": replaced_log.later_process,
    "release": replaced_log.released_after_replacement,
}


@then(
    "ownership the state machine passes {count:d} histories with a replaced "
    "log"
)
def replaced_log_machine_passes(context, count):
    machine.run(replaced_log.Machine, count)


@then('ownership the history "{history}" of a replaced log passes')
def replaced_log_passes(context, history):
    _REPLACED_LOG_HISTORIES[history]()


@then('ownership the history "{history}" finds the mutation "{name}"')
def replaced_log_finds(context, history, name):
    group_class = mutations.MUTATIONS[name]
    assert _fails(_REPLACED_LOG_HISTORIES[history], group_class), name
