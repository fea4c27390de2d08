"""Steps for the calls of the ticket desk."""

import dataclasses

import anyio
from behave import given
from behave import then
import result

from citrondeal.cell import _tickets
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import workflow

LONG_S = 2.0
SHORT_S = 0.02


@dataclasses.dataclass(frozen=True)
class _Member:
    address: str


class _Service:
    """Stands for the own client and the links: no call is answered yet."""

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
        """Answer all open calls; later ones wait again."""
        self._answered.set()
        self._answered = anyio.Event()


def _order(name, expected_s, renewal=False):
    step = workflow.StepId(name, 0, 0)
    return workflow.FetchTickets(step, ("w",), expected_s, 1, 1.0, renewal)


async def _run(members, orders):
    """Return the calls that start at once, and those of the next round."""
    service = _Service()
    others = {f"m{i}": _Member(f"m{i}:1") for i in range(members - 1)}
    desk = _tickets.TicketDesk(service, service, lambda: others)
    async with anyio.create_task_group() as task_group:
        for order in orders:
            task_group.start_soon(desk.fetch, order.step.job, order)
        await anyio.wait_all_tasks_blocked()
        first = list(service.calls)
        service.answer()
        await anyio.wait_all_tasks_blocked()
        second = service.calls[len(first) :]
        task_group.cancel_scope.cancel()
    return first, second


@given("a cell ticket desk of 4 members with 6 long calls")
def _(context):
    context.orders = [_order(f"long-{i}", LONG_S) for i in range(6)]


@then("a cell short ticket call is made at once")
def _(context):
    orders = context.orders + [_order("short", SHORT_S)]
    first, _ = anyio.run(_run, 4, orders)
    assert first == ["long-0", "long-1", "short"], first


@then("a cell ticket call for which room is held comes next")
def _(context):
    orders = context.orders + [_order("renewal", LONG_S, renewal=True)]
    first, second = anyio.run(_run, 4, orders)
    assert first == ["long-0", "long-1"], first
    assert second[0] == "renewal", second
