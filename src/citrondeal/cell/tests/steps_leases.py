"""Steps for lease renewals and repeated starts of one owner."""

import socket

import anyio
from behave import then

from citrondeal.cell import _leases
from citrondeal.cell import _owner
from citrondeal import workflow

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
        final = _owner.outcome_after_repeat(outcome)
        certain = outcome in (OUTCOMES.OK, OUTCOMES.FENCED)
        expected = outcome if certain else OUTCOMES.UNKNOWN
        assert final is expected, (outcome, final)
