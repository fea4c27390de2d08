"""Components that gateway and scheduler have in common."""

import functools

from citrondeal import lifecycle
from citrondeal import logservice
from citrondeal import peers
from citrondeal.runtime import _identity
from citrondeal.runtime import _leases
from citrondeal.runtime import _tree
from citrondeal.runtime import _vms
from citrondeal import telemetry
from citrondeal import web


class SharedComponents:
    """Identity, platform clients, links, leases and settings of a daemon.

    Parameters
    ----------
    config : citrondeal.config.GatewayConfig or SchedulerConfig
        Settings of the daemon.
    role : {"gateway", "scheduler"}
        Role of the daemon.
    task_group : anyio.abc.TaskGroup
        Runs all background tasks but the HTTP server.
    dump : callable
        Returns the JSON-ready state of the daemon.
    settle_s : float, optional
        See `ownership.Config`.
    """

    def __init__(self, config, role, task_group, dump, settle_s=0.0):
        self._config = config
        self._task_group = task_group
        self.identity = _identity.identity_of(config, role)
        self.lifecycle = lifecycle.Lifecycle(dump)
        self.metrics = telemetry.Metrics(config.process.name)
        self.log = logservice.LogClient.from_config(config)
        self.vm_client = logservice.VmClient.from_config(config)
        self.directory = logservice.Directory()
        self.links = peers.ConnectionPool(self.identity, task_group)
        self.leases = _leases.LeaseDriver.from_config(
            config,
            self.identity,
            self.log,
            self.links,
            task_group,
            self.metrics,
            settle_s,
        )
        self.settings = _tree.TreeReplica(self.log, task_group, self.metrics)
        self._add_gauges()

    @classmethod
    def from_config(cls, config, role, task_group, dump, settle_s=0.0):
        """Build the components from the settings of a daemon."""
        return cls(config, role, task_group, dump, settle_s)

    def _add_gauges(self):
        gauge = self.metrics.gauge
        gauge(
            "citrondeal.process.cpu", lambda: lifecycle.usage()["cpu_s"], "s"
        )
        gauge(
            "citrondeal.process.memory",
            lambda: lifecycle.usage()["rss_bytes"],
            "By",
        )
        for name, source in (
            ("log", self.log),
            ("vms", self.vm_client),
            ("peers", self.links),
        ):
            gauge(
                f"citrondeal.traffic.{name}",
                functools.partial(_traffic_bytes, source),
                "By",
            )

    async def start(self, answer, on_vms_changed, on_vms_read=None):
        """Start signal handling, the peer server and the background tasks.

        Parameters
        ----------
        answer : callable
            ``async answer(peer, value)`` returns the reply to the message
            `value` of a peer.
        on_vms_changed : callable
            Called without arguments after each change of the VM list.
        on_vms_read : callable, optional
            Called without arguments after each successful read of the list.
        """
        await self._task_group.start(self.lifecycle.handle_signals)
        address = self._config.listen.peer
        await self._task_group.start(
            functools.partial(
                peers.serve, address.host, address.port, self.identity, answer
            )
        )
        self._task_group.start_soon(self.leases.run)
        self._task_group.start_soon(self.settings.run)
        self._task_group.start_soon(
            _vms.poll_vms,
            self.vm_client,
            self.directory,
            on_vms_changed,
            on_vms_read,
        )

    async def serve_http(self, app, *, task_status):
        """Serve `app` on the configured HTTP address until cancelled."""
        address = self._config.listen.http
        await web.run_server(
            app,
            address.host,
            address.port,
            self._config.drain.limit_s,
            task_status=task_status,
        )

    def dump(self):
        """Return the JSON-ready state of the shared components."""
        return {
            "process": self.identity.process,
            "incarnation": self.identity.incarnation,
            "zone": self.identity.zone,
            "ready": self.lifecycle.ready,
            "draining": self.lifecycle.draining,
            "usage": lifecycle.usage(),
            "traffic": {
                "log": self.log.traffic,
                "vms": self.vm_client.traffic,
                "peers": self.links.traffic,
                "peers_by_address": self.links.traffic_by_address,
            },
            "vms": self.directory.dump(),
            "leases": self.leases.group.dump(),
            "tree": self.settings.dump(),
        }


def _traffic_bytes(source):
    return sum(source.traffic)
