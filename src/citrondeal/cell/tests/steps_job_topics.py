"""Steps for the topics of submissions and cancellations."""

import collections
import time
from unittest import mock

import anyio
from behave import given
from behave import then
from behave import when
import result

from citrondeal.cell import _clock
from citrondeal.cell import _job_topics
from citrondeal.cell import _records
from citrondeal import platform
from citrondeal.runtime.tests import virtual_time
from citrondeal import telemetry

APPEND_S = 0.1
JOBS = 24
MIN_TOPICS = 8


class _SlowStore:
    """Handles the appends to a topic one after the other, each slowly."""

    def __init__(self):
        self._locks = collections.defaultdict(anyio.Lock)
        self.topics = collections.defaultdict(list)

    async def append(self, records):
        topic = _records.job_topic(records[0].key)
        async with self._locks[topic]:
            await anyio.sleep(APPEND_S)
            offset = len(self.topics[topic])
            self.topics[topic] += [record.key for record in records]
        return result.Ok(offset)


async def _submit(store, members):
    """Submit jobs at all members concurrently; return the seconds taken.

    They are the time waited, which is virtual, plus the processor time.
    """
    appenders = [
        _job_topics.JobAppender(
            store.append, None, lambda: 0.0, telemetry.Metrics("test")
        )
        for _ in range(members)
    ]
    started = anyio.current_time()
    processor_started = time.process_time()

    async def submit(number):
        record = platform.Record(_records.job_key(f"{number:x}"), b"x")
        outcome = await appenders[number % members].put(record, 5.0)
        assert outcome.is_ok(), outcome

    async with anyio.create_task_group() as running:
        for appender in appenders:
            running.start_soon(appender.run)
        async with anyio.create_task_group() as jobs:
            for number in range(JOBS):
                jobs.start_soon(submit, number)
        running.cancel_scope.cancel()
    waited_s = anyio.current_time() - started
    return waited_s + time.process_time() - processor_started


@given("a cell store whose appends are slow")
def _(context):
    context.store = _SlowStore()


@when("cell members submit many jobs at the same time")
def _(context):
    with mock.patch.object(_clock, "now", anyio.current_time):
        context.took_s = anyio.run(
            _submit,
            context.store,
            JOBS,
            backend_options={"loop_factory": virtual_time.VirtualLoop},
        )


@then("all cell jobs are stored within the time of a few appends")
def _(context):
    stored = sum(len(keys) for keys in context.store.topics.values())
    assert stored == JOBS
    # A single topic would need up to JOBS appends, one after the other.
    topics = max(len(_records.JOB_TOPICS), MIN_TOPICS)
    limit_s = 2 * APPEND_S * JOBS / topics
    assert context.took_s < limit_s, context.took_s


@then("the cell cancellation of a job follows its submission in one topic")
def _(context):
    for job in ("0123456789abcdef", "fedcba9876543210"):
        topic = _records.job_topic(_records.job_key(job))
        assert topic == _records.job_topic(_records.cancel_key(job))
