"""Endpoints that this gateway holds, and the attempts on them."""

import logging

import anyio

from citrondeal import routing
from citrondeal import telemetry

PREFIX = "endpoint/"

_LOG = logging.getLogger(__name__)


class Holdings:
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
    attempt_timeout : callable
        ``attempt_timeout(service)`` in seconds; attempts of a previous
        holder may run for this long.
    changed : callable
        Called without arguments when the set of usable slots changed.
    """

    def __init__(
        self, leases, directory, table, zone, attempt_timeout, changed
    ):
        self._leases = leases
        self._directory = directory
        self._table = table
        self._zone = zone
        self._attempt_timeout = attempt_timeout
        self._changed = changed
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
        wanted = [PREFIX + vm.id for vm in vms]
        self._leases.group.set_wanted(wanted, anyio.current_time())
        self.refresh()

    def on_gained(self, resource, epoch, now):
        """Use an endpoint from the end of its previous holder's work on."""
        previous = self._leases.group.previous_valid_until(resource)
        self._held[resource.removeprefix(PREFIX)] = previous
        self._draining.discard(resource.removeprefix(PREFIX))
        self.refresh()

    def on_lost(self, resource, epoch, now):
        """Stop using an endpoint."""
        self._held.pop(resource.removeprefix(PREFIX), None)
        self._draining.discard(resource.removeprefix(PREFIX))
        self.refresh()

    def on_drain(self, resource, now):
        """Release an endpoint as soon as nothing runs on it."""
        self._draining.add(resource.removeprefix(PREFIX))
        self.refresh()
        self._release_idle()

    def drain_all(self):
        """Release every endpoint as soon as nothing runs on it."""
        self._draining.update(self._held)
        self.refresh()
        self._release_idle()

    @property
    def held(self):
        """Ids of the endpoints under our leases."""
        return list(self._held)

    def refresh(self):
        """Write the held endpoints into the routing table."""
        endpoints = []
        for endpoint_id, previous in self._held.items():
            vm = self._directory.get(endpoint_id)
            if vm is None or vm.kind != "endpoint":
                continue
            occupied = 0.0
            if previous is not None:
                occupied = previous + self._attempt_timeout(vm.service)
            leaving = vm.state == "leaving" or endpoint_id in self._draining
            endpoints.append(
                routing.Endpoint(
                    id=endpoint_id,
                    service=vm.service,
                    slots=vm.slots,
                    connections=vm.connections,
                    leaving=leaving,
                    occupied_until=occupied,
                )
            )
        self._table.set_endpoints(endpoints, anyio.current_time())
        self._changed()

    def services(self):
        """Return the services of all listed endpoints of the zone."""
        vms = self._directory.select("endpoint", self._zone)
        return {vm.service for vm in vms}

    def valid_until(self, endpoint_id):
        """Return the end of our lease in monotonic seconds, or None."""
        return self._leases.group.valid_until(
            PREFIX + endpoint_id, anyio.current_time()
        )

    def review(self):
        """Let leases that have ended leave the table at once."""
        self._leases.tick()

    def started(self, endpoint_id):
        """Note an attempt on an endpoint."""
        count = self._running.get(endpoint_id, 0)
        self._running[endpoint_id] = count + 1

    def finished(self, endpoint_id):
        """Note that an attempt can no longer run."""
        left = self._running.pop(endpoint_id, 0) - 1
        if left > 0:
            self._running[endpoint_id] = left
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
                self._leases.release(PREFIX + endpoint_id)
        self.refresh()
