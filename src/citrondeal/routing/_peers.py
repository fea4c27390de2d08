"""Load that other gateways report and requests forwarded to them."""

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
        # Time at which the last report was sent, None before the first.
        self.reported_at = None
        # Keys ``service/class`` that the peer refused since its report.
        self.refused = set()
        # By service: forwards that the report cannot count yet, by key
        # with the time at which they were sent, and slots that the report
        # counts as used by forwards that have ended since.
        self.uncounted = {}
        self.returned = {}
        self.in_flight = 0
        # Last report that was sent to the peer.
        self.sent_at = None
        self.sent = None


class Peers:
    """Gateways of the cell other than this one.

    Parameters
    ----------
    config : Config
        Settings of routing.
    zone, region : str
        Place of this gateway.
    rng : random.Random
        Seeded generator; random choice keeps gateways that read the same
        reports from choosing the same peer.
    """

    def __init__(self, config, zone, region, rng):
        self._config = config
        self._zone = zone
        self._region = region
        self._rng = rng
        self._peers = {}
        self._forwards = {}
        # Arguments for which no peer was found since the last event that
        # can change that.  Time alone only ages reports, and a forward
        # only takes room, so the answer stays the same.
        self._without = set()

    def configure(self, config):
        """Replace the settings."""
        self._config = config

    def update(self, peers):
        """Replace the list of peers: process to ``(zone, region)``."""
        self._without.clear()
        for process in [p for p in self._peers if p not in peers]:
            del self._peers[process]
        for process, (zone, region) in peers.items():
            state = self._peers.get(process)
            if state is None or (state.zone, state.region) != (zone, region):
                self._peers[process] = _PeerState(process, zone, region)

    def on_report(self, process, free, queued, draining, now):
        """Note a report that has just arrived."""
        state = self._peers.get(process)
        if state is None:
            return
        self._without.clear()
        delay = self._delay(state)
        state.free = free
        state.queued = queued
        state.draining = draining
        state.reported_at = now - delay
        state.refused.clear()
        state.returned.clear()
        # The report counts forwards that had arrived when it was sent.
        for sent in state.uncounted.values():
            arrived = [k for k, at in sent.items() if at + 2 * delay <= now]
            for key in arrived:
                del sent[key]

    def choose(self, service, request_class, wait_s, own_slots, now):
        """Return the gateway to forward to, or None.

        Parameters
        ----------
        service, request_class : str
            What is to be forwarded.
        wait_s : float
            Expected wait at this gateway in seconds.
        own_slots : int
            Slots that this gateway holds for the service; without any, the
            peer with the shortest queue is used when none has room.
        now : float
            Monotonic seconds.
        """
        wait_ms = wait_s * 1000.0
        question = (
            service,
            request_class,
            wait_ms > self._config.region_price_ms,
            wait_ms > self._config.queue_price_ms,
            own_slots > 0,
        )
        if question in self._without:
            return None
        place = self._choose(service, request_class, wait_s, own_slots, now)
        if place is None:
            self._without.add(question)
        return place

    def start(self, key, process, service, request_class, now):
        """Note that a request is forwarded."""
        state = self._peers.get(process)
        if state is None or key in self._forwards:
            raise ValueError("unknown peer, or the key is in use")
        self._forwards[key] = (state, service, request_class)
        state.uncounted.setdefault(service, {})[key] = now
        state.in_flight += 1

    def finish(self, key, refused):
        """Note the answer to a forward; returns False if unknown."""
        forward = self._forwards.pop(key, None)
        if forward is None:
            return False
        self._without.clear()
        state, service, request_class = forward
        state.in_flight -= 1
        sent = state.uncounted.get(service, {}).pop(key, None)
        if refused:
            state.refused.add(f"{service}/{request_class}")
        elif sent is None:
            state.returned[service] = state.returned.get(service, 0) + 1
        return True

    def reports(self, free, queued, now):
        """Return the `SendReport` actions that are due.

        Parameters
        ----------
        free, queued : dict of str to int
            Load of this gateway.
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
                    age < period * self._config.report_refresh
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

    def _choose(self, service, request_class, wait_s, own_slots, now):
        tiers = ([], [], [])
        for state in self._peers.values():
            if self._open(state, service, request_class, now):
                tiers[self._tier(state)].append(state)
        local = own_slots or tiers[0] or tiers[1]
        if wait_s * 1000.0 <= self._config.region_price_ms and local:
            tiers = tiers[:2]
        for tier in tiers:
            rooms = [
                self._room(state, service, request_class, wait_s, now)
                for state in tier
            ]
            if any(rooms):
                (state,) = self._rng.choices(tier, rooms)
                return self._place(state)
        if own_slots:
            return None
        for tier in tiers:
            blind = [s for s in tier if self._pressure(s, service)]
            if blind:
                return self._place(
                    min(blind, key=lambda s: self._pressure(s, service))
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
            return self._config.report_across_s
        return self._config.report_region_s

    def _place(self, state):
        return _model.Peer(state.process, state.region != self._region)

    def _age(self, state, now):
        """Return the age of the report as a part of its useful life."""
        if state.reported_at is None:
            return 1.0
        life = self._period(state) * self._config.report_stale
        return (now - state.reported_at) / life

    def _open(self, state, service, request_class, now):
        return (
            not state.draining
            and state.in_flight < self._config.forward_limit
            and self._age(state, now) < 1.0
            and f"{service}/{request_class}" not in state.refused
        )

    def _room(self, state, service, request_class, wait_s, now):
        """Return the requests that may still be forwarded to a peer."""
        room = state.free.get(f"{service}/{request_class}", 0)
        returned = state.returned.get(service, 0)
        if (
            not state.free.get(service, 0)
            and wait_s * 1000.0 <= self._config.queue_price_ms
        ):
            room = 0
        if room:
            fresh = 1.0 - self._age(state, now)
            room = max(1, int(room * self._config.spread * fresh))
        uncounted = len(state.uncounted.get(service, ()))
        return max(0, room + returned - uncounted)

    def _pressure(self, state, service):
        """Return the queue of a peer, or 0 if it gets nothing blindly."""
        if state.in_flight >= self._config.blind_forwards:
            return 0
        return 1 + state.queued.get(service, 0) + state.in_flight

    def _changed(self, old, new):
        for key in old.keys() | new.keys():
            before, after = old.get(key, 0), new.get(key, 0)
            if (before == 0) != (after == 0):
                return True
            limit = self._config.report_change * max(before, after)
            if before != after and abs(after - before) >= limit:
                return True
        return False
