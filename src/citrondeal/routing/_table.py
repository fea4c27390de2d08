"""Routing table of one gateway: its endpoints and its peers."""

from citrondeal.routing import _endpoints
from citrondeal.routing import _peers


class Table:
    """Endpoints and peer gateways that can run requests of a gateway.

    Parameters
    ----------
    config : Config
        Settings of routing.
    zone, region : str
        Location of this gateway.
    rng : random.Random
        Seeded generator.
    """

    def __init__(self, config, zone, region, rng):
        self._endpoints = _endpoints.Endpoints(config)
        self._peers = _peers.Peers(config, zone, region, rng)

    @classmethod
    def from_config(cls, config, zone, region, rng):
        """Return an empty table."""
        return cls(config, zone, region, rng)

    def configure(self, config):
        """Replace the settings, also for attempts in progress."""
        self._endpoints.configure(config)
        self._peers.configure(config)

    def set_endpoints(self, endpoints, now):
        """Replace the list of endpoints that this gateway holds.

        An endpoint that is no longer in the list gets no new requests.  Its
        attempts in progress still occupy their slots if it is listed again.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Endpoints under a valid lease.
        now : float
            Monotonic seconds.
        """
        self._endpoints.update(endpoints, now)

    def set_peers(self, peers):
        """Replace the other gateways: process to ``(zone, region)``."""
        self._peers.update(peers)

    def slots(self, service):
        """Return the slots held for a service, except at leaving endpoints."""
        return self._endpoints.slots(service)

    def free_slots(self, service, now):
        """Return the number of slots that can be used at once."""
        return self._endpoints.free_slots(service, now)

    def choose_endpoint(self, service, now):
        """Return the endpoint of this gateway for the next request.

        Returns
        -------
        LocalEndpoint or None
            The least loaded endpoint with a free slot and connection.
            Endpoints that failed repeatedly are avoided, except for one
            probe at a time.
        """
        return self._endpoints.choose(service, now)

    def choose_peer(
        self, service, request_class, wait_s, now, forwarded=False
    ):
        """Return the gateway to forward a request to.

        Parameters
        ----------
        service, request_class : str
            Service and class of the request.
        wait_s : float
            Expected wait at this gateway, seconds.
        now : float
            Monotonic seconds.
        forwarded : bool
            Whether the request came from another gateway; it is then not
            forwarded again.

        Returns
        -------
        Peer or None
            A peer of this zone, else of this region, else, if the wait
            exceeds ``region_price_ms``, of another region.
        """
        if forwarded:
            return None
        return self._peers.choose(
            service,
            request_class,
            wait_s,
            self._endpoints.slots(service),
            now,
        )

    def start(self, key, endpoint, now):
        """Occupy a slot and a connection of an endpoint of this gateway.

        Raises
        ------
        ValueError
            If the endpoint cannot take an attempt or the key is in use.
        """
        self._endpoints.start(key, endpoint, now)

    def finish(self, key, outcome, now, keep_connection=True):
        """End an attempt at an endpoint of this gateway.

        Parameters
        ----------
        key : object
            Key given to `start`.
        outcome : Outcome
            With `UNKNOWN` the slot and the connection stay occupied until
            ``attempt_timeout_s`` after the start.
        now : float
            Monotonic seconds.
        keep_connection : bool
            Whether the connection can be used again.

        Returns
        -------
        bool
            False if the attempt is not known or had ended already.
        """
        return self._endpoints.finish(key, outcome, keep_connection, now)

    def connection_closed(self, endpoint, now):
        """Record that an idle connection was closed by either side.

        Raises
        ------
        ValueError
            If no connection to the endpoint is idle.
        """
        self._endpoints.connection_closed(endpoint, now)

    def forward_started(
        self, key, process, service, request_class, now, forwarded=False
    ):
        """Record that a request is forwarded to a peer.

        Raises
        ------
        ValueError
            If the request had been forwarded to this gateway, the peer is
            unknown or the key is in use.
        """
        if forwarded:
            raise ValueError(
                f"request {key!r} was forwarded to this gateway and cannot be"
                " forwarded again"
            )
        self._peers.start(key, process, service, request_class, now)

    def forward_finished(self, key, refused=False):
        """Record the end of a forward.

        Parameters
        ----------
        key : object
            Key given to `forward_started`.
        refused : bool
            Whether the peer did not run it; the peer then gets no further
            request of this class until its next report.

        Returns
        -------
        bool
            False if the forward is not known.
        """
        return self._peers.finish(key, refused)

    def on_report(self, process, free, queued, draining, now):
        """Store a load report of a peer, with the keys of `SendReport`."""
        self._peers.on_report(process, free, queued, draining, now)

    def reports(self, free, queued, now):
        """Return the load reports that are due as `SendReport` actions."""
        return self._peers.reports(free, queued, now)

    def next_wakeup(self):
        """Return when a slot next becomes free by time alone, or None."""
        return self._endpoints.next_change()

    def next_report(self):
        """Return the earliest time for the next load report, or None."""
        return self._peers.next_report()

    def dump(self):
        """Return a JSON-ready dict, bounded by endpoints and peers."""
        return {
            "endpoints": self._endpoints.dump(),
            "peers": self._peers.dump(),
        }
