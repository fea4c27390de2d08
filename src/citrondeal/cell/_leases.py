"""Keeps the leases on one worker and reads its reports."""

import logging

import anyio

from citrondeal.cell import _clock
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry

# A report is asked for at least this often.
WAIT_S = 1.0
# Ends wait this long to be stored before the lease is renewed without
# acknowledging them.
STORE_WAIT_S = 0.3
RETRY_S = 0.2

_LOG = logging.getLogger(__name__)


class Lease:
    """Renewals for one worker by one owner.

    Parameters
    ----------
    worker : workflow.WorkerState
    scheduler : workflow.Scheduler
    lease_s : float
    on_report : callable
        Called after each report or failure.
    """

    def __init__(self, worker, scheduler, lease_s, on_report):
        self._worker = worker
        self._scheduler = scheduler
        self._lease_s = lease_s
        self._on_report = on_report
        self._clock_offset = None
        self._stored = anyio.Event()
        self._client = platform.RunnerClient(worker.id, worker.info.address)

    @property
    def worker_id(self):
        """Id of the worker."""
        return self._worker.id

    @property
    def client(self):
        """Client of the worker."""
        return self._client

    @property
    def clock_known(self):
        """Whether the worker has told its clock."""
        return self._clock_offset is not None

    def clock_s(self, now):
        """Return the worker's clock, or a little less."""
        return now + self._clock_offset

    def on_stored(self):
        """Note that ends of the worker may now be acknowledged."""
        self._stored.set()

    async def run(self, writer):
        """Renew until the worker is removed; cancelled with the owner."""
        while self._scheduler.workers.get(self.worker_id) is self._worker:
            if self._client.address != self._worker.info.address:
                await self._client.aclose()
                self._client = platform.RunnerClient(
                    self.worker_id, self._worker.info.address
                )
            if not await self._renew():
                await anyio.sleep(RETRY_S)
            elif self._worker.last_end > self._worker.acknowledged:
                writer.wake()
                await self._wait_stored()
        await self._client.aclose()

    async def _wait_stored(self):
        self._stored = anyio.Event()
        with anyio.move_on_after(STORE_WAIT_S):
            await self._stored.wait()

    async def _renew(self):
        worker = self._worker
        sent_at = _clock.now()
        until_s = None
        # A worker that does not answer must be able to lose its leases: only
        # then can its tasks start elsewhere.
        if self.clock_known and worker.reachable:
            until_s = self.clock_s(sent_at) + self._lease_s
            worker.note_lease(sent_at, self._lease_s)
        # Ends that wait to be stored would end a waiting call at once.
        pending = worker.last_end > worker.acknowledged
        renewal = platform.LeaseRenewal(
            self._scheduler.epoch,
            worker.acknowledged,
            until_s,
            0.0 if pending or not worker.reachable else WAIT_S,
        )
        outcome = await self._client.renew_leases(renewal)
        now = _clock.now()
        if outcome.is_err():
            self._on_failure(outcome.err_value, now)
            return False
        report = outcome.ok_value
        self._clock_offset = report.clock_s - now
        self._scheduler.on_report(worker.id, report, sent_at, now)
        self._on_report()
        return True

    def _on_failure(self, failure, now):
        if failure.kind is errors.Kind.BARRED:
            telemetry.event(
                _LOG,
                logging.WARNING,
                "worker knows a newer owner",
                worker=self.worker_id,
            )
            self._scheduler.depose()
        self._scheduler.on_no_report(self.worker_id, failure.message, now)
        self._on_report()
