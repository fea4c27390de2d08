"""Endpoints that this gateway holds, and the attempts on them."""

import logging

import anyio

from citrondeal import routing
from citrondeal import telemetry

RESOURCE_PREFIX = "endpoint/"

_LOG = logging.getLogger(__name__)


class HeldEndpoints:
    """Keeps the routing table in step with leases and VM list.

    Parameters
    ----------
    leases : citrondeal.runtime.LeaseDriver
        Leases of the group.
    directory : citrondeal.logservice.Directory
        List of VMs.
    table : citrondeal.routing.Table
        Updated in place.
    zone : str
        Availability zone whose endpoints the group holds.
    attempt_timeout_s : callable
        ``attempt_timeout_s(service)`` in seconds; attempts of a previous
        holder may run for this long.
    on_slots_changed : callable
        Called without arguments when the set of usable slots changed.
    """

    def __init__(
        self,
        leases,
        directory,
        table,
        zone,
        attempt_timeout_s,
        on_slots_changed,
    ):
        self._leases = leases
        self._directory = directory
        self._table = table
        self._zone = zone
        self._attempt_timeout_s = attempt_timeout_s
        self._on_slots_changed = on_slots_changed
        self._held = {}
        self._running = {}
        self._draining = set()

    @property
    def running(self):
        """Attempts that may run at an endpoint on our behalf."""
        return sum(self._running.values())

    def on_vms(self):
        """Take a new list of VMs."""
        vms = self._directory.select("endpoint", self._zone)
        wanted = [RESOURCE_PREFIX + vm.id for vm in vms]
        self._leases.group.want(wanted, anyio.current_time())
        self.update_routing_table()

    def on_gained(self, resource, epoch, now):
        """Use an endpoint from the end of its previous holder's work on."""
        previous_until = self._leases.group.previous_until(resource)
        self._held[resource.removeprefix(RESOURCE_PREFIX)] = previous_until
        self._draining.discard(resource.removeprefix(RESOURCE_PREFIX))
        self.update_routing_table()

    def on_lost(self, resource, epoch, now):
        """Stop using an endpoint."""
        self._held.pop(resource.removeprefix(RESOURCE_PREFIX), None)
        self._draining.discard(resource.removeprefix(RESOURCE_PREFIX))
        self.update_routing_table()

    def on_drain(self, resource, now):
        """Release an endpoint as soon as nothing runs on it."""
        self._draining.add(resource.removeprefix(RESOURCE_PREFIX))
        self.update_routing_table()
        self._release_idle()

    def drain_all(self):
        """Release every endpoint as soon as nothing runs on it."""
        self._draining.update(self._held)
        self.update_routing_table()
        self._release_idle()

    @property
    def ids(self):
        """Ids of the endpoints under our leases."""
        return list(self._held)

    def update_routing_table(self):
        """Write the held endpoints into the routing table."""
        endpoints = []
        for endpoint_id, previous_until in self._held.items():
            vm = self._directory.get(endpoint_id)
            if vm is None or vm.kind != "endpoint":
                continue
            occupied_until = 0.0
            if previous_until is not None:
                occupied_until = previous_until + self._attempt_timeout_s(
                    vm.service
                )
            leaving = vm.state == "leaving" or endpoint_id in self._draining
            endpoints.append(
                routing.Endpoint(
                    id=endpoint_id,
                    service=vm.service,
                    slots=vm.slots,
                    connections=vm.connections,
                    leaving=leaving,
                    occupied_until=occupied_until,
                )
            )
        self._table.set_endpoints(endpoints, anyio.current_time())
        self._on_slots_changed()

    def services(self):
        """Return the services of all listed endpoints of the zone."""
        vms = self._directory.select("endpoint", self._zone)
        return {vm.service for vm in vms}

    def valid_until(self, endpoint_id):
        """Return the end of our lease in monotonic seconds, or None."""
        return self._leases.group.valid_until(
            RESOURCE_PREFIX + endpoint_id, anyio.current_time()
        )

    def expire_leases(self):
        """Let leases that have ended leave the table at once."""
        self._leases.tick()

    def attempt_started(self, endpoint_id):
        """Note an attempt on an endpoint."""
        count = self._running.get(endpoint_id, 0)
        self._running[endpoint_id] = count + 1

    def attempt_finished(self, endpoint_id):
        """Note that an attempt can no longer run."""
        remaining = self._running.pop(endpoint_id, 0) - 1
        if remaining > 0:
            self._running[endpoint_id] = remaining
        self._release_idle()

    def _release_idle(self):
        for endpoint_id in list(self._draining):
            if self._running.get(endpoint_id):
                continue
            self._draining.discard(endpoint_id)
            if self._held.pop(endpoint_id, self) is not self:
                telemetry.event(
                    _LOG,
                    logging.INFO,
                    "handing over an endpoint",
                    endpoint=endpoint_id,
                )
                self._leases.release(RESOURCE_PREFIX + endpoint_id)
        self.update_routing_table()
