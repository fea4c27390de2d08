"""Steps for submissions that an owner deletes around a change of the owner."""

import pathlib
import tempfile
from unittest import mock

import anyio
from behave import then
import result

from citrondeal.cell import _deletions
from citrondeal.cell import _owner
from citrondeal.cell import _records
from citrondeal.cell.tests import doubles
from citrondeal.cell.tests import memory_store
from citrondeal.cell.tests import processes
from citrondeal import platform
from citrondeal.platform import _store
from citrondeal import workflow

JOB = "00000000000000aa"
TOPIC = _records.job_topic(_records.job_key(JOB))
DELETE_PERIOD_S = 0.01
LIMIT_S = 5.0
CANCELLED = workflow.JobState.CANCELLED


def _read_settings():
    with tempfile.TemporaryDirectory() as folder:
        member = processes.MemberProcess(pathlib.Path(folder), 0, 1, 1, 1)
        return platform.read_settings(member.settings)


class _Hold:
    """Holds the first append that `matches` until it is released."""

    def __init__(self, store, matches):
        self.begun = anyio.Event()
        self.released = anyio.Event()
        self.done = anyio.Event()
        self._matches = matches
        store.before_append = self._before_append

    async def _before_append(self, topic, records):
        if not self.begun.is_set() and self._matches(topic, records):
            self.begun.set()
            # The store carries the append out although its caller may have
            # ended meanwhile.
            with anyio.CancelScope(shield=True):
                await self.released.wait()
            self.done.set()


def _create_store():
    """Return a store with a submission that has been cancelled."""
    store = memory_store.MemoryStore()
    submission = workflow.Submission(
        JOB,
        "",
        (workflow.Step(1, workflow.Size()),),
        workflow.Policy("queue", "service"),
    )
    data = workflow.encode(submission)
    store.put(TOPIC, [platform.Record(_records.job_key(JOB), data)])
    store.put(TOPIC, [platform.Record(_records.cancel_key(JOB), b"\x01")])
    return store


def _create_owner(store, epoch):
    return _owner.Owner(
        store,
        None,
        epoch,
        doubles.Confirmation(),
        _read_settings(),
        doubles.Metrics(),
    )


async def _wait(condition):
    with anyio.fail_after(LIMIT_S):
        while not condition():
            await anyio.sleep(0.005)


async def _state_at(owner):
    """Return the state that an owner names once it can deny a job."""
    await _wait(lambda: owner.is_current)
    return owner.scheduler.job_state(JOB)


def _is_submission_stored(store):
    return any(
        record.key == _records.job_key(JOB) for record in store.newest(TOPIC)
    )


async def _run_owners(store, hold):
    """Change the owner twice, with one append of the first held between.

    Returns
    -------
    list
        State of the job at the second owner, before the append is done and
        after the submission has been deleted, and at the third one.
    """
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_create_owner(store, 1).run)
        with anyio.fail_after(LIMIT_S):
            await hold.begun.wait()
        second = _create_owner(store, 2)
        task_group.start_soon(second.run)
        states = [await _state_at(second)]
        hold.released.set()
        with anyio.fail_after(LIMIT_S):
            await hold.done.wait()
        await _wait(lambda: not _is_submission_stored(store))
        states.append(second.scheduler.job_state(JOB))
        third = _create_owner(store, 3)
        task_group.start_soon(third.run)
        states.append(await _state_at(third))
        task_group.cancel_scope.cancel()
    return states


def _states(matches):
    async def run():
        store = _create_store()
        return await _run_owners(store, _Hold(store, matches))

    with mock.patch.object(_deletions, "DELETE_PERIOD_S", DELETE_PERIOD_S):
        return anyio.run(run)


@then("a cell job is known although its submission is deleted late")
def _(context):
    states = _states(
        lambda topic, records: topic == TOPIC and records[0].value == b"",
    )
    assert states == [CANCELLED] * 3, states


@then("a cell job is known although its end is stored too late")
def _(context):
    states = _states(
        lambda topic, records: (
            topic == _records.STATE_TOPIC
            and records[0].key == _records.job_key(JOB)
        )
    )
    # The second owner shows the end once it has stored it itself.
    assert states[0] in (workflow.JobState.RUNNING, CANCELLED), states
    assert states[1:] == [CANCELLED] * 2, states


@then(
    "cell deletions of {count:d} jobs take appends of at most {limit:d} bytes"
)
def _(context, count, limit):
    sizes = []

    class Store:
        async def append(self, topic, records):
            sizes.append(sum(len(_store._encode_record(r)) for r in records))
            return result.Ok(0)

    scheduler = workflow.Scheduler(workflow.Config(), 1)
    jobs = [f"{number:016x}" for number in range(count)]
    anyio.run(_deletions.delete_jobs, Store(), scheduler, TOPIC, jobs)
    assert sum(sizes) > limit >= max(sizes), sizes
