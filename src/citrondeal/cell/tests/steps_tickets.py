"""Steps for the dispatcher of ticket calls."""

import collections
import dataclasses
import sys

import anyio
from behave import given
from behave import then
import result

from citrondeal.cell import _tickets
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import workflow
from citrondeal.workflow import _precedence

LONG_S = 2.0
SHORT_S = 0.02


@dataclasses.dataclass(frozen=True)
class _Member:
    address: str


class _Service:
    """Stands for the ticket client and the links; `answer` ends calls."""

    def __init__(self):
        self.calls = []
        self._answered = anyio.Event()

    async def fetch(self, step, workers, timeout_s):
        await self._wait(step)
        return result.Ok(platform.TicketGrant({}, 1.0))

    async def call(self, address, query, timeout_s):
        await self._wait(query.step)
        return ttypes.TicketReply(tickets=[], valid_s=1.0)

    async def _wait(self, step):
        self.calls.append(step)
        await self._answered.wait()

    def answer(self):
        """Answer all calls made so far; later ones wait again."""
        self._answered.set()
        self._answered = anyio.Event()


def _request(name, expected_s, renewal=False):
    step = workflow.StepId(name, 0, 0)
    urgency = (_precedence.Precedence.IN_TIME, 1, 1.0)
    return workflow.FetchTickets(step, ("w",), expected_s, urgency, renewal)


async def _run(members, requests):
    """Return the calls made at once, and those made after their answers."""
    service = _Service()
    others = {f"m{i}": _Member(f"m{i}:1") for i in range(members - 1)}
    dispatcher = _tickets.TicketDispatcher(service, service, lambda: others)
    async with anyio.create_task_group() as task_group:
        for request in requests:
            task_group.start_soon(dispatcher.fetch, request.step.job, request)
        await anyio.wait_all_tasks_blocked()
        first = list(service.calls)
        service.answer()
        await anyio.wait_all_tasks_blocked()
        second = service.calls[len(first) :]
        task_group.cancel_scope.cancel()
    return first, second


@given("a cell ticket dispatcher of 4 members with 6 long calls")
def _(context):
    context.requests = [_request(f"long-{i}", LONG_S) for i in range(6)]


@then("a cell short ticket call is made at once")
def _(context):
    requests = context.requests + [_request("short", SHORT_S)]
    first, _ = anyio.run(_run, 4, requests)
    assert first == ["long-0", "long-1", "short"], first


@then("a cell ticket renewal is the next call")
def _(context):
    requests = context.requests + [_request("renewal", LONG_S, renewal=True)]
    first, second = anyio.run(_run, 4, requests)
    assert first == ["long-0", "long-1"], first
    assert second[0] == "renewal", second


async def _count_steps(waiting):
    """Return how many functions the dispatcher runs for a short call.

    Parameters
    ----------
    waiting : int
        Number of long calls that wait for a member.
    """
    service = _Service()
    others = {f"m{i}": _Member(f"m{i}:1") for i in range(96)}
    dispatcher = _tickets.TicketDispatcher(service, service, lambda: others)
    counter = collections.Counter()

    def count(frame, event, argument):
        if frame.f_code.co_filename == _tickets.__file__:
            counter[event] += 1

    async with anyio.create_task_group() as task_group:
        for index in range(72 + waiting):
            request = _request(f"long-{index}", LONG_S)
            task_group.start_soon(dispatcher.fetch, request.step.job, request)
        await anyio.wait_all_tasks_blocked()
        task_group.start_soon(
            dispatcher.fetch, "short", _request("short", SHORT_S)
        )
        sys.setprofile(count)
        try:
            await anyio.wait_all_tasks_blocked()
        finally:
            sys.setprofile(None)
        assert service.calls[-1] == "short", service.calls
        task_group.cancel_scope.cancel()
    return counter["call"]


@then(
    "a cell ticket call takes as few steps beside 400 waiting ones as beside 4"
)
def _(context):
    few, many = (anyio.run(_count_steps, count) for count in (4, 400))
    assert many <= 1.2 * few, (few, many)
