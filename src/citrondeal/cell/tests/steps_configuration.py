"""Steps for the source of the configuration."""

import json

import anyio
from behave import given
from behave import then
from behave import when
import result

from citrondeal.cell import _configuration
from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform

READER = _records.Member("a-strong", "a-strong:1", "zone-a", 2.0)
WEAK = _records.Member("b-weak", "b-weak:1", "zone-a", 0.5)
REMOTE = _records.Member("c-strong", "c-strong:1", "zone-b", 4.0)


def _config(version):
    return json.dumps({"version": version, "routes": []}).encode()


class _Store:
    """Has one configuration and counts the reads."""

    def __init__(self):
        self.version = 3
        self.reads = 0
        self.failing = False

    async def read_newest(self, topic):
        self.reads += 1
        if self.failing:
            return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, "no"))
        return result.Ok((8, [self._record()]))

    async def read(self, topic, start, wait_s):
        self.reads += 1
        await anyio.sleep(0.01)
        if self.failing:
            return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, "no"))
        return result.Ok(platform.Batch(8, 8, []))

    def _record(self):
        return platform.Record(platform.CONFIG_KEY, _config(self.version), 7)


class _Links:
    """Calls the `Configuration` of the reader, unless it is gone."""

    def __init__(self):
        self.peer = None
        self.asked = []

    async def call(self, address, query, timeout_s):
        self.asked.append(address)
        await anyio.sleep(0)
        if self.peer is None:
            raise peers.PeerError("gone", maybe_sent=False)
        return self.peer.answer(query)


def _source(context, member, others):
    store = _Store()
    source = _configuration.Configuration(
        store,
        context.links,
        member,
        lambda: {other.name: other for other in others},
    )
    return store, source


async def _run_until(sources, condition):
    async with anyio.create_task_group() as task_group:
        for source in sources:
            task_group.start_soon(source.run)
        with anyio.fail_after(5.0):
            while not condition():
                await anyio.sleep(0.01)
        task_group.cancel_scope.cancel()


@given("cell members of one zone, of which one is strong")
def _(context):
    context.links = _Links()
    everyone = (READER, WEAK, REMOTE)
    context.reader = _source(context, READER, everyone[1:])
    context.weak = _source(context, WEAK, (READER, REMOTE))


@when("the cell member that reads the store is there")
def _(context):
    context.links.peer = context.reader[1]
    sources = [context.reader[1], context.weak[1]]
    anyio.run(_run_until, sources, lambda: all(s.catalog for s in sources))


@then("only the cell strong member has read the configuration")
def _(context):
    assert context.reader[0].reads and not context.weak[0].reads
    assert context.weak[1].catalog.version == 3
    assert set(context.links.asked) == {READER.address}, context.links.asked


@when("the cell member that reads the store is gone")
def _(context):
    source = context.weak[1]
    anyio.run(_run_until, [source], lambda: source.catalog)


@then("the cell weak member has read the configuration itself")
def _(context):
    assert context.weak[0].reads and context.weak[1].catalog.version == 3


@then("a cell member without the store asks the reader when it is back")
def _(context):
    reader = context.reader[1]
    store, source = _source(context, WEAK, (READER, REMOTE))
    store.failing = True

    async def come_back():
        await anyio.sleep(0.3)
        context.links.peer = reader

    async def run():
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(come_back)
            await _run_until([reader, source], lambda: source.catalog)

    anyio.run(run)
    assert store.reads and source.catalog.version == 3


@then("a cell member that has lost the store has no configuration for others")
def _(context):
    query = ttypes.Records(stream=platform.OPERATOR_TOPIC, start=0, limit=1)
    store, source = context.reader
    assert isinstance(source.answer(query), ttypes.Fault)
    anyio.run(_run_until, [source], lambda: source.catalog)
    assert source.answer(query).offsets == [7]
    store.failing = True
    anyio.run(
        _run_until,
        [source],
        lambda: isinstance(source.answer(query), ttypes.Fault),
    )
