"""Load reports of the other gateways and requests forwarded to them."""

from citrondeal.routing import _model


class _PeerState:
    """Last report of one gateway and what was forwarded to it."""

    def __init__(self, process, zone, region):
        self.process = process
        self.zone = zone
        self.region = region
        self.free = {}
        self.queued = {}
        self.draining = False
        # Estimated time at which the peer sent its last report, None before
        # the first.
        self.reported_at = None
        # Keys ``service/class`` of requests that the peer has refused since
        # its last report.
        self.refused = set()
        # By service: sending times, by key, of forwards that the last report
        # does not include yet; and number of forwards that have ended since
        # the report, which includes them as running.
        self.unreported = {}
        self.returned_slots = {}
        self.in_flight = 0
        # Last load report of this gateway to the peer, and its time.
        self.sent_at = None
        self.sent = None


class Peers:
    """The other gateways of the cell.

    Parameters
    ----------
    config : Config
        Settings of routing.
    zone, region : str
        Location of this gateway.
    rng : random.Random
        Seeded generator.  The choice is random so that gateways with the
        same reports do not all choose the same peer.
    """

    def __init__(self, config, zone, region, rng):
        self._config = config
        self._zone = zone
        self._region = region
        self._rng = rng
        self._peers = {}
        self._forwards = {}
        # Arguments of `choose` for which no peer was found, cleared by every
        # event that may make one available.  Until then the result stays the
        # same: reports only get older, and forwards only use free slots.
        self._unavailable_keys = set()

    def configure(self, config):
        """Replace the settings."""
        self._config = config

    def update(self, peers):
        """Replace the list of peers: process to ``(zone, region)``."""
        self._unavailable_keys.clear()
        for process in [p for p in self._peers if p not in peers]:
            del self._peers[process]
        for process, (zone, region) in peers.items():
            state = self._peers.get(process)
            if state is None or (state.zone, state.region) != (zone, region):
                self._peers[process] = _PeerState(process, zone, region)

    def on_report(self, process, free, queued, draining, now):
        """Store a load report that has just arrived."""
        state = self._peers.get(process)
        if state is None:
            return
        self._unavailable_keys.clear()
        delay = self._delay(state)
        state.free = free
        state.queued = queued
        state.draining = draining
        state.reported_at = now - delay
        state.refused.clear()
        state.returned_slots.clear()
        # The report includes the forwards that had arrived at the peer when
        # it was sent.
        for sent in state.unreported.values():
            arrived = [k for k, at in sent.items() if at + 2 * delay <= now]
            for key in arrived:
                del sent[key]

    def choose(self, service, request_class, wait_s, local_slots, now):
        """Return the gateway to forward to, or None.

        Parameters
        ----------
        service, request_class : str
            Service and class of the request.
        wait_s : float
            Expected wait at this gateway in seconds.
        local_slots : int
            Slots that this gateway holds for the service.  If it holds none
            and no peer has free slots, the peer with the shortest queue is
            chosen.
        now : float
            Monotonic seconds.
        """
        wait_ms = wait_s * 1000.0
        cache_key = (
            service,
            request_class,
            wait_ms > self._config.region_price_ms,
            wait_ms > self._config.queue_price_ms,
            local_slots > 0,
        )
        if cache_key in self._unavailable_keys:
            return None
        peer = self._choose_peer(
            service, request_class, wait_s, local_slots, now
        )
        if peer is None:
            self._unavailable_keys.add(cache_key)
        return peer

    def start(self, key, process, service, request_class, now):
        """Record that a request is forwarded."""
        state = self._peers.get(process)
        if state is None or key in self._forwards:
            raise ValueError(
                f"peer {process!r} is unknown, or forward key {key!r} is"
                " already in use"
            )
        self._forwards[key] = (state, service, request_class)
        state.unreported.setdefault(service, {})[key] = now
        state.in_flight += 1

    def finish(self, key, refused):
        """Record the end of a forward; return False if it is unknown."""
        forward = self._forwards.pop(key, None)
        if forward is None:
            return False
        self._unavailable_keys.clear()
        state, service, request_class = forward
        state.in_flight -= 1
        sent = state.unreported.get(service, {}).pop(key, None)
        if refused:
            state.refused.add(f"{service}/{request_class}")
        elif sent is None:
            state.returned_slots[service] = (
                state.returned_slots.get(service, 0) + 1
            )
        return True

    def reports(self, free, queued, now):
        """Return the `SendReport` actions that are due.

        Parameters
        ----------
        free, queued : dict of str to int
            Load of this gateway, see `SendReport`.
        now : float
            Monotonic seconds.
        """
        due = []
        for state in self._peers.values():
            period = self._period(state)
            if state.sent_at is not None:
                age = now - state.sent_at
                if age < period:
                    continue
                if (
                    age < period * self._config.report_refresh_periods
                    and not self._changed(state.sent[0], free)
                    and not self._changed(state.sent[1], queued)
                ):
                    continue
            state.sent_at = now
            state.sent = (dict(free), dict(queued))
            due.append(_model.SendReport(state.process, *state.sent))
        return due

    def next_report(self):
        """Return the earliest time at which a report may be due, or None."""
        times = [
            -1.0 if s.sent_at is None else s.sent_at + self._period(s)
            for s in self._peers.values()
        ]
        return min(times, default=None)

    def dump(self):
        """Return a JSON-ready dict by peer."""
        return {
            s.process: {
                "zone": s.zone,
                "region": s.region,
                "draining": s.draining,
                "reported_at": s.reported_at,
                "free": dict(s.free),
                "queued": dict(s.queued),
                "in_flight": s.in_flight,
            }
            for s in self._peers.values()
        }

    def _choose_peer(self, service, request_class, wait_s, local_slots, now):
        tiers = ([], [], [])
        for state in self._peers.values():
            if self._accepts_forwards(state, service, request_class, now):
                tiers[self._tier(state)].append(state)
        nearby = local_slots or tiers[0] or tiers[1]
        if wait_s * 1000.0 <= self._config.region_price_ms and nearby:
            tiers = tiers[:2]
        for tier in tiers:
            capacities = [
                self._forward_capacity(
                    state, service, request_class, wait_s, now
                )
                for state in tier
            ]
            if any(capacities):
                (state,) = self._rng.choices(tier, capacities)
                return self._to_peer(state)
        if local_slots:
            return None
        for tier in tiers:
            candidates = [
                s for s in tier if self._speculative_queue_length(s, service)
            ]
            if candidates:
                return self._to_peer(
                    min(
                        candidates,
                        key=lambda s: self._speculative_queue_length(
                            s, service
                        ),
                    )
                )
        return None

    def _tier(self, state):
        if state.region != self._region:
            return 2
        return 0 if state.zone == self._zone else 1

    def _delay(self, state):
        if state.region != self._region:
            return self._config.region_delay_s
        return self._config.zone_delay_s

    def _period(self, state):
        if state.region != self._region:
            return self._config.report_period_other_region_s
        return self._config.report_period_same_region_s

    def _to_peer(self, state):
        return _model.Peer(state.process, state.region != self._region)

    def _relative_age(self, state, now):
        """Return the age of the report divided by its age when stale."""
        if state.reported_at is None:
            return 1.0
        lifetime_s = self._period(state) * self._config.report_stale_periods
        return (now - state.reported_at) / lifetime_s

    def _accepts_forwards(self, state, service, request_class, now):
        return (
            not state.draining
            and state.in_flight < self._config.forward_limit
            and self._relative_age(state, now) < 1.0
            and f"{service}/{request_class}" not in state.refused
        )

    def _forward_capacity(self, state, service, request_class, wait_s, now):
        """Return how many requests may still be forwarded to a peer."""
        capacity = state.free.get(f"{service}/{request_class}", 0)
        returned_slots = state.returned_slots.get(service, 0)
        if (
            not state.free.get(service, 0)
            and wait_s * 1000.0 <= self._config.queue_price_ms
        ):
            capacity = 0
        if capacity:
            # The older the report, the more of its slots may be in use.
            freshness = 1.0 - self._relative_age(state, now)
            capacity = max(
                1, int(capacity * self._config.free_slot_fraction * freshness)
            )
        unreported = len(state.unreported.get(service, ()))
        return max(0, capacity + returned_slots - unreported)

    def _speculative_queue_length(self, state, service):
        """Return 1 plus the requests queued at a peer or in flight to it.

        The result is 0 if `speculative_forward_limit` is reached.
        """
        if state.in_flight >= self._config.speculative_forward_limit:
            return 0
        return 1 + state.queued.get(service, 0) + state.in_flight

    def _changed(self, old, new):
        for key in old.keys() | new.keys():
            before, after = old.get(key, 0), new.get(key, 0)
            if (before == 0) != (after == 0):
                return True
            limit = self._config.report_change_fraction * max(before, after)
            if before != after and abs(after - before) >= limit:
                return True
        return False
