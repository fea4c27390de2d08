"""Steps for the age of a scheduler's view of its jobs."""

import time

import anyio
from behave import then
import result

from citrondeal import errors
from citrondeal import jobs
from citrondeal import logservice
from citrondeal import placement
from citrondeal.scheduler import _jobs

KNOWN_JOB = "job-1"
UNKNOWN_JOB = "job-2"
SUSPENSION_S = 3.0
QUERY_PERIOD_S = 0.05
JOB = {
    "id": KNOWN_JOB,
    "path": "/batch/nightly",
    "kind": "batch",
    "team": "",
    "priority": "normal",
    "tasks": 1,
    "cores": 1.0,
    "memory_mb": 100,
    "accelerators": 0,
    "run_time_s": 60.0,
    "once": False,
    "max_restarts": 3,
    "command": "true",
}


class _HeldLog:
    """Answers the first read at once, and each other one when told to."""

    def __init__(self, records):
        self._records = records
        self._answers, self._answered = anyio.create_memory_object_stream(9)

    def answer(self):
        self._answers.send_nowait(None)

    async def read(self, stream, start, wait_s):
        if start or not self._records:
            await self._answered.receive()
        end = len(self._records)
        return result.Ok(logservice.Batch(0, end, self._records[start:]))


class _IdleLog:
    """Holds each read of an empty stream for as long as it may."""

    async def read(self, stream, start, wait_s):
        await anyio.sleep(wait_s)
        return result.Ok(logservice.Batch(0, 0, []))


def _run(function, log):
    async def run():
        owner = jobs.PoolOwner(jobs.JobTable(), placement.Pool())
        async with anyio.create_task_group() as task_group:
            service = _jobs.JobService(
                owner, None, log, "zone-a", list, task_group, None
            )
            task_group.start_soon(service.run)
            answers = await function(service)
            task_group.cancel_scope.cancel()
        return answers

    return anyio.run(run)


async def _denial(service):
    return (await service.status(UNKNOWN_JOB)).err_value


@then("a scheduler denies no job by an answer that waited while suspended")
def _(context):
    log = _HeldLog([])

    async def query(service):
        log.answer()
        await anyio.sleep(0.1)
        # Like a suspension, it stops the event loop of the process.
        time.sleep(SUSPENSION_S)
        log.answer()
        await anyio.sleep(0.1)
        late = await _denial(service)
        log.answer()
        await anyio.sleep(0.1)
        return late, await _denial(service)

    late, fresh = _run(query, log)
    assert late.kind is errors.Kind.UNAVAILABLE, late
    assert late.retry_after_s, late
    assert fresh.kind is errors.Kind.UNKNOWN_JOB, fresh


@then("a scheduler that was suspended still answers for the jobs it knows")
def _(context):
    log = _HeldLog([(0, {"kind": "submit", "job": JOB})])

    async def query(service):
        await anyio.sleep(0.1)
        time.sleep(SUSPENSION_S)
        return await service.status(KNOWN_JOB)

    answer = _run(query, log)
    assert answer.is_ok(), answer


@then("a scheduler denies unknown jobs for {seconds:d} seconds of an idle log")
def _(context, seconds):
    async def query(service):
        await anyio.sleep(1.5)  # more than one long poll
        kinds = set()
        with anyio.move_on_after(seconds):
            while True:
                kinds.add((await _denial(service)).kind)
                await anyio.sleep(QUERY_PERIOD_S)
        return kinds

    kinds = _run(query, _IdleLog())
    assert kinds == {errors.Kind.UNKNOWN_JOB}, kinds
