"""Steps for lease renewals and repeated starts of one owner."""

import dataclasses
import socket

import anyio
from behave import then

from citrondeal.cell import _clock
from citrondeal.cell import _leases
from citrondeal.cell import _orders
from citrondeal import platform
from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

LEASE_S = 10.0
OUTCOMES = workflow.OrderOutcome


def _closed_address():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return "127.0.0.1:{}".format(unused.getsockname()[1])


@then(
    "cell renewals to a worker that does not answer do not extend its leases"
)
def _(context):
    scheduler = workflow.Scheduler(workflow.Config(LEASE_S), 1)
    info = workflow.WorkerInfo("w", _closed_address(), "service", "zone")
    scheduler.on_worker(info, 0.0)
    worker = scheduler.workers["w"]
    scheduler.on_report("w", workflow.Report(0.0, 0, [], []), 0.0, 0.0)
    lease = _leases.LeaseRenewer(
        worker, scheduler, LEASE_S, lambda: None, lambda now: True
    )
    lease._worker_clock_offset_s = 0.0

    async def renew():
        lapses = []
        for _ in range(4):
            await lease._renew()
            lapses.append(worker.lease_expires_at)
        return lapses

    lapses = anyio.run(renew)
    assert not worker.reachable
    assert len(set(lapses)) == 1, lapses


@then("cell a start sent twice is unknown unless it is done or fenced")
def _(context):
    for outcome in OUTCOMES:
        final = platform.outcome_after_repeat(outcome)
        certain = outcome in (OUTCOMES.OK, OUTCOMES.FENCED)
        expected = outcome if certain else OUTCOMES.UNKNOWN
        assert final is expected, (outcome, final)


class _RecordingLease:
    """Lease of a worker that counts the starts that are sent to it."""

    def __init__(self, outcome):
        self.client = self
        self.sent = 0
        self._outcome = outcome

    def knows_clock(self, born_ms):
        return True

    def worker_clock_s(self, now):
        return now

    async def start(self, action, epoch, until_s):
        self.sent += 1
        self.until_s = until_s
        return self._outcome


def _orders_with_start(lease, may_act):
    """Return an order sender, its harness and a start that was decided."""
    harness = harnesses.Harness()
    orders = _orders.OrderSender(
        harness.scheduler, {"w0": lease}, may_act, None
    )
    harness.submit("a", 4.0)
    [start] = harness.scheduler.plan(harness.now)
    return orders, harness, start


@then("a cell owner repeats no start once its ownership is not confirmed")
def _(context):
    lease = _RecordingLease(OUTCOMES.UNKNOWN)
    orders, _, start = _orders_with_start(lease, lambda now: not lease.sent)
    start = dataclasses.replace(start, ticket="ticket")
    assert anyio.run(orders.send_start, start) is OUTCOMES.UNKNOWN
    assert lease.sent == 1, lease.sent


@then("a cell owner sends a start again only if it has a ticket")
def _(context):
    for ticket, sent in (("", 1), ("ticket", 2)):
        lease = _RecordingLease(OUTCOMES.UNKNOWN)
        orders, _, start = _orders_with_start(lease, lambda now: True)
        start = dataclasses.replace(start, ticket=ticket)
        assert anyio.run(orders.send_start, start) is OUTCOMES.UNKNOWN
        assert lease.sent == sent, (ticket, lease.sent)


@then("a cell owner sends a start only while its worker has room for it")
def _(context):
    lease = _RecordingLease(OUTCOMES.OK)
    orders, harness, start = _orders_with_start(lease, lambda now: True)
    assert anyio.run(orders.send_start, start) is OUTCOMES.OK
    smaller = dataclasses.replace(
        harness.infos["w0"], capacity=workflow.Size(2000, 1000)
    )
    harness.scheduler.on_worker(smaller, harness.now)
    assert anyio.run(orders.send_start, start) is OUTCOMES.REFUSED
    assert lease.sent == 1, lease.sent


