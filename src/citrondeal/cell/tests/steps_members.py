"""Steps for members that claim and release the ownership."""

import anyio
from behave import given
from behave import then
from behave import when
import result

from citrondeal.cell import _members
from citrondeal.cell import _records
from citrondeal import election
from citrondeal import errors
from citrondeal import platform

SILENCE_S = 0.5


class _Store:
    """One topic; an append may require that the topic ends at an offset."""

    def __init__(self):
        self.records = []

    async def append(self, topic, records, at=None, producer=None):
        if at is not None and at != len(self.records):
            return result.Err(errors.Failure(errors.Kind.CONFLICT, "end"))
        offset = len(self.records)
        for record in records:
            self.records.append(
                platform.Record(record.key, record.value, len(self.records))
            )
        return result.Ok(offset)

    async def read_newest(self, topic):
        newest = {record.key: record for record in self.records}
        return result.Ok((len(self.records), list(newest.values())))

    def claim(self):
        """Return the newest claim."""
        newest = {record.key: record for record in self.records}
        return _records.decode_claim(newest[_records.OWNER_KEY].value)


def _claim(epoch, name):
    claim = election.Claim(epoch, name, name, f"{name}:1")
    return platform.Record(_records.OWNER_KEY, _records.encode(claim))


@given("a cell member that owns the cell")
def _(context):
    context.store = store = _Store()
    anyio.run(store.append, "", [_claim(1, "a")])
    member = _records.Member("a", "a:1", "zone", 1.0)
    state = election.Election("a", "a")
    context.member = _members.Membership(
        store, None, member, state, "a", lambda _: None
    )
    anyio.run(context.member.load)
    assert state.is_owner


class _PartialStore(_Store):
    """Answers a read with one record, as if more were too large."""

    async def read(self, topic, start, wait_s):
        end = len(self.records)
        records = self.records[start : start + 1]
        return result.Ok(
            platform.Batch(end, start + len(records), list(records))
        )


@given("a cell member that has read only a part of the records")
def _(context):
    context.store = store = _PartialStore()
    member = _records.Member("a", "a:1", "zone", 1.0)
    context.member = _members.Membership(
        store, None, member, election.Election("a", "a"), "a", lambda _: None
    )

    async def run():
        await store.append("", [_claim(1, "b")])
        await context.member.load()
        other = platform.Record("member/c", b"")
        await store.append("", [other, _claim(2, "b")])
        await context.member._follower.read_once()

    anyio.run(run)


@when("the cell member claims the ownership")
def _(context):
    anyio.run(context.member._claim)


@when("a cell member leaves without having read the claim of another member")
def _(context):
    anyio.run(context.store.append, "", [_claim(2, "b")])
    anyio.run(context.member.leave)


@then("the cell claim of the other member is still the newest")
def _(context):
    claim = context.store.claim()
    assert (claim.epoch, claim.holder) == (2, "b"), claim


@when("a cell member leaves")
def _(context):
    anyio.run(context.member.leave)


@then("the cell has no owner")
def _(context):
    claim = context.store.claim()
    assert claim.epoch == 1 and not claim.holder, claim


class _SilentStore(_Store):
    """Does not answer its first call, which then fails."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    async def read_newest(self, topic):
        self.calls += 1
        if self.calls == 1:
            await anyio.sleep(SILENCE_S)
            return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, "gone"))
        return await super().read_newest(topic)


@then("a cell member that waited for the store counts only its answer")
def _(context):
    member = _records.Member("a", "a:1", "zone", 1.0)
    state = election.Election("a", "a")
    membership = _members.Membership(
        _SilentStore(), None, member, state, "a", lambda _: None
    )
    anyio.run(membership.load)
    assert membership._claim_delay_s() < SILENCE_S, membership._claim_delay_s()


class _CompactedStore(_Store):
    """Answers each read that the records were deleted."""

    async def read(self, topic, start, wait_s):
        return result.Err(errors.Failure(errors.Kind.CONFLICT, "deleted"))


@then(
    "a cell member that reads its claim again reports no change of the owner"
)
def _(context):
    store = _CompactedStore()
    member = _records.Member("a", "a:1", "zone", 1.0)
    state = election.Election("a", "a")
    changes = []
    membership = _members.Membership(
        store, None, member, state, "a", changes.append
    )

    async def run():
        await store.append("", [_claim(1, "a")])
        await membership.load()
        await membership._follower.read_once()

    anyio.run(run)
    assert state.is_owner
    assert changes == [None], changes
