"""One ownership of the cell: recovery, leases, orders, stored progress."""

import logging
import time

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _follower
from citrondeal.cell import _leases
from citrondeal.cell import _records
from citrondeal.cell import _work
from citrondeal.cell import _writer
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

WORK_POLL_S = 0.5  # long poll of submissions
# The list of workers changes with each heartbeat; a poll for each change
# would cost a call every few dozen milliseconds.
WORKERS_PERIOD_S = 0.4
PLAN_PERIOD_S = 0.1
PLAN_PAUSE_S = 0.01  # events within this time are planned together
# A start is void if it arrives later than this, so that one without an
# answer cannot be carried out much later.
START_VALID_S = 2.5
# The view of submissions must be this fresh to deny that a job exists.
FRESH_S = 1.2
AGE_LIMIT_S = 60.0  # of a submission, in case that clocks differ
RETRY_S = 0.2
DROP_PERIOD_S = 8.0  # a call for each topic with jobs that ended meanwhile
TICKET_WAY_S = 0.1  # from the ticket service through another member

_LOG = logging.getLogger(__name__)


class Owner:
    """Runs the scheduler of one epoch.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    tickets : TicketDesk
        Fetches tickets through the members of the cell.
    epoch : int
    settings : citrondeal.platform.Settings
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, store, tickets, epoch, settings, metrics):
        self._store = store
        self._tickets = tickets
        self._epoch = epoch
        self._lease_s = settings.max_lease_s
        self._status_s = settings.job_status_ttl_s
        self._metrics = metrics
        self._scheduler = None
        self._changed = anyio.Event()
        self._leases = {}
        self._task_group = None
        self._work = _work.Reader(store, self._on_work, WORK_POLL_S)
        self._workers = _follower.Follower(
            store,
            platform.WORKERS_TOPIC,
            self._on_workers,
            0.0,
            WORKERS_PERIOD_S,
        )
        self._writer = _writer.Writer(store, epoch, self._on_stored)

    @property
    def scheduler(self):
        """The decisions of this epoch; None before the recovery."""
        return self._scheduler

    @property
    def fresh(self):
        """Whether the absence of a job can be stated."""
        return (
            self._scheduler is not None
            and self._work.age_s(_clock.now()) < FRESH_S
        )

    async def run(self):
        """Recover and decide until the ownership is lost or cancelled."""
        started = _clock.now()
        if not await self._recover():
            return
        self._metrics.record(
            "citrondeal.takeover.time", _clock.now() - started
        )
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self._sync_leases()
            task_group.start_soon(self._work.run)
            task_group.start_soon(self._follow_workers)
            task_group.start_soon(self._write)
            task_group.start_soon(self._drop_ended)
            await self._plan()
            task_group.cancel_scope.cancel()

    # Recovery

    async def _recover(self):
        """Fence earlier owners and read what is stored.

        Returns
        -------
        bool
            Whether this epoch still owns the cell.
        """
        started = _clock.now()
        if not await self._writer.fence():
            return False
        config = workflow.Config(self._lease_s, self._status_s)
        now = _clock.now()
        scheduler = workflow.Scheduler(config, self._epoch)
        state = await self._read_state()
        self._scheduler = scheduler
        await self._work.load()
        for job, progress in state["job"].items():
            if job in scheduler.jobs:
                scheduler.restore(job, progress, now)
            else:
                scheduler.remember_ended(job, progress, now)
        scheduler.recover_workers(list(state["worker"].values()), now)
        telemetry.event(
            _LOG,
            logging.INFO,
            "state is recovered",
            epoch=self._epoch,
            took_s=round(_clock.now() - started, 3),
            jobs=len(scheduler.jobs),
            workers=len(scheduler.workers),
        )
        return True

    async def _read_state(self):
        while True:
            outcome = await self._store.read_newest(_records.STATE_TOPIC)
            if outcome.is_ok():
                return _decode_state(outcome.ok_value[1])
            await anyio.sleep(RETRY_S)

    # Events

    def _on_work(self, records, recovered):
        now = _clock.now()
        unix = time.time()
        for record in records:
            kind, name = _records.split_key(record.key)
            if record.key == _records.BARRIER_KEY:
                self._on_barrier(record)
            elif kind == "cancel" and record.value:
                self._scheduler.on_cancel(name, now)
            elif kind == "job" and record.value:
                self._on_submission(record, recovered, now, unix)
        self._changed.set()

    def _on_submission(self, record, recovered, now, unix):
        try:
            submission = workflow.decode_submission(record.value)
        except workflow.RecordError as exc:
            _warn("submission is skipped", key=record.key, reason=str(exc))
            return
        age = min(max(0.0, unix - submission.submitted_unix), AGE_LIMIT_S)
        # Of a job that was sent again only the newest record is left, so
        # its position does not tell when an earlier owner read it first.
        self._scheduler.on_submission(
            submission, record.offset, now, recovered, age
        )

    def _on_barrier(self, record):
        if record.value.isdigit():
            self._scheduler.on_barrier(int(record.value))

    def _on_workers(self, records):
        now = _clock.now()
        for record in records:
            if not record.value:
                self._scheduler.on_worker_unlisted(record.key, now)
                continue
            try:
                info = platform.decode_worker(record.key, record.value)
            except platform.RecordError as exc:
                _warn("worker is skipped", worker=record.key, reason=str(exc))
                continue
            self._scheduler.on_worker(info, now)
        self._sync_leases()
        self._changed.set()

    async def _follow_workers(self):
        await self._workers.load()
        await self._workers.run()

    def _sync_leases(self):
        for worker_id, worker in self._scheduler.workers.items():
            if worker_id not in self._leases and self._task_group is not None:
                lease = _leases.Lease(
                    worker, self._scheduler, self._lease_s, self._on_report
                )
                self._leases[worker_id] = lease
                self._task_group.start_soon(self._keep_lease, lease)

    async def _keep_lease(self, lease):
        await lease.run(self._writer)
        self._leases.pop(lease.worker_id, None)

    def _on_report(self):
        self._changed.set()

    def _on_stored(self, jobs, workers, ends):
        self._scheduler.on_stored(jobs, workers, ends)
        for worker_id in ends:
            if worker_id in self._leases:
                self._leases[worker_id].on_stored()
        self._changed.set()

    async def _write(self):
        await self._writer.run(self._scheduler)
        _warn("a newer owner writes to the store", epoch=self._epoch)
        self._scheduler.depose()
        self._changed.set()

    async def _drop_ended(self):
        """Drop records of ended jobs, so that the next recovery is short."""
        while True:
            await anyio.sleep(DROP_PERIOD_S)
            self._scheduler.forget(_clock.now())
            by_topic = {}
            for job in self._scheduler.take_droppable():
                topic = _records.work_topic(_records.job_key(job))
                by_topic.setdefault(topic, []).append(job)
            for topic, jobs in by_topic.items():
                await self._drop(topic, jobs)

    async def _drop(self, topic, jobs):
        records = [
            platform.Record(key(job), b"")
            for job in jobs
            for key in (_records.job_key, _records.cancel_key)
        ]
        outcome = await self._store.append(topic, records)
        if outcome.is_err():
            # Dropping a key twice is harmless.
            self._scheduler.keep_submissions(jobs)
            _warn(
                "ended jobs are not dropped",
                count=len(jobs),
                reason=outcome.err_value.message,
            )

    # Decisions

    async def _plan(self):
        while not self._scheduler.deposed:
            with anyio.move_on_after(PLAN_PERIOD_S):
                await self._changed.wait()
            self._changed = anyio.Event()
            started = time.perf_counter()
            actions = self._scheduler.plan(_clock.now())
            for action in actions:
                self._task_group.start_soon(self._carry_out, action)
            self._metrics.record(
                "citrondeal.plan.time", time.perf_counter() - started
            )
            await anyio.sleep(PLAN_PAUSE_S)
        _warn("ownership is lost", epoch=self._epoch)

    async def _carry_out(self, action):
        if isinstance(action, workflow.Start):
            await self._start(action)
        elif isinstance(action, workflow.Stop):
            await self._stop(action)
        else:
            await self._fetch_tickets(action)
        self._changed.set()

    async def _start(self, order):
        lease = self._leases.get(order.worker)
        outcome = workflow.Outcome.REFUSED
        if lease is not None and lease.clock_known:
            until_s = lease.clock_s(_clock.now()) + START_VALID_S
            outcome = await lease.client.start(order, self._epoch, until_s)
            if outcome is workflow.Outcome.UNKNOWN:
                # The same run again: it is there once, whatever arrives.
                outcome = repeated_outcome(
                    await lease.client.start(order, self._epoch, until_s)
                )
        self._metrics.count("citrondeal.starts", 1, outcome=outcome.value)
        self._scheduler.on_started(
            order.task, order.run, order.worker, outcome, _clock.now()
        )

    async def _stop(self, order):
        lease = self._leases.get(order.worker)
        outcome = workflow.Outcome.REFUSED
        if lease is not None:
            outcome = await lease.client.stop(order, self._epoch)
        self._metrics.count("citrondeal.stops", 1, outcome=outcome.value)
        self._scheduler.on_stopped(
            order.task, order.run, order.worker, outcome, _clock.now()
        )

    async def _fetch_tickets(self, order):
        asked_at = _clock.now()
        outcome = await self._tickets.fetch(
            platform.step_name(order.step), order
        )
        now = _clock.now()
        granted, valid_until = None, now
        if outcome.is_ok():
            granted = outcome.ok_value.tickets
            # Tickets are valid from when they were made, a moment ago.
            valid_until += outcome.ok_value.valid_s - TICKET_WAY_S
        self._metrics.record("citrondeal.tickets.time", now - asked_at)
        self._scheduler.on_tickets(
            order.step, order.workers, granted, valid_until, now
        )


def repeated_outcome(outcome):
    """Return what is certain of a start whose first try got no answer.

    The first try may still be carried out after the second was rejected,
    unless the worker has started the task or has a newer owner.
    """
    if outcome in (workflow.Outcome.OK, workflow.Outcome.FENCED):
        return outcome
    return workflow.Outcome.UNKNOWN


def _decode_state(records):
    state = {"job": {}, "worker": {}}
    for record in records:
        kind, name = _records.split_key(record.key)
        if kind not in state or not record.value:
            continue
        try:
            state[kind][name] = _DECODERS[kind](record.value)
        except workflow.RecordError as exc:
            _warn("state is skipped", key=record.key, reason=str(exc))
    return state


_DECODERS = {
    "job": workflow.decode_progress,
    "worker": workflow.decode_worker,
}


def _warn(message, **fields):
    telemetry.event(_LOG, logging.WARNING, message, **fields)
