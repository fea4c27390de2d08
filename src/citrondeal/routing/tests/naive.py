"""Plain version of the accounts and of the choice of peers."""

from citrondeal import routing

TIERS = ("zone", "region", "across")


class Accounts:
    """Slots and connections from the full history of attempts."""

    def __init__(self, config):
        self.config = config
        self.endpoints = {}
        self.infos = {}
        self.attempts = []
        self.idle = {}
        self.failures = {}
        self.turns = {}

    def update(self, endpoints, now):
        # An endpoint that is unlisted and unused is forgotten.
        listed = {e.id for e in endpoints}
        for name in self.infos:
            unused = not self.occupying(name, now) and not self.idle.get(name)
            if unused and not (name in self.endpoints and name in listed):
                self.failures.pop(name, None)
                self.turns.pop(name, None)
        self.endpoints = {e.id: e for e in endpoints}
        self.infos.update(self.endpoints)

    def occupying(self, endpoint, now):
        """Return the attempts that hold a slot and a connection."""
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

    def room(self, endpoint, now):
        info = self.endpoints.get(endpoint)
        if info is None or info.leaving or now < info.occupied_until:
            return 0
        held = len(self.occupying(endpoint, now))
        # Idle connections are reused, so they do not limit attempts.
        room = min(info.slots - held, info.connections - held)
        count, retry_at, probe = self.failures.get(endpoint, (0, None, None))
        if retry_at is not None:
            if now < retry_at or probe is not None:
                return 0
            room = min(room, 1)
        return max(0, room)

    def free(self, service, now):
        return sum(
            self.room(e.id, now)
            for e in self.endpoints.values()
            if e.service == service
        )

    def choose(self, service, now):
        best = []
        for e in self.endpoints.values():
            if e.service == service and self.room(e.id, now):
                load = len(self.occupying(e.id, now)) / e.slots
                best.append((load, self.turns.get(e.id, 0), e.id))
        return min(best)[2] if best else None

    def start(self, key, endpoint, now):
        self.idle[endpoint] = max(0, self.idle.get(endpoint, 0) - 1)
        self.turns[endpoint] = len(self.attempts) + 1
        self.attempts.append(
            {
                "key": key,
                "endpoint": endpoint,
                "started": now,
                "outcome": None,
            }
        )
        count, retry_at, probe = self.failures.get(endpoint, (0, None, None))
        if retry_at is not None:
            self.failures[endpoint] = (count, retry_at, key)

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
        count, retry_at, probe = self.failures.get(name, (0, None, None))
        if outcome is routing.Outcome.DONE:
            self.failures[name] = (0, None, None)
            return True
        count += 1
        late = count - self.config.fail_threshold
        if late >= 0 and (retry_at is None or probe == key):
            pause = self.config.probe_min_s * 2**late
            retry_at = now + min(pause, self.config.probe_max_s)
        probe = None if probe == key else probe
        self.failures[name] = (count, retry_at, probe)
        return True


class Peers:
    """Allowed peers from the full history of reports and forwards."""

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
            return "across"
        return "zone" if zone == self.zone else "region"

    def room(self, peer, request_class, wait_s, now):
        """Return what may still be forwarded to a peer, 0 for nothing."""
        config = self.config
        across = self.tier(peer) == "across"
        delay = config.region_delay_s if across else config.zone_delay_s
        period = config.report_across_s if across else config.report_region_s
        reports = [r for r in self.reports if r["peer"] == peer]
        if not reports or reports[-1]["draining"]:
            return 0
        last = reports[-1]
        age = (now - last["at"] + delay) / (period * config.report_stale)
        refused = [
            r
            for r in self.refusals
            if r["peer"] == peer
            and r["class"] == request_class
            and r["order"] > last["order"]
        ]
        mine = [f for f in self.forwards if f["peer"] == peer]
        running = [f for f in mine if f["end"] is None]
        if age >= 1 or refused or len(running) >= config.forward_limit:
            return 0
        room = last["free"].get(f"s/{request_class}", 0)
        if not last["free"].get("s") and (
            wait_s * 1000 <= config.queue_price_ms
        ):
            room = 0
        if room:
            room = max(1, int(room * config.spread * (1 - age)))
        for f in mine:
            counted = any(
                r["at"] >= f["sent"] + 2 * delay and r["order"] > f["order"]
                for r in reports
            )
            if f["end"] is None and not counted:
                room -= 1
            # It has ended since the report and was counted by it.
            if f["end"] is not None and f["end"] > last["order"]:
                room += counted and not f["refused"]
        return max(0, room)

    def allowed(self, request_class, wait_s, now):
        tiers = {t: [] for t in TIERS}
        for peer in self.peers:
            if self.room(peer, request_class, wait_s, now):
                tiers[self.tier(peer)].append(peer)
        if wait_s * 1000 <= self.config.region_price_ms:
            tiers["across"] = []
        for tier in TIERS:
            if tiers[tier]:
                return tiers[tier]
        return []
