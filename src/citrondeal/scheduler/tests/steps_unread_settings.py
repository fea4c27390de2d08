"""Steps for a scheduler that has not read all settings."""

import anyio
from behave import then
import result

from citrondeal import errors
from citrondeal import jobs
from citrondeal import logservice
from citrondeal import operators
from citrondeal import placement
from citrondeal.runtime import _tree
from citrondeal.scheduler import _jobs
from citrondeal import telemetry

RECORDS = 100  # in the stream of the settings


class _Log:
    """Answers one read with no more than the first records of a stream."""

    def __init__(self, answers):
        self._answers = answers

    async def read(self, stream, start, wait_s):
        if not self._answers:
            await anyio.sleep_forever()
        self._answers -= 1
        return result.Ok(logservice.Batch(0, RECORDS, [(0, {})]))


async def _submit(answers):
    owner = jobs.PoolOwner(jobs.JobTable(), placement.Pool())
    metrics = telemetry.Metrics("scheduler-1")
    async with anyio.create_task_group() as task_group:
        log = _Log(answers)
        settings = _tree.TreeReplica(log, task_group, metrics)
        task_group.start_soon(settings.run)
        await anyio.sleep(0.1)
        service = _jobs.JobService(
            owner, settings, log, "zone-a", list, task_group, metrics
        )
        request = operators.JobRequest(id="job-1", path="/batch/nightly")
        answer = await service.submit(request)
        task_group.cancel_scope.cancel()
    return answer


@then("a scheduler that has read {share} of the settings denies no path")
def _(context, share):
    answer = anyio.run(_submit, {"none": 0, "a part": 1}[share])
    assert answer.err_value.kind is errors.Kind.UNAVAILABLE, answer
