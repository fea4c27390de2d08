"""Steps for orders and renewals whose fence was raised meanwhile."""

import json

import anyio
import anyio.abc
from behave import then
from behave import when
import result

from citrondeal.cell import _leases
from citrondeal.cell import _orders
from citrondeal.cell.tests import doubles
from citrondeal import errors
from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

LEASE_S = 10.0
OUTCOMES = workflow.OrderOutcome
ENDS = 3  # that are stored and may be acknowledged


class _RefusingClient:
    """Client of a worker that refuses all calls by their fence."""

    address = "w0:1"

    def __init__(self, scheduler, raises):
        self.client = self
        self._scheduler = scheduler
        self._raises = raises

    def knows_clock(self, born_ms):
        return True

    def worker_clock_s(self, now):
        return now

    async def start(self, action, fence, until_s=0.0):
        """Refuse an order, during which the fence may be raised."""
        if self._raises:
            self._scheduler.workers["w0"].raise_fence(0.0)
        return OUTCOMES.FENCED

    stop = start

    async def renew_leases(self, renewal):
        await self.start(None, renewal.fence)
        return result.Err(errors.Failure(errors.Kind.BARRED, "fence"))


def _refused_orders():
    """Return a harness with a decided start, and its order sender."""
    harness = harnesses.Harness()
    lease = _RefusingClient(harness.scheduler, True)
    orders = _orders.OrderSender(
        harness.scheduler, {"w0": lease}, lambda now: True, doubles.Metrics()
    )
    harness.submit("a", 4.0)
    [start] = harness.scheduler.plan(harness.now)
    return harness, orders, start


@then(
    "cell a start refused under a fence that was raised meanwhile is unknown"
)
def _(context):
    harness, orders, start = _refused_orders()
    assert anyio.run(orders.send_start, start) is OUTCOMES.UNKNOWN
    assert not harness.scheduler.superseded


@then(
    "cell a stop refused under a fence that was raised meanwhile ends nothing"
)
def _(context):
    harness, orders, start = _refused_orders()
    stop = workflow.Stop("w0", start.task, start.run, "")
    anyio.run(orders.send, stop)
    assert not harness.scheduler.superseded


def _is_superseded_by_renewal(raises):
    scheduler = harnesses.Harness().scheduler
    lease = _leases.LeaseRenewer(
        scheduler.workers["w0"], scheduler, LEASE_S, int, bool
    )
    lease._client = _RefusingClient(scheduler, raises)
    anyio.run(lease._renew)
    return scheduler.superseded


@then("cell a renewal refused under a fence that was raised ends nothing")
def _(context):
    assert not _is_superseded_by_renewal(raises=True)


@then("cell a renewal refused under the present fence ends the ownership")
def _(context):
    assert _is_superseded_by_renewal(raises=False)


class _Worker:
    """Answers one renewal on each connection, and loses the next one."""

    def __init__(self):
        self.renewals = []

    async def handle(self, stream):
        async with stream:
            await self._answer(stream)
            if len(self.renewals) == 1:
                self._add(await stream.receive())

    async def _answer(self, stream):
        self._add(await stream.receive())
        body = json.dumps({"clock-ms": 1000, "born": 1}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await stream.send(head.encode() + body)

    def _add(self, request):
        self.renewals.append(json.loads(request.split(b"\r\n\r\n")[1]))


async def _serve(listener, worker, gone):
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, worker.handle)
        await gone.wait()
        task_group.cancel_scope.cancel()
    await listener.aclose()


async def _play(context, is_gone):
    """Renew three times, the second time on a connection that ends."""
    worker = _Worker()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    scheduler = workflow.Scheduler(workflow.Config(LEASE_S), 1)
    info = workflow.WorkerInfo(
        "w", f"127.0.0.1:{port}", "service", "zone", born_ms=1
    )
    scheduler.on_worker(info, 0.0)
    state = scheduler.workers["w"]
    lease = _leases.LeaseRenewer(
        state, scheduler, LEASE_S, int, lambda now: True
    )
    async with anyio.create_task_group() as task_group:
        gone = anyio.Event()
        task_group.start_soon(_serve, listener, worker, gone)
        assert await lease._renew()
        scheduler.on_stored(*scheduler.take_changes())
        state.acknowledged = state.last_end_number = ENDS
        context.tries_at_once = await lease._renew()
        context.reachable = state.reachable
        if is_gone:
            gone.set()
            await anyio.wait_all_tasks_blocked()
        await lease._renew()
        task_group.cancel_scope.cancel()
    context.renewals, context.state = worker.renewals, state


@when("a cell renewal acknowledges ends and its connection ends")
def _(context):
    anyio.run(_play, context, False)


@when("a cell renewal loses its connection to a worker that has gone")
def _(context):
    anyio.run(_play, context, True)


@then("the cell worker has got each renewal once")
def _(context):
    acknowledged = [r["seen-upto"] for r in context.renewals]
    assert acknowledged == [0, ENDS, 0], acknowledged
    assert context.tries_at_once and context.reachable


@then(
    "the next cell renewal acknowledges and extends nothing, with a higher"
    " fence"
)
def _(context):
    _, lost, following = context.renewals
    assert following["seen-upto"] == 0 and "until-ms" not in following
    assert "until-ms" in lost
    assert following["fence"] > lost["fence"], context.renewals


@then(
    "the cell worker stays in use once it answers without being stored again"
)
def _(context):
    assert context.state.usable


@then("the cell worker counts as silent after the next renewal")
def _(context):
    assert not context.state.reachable
