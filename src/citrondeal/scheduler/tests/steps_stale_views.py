"""Steps for a scheduler that answers from an old view of its log."""

import time

import anyio
from behave import then
import result

from citrondeal import errors
from citrondeal import jobs
from citrondeal import logservice
from citrondeal import placement
from citrondeal.scheduler import _jobs

JOB = "job-1"


class _Log:
    """Answers one read with an empty log, and holds the next one."""

    def __init__(self):
        self._answered = False

    async def read(self, stream, start, wait_s):
        if self._answered:
            await anyio.sleep_forever()
        self._answered = True
        return result.Ok(logservice.Batch(0, 0, []))


async def _query_after_suspension(seconds):
    owner = jobs.PoolOwner(jobs.JobTable(), placement.Pool())
    async with anyio.create_task_group() as task_group:
        service = _jobs.JobService(
            owner, None, _Log(), "zone-a", list, task_group, None
        )
        task_group.start_soon(service.run)
        await anyio.sleep(0.1)
        # Like a suspension, it stops the event loop of the process.
        time.sleep(seconds)
        answers = [await service.status(JOB), await service.cancel(JOB)]
        task_group.cancel_scope.cancel()
    return {answer.err_value.kind for answer in answers}


@then("a scheduler that was suspended for {seconds:d} seconds denies no job")
def _(context, seconds):
    kinds = anyio.run(_query_after_suspension, seconds)
    assert kinds == {errors.Kind.UNAVAILABLE}, kinds
