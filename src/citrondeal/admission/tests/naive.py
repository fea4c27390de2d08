"""Naive version of the queues for comparison: scans and sums, no indexes."""

import math

from citrondeal import admission
from citrondeal.admission import _estimate
from citrondeal.admission import _fair


class Entry:
    """A queued or dispatched request with its costs and times."""

    def __init__(self, request, deadline, units, order):
        self.request = request
        self.deadline = deadline
        self.units = units
        self.order = order
        self.cost = self.started = 0
        self.remote = False


class ClassState:
    """Slots, tags and credit of one class of one service."""

    def __init__(self):
        self.running = self.virtual_time = 0
        self.credit = 0.0
        self.dispatch_rate = _estimate.Rate()
        self.finish = {}
        self.tags = {}


class Queues:
    """Makes the decisions of `admission.Queues` by scanning all requests."""

    def __init__(self, config, services):
        self.config = config
        self.services = services
        self.slots = dict.fromkeys(services, 0)
        self.time = {service: _estimate.ServiceTime() for service in services}
        self.low_release_rate = {
            service: _estimate.Rate() for service in services
        }
        self.classes = {
            (service, class_name): ClassState()
            for service in services
            for class_name in admission.CLASSES
        }
        self.queued = []
        self.dispatched = {}
        self.now = 0.0
        self.count = self.front_order = 0
        # Size and the order in which it was reached, by service and by team;
        # of equal sizes the one reached first counts as the largest.
        self.reached_sizes = {}

    def advance(self, now):
        if now <= self.now:
            return
        for (service, class_name), state in self.classes.items():
            guaranteed = self.share(service, class_name) * self.slots[service]
            if not self.entries(service, class_name):
                state.credit = 0.0
            else:
                held = min(state.running, math.floor(guaranteed) + 1)
                state.credit += (guaranteed - held) * (now - self.now)
                state.credit = max(-1.0, min(1.0, state.credit))
        self.now = now

    def entries(self, service, class_name=None, team=None):
        return [
            e
            for e in self.queued
            if e.request.service == service
            and class_name in (None, e.request.request_class)
            and team in (None, e.request.team)
        ]

    def share(self, service, class_name):
        return getattr(self.services[service], f"share_{class_name}")

    def units(self, *where):
        return sum(e.units for e in self.entries(*where))

    def size(self, service, class_name=None, team=None):
        weight = self.services[service].team_weights.get(team, 1)
        return math.ceil(self.units(service, class_name, team) / weight)

    def update_sizes(self):
        for service in self.services:
            classes = {
                (service, e.request.request_class)
                for e in self.entries(service)
            }
            keys = {(service,)} | {
                (*p, e.request.team) for p in classes for e in self.entries(*p)
            }
            for key in keys:
                size = self.size(*key)
                if self.reached_sizes.get(key, (0, 0))[0] != size:
                    self.count += 1
                    self.reached_sizes[key] = (size, self.count)
        for key in list(self.reached_sizes):
            if not self.units(*key):
                del self.reached_sizes[key]

    def largest(self, *prefix):
        keys = [
            k
            for k in self.reached_sizes
            if len(k) == (3 if prefix else 1) and k[: len(prefix)] == prefix
        ]
        return max(
            keys,
            key=lambda k: (
                self.reached_sizes[k][0],
                -self.reached_sizes[k][1],
            ),
            default=None,
        )

    def wait(self, service, class_name, ahead, now):
        order = admission.CLASSES
        available = slots = self.slots[service]
        for other in order:
            guaranteed = self.share(service, other) * slots
            running = self.classes[service, other].running
            if other == class_name:
                continue
            if not self.entries(service, other):
                available -= running
            elif order.index(other) < order.index(class_name):
                available -= max(guaranteed, running)
            else:
                available -= guaranteed
        dispatch_rate = self.classes[service, class_name].dispatch_rate.value(
            now
        )
        serving_slots = max(
            self.share(service, class_name) * slots,
            available,
            dispatch_rate * self.time[service].mean_us / 1e6,
        )
        return ahead / 1e6 / serving_slots if serving_slots > 1e-6 else 0.0

    def ahead(self, service, class_name, team):
        weights = self.services[service].team_weights
        teams = {e.request.team for e in self.entries(service, class_name)} | {
            team
        }
        active = sum(weights.get(t, 1) for t in teams)
        team_cost = sum(
            e.cost for e in self.entries(service, class_name, team)
        )
        class_cost = sum(e.cost for e in self.entries(service, class_name))
        return min(class_cost, team_cost * active // weights.get(team, 1))

    def offer(self, request, now):
        service, class_name = request.service, request.request_class
        remaining = self.services[service].wait_limit_s
        if request.deadline is not None:
            remaining = min(remaining, request.deadline - now)
        if remaining <= 0:
            return "deadline"
        ahead = self.ahead(service, class_name, request.team)
        if ahead and self.wait(service, class_name, ahead, now) > remaining:
            return "deadline"
        self.count += 1
        units = 1 + request.size_bytes // self.config.unit_bytes
        entry = Entry(request, now + remaining, units, self.count)
        return self.insert(entry)

    def insert(self, entry, front=False):
        refused = self.make_room(entry)
        if refused is None:
            return "overloaded"
        service, class_name = (
            entry.request.service,
            entry.request.request_class,
        )
        state = self.classes[service, class_name]
        team = entry.request.team
        if not self.entries(service, class_name, team):
            finish = state.finish.get(team, 0)
            state.tags[team] = max(state.virtual_time, finish)
        entry.cost = self.time[service].mean_us
        self.queued.append(entry)
        self.queued.sort(key=lambda e: e.order)
        self.update_sizes()
        return refused

    def bound(self, config):
        count = getattr(config, "queue_count", None) or config.total_count
        size = getattr(config, "queue_bytes", None) or config.total_bytes
        return min(count, size // self.config.unit_bytes)

    def excess(self, service, class_name):
        part = int(
            self.share(service, class_name)
            * self.bound(self.services[service])
        )
        return self.units(service, class_name) - part

    def make_room(self, entry):
        service, class_name = (
            entry.request.service,
            entry.request.request_class,
        )
        used = self.units(service) + entry.units
        needed = max(0, used - self.bound(self.services[service]))
        limit = self.bound(self.config)
        total = sum(e.units for e in self.queued)
        shortfall = total + entry.units - needed - limit
        needed_from_others = 0
        if shortfall > 0:
            service_units = used - needed
            name = self.largest()[0]
            if service_units * len(self.services) <= limit or (
                name != service
                and self.units(name) - service_units >= shortfall
            ):
                needed_from_others = shortfall
            else:
                needed += shortfall
        classes = [class_name]
        if needed > 0:
            rank = admission.CLASSES.index(class_name)
            within = self.excess(service, class_name) + entry.units <= 0
            others = [
                other
                for r, other in enumerate(admission.CLASSES)
                if other != class_name and (within or r > rank)
            ]
            if (
                sum(max(0, self.excess(service, other)) for other in others)
                >= needed
            ):
                classes = others
            else:
                weights = self.services[service].team_weights
                team = entry.request.team
                weighted_units = (
                    self.units(service, class_name, team) + entry.units
                )
                weighted_units = math.ceil(
                    weighted_units / weights.get(team, 1)
                )
                top = self.largest(service, class_name)
                if top is None:
                    return None
                spare = weighted_units * weights.get(top[2], 1)
                if self.units(*top) - spare < needed:
                    return None
        refused = []
        while needed_from_others > 0:
            needed_from_others -= self.evict(
                self.largest()[0], admission.CLASSES, refused
            )
        while needed > 0:
            needed -= self.evict(service, classes, refused)
        return refused

    def evict(self, service, classes, refused):
        queued = [
            class_name
            for class_name in classes
            if self.entries(service, class_name)
        ]
        class_name = max(
            queued, key=lambda class_name: self.excess(service, class_name)
        )
        victim = self.entries(*self.largest(service, class_name))[-1]
        self.drop(victim)
        refused.append((victim.request.key, "overloaded"))
        return victim.units

    def drop(self, entry):
        self.queued.remove(entry)
        self.update_sizes()

    def reserved(self, service, now):
        config, slots = self.services[service], self.slots[service]
        low = self.classes[service, "low"]
        if slots < 2:
            return 0
        limit = (
            self.low_release_rate[service].value(now)
            * slots
            * config.urgent_wait_s
        )
        if low.running > limit:
            return math.ceil(config.reserve_long * slots - 0.1)
        ahead = sum(e.cost for e in self.entries(service, "low"))
        wait = self.wait(service, "low", ahead, now)
        part = min(1.0, wait / config.flood_wait_s)
        return math.ceil(config.reserve * part * slots - 0.1)

    def entitled(self, service, class_name):
        guaranteed = self.share(service, class_name) * self.slots[service]
        state = self.classes[service, class_name]
        extra = 1 if state.credit > 0 else 0
        return (
            guaranteed > 0
            and state.running < math.floor(guaranteed + 1e-9) + extra
        )

    def choose(self, service, free, now):
        queued = [
            class_name
            for class_name in admission.CLASSES
            if self.entries(service, class_name)
        ]
        first = [
            class_name
            for class_name in queued
            if self.entitled(service, class_name)
        ]
        if first:
            return min(
                first,
                key=lambda class_name: (
                    self.classes[service, class_name].running
                    / (self.share(service, class_name) * self.slots[service])
                ),
            )
        for class_name in queued:
            if class_name != "low" or free > self.reserved(service, now):
                return class_name
        return None

    def take(self, service, free, now, forward_class=None):
        refused = []
        while True:
            class_name = forward_class or (
                self.choose(service, free, now) if free > 0 else None
            )
            heads = {}
            for e in self.entries(service, class_name) if class_name else []:
                if not (forward_class and e.request.forwarded):
                    heads.setdefault(e.request.team, e)
            if not heads:
                return None, refused
            state = self.classes[service, class_name]
            team = min(heads, key=lambda t: (state.tags[t], t))
            entry = heads[team]
            if entry.deadline > now:
                break
            self.drop(entry)
            refused.append((entry.request.key, "deadline"))
        state.virtual_time = max(state.virtual_time, state.tags[team])
        weight = self.services[service].team_weights.get(team, 1)
        charge = entry.cost * _fair.TAG_SCALE // weight
        state.finish[team] = state.tags[team] + charge
        state.tags[team] = max(state.virtual_time, state.finish[team])
        self.drop(entry)
        state.dispatch_rate.observe(now)
        entry.started, entry.remote = now, forward_class is not None
        state.running += not entry.remote
        self.dispatched[entry.request.key] = entry
        return entry.request.key, refused

    def release(self, key, used):
        entry = self.dispatched.pop(key)
        service, class_name = (
            entry.request.service,
            entry.request.request_class,
        )
        state, team = self.classes[service, class_name], entry.request.team
        state.running -= not entry.remote
        weight = self.services[service].team_weights.get(team, 1)
        delta = (used - entry.cost) * _fair.TAG_SCALE // weight
        debt = _fair.DEBT_LIMIT_SLOT_S * 1_000_000 * _fair.TAG_SCALE // weight
        state.finish[team] = min(
            state.virtual_time + debt, state.finish[team] + delta
        )
        state.tags[team] = max(state.virtual_time, state.finish[team])
        return entry, service, class_name

    def finished(self, key, now, succeeded):
        used = max(1, round((now - self.dispatched[key].started) * 1e6))
        entry, service, class_name = self.release(key, used)
        if not entry.remote and class_name == "low":
            self.low_release_rate[service].observe(now)
        if succeeded:
            self.time[service].observe(used)

    def requeue(self, key, now):
        entry = self.release(key, 0)[0]
        if entry.deadline <= now:
            return "deadline"
        self.front_order -= 1
        entry.order = self.front_order
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
