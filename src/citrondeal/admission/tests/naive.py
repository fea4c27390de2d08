"""Plain version of the queues: lists, scans and sums, no indexes."""

import math

from citrondeal import admission
from citrondeal.admission import _estimate
from citrondeal.admission import _fair


class Entry:
    """A request with its bookkeeping."""

    def __init__(self, request, deadline, units, order):
        self.request = request
        self.deadline = deadline
        self.units = units
        self.order = order
        self.cost = self.started = 0
        self.remote = False


class Class:
    """Counters of one class."""

    def __init__(self):
        self.running = self.virtual = 0
        self.credit = 0.0
        self.rate = _estimate.Rate()
        self.finish = {}
        self.tags = {}


class Queues:
    """Same decisions as `admission.Queues` by scanning all requests."""

    def __init__(self, config, services):
        self.config = config
        self.services = services
        self.slots = dict.fromkeys(services, 0)
        self.time = {s: _estimate.ServiceTime() for s in services}
        self.released = {s: _estimate.Rate() for s in services}
        self.classes = {
            (s, c): Class() for s in services for c in admission.CLASSES
        }
        self.queued = []
        self.dispatched = {}
        self.now = 0.0
        self.count = self.front = 0
        # Sizes in the order in which they were reached, for equal sizes.
        self.reached = {}

    def advance(self, now):
        if now <= self.now:
            return
        for (s, c), state in self.classes.items():
            due = self.share(s, c) * self.slots[s]
            if not self.of(s, c):
                state.credit = 0.0
            else:
                held = min(state.running, math.floor(due) + 1)
                state.credit += (due - held) * (now - self.now)
                state.credit = max(-1.0, min(1.0, state.credit))
        self.now = now

    def of(self, s, c=None, team=None):
        return [
            e
            for e in self.queued
            if e.request.service == s
            and c in (None, e.request.request_class)
            and team in (None, e.request.team)
        ]

    def share(self, s, c):
        return getattr(self.services[s], f"share_{c}")

    def units(self, *where):
        return sum(e.units for e in self.of(*where))

    def size(self, s, c=None, team=None):
        weight = self.services[s].team_weights.get(team, 1)
        return math.ceil(self.units(s, c, team) / weight)

    def note_sizes(self):
        for s in self.services:
            places = {(s, e.request.request_class) for e in self.of(s)}
            keys = {(s,)} | {
                (*p, e.request.team) for p in places for e in self.of(*p)
            }
            for key in keys:
                size = self.size(*key)
                if self.reached.get(key, (0, 0))[0] != size:
                    self.count += 1
                    self.reached[key] = (size, self.count)
        for key in list(self.reached):
            if not self.units(*key):
                del self.reached[key]

    def largest(self, *prefix):
        keys = [
            k
            for k in self.reached
            if len(k) == (3 if prefix else 1) and k[: len(prefix)] == prefix
        ]
        return max(
            keys,
            key=lambda k: (self.reached[k][0], -self.reached[k][1]),
            default=None,
        )

    def wait(self, s, c, ahead, now):
        order = admission.CLASSES
        left = slots = self.slots[s]
        for other in order:
            due = self.share(s, other) * slots
            running = self.classes[s, other].running
            if other == c:
                continue
            if not self.of(s, other):
                left -= running
            elif order.index(other) < order.index(c):
                left -= max(due, running)
            else:
                left -= due
        rate = self.classes[s, c].rate.value(now)
        speed = max(
            self.share(s, c) * slots, left, rate * self.time[s].us / 1e6
        )
        return ahead / 1e6 / speed if speed > 1e-6 else 0.0

    def ahead(self, s, c, team):
        weights = self.services[s].team_weights
        teams = {e.request.team for e in self.of(s, c)} | {team}
        active = sum(weights.get(t, 1) for t in teams)
        own = sum(e.cost for e in self.of(s, c, team))
        everything = sum(e.cost for e in self.of(s, c))
        return min(everything, own * active // weights.get(team, 1))

    def offer(self, request, now):
        s, c = request.service, request.request_class
        left = self.services[s].wait_limit_s
        if request.deadline is not None:
            left = min(left, request.deadline - now)
        if left <= 0:
            return "deadline"
        ahead = self.ahead(s, c, request.team)
        if ahead and self.wait(s, c, ahead, now) > left:
            return "deadline"
        self.count += 1
        units = 1 + request.size_bytes // self.config.unit_bytes
        entry = Entry(request, now + left, units, self.count)
        return self.insert(entry)

    def insert(self, entry, front=False):
        dropped = self.make_room(entry)
        if dropped is None:
            return "overloaded"
        s, c = entry.request.service, entry.request.request_class
        state = self.classes[s, c]
        team = entry.request.team
        if not self.of(s, c, team):
            finish = state.finish.get(team, 0)
            state.tags[team] = max(state.virtual, finish)
        entry.cost = self.time[s].us
        self.queued.append(entry)
        self.queued.sort(key=lambda e: e.order)
        self.note_sizes()
        return dropped

    def bound(self, config):
        count = getattr(config, "queue_count", None) or config.total_count
        size = getattr(config, "queue_bytes", None) or config.total_bytes
        return min(count, size // self.config.unit_bytes)

    def excess(self, s, c):
        part = int(self.share(s, c) * self.bound(self.services[s]))
        return self.units(s, c) - part

    def make_room(self, entry):
        s, c = entry.request.service, entry.request.request_class
        used = self.units(s) + entry.units
        need = max(0, used - self.bound(self.services[s]))
        limit = self.bound(self.config)
        total = sum(e.units for e in self.queued)
        short = total + entry.units - need - limit
        from_others = 0
        if short > 0:
            mine = used - need
            name = self.largest()[0]
            if mine * len(self.services) <= limit or (
                name != s and self.units(name) - mine >= short
            ):
                from_others = short
            else:
                need += short
        classes = [c]
        if need > 0:
            rank = admission.CLASSES.index(c)
            within = self.excess(s, c) + entry.units <= 0
            others = [
                o
                for r, o in enumerate(admission.CLASSES)
                if o != c and (within or r > rank)
            ]
            if sum(max(0, self.excess(s, o)) for o in others) >= need:
                classes = others
            else:
                weights = self.services[s].team_weights
                team = entry.request.team
                mine = self.units(s, c, team) + entry.units
                mine = math.ceil(mine / weights.get(team, 1))
                top = self.largest(s, c)
                if top is None:
                    return None
                spare = mine * weights.get(top[2], 1)
                if self.units(*top) - spare < need:
                    return None
        dropped = []
        while from_others > 0:
            from_others -= self.evict(
                self.largest()[0], admission.CLASSES, dropped
            )
        while need > 0:
            need -= self.evict(s, classes, dropped)
        return dropped

    def evict(self, s, classes, dropped):
        queued = [c for c in classes if self.of(s, c)]
        c = max(queued, key=lambda c: self.excess(s, c))
        victim = self.of(*self.largest(s, c))[-1]
        self.drop(victim)
        dropped.append((victim.request.key, "overloaded"))
        return victim.units

    def drop(self, entry):
        self.queued.remove(entry)
        self.note_sizes()

    def reserved(self, s, now):
        config, slots = self.services[s], self.slots[s]
        low = self.classes[s, "low"]
        if slots < 2:
            return 0
        limit = self.released[s].value(now) * slots * config.urgent_wait_s
        if low.running > limit:
            return math.ceil(config.reserve_long * slots - 0.1)
        ahead = sum(e.cost for e in self.of(s, "low"))
        wait = self.wait(s, "low", ahead, now)
        part = min(1.0, wait / config.flood_wait_s)
        return math.ceil(config.reserve * part * slots - 0.1)

    def entitled(self, s, c):
        due = self.share(s, c) * self.slots[s]
        state = self.classes[s, c]
        extra = 1 if state.credit > 0 else 0
        return due > 0 and state.running < math.floor(due + 1e-9) + extra

    def choose(self, s, free, now):
        queued = [c for c in admission.CLASSES if self.of(s, c)]
        first = [c for c in queued if self.entitled(s, c)]
        if first:
            return min(
                first,
                key=lambda c: (
                    self.classes[s, c].running
                    / (self.share(s, c) * self.slots[s])
                ),
            )
        for c in queued:
            if c != "low" or free > self.reserved(s, now):
                return c
        return None

    def take(self, s, free, now, only=None):
        dropped = []
        while True:
            c = only or (self.choose(s, free, now) if free > 0 else None)
            heads = {}
            for e in self.of(s, c) if c else []:
                if not (only and e.request.forwarded):
                    heads.setdefault(e.request.team, e)
            if not heads:
                return None, dropped
            state = self.classes[s, c]
            team = min(heads, key=lambda t: (state.tags[t], t))
            entry = heads[team]
            if entry.deadline > now:
                break
            self.drop(entry)
            dropped.append((entry.request.key, "deadline"))
        state.virtual = max(state.virtual, state.tags[team])
        weight = self.services[s].team_weights.get(team, 1)
        charge = entry.cost * _fair.SCALE // weight
        state.finish[team] = state.tags[team] + charge
        state.tags[team] = max(state.virtual, state.finish[team])
        self.drop(entry)
        state.rate.observe(now)
        entry.started, entry.remote = now, only is not None
        state.running += not entry.remote
        self.dispatched[entry.request.key] = entry
        return entry.request.key, dropped

    def release(self, key, used):
        entry = self.dispatched.pop(key)
        s, c = entry.request.service, entry.request.request_class
        state, team = self.classes[s, c], entry.request.team
        state.running -= not entry.remote
        weight = self.services[s].team_weights.get(team, 1)
        delta = (used - entry.cost) * _fair.SCALE // weight
        debt = _fair.DEBT_LIMIT_S * 1_000_000 * _fair.SCALE // weight
        state.finish[team] = min(
            state.virtual + debt, state.finish[team] + delta
        )
        state.tags[team] = max(state.virtual, state.finish[team])
        return entry, s, c

    def finished(self, key, now, succeeded):
        used = max(1, round((now - self.dispatched[key].started) * 1e6))
        entry, s, c = self.release(key, used)
        if not entry.remote and c == "low":
            self.released[s].observe(now)
        if succeeded:
            self.time[s].observe(used)

    def requeue(self, key, now):
        entry = self.release(key, 0)[0]
        if entry.deadline <= now:
            return "deadline"
        self.front -= 1
        entry.order = self.front
        return self.insert(entry)

    def remove(self, key):
        for entry in self.queued:
            if entry.request.key == key:
                self.drop(entry)
                return key
        return None

    def expire(self, now):
        late = [e for e in self.queued if e.deadline <= now]
        for entry in sorted(late, key=lambda e: (e.deadline, e.order)):
            self.drop(entry)
        return [(e.request.key, "deadline") for e in late]