@then("cell a start is void 2.5 s after its decision, whenever it is sent")
def _(context):
    lease = _RecordingLease(OUTCOMES.OK)
    orders, harness, start = _orders_with_start(lease, lambda now: True)
    assert start.valid_until <= harness.now + 2.5, start.valid_until
    anyio.run(orders.send_start, start)
    assert lease.until_s == start.valid_until, lease.until_s


@then("cell a renewal to an earlier incarnation ends when the next is known")
def _(context):
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = "127.0.0.1:{}".format(silent.getsockname()[1])
        scheduler = workflow.Scheduler(workflow.Config(LEASE_S), 1)
        info = workflow.WorkerInfo("w", address, "service", "zone", born_ms=1)
        scheduler.on_worker(info, 0.0)
        lease = _leases.LeaseRenewer(
            scheduler.workers["w"], scheduler, LEASE_S, int, bool
        )

        async def learn():
            await anyio.sleep(0.1)
            later = dataclasses.replace(info, born_ms=2)
            scheduler.on_worker(later, _clock.now())
            lease.on_entry()

        async def renew():
            # Without this the renewal would end after its timeout of 0.7 s.
            with anyio.fail_after(0.5):
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(learn)
                    await lease._renew()

        anyio.run(renew)


@then("cell an unconfirmed incarnation is looked for at its own address too")
def _(context):
    scheduler = workflow.Scheduler(workflow.Config(LEASE_S), 1)
    info = workflow.WorkerInfo(
        "w", _closed_address(), "service", "zone", born_ms=1
    )
    scheduler.on_worker(info, 0.0)
    entry = dataclasses.replace(info, born_ms=2, address=_closed_address())
    scheduler.on_worker(entry, 0.0)
    lease = _leases.LeaseRenewer(
        scheduler.workers["w"], scheduler, LEASE_S, int, bool
    )
    tried = []

    async def renew():
        for _ in range(4):
            await lease._select_address()
            tried.append(lease.client.address)
            await lease._renew()

    anyio.run(renew)
    assert tried == [info.address, entry.address] * 2, tried


def _lease_of_silent_worker():
    scheduler = workflow.Scheduler(workflow.Config(LEASE_S), 1)
    info = workflow.WorkerInfo(
        "w", _closed_address(), "service", "zone", born_ms=1
    )
    scheduler.on_worker(info, 0.0)
    worker = scheduler.workers["w"]
    return scheduler, _leases.LeaseRenewer(
        worker, scheduler, LEASE_S, int, bool
    )


@then("cell attempts to reach a worker that never reported become rare")
def _(context):
    _, lease = _lease_of_silent_worker()
    delays = []

    async def renew():
        for _ in range(10):
            await lease._renew()
            delays.append(lease.retry_delay_s)
        lease.on_entry()
        await lease._renew()
        delays.append(lease.retry_delay_s)

    anyio.run(renew)
    assert delays[:3] == [0.2, 0.4, 0.8], delays
    assert delays[6:10] == [_leases.MAX_RETRY_DELAY_S] * 4, delays
    assert delays[10] == _leases.RETRY_DELAY_S, delays


@then("cell a worker that has reported is retried without a growing delay")
def _(context):
    scheduler, lease = _lease_of_silent_worker()
    scheduler.on_report("w", workflow.Report(0.0, 1, [], []), 0.0, 0.0)

    async def renew():
        for _ in range(5):
            await lease._renew()

    anyio.run(renew)
    assert lease.retry_delay_s == _leases.RETRY_DELAY_S


@then("cell an entry ends the wait for the next attempt")
def _(context):
    _, lease = _lease_of_silent_worker()
    lease._failures = 10

    async def wait():
        with anyio.fail_after(1.0):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(lease._pause)
                await anyio.sleep(0.1)
                lease.on_entry()

    anyio.run(wait)
