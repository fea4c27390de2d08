"""Steps for a gateway that has not read all settings, or not of late."""

import time
from unittest import mock

import anyio
from behave import then
import result

from citrondeal import callers
from citrondeal import config
from citrondeal import errors
from citrondeal.gateway import main
from citrondeal import logservice
from citrondeal import tree

# Records of the settings: two services, the second one in a later read.
RECORDS = [
    (0, tree.edit_record(tree.Edit("edit-1", "/services/first", 0, {}))),
    (1, tree.edit_record(tree.Edit("edit-2", "/services/second", 0, {}))),
]
ANSWERS = {
    "none": [],
    "a part": [result.Ok(logservice.Batch(0, 2, RECORDS[:1]))],
    "all": [result.Ok(logservice.Batch(0, 2, RECORDS))],
}
SETTLE_S = 0.1
SUSPENSION_S = 5.0
QUERY_PERIOD_S = 0.05
SERVED = result.Ok("served")


class _Log:
    """Answers reads with the given outcomes, then none."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)

    async def read(self, stream, start, wait_s):
        if not self._outcomes:
            await anyio.sleep_forever()
        return self._outcomes.pop(0)


class _IdleLog:
    """Holds each read of an empty stream for as long as it may."""

    async def read(self, stream, start, wait_s):
        await anyio.sleep(wait_s)
        return result.Ok(logservice.Batch(0, 0, []))


def _request(service, attempt):
    return callers.CallerRequest(
        request_id="request-1",
        attempt=attempt,
        service=service,
        path="/",
        request_class=None,
        team="",
        idempotent=True,
        deadline_ms=None,
        headers=[],
        body=b"",
        disconnected=None,
    )


def _with_gateway(outcomes, function):
    """Return the result of `function(gateway)` after the given reads."""
    return _with_log(_Log(outcomes), function)


def _with_log(log, function):
    """Return the result of `function(gateway)`.

    The gateway has registered and read the list of VMs.
    """

    async def run():
        settings = config.GatewayConfig.from_file(
            config.sample_path("gateway")
        )
        async with anyio.create_task_group() as task_group:
            with mock.patch.object(
                logservice.LogClient, "from_config", lambda _: log
            ):
                gateway = main.Gateway(settings, task_group)
            shared = gateway._shared
            shared.leases._is_registered = True
            shared.directory.update([], anyio.current_time())
            gateway._request_handler.handle = mock.AsyncMock(
                return_value=SERVED
            )
            task_group.start_soon(shared.settings.run)
            await anyio.sleep(SETTLE_S)
            answer = await function(gateway)
            task_group.cancel_scope.cancel()
        return answer

    return anyio.run(run)


def _answer(outcomes, service, attempt=1, suspension_s=0.0):
    async def submit(gateway):
        # Like a suspension, it stops the event loop of the process.
        time.sleep(suspension_s)
        return await gateway._submit(_request(service, attempt))

    return _with_gateway(outcomes, submit)


@then("a gateway that has read {share} of the settings denies no service")
def _(context, share):
    failure = _answer(ANSWERS[share], "second").err_value
    assert failure.kind is errors.Kind.UNAVAILABLE, failure
    assert failure.run is errors.Run.NOT_RUN, failure
    assert failure.retry_after_s, failure
    failure = _answer(ANSWERS[share], "second", attempt=2).err_value
    assert failure.kind is errors.Kind.UNKNOWN_OUTCOME, failure


@then("a gateway that has read the settings denies an unknown service")
def _(context):
    failure = _answer(ANSWERS["all"], "third").err_value
    assert failure.kind is errors.Kind.UNKNOWN_SERVICE, failure


@then(
    "a gateway denies unknown services for {seconds:d} seconds of an idle log"
)
def _(context, seconds):
    async def query(gateway):
        await anyio.sleep(2.5)  # more than one long poll
        kinds = set()
        with anyio.move_on_after(seconds):
            while True:
                answer = await gateway._submit(_request("third", 1))
                kinds.add(answer.err_value.kind)
                await anyio.sleep(QUERY_PERIOD_S)
        return kinds

    kinds = _with_log(_IdleLog(), query)
    assert kinds == {errors.Kind.UNKNOWN_SERVICE}, kinds


@then("a gateway that was suspended denies no service")
def _(context):
    answer = _answer(ANSWERS["all"], "third", suspension_s=SUSPENSION_S)
    assert answer.err_value.kind is errors.Kind.UNAVAILABLE, answer


@then("a gateway that was suspended still serves the services it knows")
def _(context):
    answer = _answer(ANSWERS["all"], "second", suspension_s=SUSPENSION_S)
    assert answer is SERVED, answer


def _without_log():
    failure = errors.Failure(errors.Kind.UNAVAILABLE, "no answer")
    return [*ANSWERS["all"], result.Err(failure)]


@then("a gateway that no longer reaches the log denies no service")
def _(context):
    answer = _answer(_without_log(), "third")
    assert answer.err_value.kind is errors.Kind.UNAVAILABLE, answer


@then("a gateway that no longer reaches the log serves the services it knows")
def _(context):
    answer = _answer(_without_log(), "second")
    assert answer is SERVED, answer


async def _is_ready(gateway):
    return gateway._is_ready()


@then("a gateway that has read {share} of the settings is not ready")
def _(context, share):
    assert not _with_gateway(ANSWERS[share], _is_ready)


@then("a gateway that has read the settings to their end is ready")
def _(context):
    assert _with_gateway(ANSWERS["all"], _is_ready)


@then("a gateway that no longer reaches the log stays ready")
def _(context):
    assert _with_gateway(_without_log(), _is_ready)
