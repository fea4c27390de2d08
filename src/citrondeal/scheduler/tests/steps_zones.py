"""Steps for a job that names a zone which the scheduler may not know yet."""

import time
from unittest import mock

import anyio
from behave import then
import result

from citrondeal import config
from citrondeal import errors
from citrondeal import logservice
from citrondeal import operators
from citrondeal.runtime import _vms
from citrondeal.scheduler import main
from citrondeal import tree

PATH = "/batch/nightly"
SETTINGS = [(0, tree.edit_record(tree.Edit("edit-1", PATH, 0, {})))]
OTHER_ZONE = "zone-b"
OTHER_SCHEDULER = logservice.Vm(
    id="scheduler-2",
    kind="entry",
    role="scheduler",
    zone=OTHER_ZONE,
    region="bkk",
)
SETTLE_S = 0.1
SUSPENSION_S = 3.0


class _Log:
    """Holds one path of settings, and takes each append."""

    async def read(self, stream, start, wait_s):
        if start:
            await anyio.sleep_forever()
        return result.Ok(logservice.Batch(0, len(SETTINGS), SETTINGS))

    async def append(self, stream, record):
        return result.Ok(0)


class _VmList:
    """Answers the first reads with the given outcomes, then none."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)

    async def read(self):
        if not self._outcomes:
            await anyio.sleep_forever()
        return self._outcomes.pop(0)


def _submit(outcomes, suspension_s=0.0):
    """Return the answer to a job for another zone after reads of VM lists."""

    async def run():
        settings = config.SchedulerConfig.from_file(
            config.sample_path("scheduler")
        )
        async with anyio.create_task_group() as task_group:
            with mock.patch.object(
                logservice.LogClient, "from_config", lambda _: _Log()
            ):
                scheduler = main.Scheduler(settings, task_group)
            shared = scheduler._shared
            task_group.start_soon(shared.settings.run)
            task_group.start_soon(
                _vms.poll_vms,
                _VmList(outcomes),
                shared.directory,
                lambda: None,
            )
            await anyio.sleep(SETTLE_S)
            # Like a suspension, it stops the event loop of the process.
            time.sleep(suspension_s)
            request = operators.JobRequest(
                id="job-1", path=PATH, zone=OTHER_ZONE
            )
            answer = await scheduler._jobs.submit(request)
            task_group.cancel_scope.cancel()
        return answer

    return anyio.run(run)


def _check_unavailable(answer):
    assert answer.is_err(), answer
    assert answer.err_value.kind is errors.Kind.UNAVAILABLE, answer
    assert answer.err_value.retry_after_s, answer


@then("a scheduler without a list of VMs denies no zone")
def _(context):
    _check_unavailable(_submit([]))


@then("a scheduler that was suspended denies no zone")
def _(context):
    _check_unavailable(_submit([result.Ok([])], SUSPENSION_S))


@then("a scheduler with a list of VMs denies a zone that is not in it")
def _(context):
    answer = _submit([result.Ok([])])
    assert answer.err_value.kind is errors.Kind.UNKNOWN_PATH, answer


@then("a scheduler that was suspended accepts jobs for the zones it knows")
def _(context):
    answer = _submit([result.Ok([OTHER_SCHEDULER])], SUSPENSION_S)
    assert answer.is_ok(), answer
