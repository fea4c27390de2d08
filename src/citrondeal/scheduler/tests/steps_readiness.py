"""Steps for the readiness of a scheduler and for its list of jobs."""

from unittest import mock

import anyio
from behave import then
import result

from citrondeal import config
from citrondeal import errors
from citrondeal import logservice
from citrondeal import operators
from citrondeal.scheduler import main

RECORDS = 2  # in each stream
SETTLE_S = 0.1
FAILURE = result.Err(errors.Failure(errors.Kind.UNAVAILABLE, "no answer"))


def _answers(share):
    """Return the answers to the reads of a stream of which `share` is read."""
    count = {"none": 0, "a part": 1, "all": RECORDS}[share]
    records = [(offset, {}) for offset in range(count)]
    if not records:
        return []
    return [result.Ok(logservice.Batch(0, RECORDS, records))]


class _Log:
    """Answers the reads of each stream as given, then no longer."""

    def __init__(self, answers):
        self._answers = {name: list(a) for name, a in answers.items()}

    async def read(self, stream, start, wait_s):
        answers = self._answers[stream.split("-")[0]]
        if not answers:
            await anyio.sleep_forever()
        return answers.pop(0)


def _with_scheduler(settings, jobs, function):
    """Return the result of `function(scheduler)` after the given reads."""

    async def run():
        log = _Log({"tree": settings, "jobs": jobs})
        scheduler_config = config.SchedulerConfig.from_file(
            config.sample_path("scheduler")
        )
        async with anyio.create_task_group() as task_group:
            with mock.patch.object(
                logservice.LogClient, "from_config", lambda _: log
            ):
                scheduler = main.Scheduler(scheduler_config, task_group)
            task_group.start_soon(scheduler._shared.settings.run)
            task_group.start_soon(scheduler._jobs.run)
            await anyio.sleep(SETTLE_S)
            answer = await function(scheduler)
            task_group.cancel_scope.cancel()
        return answer

    return anyio.run(run)


async def _is_ready(scheduler):
    return scheduler._is_ready()


async def _list(scheduler):
    return await scheduler._jobs.list_jobs(operators.JobQuery(10, ""))


@then("a scheduler is not ready after {share} of the settings")
def _(context, share):
    assert not _with_scheduler(_answers(share), _answers("all"), _is_ready)


@then("a scheduler is not ready after {share} of the jobs")
def _(context, share):
    assert not _with_scheduler(_answers("all"), _answers(share), _is_ready)


@then("a scheduler lists no jobs after {share} of the jobs")
def _(context, share):
    answer = _with_scheduler(_answers("all"), _answers(share), _list)
    assert answer.is_err(), answer
    assert answer.err_value.kind is errors.Kind.UNAVAILABLE, answer
    assert answer.err_value.retry_after_s, answer


@then("a scheduler that has read both to their end is ready and lists jobs")
def _(context):
    for answers in (_answers("all"), [*_answers("all"), FAILURE]):
        assert _with_scheduler(answers, answers, _is_ready)
        answer = _with_scheduler(answers, answers, _list)
        assert answer.ok_value == {"jobs": []}, answer
