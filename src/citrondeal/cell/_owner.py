"""The owner of the cell during one epoch.

Holds the scheduler of all jobs and the leases on all workers, sends starts
and stops to the workers, and stores the progress of jobs.
"""

import functools
import logging
import time

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _deletions
from citrondeal.cell import _follower
from citrondeal.cell import _job_records
from citrondeal.cell import _job_topics
from citrondeal.cell import _leases
from citrondeal.cell import _orders
from citrondeal.cell import _records
from citrondeal.cell import _scheduler_metrics
from citrondeal.cell import _stored_state
from citrondeal.cell import _ticket_requests
from citrondeal.cell import _worker_entries
from citrondeal.cell import _writer
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

JOB_LONG_POLL_S = 0.5
# The list of workers changes with each heartbeat. A long poll would return at
# each change and cost a store call every few dozen milliseconds.
WORKERS_PERIOD_S = 0.4
# A smaller capacity of a worker counts one heartbeat, in which the worker
# reports it, and the contact time later. A start that is not held up reaches
# the worker within this time after the last check.
START_TRANSIT_S = 0.2
PLAN_PERIOD_S = 0.1
# Events within this time are planned together.
PLAN_BATCH_S = 0.01
# The owner says that a job does not exist only if all topics of submissions
# have been read up to a time that is not longer ago than this. Two long polls
# take up to 1.1 s; a job has to be known 3 s after its acknowledgement, of
# which the way of the answer takes up to 0.5 s.
MAX_VIEW_AGE_S = 2.0
RETRY_DELAY_S = 0.2

_LOG = logging.getLogger(__name__)


