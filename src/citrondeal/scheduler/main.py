"""Entry point of ``citrondeal-scheduler``; holds one process's state."""

import json
import logging
import math

import anyio
import result

from citrondeal import config as settings
from citrondeal import jobs
from citrondeal import operators
from citrondeal.operators import api
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import placement
from citrondeal import runtime
from citrondeal.scheduler import _edits
from citrondeal.scheduler import _exchange
from citrondeal.scheduler import _jobs
from citrondeal import workers

RELEASE_TIMEOUT_S = 3.0  # for the pool release to be read back from the log
FIRST_CLAIM_DELAY_S = 1.5  # longer than the period of VM list reads
VIEW_CHECK_S = 0.1  # period of checks for the first views of list and log
JOB_QUERY_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class Scheduler:
    """One scheduler process: its state, clients and background tasks.

    Parameters
    ----------
    config : citrondeal.config.SchedulerConfig
        Settings of the process.
    task_group : anyio.abc.TaskGroup
        Runs everything but the HTTP server.
    """

    def __init__(self, config, task_group):
        self._config = config
        self._task_group = task_group
        self._zone = config.process.zone
        self._pool_resource = f"pool/{self._zone}"
        owner_config = jobs.OwnerConfig(
            task_ttl_s=config.leases.task_ttl_s,
            poll_s=config.workers.period_s,
        )
        self._shared = runtime.SharedComponents.from_config(
            config,
            "scheduler",
            task_group,
            self.dump,
            # A new owner that has not known the VM list for so long has to
            # wait for the leases of earlier owners.
            settle_s=owner_config.unlisted_hold_s + owner_config.list_lag_s,
        )
        self._owner = jobs.PoolOwner(
            jobs.JobTable(),
            placement.Pool(placement.Config()),
            owner_config,
        )
        self._jobs = _jobs.JobService(
            self._owner,
            self._shared.settings,
            self._shared.log,
            self._zone,
            self._zones,
            task_group,
            self._shared.metrics,
            may_deny_zone=self._shared.directory.may_deny,
        )
        self._worker_client = workers.Client.from_config(config)
        self._exchange = _exchange.WorkerExchanges(
            self._owner,
            self._worker_client,
            self._valid_until,
            self._jobs.append,
            task_group,
            self._shared.metrics,
        )
        self._edits = _edits.EditService(
            self._shared.settings, self._shared.log
        )
        gauge = self._shared.metrics.gauge
        gauge("citrondeal.tasks.queued", lambda: self._owner.pool.queued_tasks)
        gauge("citrondeal.pool.allotted", self._allotted_share)
        crashes = self._owner.crashes
        gauge("citrondeal.workers.crashes", lambda: crashes.worker_crashes)
        gauge("citrondeal.tasks.crashes", lambda: crashes.crashed_runs)
        gauge("citrondeal.tasks.given_up", lambda: crashes.tasks_given_up)
        gauge(
            "citrondeal.traffic.workers",
            lambda: sum(self._worker_client.traffic),
            "By",
        )
        self._app = api.build_app(self._backend(), config.limits.body_bytes)

    @classmethod
    def from_config(cls, config, task_group):
        """Build a scheduler from its settings."""
        return cls(config, task_group)

    @property
    def lifecycle(self):
        """State of the process between start and exit."""
        return self._shared.lifecycle

    def _allotted_share(self):
        """Return the share of the pool's cores that is allotted to tasks."""
        pool = self._owner.pool.dump()
        used = sum(size[0] for size in pool["used"].values())
        return used / max(1, pool["total"][0])

    def _zones(self):
        schedulers = self._shared.directory.select("entry", role="scheduler")
        return {self._zone, *(vm.zone for vm in schedulers)}

    def _valid_until(self, now):
        return self._shared.leases.group.valid_until(self._pool_resource, now)

    async def start(self):
        """Start the background tasks."""
        start_soon = self._task_group.start_soon
        self._shared.leases.set_callbacks(
            self._on_gained, self._on_lost, self._on_drain
        )
        self._shared.settings.add_read_listener(self._on_settings)
        self._jobs.on_batch(self._exchange.request_round)
        self._shared.lifecycle.set_ready_check(self._is_ready)
        await self._shared.start(
            self._answer, self._on_vms, self._on_list_read
        )
        start_soon(self._jobs.run)
        start_soon(self._exchange.run)
        start_soon(self._claim_pool)

    async def serve_http(self, *, task_status):
        """Serve operators until cancelled."""
        await self._shared.serve_http(self._app, task_status=task_status)

    async def drain(self):
        """Ask clients to give up connections while requests are served.

        Returns after the time that the balancer has to see that the process
        is not ready.
        """
        self._app.disable_keep_alive()
        await anyio.sleep(runtime.UNREADY_DELAY_S)

    async def stop(self):
        """Release the pool, so that another scheduler can take it over."""
        self._shared.leases.group.set_wanted([], anyio.current_time())
        self._shared.leases.release(self._pool_resource)
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            while (
                self._shared.leases.group.holder_of(self._pool_resource)
                is not None
            ):
                holder = self._shared.leases.group.holder_of(
                    self._pool_resource
                )
                if holder[0] != self._shared.identity.process:
                    break
                await anyio.sleep(0.05)

    def dump(self):
        """Return the JSON-ready state of the process."""
        shared = self._shared.dump()
        shared["traffic"]["workers"] = self._worker_client.traffic
        return {**shared, "jobs": self._owner.dump()}

    def _is_ready(self):
        return self._shared.settings.loaded and self._jobs.loaded

    def _on_list_read(self):
        now = anyio.current_time()
        self._owner.on_list_read(now)
        self._note_unused_pool(now)

    def _note_unused_pool(self, now):
        if self._shared.leases.was_never_claimed(self._pool_resource):
            self._owner.on_unused_pool(now)

    async def _claim_pool(self):
        """Claim the pool once the VM list and the log have been read.

        All schedulers of a new zone then know its workers before the first
        task is started, as `jobs.PoolOwner.on_unused_pool` requires.
        """
        claim_at = anyio.current_time() + FIRST_CLAIM_DELAY_S
        while (
            self._shared.directory.updated_at is None
            or not self._shared.leases.at_log_end
        ):
            await anyio.sleep(VIEW_CHECK_S)
        # The next read of the list may come after another's first claim.
        self._note_unused_pool(anyio.current_time())
        await anyio.sleep_until(claim_at)
        self._shared.leases.group.set_wanted(
            [self._pool_resource], anyio.current_time()
        )

    def _on_vms(self):
        vms = self._shared.directory.select("worker", self._zone)
        now = anyio.current_time()
        self._owner.on_workers([_worker_info(vm) for vm in vms], now)
        self._exchange.set_workers({vm.id: vm.http for vm in vms})
        self._exchange.request_round()

    def _on_settings(self):
        tree = self._shared.settings.tree
        quotas = {}
        for path in tree.paths("/teams"):
            values = tree.values(path)
            if values is not None:
                quotas[path.removeprefix("/teams/")] = _quota_of(values)
        self._owner.pool.set_quotas(quotas)

    def _on_gained(self, resource, epoch, now):
        previous = self._shared.leases.group.previous_valid_until(resource)
        if previous is None and epoch == 1:
            # No process has held the pool before, so no task is running.
            previous = -math.inf
        self._owner.on_gained(epoch, previous, now)
        self._exchange.request_round()

    def _on_lost(self, resource, epoch, now):
        self._owner.on_lost(now)

    def _on_drain(self, resource, now):
        # The pool is released at once, because tasks keep running while its
        # owner changes.
        self._shared.leases.release(resource)

    async def _answer(self, peer, value):
        if isinstance(value, ttypes.Promise):
            return self._shared.leases.answer_promise(value)
        if isinstance(value, ttypes.JobQuery):
            return self._answer_job_query(value)
        return ttypes.Fault(
            kind="protocol",
            message=(
                "a scheduler does not handle messages of type "
                f"{type(value).__name__}"
            ),
        )

    def _answer_job_query(self, message):
        status = self._owner.status(message.job_id)
        if status is None or not self._owner.owned:
            return ttypes.Fault(
                kind="unavailable",
                message=(
                    f"job {message.job_id!r} is unknown here or this "
                    f"scheduler does not own {self._pool_resource}"
                ),
            )
        return ttypes.Document(json.dumps(status).encode())

    async def _job_status(self, job_id):
        """Return a job's status, from the pool owner if it can be asked."""
        local_status = await self._jobs.status(job_id)
        if local_status.is_err() or self._owner.owned:
            return local_status
        holder = self._shared.leases.group.holder_of(self._pool_resource)
        vm = self._shared.directory.get(holder[0]) if holder else None
        if vm is None:
            return local_status
        try:
            reply = await self._shared.links.call(
                vm.peer, ttypes.JobQuery(job_id), JOB_QUERY_TIMEOUT_S
            )
        except peers.PeerError:
            return local_status
        if isinstance(reply, ttypes.Document):
            return result.Ok(json.loads(reply.text))
        return local_status

    def _backend(self):
        views = api.tree_views(lambda: self._shared.settings.tree)
        probes = runtime.probes_of(
            self._shared.lifecycle, self._shared.metrics, self.dump
        )
        return operators.Backend(
            **views,
            edit=self._edits.edit,
            submit=self._jobs.submit,
            jobs=self._jobs.list_jobs,
            job=self._job_status,
            cancel=self._jobs.cancel,
            **probes,
        )


def _worker_info(vm):
    return jobs.WorkerInfo(
        name=vm.id,
        rack=vm.rack,
        cores=vm.cores,
        memory_mb=vm.memory_mb,
        accelerators=vm.accelerators,
        leaving=vm.state == "leaving",
    )


def _quota_of(values):
    return placement.Quota(
        cores=values["quota.cores"],
        memory_mb=values["quota.memory_mb"],
        accelerators=values["quota.accelerators"],
        weight=values["weight"],
    )


def main():
    """Run ``citrondeal-scheduler``."""
    runtime.run_program(
        Scheduler, settings.SchedulerConfig, "citrondeal-scheduler"
    )


if __name__ == "__main__":
    main()
