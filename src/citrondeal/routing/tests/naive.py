"""Naive version of slot accounting and of the choice of peers."""

from citrondeal import routing

TIERS = ("zone", "region", "other_region")


class EndpointAccounts:
    """Computes slots and connections from the full history of attempts."""

    def __init__(self, config):
        self.config = config
        self.endpoints = {}
        self.known_endpoints = {}
        self.attempts = []
        self.idle = {}
        self.failures = {}
        self.last_used = {}

    def update(self, endpoints, now):
        # The failures and last use of an endpoint that is neither listed nor
        # in use are forgotten.
        listed = {e.id for e in endpoints}
        for name in self.known_endpoints:
            unused = not self.occupying(name, now) and not self.idle.get(name)
            if unused and not (name in self.endpoints and name in listed):
                self.failures.pop(name, None)
                self.last_used.pop(name, None)
        self.endpoints = {e.id: e for e in endpoints}
        self.known_endpoints.update(self.endpoints)

    def occupying(self, endpoint, now):
        """Return the attempts that occupy a slot and a connection."""
        return [
            a
            for a in self.attempts
            if a["endpoint"] == endpoint
            and (
                a["outcome"] is None
                or a["outcome"] is routing.Outcome.UNKNOWN
                and now < a["started"] + self.config.attempt_timeout_s
            )
        ]

    def available(self, endpoint, now):
        info = self.endpoints.get(endpoint)
        if info is None or info.leaving or now < info.occupied_until:
            return 0
        held = len(self.occupying(endpoint, now))
        # Idle connections are reused, so they do not limit attempts.
        available = min(info.slots - held, info.connections - held)
        count, probe_at, probe = self.failures.get(endpoint, (0, None, None))
        if probe_at is not None:
            if now < probe_at or probe is not None:
                return 0
            available = min(available, 1)
        return max(0, available)

    def free(self, service, now):
        return sum(
            self.available(e.id, now)
            for e in self.endpoints.values()
            if e.service == service
        )

    def choose(self, service, now):
        best = []
        for e in self.endpoints.values():
            if e.service == service and self.available(e.id, now):
                load = len(self.occupying(e.id, now)) / e.slots
                best.append((load, self.last_used.get(e.id, 0), e.id))
        return min(best)[2] if best else None

    def start(self, key, endpoint, now):
        self.idle[endpoint] = max(0, self.idle.get(endpoint, 0) - 1)
        self.last_used[endpoint] = len(self.attempts) + 1
        self.attempts.append(
            {
                "key": key,
                "endpoint": endpoint,
                "started": now,
                "outcome": None,
            }
        )
        count, probe_at, probe = self.failures.get(endpoint, (0, None, None))
        if probe_at is not None:
            self.failures[endpoint] = (count, probe_at, key)

    def finish(self, key, outcome, keep, now):
        for a in self.attempts:
            if a["key"] == key and a["outcome"] is None:
                break
        else:
            return False
        a["outcome"] = outcome
        name = a["endpoint"]
        if keep and outcome is not routing.Outcome.UNKNOWN:
            self.idle[name] = self.idle.get(name, 0) + 1
        count, probe_at, probe = self.failures.get(name, (0, None, None))
        if outcome is routing.Outcome.DONE:
            self.failures[name] = (0, None, None)
            return True
        count += 1
        excess_failures = count - self.config.failure_threshold
        if excess_failures >= 0 and (probe_at is None or probe == key):
            backoff_s = self.config.probe_min_s * 2**excess_failures
            probe_at = now + min(backoff_s, self.config.probe_max_s)
        probe = None if probe == key else probe
        self.failures[name] = (count, probe_at, probe)
        return True


class Peers:
    """Computes allowed peers from the full history of reports and forwards."""

    def __init__(self, config, zone, region, peers):
        self.config = config
        self.zone = zone
        self.region = region
        self.peers = peers
        self.reports = []
        self.forwards = []
        self.refusals = []

    def tier(self, peer):
        zone, region = self.peers[peer]
        if region != self.region:
            return "other_region"
        return "zone" if zone == self.zone else "region"

    def capacity(self, peer, request_class, wait_s, now):
        """Return how many requests may still be forwarded to a peer."""
        config = self.config
        other_region = self.tier(peer) == "other_region"
        delay = config.region_delay_s if other_region else config.zone_delay_s
        period = (
            config.report_period_other_region_s
            if other_region
            else config.report_period_same_region_s
        )
        reports = [r for r in self.reports if r["peer"] == peer]
        if not reports or reports[-1]["draining"]:
            return 0
        last = reports[-1]
        age = (now - last["at"] + delay) / (
            period * config.report_stale_periods
        )
        refused = [
            r
            for r in self.refusals
            if r["peer"] == peer
            and r["class"] == request_class
            and r["order"] > last["order"]
        ]
        peer_forwards = [f for f in self.forwards if f["peer"] == peer]
        running = [f for f in peer_forwards if f["end"] is None]
        if age >= 1 or refused or len(running) >= config.forward_limit:
            return 0
        capacity = last["free"].get(f"s/{request_class}", 0)
        if not last["free"].get("s") and (
            wait_s * 1000 <= config.queue_price_ms
        ):
            capacity = 0
        if capacity:
            capacity = max(
                1, int(capacity * config.free_slot_fraction * (1 - age))
            )
        for f in peer_forwards:
            counted = any(
                r["at"] >= f["sent"] + 2 * delay and r["order"] > f["order"]
                for r in reports
            )
            if f["end"] is None and not counted:
                capacity -= 1
            # The forward has ended since the report, which includes it.
            if f["end"] is not None and f["end"] > last["order"]:
                capacity += counted and not f["refused"]
        return max(0, capacity)

    def allowed(self, request_class, wait_s, now):
        tiers = {t: [] for t in TIERS}
        for peer in self.peers:
            if self.capacity(peer, request_class, wait_s, now):
                tiers[self.tier(peer)].append(peer)
        if wait_s * 1000 <= self.config.region_price_ms:
            tiers["other_region"] = []
        for tier in TIERS:
            if tiers[tier]:
                return tiers[tier]
        return []
