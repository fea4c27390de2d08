"""Renews the leases on one worker and reads its reports."""

import logging
import math

import anyio

from citrondeal.cell import _clock
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import web

# A worker may hold a renewal for this long until a run ends, so a report is
# requested at least this often.
REPORT_WAIT_S = 1.0
# After a report of ended runs the next renewal waits up to this long for them
# to be stored, so that it can acknowledge them.
END_STORED_WAIT_S = 0.3
RETRY_DELAY_S = 0.2
# So many renewals in a row may end at once and show nothing new, as after a
# restart; further ones wait, or a worker that closes each connection would be
# asked without a pause.
MAX_IDLE_RENEWALS = 3
# An entry may have been left by another writer, and nobody be at its address.
# Until a worker has reported, the delay doubles with each failure up to this,
# and begins anew with each entry that is read.
MAX_RETRY_DELAY_S = 10.0
MAX_DOUBLINGS = 6

_LOG = logging.getLogger(__name__)


class LeaseRenewer:
    """Renews the leases that one owner holds on one worker.

    Parameters
    ----------
    worker : citrondeal.workflow._workers.WorkerState
    scheduler : workflow.Scheduler
    lease_s : float
        Seconds for which a renewal lets the tasks run.
    on_report : callable
        Called without arguments after each report or failure.
    may_renew : callable
        ``may_renew(now)`` tells whether this owner is sure that it has not
        been replaced.
    """

    def __init__(self, worker, scheduler, lease_s, on_report, may_renew):
        self._worker = worker
        self._scheduler = scheduler
        self._lease_s = lease_s
        self._on_report = on_report
        self._may_renew = may_renew
        self._worker_clock_offset_s = None
        self._clock_born_ms = 0  # incarnation whose clock this is
        self._idle_renewals = 0
        self._stored = anyio.Event()
        self._renewal_scope = None
        self._renewal_sent_at = -math.inf
        self._tries_unconfirmed = False
        self._connection_lost = False  # by the last renewal
        self._failures = 0  # since the last report or entry
        self._entry_read = anyio.Event()
        self._client = self._connect(worker.info.address)

    @property
    def worker_id(self):
        """Id of the worker."""
        return self._worker.id

    @property
    def client(self):
        """The `platform.RunnerClient` of the worker."""
        return self._client

    @property
    def worker_clock_known(self):
        """Whether a report of the worker has shown its clock."""
        return self._worker_clock_offset_s is not None

    @property
    def retry_delay_s(self):
        """Seconds until the next attempt if no entry is read before."""
        if self._worker.has_reported:
            return RETRY_DELAY_S
        doublings = min(max(0, self._failures - 1), MAX_DOUBLINGS)
        return min(RETRY_DELAY_S * 2**doublings, MAX_RETRY_DELAY_S)

    def knows_clock(self, born_ms):
        """Return whether the clock of an incarnation is known.

        Parameters
        ----------
        born_ms : int
            0 for the one that has reported last.
        """
        if 0 in (born_ms, self._clock_born_ms):
            return self.worker_clock_known
        return born_ms == self._clock_born_ms

    def worker_clock_s(self, now):
        """Return the time on the worker's clock in seconds.

        The result lags by the time that the last report took to arrive.
        """
        return now + self._worker_clock_offset_s

    def on_stored(self):
        """Note that ends of runs are stored and may now be acknowledged."""
        self._stored.set()

    def on_entry(self):
        """Renew anew if an entry names another incarnation of the worker.

        An earlier one that has lost power never answers, and only a report
        of the present one tells which it is and which tasks it has.
        """
        self._failures = 0
        self._entry_read.set()
        entry = self._worker.unconfirmed
        if (
            self._renewal_scope is not None
            and entry is not None
            and entry.born_ms != self._worker.info.born_ms
            and self._worker.unconfirmed_since > self._renewal_sent_at
        ):
            self._renewal_scope.cancel()

    def _on_other_incarnation(self, born_ms):
        """Renew anew, since the worker has started again.

        The present renewal may wait for an earlier incarnation, which may have
        lost power.
        """
        if born_ms == self._worker.info.born_ms or not self._worker.reachable:
            return  # it is known, or about to be
        self._scheduler.on_other_incarnation(self.worker_id, _clock.now())
        if self._renewal_scope is not None:
            self._renewal_scope.cancel()

    async def run(self, writer):
        """Renew until the worker is removed or the owner is cancelled.

        Parameters
        ----------
        writer : citrondeal.cell._writer.ProgressWriter
            Stores the ends of runs that the worker reports.
        """
        while self._scheduler.workers.get(self.worker_id) is self._worker:
            await self._select_address()
            renewed = False
            last_end = self._worker.last_end_number
            began_at = _clock.now()
            with telemetry.contain(_LOG, "renewal", worker=self.worker_id):
                renewed = await self._renew()
            if self._worker.last_end_number != last_end:
                self._idle_renewals = 0
            if not renewed:
                await self._pause()
            elif self._worker.last_end_number > self._worker.acknowledged:
                writer.wake()
                await self._wait_stored()
            else:
                await self._pause_if_idle(began_at)
        await self._client.aclose()

    async def _pause(self):
        """Wait for the next attempt after one that has failed."""
        if self._worker.has_reported:
            await anyio.sleep(RETRY_DELAY_S)
            return
        self._entry_read = anyio.Event()
        with anyio.move_on_after(self.retry_delay_s):
            await self._entry_read.wait()

    async def _pause_if_idle(self, began_at):
        """Wait after several renewals that ended at once and showed no end."""
        if _clock.now() - began_at >= RETRY_DELAY_S:
            self._idle_renewals = 0
            return
        self._idle_renewals += 1
        if self._idle_renewals > MAX_IDLE_RENEWALS:
            await anyio.sleep(RETRY_DELAY_S)

    async def _select_address(self):
        """Connect to the address in an entry of the worker."""
        info, entry = self._worker.info, self._worker.unconfirmed
        if entry is not None and self._tries_unconfirmed:
            info = entry
        if self._client.address != info.address:
            await self._client.aclose()
            self._client = self._connect(info.address)

    def _connect(self, address):
        return platform.RunnerClient(
            self.worker_id, address, self._on_other_incarnation
        )

    async def _wait_stored(self):
        self._stored = anyio.Event()
        with anyio.move_on_after(END_STORED_WAIT_S):
            await self._stored.wait()

    async def _renew(self):
        worker = self._worker
        sent_at = _clock.now()
        until_s = None
        if (
            self.worker_clock_known
            and worker.may_renew
            and not self._connection_lost
            and self._may_renew(sent_at)
        ):
            until_s = self.worker_clock_s(sent_at) + self._lease_s
            # The client leaves the time out on a new connection.
            worker.extend_lease(sent_at, self._lease_s)
        # Ends that are not acknowledged yet would make the worker answer a
        # held renewal at once, so it is not asked to wait.
        pending = worker.last_end_number > worker.acknowledged
        at_once = (
            pending
            or not worker.reachable
            or not worker.is_proven
            or worker.unconfirmed is not None
        )
        wait_s = REPORT_WAIT_S if worker.may_renew else RETRY_DELAY_S
        renewal = platform.LeaseRenewal(
            worker.fence,
            worker.acknowledgement,
            until_s,
            0.0 if at_once else wait_s,
        )
        self._renewal_sent_at = sent_at
        with anyio.CancelScope() as self._renewal_scope:
            outcome = await self._client.renew_leases(renewal)
        if self._renewal_scope.cancelled_caught:
            return True  # the entry is to be settled without a pause
        now = _clock.now()
        if outcome.is_err():
            return self._on_failure(outcome.err_value, renewal.fence, now)
        self._connection_lost = False
        report = outcome.ok_value
        self._worker_clock_offset_s = report.clock_s - now
        self._clock_born_ms = report.born_ms
        self._scheduler.on_report(worker.id, report, sent_at, now)
        self._on_report()
        return True

    def _on_failure(self, failure, fence, now):
        """Learn from a failure, and return whether to try again at once."""
        was_lost, self._connection_lost = self._connection_lost, False
        if isinstance(failure, web.ConnectionEnded) and not was_lost:
            # The next incarnation may be up; silence follows if it is not.
            self._connection_lost = True
            self._scheduler.on_connection_lost(self.worker_id, now)
            return True
        self._failures += 1
        # The incarnation that an entry names may have another address.
        self._tries_unconfirmed = not self._tries_unconfirmed
        if failure.kind is errors.Kind.BARRED and fence == self._worker.fence:
            telemetry.event(
                _LOG,
                logging.WARNING,
                "worker knows a newer owner",
                worker=self.worker_id,
            )
            self._scheduler.on_newer_owner()
        self._scheduler.on_renewal_failed(self.worker_id, failure.message, now)
        self._on_report()
        return False
