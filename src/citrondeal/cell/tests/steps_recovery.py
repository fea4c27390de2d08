"""Steps for queries that reach an owner while it recovers."""

from unittest import mock

import anyio
from behave import then
import msgspec
import result

from citrondeal.cell import _clock
from citrondeal.cell import _desk
from citrondeal.cell import _job_topics
from citrondeal.cell import _owner
from citrondeal.cell import _records
from citrondeal.cell.tests import doubles
from citrondeal.cell.tests import memory_store
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal.runtime.tests import virtual_time
from citrondeal import workflow

JOB = "0123456789abcdef"
# Nothing listens at its address.
WORKER = msgspec.json.encode(
    {
        "service": "lanes",
        "address": "127.0.0.1:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1000, "mem-mb": 1000},
        "labels": [],
        "clock-ms": 1,
        "born": 1,
    }
)
STORE_DELAY_S = 0.001
MAX_TURNS = 20_000  # of the event loop, until the recovery must be complete


class _Members:
    """A member that is the owner of the cell."""

    class election:
        is_owner = True


class _Store:
    """Holds the end of a job whose submission was deleted."""

    def __init__(self):
        self.reads = []
        progress = workflow.Progress(workflow.JobState.COMPLETED)
        self.state = [
            platform.Record(
                _records.job_key(JOB), workflow.encode(progress), 0
            )
        ]

    async def append(self, topic, records, at=None, producer=None):
        await anyio.sleep(STORE_DELAY_S)
        return result.Ok(1)

    async def read_newest(self, topic):
        await anyio.sleep(STORE_DELAY_S)
        self.reads.append(topic)
        if topic == platform.WORKERS_TOPIC:
            return result.Ok((1, [platform.Record("w", WORKER, 0)]))
        is_state = topic == _records.STATE_TOPIC
        return result.Ok((2, self.state if is_state else []))

    async def read(self, topic, start, wait_s):
        await anyio.sleep(wait_s)
        return result.Ok(platform.Batch(2, 2, []))


def _make_owner(store):
    return _owner.Owner(
        store,
        None,
        1,
        doubles.Confirmation(),
        doubles.Settings(),
        doubles.Metrics(),
    )


async def _query_in_each_turn():
    """Return the states that an owner names from its start on."""
    owner = _make_owner(_Store())
    requests = _desk.ClientRequests(
        None, None, _Members(), lambda: owner, lambda: None, lambda: 0.0
    )
    query = ttypes.JobStateQuery(queue="q", job_id=JOB)
    states = []
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(owner.run)
        for _ in range(MAX_TURNS):
            await anyio.sleep(0)
            reply = requests.answer_as_owner(query)
            if isinstance(reply, ttypes.JobState):
                states.append(reply.state)
            if "completed" in states:
                break
        task_group.cancel_scope.cancel()
    return states


@then("a cell owner names no other state of an ended job while it recovers")
def _(context):
    states = anyio.run(_query_in_each_turn)
    assert states == ["completed"], states


async def _recover_workers():
    """Return the topics read and the workers of an owner that has started."""
    store = _Store()
    owner = _make_owner(store)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(owner.run)
        while owner.scheduler is None:
            await anyio.sleep(STORE_DELAY_S)
        await anyio.sleep(STORE_DELAY_S)
        reads, workers = list(store.reads), set(owner.scheduler.workers)
        task_group.cancel_scope.cancel()
    return reads, workers


@then("a cell owner knows the listed workers once it has recovered")
def _(context):
    reads, workers = anyio.run(_recover_workers)
    assert workers == {"w"}, workers
    assert reads.index(platform.WORKERS_TOPIC) < reads.index(
        _records.JOB_TOPICS[-1]
    ), reads


class _CountingStore(_Store):
    """Counts the reads of the state and the submissions at the same time."""

    def __init__(self):
        super().__init__()
        self.max_parallel = self._parallel = 0

    async def read_newest(self, topic):
        counted = topic != platform.WORKERS_TOPIC
        self._parallel += counted
        self.max_parallel = max(self.max_parallel, self._parallel)
        outcome = await super().read_newest(topic)
        self._parallel -= counted
        return outcome


async def _time_recovery(store):
    owner = _make_owner(store)
    started = anyio.current_time()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(owner.run)
        while owner.scheduler is None:
            await anyio.sleep(STORE_DELAY_S / 10)
        took_s = anyio.current_time() - started
        task_group.cancel_scope.cancel()
    return took_s


@then("a cell owner recovers within 5 calls to the store in a row")
def _(context):
    store = _CountingStore()
    with mock.patch.object(_clock, "now", anyio.current_time):
        took_s = anyio.run(
            _time_recovery,
            store,
            backend_options={"loop_factory": virtual_time.VirtualLoop},
        )
    # Two appends fence; nine topics are read, three at the same time.
    assert took_s < 5.5 * STORE_DELAY_S, took_s
    assert store.max_parallel == _job_topics.MAX_PARALLEL_LOADS


class _OvertakenStore(memory_store.MemoryStore):
    """Gets the state of a next owner before a topic of this one is read."""

    def __init__(self, topic):
        super().__init__()
        self._topic = topic

    async def read_newest(self, topic):
        if topic == self._topic:
            progress = workflow.encode(
                workflow.Progress(workflow.JobState.RUNNING)
            )
            barrier = platform.Record(_records.BARRIER_KEY, b"2")
            self.put(topic, [barrier])
            record = platform.Record(_records.job_key(JOB), progress)
            self.put(_records.STATE_TOPIC, [record])
        return await super().read_newest(topic)


async def _run_owner(owner):
    with anyio.fail_after(5.0):
        await owner.run()


@then("a cell owner gives up once it reads the barrier of a later one")
def _(context):
    for topic in (_records.STATE_TOPIC, _records.JOB_TOPICS[-1]):
        owner = _make_owner(_OvertakenStore(topic))
        anyio.run(_run_owner, owner)
        assert owner.scheduler is None, topic
