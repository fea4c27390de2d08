"""Limits on what clients make a process hold, from its settings.

``docs/design/client-limits.md`` has the calculation.
"""

import resource
import sys

from citrondeal import web

MB = 1_000_000
# Parts of the memory of the VM. The rest is for the program (45 MB), the
# state of an owner and responses, and for freed memory that the allocator
# keeps.
CONNECTIONS_SHARE = 0.15
BODIES_SHARE = 0.15
# Objects of a connection and its request (10 KB), data read from it (16 KB)
# and what the kernel keeps for it, on average; its buffers may take up to
# 130 KB more for a connection.
CONNECTION_BYTES = 48 * 1024
# Descriptors that clients must not take: files of the process, connections to
# workers, members, the store and the ticket service (one or two each), and
# connections that are accepted only to be closed.
FILE_DESCRIPTORS = 200
LINK_DESCRIPTORS = 450
ACCEPT_DESCRIPTORS = 200
MIN_CONNECTIONS = 16
# Of the readiness check and of the operators, each on a server of its own.
MONITORING_CONNECTIONS = 32
# One address may be that of a load balancer, so this only keeps one client
# from closing the connections of all others.
CLIENT_SHARE = 0.5


def max_connections(memory_mb, max_descriptors):
    """Return the number of connections of clients that a process accepts.

    Parameters
    ----------
    memory_mb, max_descriptors : int
        Memory of the VM and descriptors of the process.
    """
    by_memory = int(memory_mb * MB * CONNECTIONS_SHARE / CONNECTION_BYTES)
    by_descriptors = max_descriptors - (
        FILE_DESCRIPTORS
        + LINK_DESCRIPTORS
        + ACCEPT_DESCRIPTORS
        + 2 * MONITORING_CONNECTIONS
    )
    return max(MIN_CONNECTIONS, min(by_memory, by_descriptors))


class ClientLimits:
    """Creates the guards of the servers of a process.

    There are none if the settings give no memory.

    Parameters
    ----------
    settings : citrondeal.platform.Settings
    catalog : callable
        Returns the `platform.Catalog` in force, or None.
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, settings, catalog, metrics):
        self._memory_mb = settings.memory_mb
        self._catalog = catalog
        self._metrics = metrics
        self._counts = web.RefusalCounts()
        if not self._memory_mb:
            return
        descriptors = settings.max_descriptors
        if not descriptors:
            descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
            if descriptors == resource.RLIM_INFINITY:
                descriptors = sys.maxsize
        self._connections = max_connections(self._memory_mb, descriptors)
        self._budget = web.Budget(
            int(self._memory_mb * MB * BODIES_SHARE),
            self._connections + 2 * MONITORING_CONNECTIONS,
        )
        metrics.gauge(
            "citrondeal.clients.held",
            lambda: self._budget.large_used,
            "By",
        )
        for refusal in web.Refusal:
            metrics.gauge(
                f"citrondeal.clients.refused.{refusal.value}",
                lambda refusal=refusal: self._counts.totals[refusal],
            )

    def guard_clients(self):
        """Return the `web.Guard` of the server for clients, or None."""
        if not self._memory_mb:
            return None
        return self._guard("clients", self._connections, CLIENT_SHARE)

    def guard_monitoring(self, name):
        """Return the `web.Guard` of another server, or None."""
        if not self._memory_mb:
            return None
        return self._guard(name, MONITORING_CONNECTIONS, 1.0)

    def _guard(self, name, connections, client_share):
        of_client = max(1, int(connections * client_share))

        def limits():
            catalog = self._catalog()
            if catalog is None:
                return web.Limits(connections, of_client)
            return web.Limits(
                connections,
                of_client,
                catalog.header_limit,
                catalog.header_timeout_s,
                catalog.idle_timeout_s,
            )

        table = web.ConnectionTable(limits())
        guard = web.Guard(name, table, self._budget, self._counts, limits)
        self._metrics.gauge(
            f"citrondeal.{name}.connections", lambda: len(table)
        )
        self._metrics.gauge(
            f"citrondeal.{name}.loop_late_max", lambda: guard.late_s, "s"
        )
        return guard
