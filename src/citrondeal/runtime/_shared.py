"""What both daemons consist of besides their own cores."""

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


class Shared:
    """Identity, platform clients, links, leases and settings of a daemon.

    Parameters
    ----------
    config : object
        Settings of the daemon.
    role : {"gateway", "scheduler"}
        Role of the daemon.
    task_group : anyio.abc.TaskGroup
        Runs everything but the HTTP server.
    dump : callable
        Returns the JSON-ready state of the daemon.
    """

    def __init__(self, config, role, task_group, dump):
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
        )
        self.settings = _tree.TreeReplica(self.log, task_group, self.metrics)
        self._add_gauges()

    @classmethod
    def from_config(cls, config, role, task_group, dump):
        """Build the shared parts from the settings of a daemon."""
        return cls(config, role, task_group, dump)

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
                functools.partial(_total_traffic, source),
                "By",
            )

    async def start(self, answer, on_vms, on_list=None):
        """Start signals, the server for peers, leases, settings, VM list.

        Parameters
        ----------
        answer : callable
            ``async answer(peer, value)`` returns the reply to a peer.
        on_vms, on_list : callable
            Called after a change, and after each read, of the VM list.
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
            _vms.poll_vms, self.vm_client, self.directory, on_vms, on_list
        )

    async def serve_http(self, app, *, task_status):
        """Serve `app` on the address of the settings until cancelled."""
        address = self._config.listen.http
        await web.run_server(
            app,
            address.host,
            address.port,
            self._config.drain.limit_s,
            task_status=task_status,
        )

    def dump(self):
        """Return the JSON-ready state of the shared parts."""
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


def _total_traffic(source):
    return sum(source.traffic)
