"""Steps for owners that end while the claim of their process stands."""

import anyio
from behave import given
from behave import then
from behave import when

from citrondeal.cell import _members
from citrondeal.cell import _ownership
from citrondeal.cell import _records
from citrondeal.cell.tests import memory_store
from citrondeal import election
from citrondeal import platform

LIMIT_S = 5.0


class _EndedOwner:
    """An owner that ends at once, as when the store rejects its progress."""

    def __init__(self, epoch):
        self.epoch = epoch

    async def run(self):
        await anyio.sleep(0)


def _claim(epoch, name):
    claim = election.Claim(epoch, name, name, f"{name}:1")
    return platform.Record(_records.OWNER_KEY, _records.encode(claim))


class _Process:
    """The membership and the ownership of one process."""

    def __init__(self, store, task_group):
        self.epochs = []
        self.members = _members.Membership(
            store,
            None,
            _records.Member("a", "a:1", "zone", 1.0),
            election.Election("a", "a"),
            "a",
            self._on_owner_change,
        )
        self.ownership = _ownership.Ownership(
            self.members, self._create_owner, task_group
        )

    def _create_owner(self, epoch):
        self.epochs.append(epoch)
        return _EndedOwner(epoch)

    def _on_owner_change(self, earlier_address):
        self.ownership.on_owner_change()


@given("a cell member whose owner ends although its claim is the newest")
def _(context):
    context.store = memory_store.MemoryStore()
    context.store.put(_records.CELL_TOPIC, [_claim(3, "a")])


def _newest_claim(store):
    (record,) = store.newest(_records.CELL_TOPIC)
    return _records.decode_claim(record.value)


@when("the cell member has run its owner")
def _(context):
    async def run():
        async with anyio.create_task_group() as task_group:
            process = _Process(context.store, task_group)
            await process.members.load()
            task_group.start_soon(process.members._follower.run)
            activity = context.activity = set()
            with anyio.move_on_after(LIMIT_S):
                while process.members.election.is_owner:
                    await anyio.sleep(0.01)
                    activity.add(process.ownership.active)
            context.epochs = process.epochs
            task_group.cancel_scope.cancel()

    anyio.run(run)


@then("the cell member has released its ownership")
def _(context):
    claim = _newest_claim(context.store)
    assert (claim.epoch, claim.holder) == (3, ""), claim
    assert context.epochs == [3], context.epochs
    # Other members learn of the end also while the store is unreachable.
    assert context.activity == {False}, context.activity


@given("a cell member whose owner ends because of a claim that is not read")
def _(context):
    context.store = memory_store.MemoryStore()
    context.store.put(_records.CELL_TOPIC, [_claim(3, "a")])

    async def claim_first(topic, records):
        context.store.before_append = None
        context.store.put(_records.CELL_TOPIC, [_claim(4, "b")])

    context.store.before_append = claim_first


@then("the cell ownership is still that of the newer claim")
def _(context):
    claim = _newest_claim(context.store)
    assert (claim.epoch, claim.holder) == (4, "b"), claim


@then("a cell owner that is replaced before it starts does nothing")
def _(context):
    async def run():
        async with anyio.create_task_group() as task_group:
            store = memory_store.MemoryStore()
            process = _Process(store, task_group)
            store.put(_records.CELL_TOPIC, [_claim(3, "b")])
            await process.members.load()
            store.put(_records.CELL_TOPIC, [_claim(4, "a"), _claim(5, "b")])
            await process.members._follower.read_once()
            await anyio.wait_all_tasks_blocked()
            return process.epochs

    assert anyio.run(run) == []