class Owner:
    """Runs the scheduler of the cell during one epoch.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    ticket_dispatcher : citrondeal.cell._tickets.TicketDispatcher
        Fetches tickets through the members of the cell.
    epoch : int
        Epoch of the claim that made this process the owner.
    confirmation : citrondeal.cell._confirmation.OwnerConfirmation
    settings : citrondeal.platform.Settings
    metrics : citrondeal.telemetry.Metrics
    catalog : callable, optional
        Returns the newest `platform.Catalog`, or None if there is none.
    """

    def __init__(
        self,
        store,
        ticket_dispatcher,
        epoch,
        confirmation,
        settings,
        metrics,
        catalog=lambda: None,
    ):
        self._store = store
        self._ticket_dispatcher = ticket_dispatcher
        self._epoch = epoch
        self._confirmation = confirmation
        self._lease_s = settings.max_lease_s
        self._status_s = settings.job_status_ttl_s
        self._far_factor = settings.far_factor
        self._capacities_valid_s = max(
            settings.contact_s - START_TRANSIT_S, 2 * WORKERS_PERIOD_S
        )
        self._config_apply_s = settings.config_apply_s
        self._quota_overrun = settings.quota_overrun
        self._catalog_in_force = None
        self._metrics = metrics
        self._catalog = catalog
        self._worker_entries = _worker_entries.WorkerEntries(metrics)
        self._scheduler_metrics = _scheduler_metrics.SchedulerMetrics(metrics)
        self._scheduler = None
        self._orders = None
        self._recovered = False
        self._plan_needed = anyio.Event()
        self._leases = {}
        self._early_worker_records = {}  # read before the recovery was done
        self._task_group = None
        self._job_reader = _job_topics.JobReader(
            store, self._on_job_records, JOB_LONG_POLL_S
        )
        self._workers = _follower.Follower(
            store,
            platform.WORKERS_TOPIC,
            self._on_workers,
            0.0,
            WORKERS_PERIOD_S,
        )
        self._writer = _writer.ProgressWriter(
            store, epoch, self._on_stored, self._take_learned
        )

    @property
    def scheduler(self):
        """The `workflow.Scheduler` of this epoch; None before the recovery."""
        # While records are read, ended jobs are not known yet.
        return self._scheduler if self._recovered else None

    @property
    def view_age_s(self):
        """Age in seconds of the oldest view of a topic of submissions."""
        return self._job_reader.age_s(_clock.now())

    @property
    def positions(self):
        """Offset of the next record to read of each topic of submissions."""
        return self._job_reader.positions

    @property
    def is_current(self):
        """Whether submissions have been read recently enough to deny a job."""
        return self._recovered and self.view_age_s < MAX_VIEW_AGE_S

    @property
    def is_confirmed(self):
        """Whether no newer owner can have changed the state of jobs yet."""
        return self._confirmation.may_answer(_clock.now())

    async def run(self):
        """Recover the state, then schedule until superseded or cancelled."""
        started = _clock.now()
        async with anyio.create_task_group() as task_group:
            # The list of workers is not fenced, and no task starts before it
            # has been read, so it is read during the recovery.
            task_group.start_soon(self._follow_workers)
            if not await self._recover():
                task_group.cancel_scope.cancel()
                return
            self._metrics.record(
                "citrondeal.takeover.time", _clock.now() - started
            )
            self._task_group = task_group
            self._start_missing_leases()
            self._on_workers(list(self._early_worker_records.values()))
            self._early_worker_records = {}
            task_group.start_soon(self._job_reader.run)
            task_group.start_soon(self._run_writer)
            task_group.start_soon(_deletions.run, self._store, self._scheduler)
            task_group.start_soon(self._confirm)
            await self._plan()
            task_group.cancel_scope.cancel()

    # Recovery

    async def _recover(self):
        """Fence earlier owners and read the stored state.

        Returns
        -------
        bool
            False if a newer owner exists.
        """
        started = _clock.now()
        if not await self._writer.fence():
            return False
        config = workflow.Config(
            self._lease_s,
            self._status_s,
            self._capacities_valid_s,
            self._far_factor,
            self._config_apply_s,
            self._quota_overrun,
        )
        now = _clock.now()
        scheduler = workflow.Scheduler(config, self._epoch)
        self._pass_configuration(scheduler, now)
        self._scheduler = scheduler
        state = {}

        # No earlier owner changes the state after the fence, so it does not
        # matter whether the state or the submissions are read first.
        async def read_state():
            state.update(await self._read_state())

        await self._job_reader.load(read_state)
        if scheduler.superseded:
            return False
        for job, progress in state["job"].items():
            if job in scheduler.jobs:
                scheduler.restore(job, progress, now)
            else:
                scheduler.restore_ended_job(job, progress, now)
        scheduler.recover_workers(list(state["worker"].values()), now)
        for limit in state[_records.RUN_LIMIT_KEY].values():
            scheduler.recover_run_limit(limit)
        for learned in state[_records.LEARNED_KEY].values():
            scheduler.learning.restore(learned, now)
        self._orders = _orders.OrderSender(
            scheduler, self._leases, self._confirmation.holds, self._metrics
        )
        self._recovered = True
        telemetry.event(
            _LOG,
            logging.INFO,
            "state is recovered",
            epoch=self._epoch,
            took_s=round(_clock.now() - started, 3),
            jobs=len(scheduler.jobs),
            workers=len(scheduler.workers),
            with_progress=len(state["job"]),
            done_tasks=_done_tasks(scheduler),
            positions=self.positions,
        )
        return True

    async def _read_state(self):
        while True:
            outcome = await self._store.read_newest(_records.STATE_TOPIC)
            if outcome.is_ok():
                records = outcome.ok_value[1]
                self._on_state_barriers(records)
                return _stored_state.decode(records, self._metrics)
            await anyio.sleep(RETRY_DELAY_S)

    def _on_state_barriers(self, records):
        """Give up if a later owner may have stored what was read."""
        for record in records:
            if record.key == _records.BARRIER_KEY:
                _job_records.deliver_barrier(self._scheduler, record)

    # Events

    def _on_job_records(self, records, recovered):
        _job_records.deliver(
            self._scheduler, records, recovered, _clock.now(), time.time()
        )
        self._plan_needed.set()

    def _on_workers(self, records):
        if not self._recovered:
            self._early_worker_records.update((r.key, r) for r in records)
            return
        now = _clock.now()
        for record in records:
            with telemetry.contain(_LOG, "worker record", key=record.key):
                self._on_worker_record(record, now)
        self._start_missing_leases()
        self._plan_needed.set()

    def _on_worker_record(self, record, now):
        if not record.value:
            self._scheduler.on_worker_unlisted(record.key, now)
            return
        info = self._worker_entries.decode(record, now)
        if info is None:
            return
        self._scheduler.on_worker(info, now)
        if record.key in self._leases:
            self._leases[record.key].on_entry()

    async def _follow_workers(self):
        await self._workers.load()
        await self._workers.run()

    def _start_missing_leases(self):
        for worker_id, worker in self._scheduler.workers.items():
            if worker_id not in self._leases and self._task_group is not None:
                # A stored worker that cannot be used must not end each owner.
                with telemetry.contain(_LOG, "lease", worker=worker_id):
                    self._start_lease(worker)

    def _start_lease(self, worker):
        lease = _leases.LeaseRenewer(
            worker,
            self._scheduler,
            self._lease_s,
            self._on_report,
            self._confirmation.holds,
        )
        self._leases[worker.id] = lease
        self._task_group.start_soon(self._run_lease, lease)

    async def _run_lease(self, lease):
        await telemetry.keep_running(
            _LOG,
            "lease renewals",
            functools.partial(lease.run, self._writer),
        )
        self._leases.pop(lease.worker_id, None)

    def _on_report(self):
        self._plan_needed.set()

    async def _confirm(self):
        await self._confirmation.run()
        _warn("another member knows a newer owner", epoch=self._epoch)
        self._scheduler.on_newer_owner()
        self._plan_needed.set()

    def _on_stored(self, jobs, workers, ends):
        self._scheduler.on_stored(jobs, workers, ends)
        for worker_id in ends:
            if worker_id in self._leases:
                self._leases[worker_id].on_stored()
        self._plan_needed.set()

    def _take_learned(self, now):
        return self._scheduler.learning.take_record(now)

    async def _run_writer(self):
        failure = await self._writer.run(self._scheduler)
        _warn(
            "a newer owner writes to the store"
            if failure.kind is errors.Kind.BARRED
            else "another writer has used the epoch",
            epoch=self._epoch,
            reason=failure.message,
        )
        self._scheduler.on_newer_owner()
        self._plan_needed.set()

    # Decisions

    async def _plan(self):
        while not self._scheduler.superseded:
            with anyio.move_on_after(PLAN_PERIOD_S):
                await self._plan_needed.wait()
            self._plan_needed = anyio.Event()
            started = time.perf_counter()
            with telemetry.contain(_LOG, "planning", epoch=self._epoch):
                self._plan_once(_clock.now())
            self._metrics.record(
                "citrondeal.plan.time", time.perf_counter() - started
            )
            await anyio.sleep(PLAN_BATCH_S)
        _warn("ownership is lost", epoch=self._epoch)

    def _plan_once(self, now):
        self._scheduler.on_workers_read(self._workers.confirmed_at)
        self._pass_configuration(self._scheduler, now)
        max_starts = self._orders.free
        if not self._confirmation.holds(now):
            max_starts = 0
        for action in self._scheduler.plan(now, max_starts):
            self._task_group.start_soon(self._execute, action)
        if self._scheduler.wants_to_store:
            self._writer.wake()
        self._worker_entries.update(self._scheduler.incarnations)
        self._scheduler_metrics.update(self._scheduler, now)

    def _pass_configuration(self, scheduler, now):
        """Pass a new configuration on to the scheduler."""
        catalog = self._catalog()
        if catalog is None or catalog is self._catalog_in_force:
            return
        self._catalog_in_force = catalog
        scheduler.on_accounts(catalog.accounts, now)
        scheduler.on_queues(catalog.services)

    async def _execute(self, action):
        if isinstance(action, workflow.FetchTickets):
            with telemetry.contain(_LOG, "tickets"):
                await _ticket_requests.fetch(
                    self._scheduler,
                    self._ticket_dispatcher,
                    action,
                    self._metrics,
                )
        else:
            await self._orders.send(action)
        self._plan_needed.set()


def _done_tasks(scheduler):
    """Return the number of tasks of active jobs that are known as done."""
    return sum(
        step.done_count
        for job in scheduler.active.values()
        for step in job.steps
    )


def _warn(message, **fields):
    telemetry.event(_LOG, logging.WARNING, message, **fields)
