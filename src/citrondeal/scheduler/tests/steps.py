"""Steps for the job service of a scheduler."""

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
    """Answers the reads of a test with the given outcomes, then none."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)

    async def read(self, stream, start, wait_s):
        if not self._outcomes:
            await anyio.sleep_forever()
        return self._outcomes.pop(0)


def _failure_kinds(outcomes):
    """Return what status and cancel of an unknown job fail with."""

    async def run():
        owner = jobs.PoolOwner(jobs.JobTable(), placement.Pool())
        async with anyio.create_task_group() as task_group:
            service = _jobs.JobService(
                owner, None, _Log(outcomes), "zone-a", list, task_group, None
            )
            with anyio.move_on_after(0.1 + 0.5 * len(outcomes)):
                await service.run()
            answers = [await service.status(JOB), await service.cancel(JOB)]
        return {answer.err_value.kind for answer in answers}

    return anyio.run(run)


def _read_to_end():
    return result.Ok(logservice.Batch(0, 0, []))


@then("a scheduler that has not read the log denies no job")
def _(context):
    kinds = _failure_kinds([])
    assert kinds == {errors.Kind.UNAVAILABLE}, kinds


@then("a scheduler that has read the log denies a job that is not in it")
def _(context):
    kinds = _failure_kinds([_read_to_end()])
    assert kinds == {errors.Kind.UNKNOWN_JOB}, kinds


@then("a scheduler whose last read failed denies no job")
def _(context):
    failure = errors.Failure(errors.Kind.UNAVAILABLE, "no answer")
    kinds = _failure_kinds([_read_to_end(), result.Err(failure)])
    assert kinds == {errors.Kind.UNAVAILABLE}, kinds
