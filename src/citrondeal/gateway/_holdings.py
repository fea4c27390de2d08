"""Endpoints that this gateway holds, with the attempts that run on them."""

import logging

import anyio

from citrondeal import routing
from citrondeal import telemetry

RESOURCE_PREFIX = "endpoint/"

_LOG = logging.getLogger(__name__)


class HeldEndpoints:
    """Updates the routing table from the endpoint leases and the VM list.

    Parameters
    ----------
    leases : citrondeal.runtime.LeaseDriver
        Leases of the gateways of the zone.
    directory : citrondeal.logservice.Directory
        List of VMs.
    table : citrondeal.routing.Table
        Routing table to update.
    zone : str
        Availability zone whose endpoints the gateways hold.
    attempt_timeout_s : callable
        ``attempt_timeout_s(service)`` returns the seconds for which an
        attempt of the previous holder may run past the end of its lease.
    on_slots_changed : callable
        Called without arguments after each update of the routing table.
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
        """Number of attempts of this gateway that may run at an endpoint."""
        return sum(self._running.values())

    def on_vms(self):
        """Request leases on the endpoints in the new list of VMs."""
        vms = self._directory.select("endpoint", self._zone)
        wanted = [RESOURCE_PREFIX + vm.id for vm in vms]
        self._leases.group.set_wanted(wanted, anyio.current_time())
        self.update_routing_table()

    def on_gained(self, resource, epoch, now):
        """Use an endpoint once no attempt of its previous holder can run."""
        previous_until = self._leases.group.previous_valid_until(resource)
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
        """Ids of the endpoints that this gateway holds."""
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
        """Return the end of this gateway's lease on an endpoint.

        Returns
        -------
        float or None
            Monotonic seconds; None if no lease is valid.
        """
        return self._leases.group.valid_until(
            RESOURCE_PREFIX + endpoint_id, anyio.current_time()
        )

    def expire_leases(self):
        """Stop using endpoints whose lease has ended, before the next tick."""
        self._leases.tick()

    def attempt_started(self, endpoint_id):
        """Count an attempt that may run at an endpoint from now on."""
        count = self._running.get(endpoint_id, 0)
        self._running[endpoint_id] = count + 1

    def attempt_finished(self, endpoint_id):
        """Stop counting an attempt, which can no longer run."""
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
                    "draining endpoint is released",
                    endpoint=endpoint_id,
                )
                self._leases.release(RESOURCE_PREFIX + endpoint_id)
        self.update_routing_table()
