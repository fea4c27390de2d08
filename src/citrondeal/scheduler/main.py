"""Entry point of ``citrondeal-scheduler``."""

import functools
import json
import logging
import math
import sys

import anyio
import result

from citrondeal import config as settings
from citrondeal import errors
from citrondeal import jobs
from citrondeal import operators
from citrondeal.operators import api
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import placement
from citrondeal import platform
from citrondeal import runtime
from citrondeal.scheduler import _edits
from citrondeal.scheduler import _exchange
from citrondeal.scheduler import _jobs
from citrondeal import telemetry
from citrondeal import web
from citrondeal import workers

USAGE = "usage: citrondeal-scheduler SETTINGS.ini"
# Time for the release of the pool to be read back from the log.
RELEASE_S = 3.0
FIRST_CLAIM_S = 1.5  # longer than the period at which the VM list is read
QUERY_S = 1.0  # for the owner's answer about a job

_LOG = logging.getLogger(__name__)


class Scheduler:
    """Cores and borders of one scheduler process.

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
        self._resource = f"pool/{self._zone}"
        self._identity = runtime.identity_of(config, "scheduler")
        self._lifecycle = runtime.Lifecycle(self.dump)
        self._metrics = telemetry.Metrics(config.process.name)
        self._log = platform.LogClient.from_config(config)
        self._vm_client = platform.VmClient.from_config(config)
        self._directory = platform.Directory()
        self._links = peers.Pool(self._identity, task_group)
        self._leases = runtime.LeaseDriver.from_config(
            config,
            self._identity,
            self._log,
            self._links,
            task_group,
            self._metrics,
        )
        self._settings = runtime.TreeReplica(
            self._log, task_group, self._metrics
        )
        self._owner = jobs.Owner(
            jobs.Book(),
            placement.Pool(placement.Config()),
            jobs.OwnerConfig(
                task_ttl_s=config.leases.task_ttl_s,
                poll_s=config.workers.period_s,
            ),
        )
        self._jobs = _jobs.JobService(
            self._owner,
            self._settings,
            self._log,
            self._zone,
            self._zones,
            task_group,
            self._metrics,
        )
        self._worker_client = workers.Client.from_config(config)
        self._exchange = _exchange.Exchange(
            self._owner,
            self._worker_client,
            self._valid_until,
            self._jobs.append,
            task_group,
            self._metrics,
        )
        self._edits = _edits.EditService(self._settings, self._log)
        self._app = api.build_app(self._backend(), config.limits.body_bytes)

    @classmethod
    def from_config(cls, config, task_group):
        """Build a scheduler from its settings."""
        return cls(config, task_group)

    @property
    def lifecycle(self):
        """State between start and exit."""
        return self._lifecycle

    def _zones(self):
        schedulers = self._directory.select("entry", role="scheduler")
        return {self._zone, *(vm.zone for vm in schedulers)}

    def _valid_until(self, now):
        return self._leases.group.valid_until(self._resource, now)

    async def start(self):
        """Start everything that runs in the background."""
        start = self._task_group.start
        start_soon = self._task_group.start_soon
        await start(self._lifecycle.handle_signals)
        address = self._config.listen.peer
        await start(
            functools.partial(
                peers.serve,
                address.host,
                address.port,
                self._identity,
                self._answer,
            )
        )
        self._leases.listen(self._on_gained, self._on_lost, self._on_drain)
        self._settings.on_changed(self._on_settings)
        self._jobs.on_changed(self._exchange.changed)
        self._lifecycle.set_ready_check(self._is_ready)
        start_soon(self._leases.run)
        start_soon(self._settings.run)
        start_soon(self._jobs.run)
        start_soon(self._exchange.run)
        start_soon(self._claim_pool)
        start_soon(
            runtime.poll_vms,
            self._vm_client,
            self._directory,
            self._on_vms,
            self._on_list,
        )

    async def serve_http(self, *, task_status):
        """Serve operators until cancelled."""
        address = self._config.listen.http
        await web.run_server(
            self._app,
            address.host,
            address.port,
            self._config.drain.limit_s,
            task_status=task_status,
        )

    async def drain(self):
        """Let running HTTP requests finish after readiness is withdrawn."""
        self._app.close_connections()
        await anyio.sleep(runtime.UNREADY_S)

    async def stop(self):
        """Hand the pool to another scheduler."""
        self._leases.group.want([], anyio.current_time())
        self._leases.release(self._resource)
        with anyio.move_on_after(RELEASE_S):
            while self._leases.group.holder_of(self._resource) is not None:
                holder = self._leases.group.holder_of(self._resource)
                if holder[0] != self._identity.process:
                    break
                await anyio.sleep(0.05)

    def dump(self):
        """Return the JSON-ready state of the process."""
        return {
            "process": self._identity.process,
            "incarnation": self._identity.incarnation,
            "zone": self._zone,
            "ready": self._lifecycle.ready,
            "draining": self._lifecycle.draining,
            "usage": runtime.usage(),
            "traffic": {
                "log": self._log.traffic,
                "vms": self._vm_client.traffic,
                "workers": self._worker_client.traffic,
                "peers": self._links.traffic,
                "peers_by_address": self._links.traffic_by_address,
            },
            "vms": self._directory.dump(),
            "leases": self._leases.group.dump(),
            "tree": self._settings.dump(),
            "jobs": self._owner.dump(),
        }

    def _is_ready(self):
        return self._settings.complete and self._jobs.complete

    def _on_list(self):
        now = anyio.current_time()
        self._owner.on_list(now)
        if self._leases.is_unused(self._resource):
            self._owner.on_unused_pool(now)

    async def _claim_pool(self):
        """Want the pool once the workers are known.

        The schedulers of a new zone then all know the workers before the
        first of them starts a task, see `jobs.Owner.on_unused_pool`.
        """
        await anyio.sleep(FIRST_CLAIM_S)
        while self._directory.updated_at is None:
            await anyio.sleep(0.1)
        self._leases.group.want([self._resource], anyio.current_time())

    def _on_vms(self):
        vms = self._directory.select("worker", self._zone)
        now = anyio.current_time()
        self._owner.on_workers([_worker_info(vm) for vm in vms], now)
        self._exchange.set_workers({vm.id: vm.http for vm in vms})
        self._exchange.changed()

    def _on_settings(self):
        tree = self._settings.tree
        quotas = {}
        for path in tree.paths("/teams"):
            values = tree.values(path)
            if values is not None:
                quotas[path.removeprefix("/teams/")] = _quota_of(values)
        self._owner.pool.set_quotas(quotas)

    def _on_gained(self, resource, epoch, now):
        previous = self._leases.group.previous_until(resource)
        if previous is None and epoch == 1:
            # Nobody has ever held the pool, so no task can be running.
            previous = -math.inf
        self._owner.on_gained(epoch, previous, now)
        self._exchange.changed()

    def _on_lost(self, resource, epoch, now):
        self._owner.on_lost(now)

    def _on_drain(self, resource, now):
        # Tasks keep running while their owner changes, so the pool can be
        # handed over at once.
        self._leases.release(resource)

    async def _answer(self, peer, value):
        if isinstance(value, ttypes.Promise):
            return self._leases.answer_promise(value)
        if isinstance(value, ttypes.JobQuery):
            return self._answer_query(value)
        return ttypes.Fault(kind="protocol", message="unexpected message")

    def _answer_query(self, message):
        status = self._owner.status(message.job_id)
        if status is None or not self._owner.owned:
            return ttypes.Fault(kind="unavailable", message="not the owner")
        return ttypes.Document(json.dumps(status).encode())

    async def _job_status(self, job_id):
        """Return the state of a job, with its tasks as the owner has them."""
        own = await self._jobs.status(job_id)
        if own.is_err() or self._owner.owned:
            return own
        holder = self._leases.group.holder_of(self._resource)
        vm = self._directory.get(holder[0]) if holder else None
        if vm is None:
            return own
        try:
            reply = await self._links.call(
                vm.peer, ttypes.JobQuery(job_id), QUERY_S
            )
        except peers.PeerError:
            return own
        if isinstance(reply, ttypes.Document):
            return result.Ok(json.loads(reply.text))
        return own

    def _backend(self):
        views = api.tree_views(lambda: self._settings.tree)
        return operators.Backend(
            **views,
            edit=self._edits.edit,
            submit=self._jobs.submit,
            jobs=self._jobs.listing,
            job=self._job_status,
            cancel=self._jobs.cancel,
            live=_live,
            ready=self._ready,
            metrics=self._collect,
            dump=self._dump,
            drain=self._begin_drain,
        )

    async def _ready(self):
        if self._lifecycle.ready:
            return result.Ok({"ready": True})
        message = "draining" if self._lifecycle.draining else "starting"
        return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))

    async def _collect(self):
        return result.Ok(self._metrics.collect())

    async def _dump(self):
        return result.Ok(self.dump())

    async def _begin_drain(self):
        self._lifecycle.drain()
        return result.Ok({"draining": True})


async def _live():
    return result.Ok({"live": True})


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


async def serve(config):
    """Run a scheduler until its graceful shutdown has ended."""
    await runtime.serve_until_drained(Scheduler, config)


@settings.main_guard
def main():
    """Run the program; exits with 2 if the settings are invalid."""
    if len(sys.argv) != 2:
        print(USAGE, file=sys.stderr)
        sys.exit(2)
    config = settings.SchedulerConfig.from_file(sys.argv[1])
    sys.exit(runtime.run(serve, config))


if __name__ == "__main__":
    main()
