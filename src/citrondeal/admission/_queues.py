"""Bounded request queues of all services of one gateway."""

import heapq

from citrondeal.admission import _estimate
from citrondeal.admission import _fair
from citrondeal.admission import _model
from citrondeal.admission import _shares
from citrondeal import errors

# Bounds of `retry_after_s`.  A shorter pause would not relieve the service; a
# longer one would keep callers away after the overload has ended.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0
_RANK = {name: rank for rank, name in enumerate(_model.CLASSES)}


class _ServiceState:
    """Queues and slots of one service."""

    def __init__(self, config, unit_limit, now):
        self.config = config
        # Bound on queued units, see `Config.unit_bytes`.
        self.unit_limit = unit_limit
        self.slots = 0
        self.units = 0
        self.service_time = _estimate.ServiceTime()
        self.retry_budget = _estimate.RetryBudget(config, now)
        self.advanced_at = now
        # Rate at which requests of the low class free slots of this gateway.
        self.low_release_rate = _estimate.Rate()
        self.classes = [
            _shares.ClassState(
                name, rank, share, _fair.FairQueue(config.team_weights)
            )
            for rank, (name, share) in enumerate(
                zip(_model.CLASSES, config.shares, strict=True)
            )
        ]

    def advance(self, now):
        elapsed = now - self.advanced_at
        if elapsed > 0:
            _shares.advance(self.classes, self.slots, elapsed)
            self.advanced_at = now

    def reserved(self, now):
        """Return the slots that requests of the low class leave free now."""
        config = self.config
        if _shares.frees_slots_slowly(
            self.classes[-1].running,
            self.slots,
            self.low_release_rate.value(now),
            config.urgent_wait_s,
        ):
            return _shares.reserved(config.reserve_long, self.slots)
        wait = self.class_wait_s(self.classes[-1], now)
        flood = min(1.0, wait / config.flood_wait_s)
        return _shares.reserved(config.reserve * flood, self.slots)

    def class_wait_s(self, class_state, now):
        """Return the expected wait behind the whole queue of a class."""
        return _shares.wait_s(
            self.classes,
            class_state,
            self.slots,
            class_state.queue.cost_us,
            self.service_time.mean_us,
            now,
        )

    def wait_s(self, class_state, team, now):
        """Return the expected wait of a new request of a team."""
        ahead = class_state.queue.backlog_us(team)
        if not ahead:
            return 0.0
        return _shares.wait_s(
            self.classes,
            class_state,
            self.slots,
            ahead,
            self.service_time.mean_us,
            now,
        )


class Queues:
    """Admission of requests at one gateway.

    Parameters
    ----------
    config : Config
        Bounds over all services.

    Examples
    --------
    >>> queues = Queues(Config())
    >>> queues.configure("fulfil", ServiceConfig(), 0.0)
    >>> queues.set_slots("fulfil", 8, 0.0)
    >>> queues.offer(Request("r-1", "fulfil"), 0.0)
    Admitted(refused=())
    >>> queues.take("fulfil", 8, 0.0).request.key
    'r-1'
    >>> queues.finished("r-1", 0.1)
    """

    def __init__(self, config):
        self._config = config
        self._unit_limit = _limit_in_units(
            config, config.total_count, config.total_bytes
        )
        self._services = {}
        self._sizes = _fair.SizeIndex()
        self._units = 0
        self._queued = {}
        self._dispatched = {}
        self._deadlines = []
        self._last_order = 0
        self._front_order = 0

    @classmethod
    def from_config(cls, config):
        """Return empty queues with the bounds of a `Config`."""
        return cls(config)

    def configure(self, service, config, now):
        """Add a service or change its settings.

        Requests that are queued or dispatched are kept.

        Raises
        ------
        ValueError
            If the bound on services is reached.
        """
        unit_limit = _limit_in_units(
            self._config, config.queue_count, config.queue_bytes
        )
        current = self._services.get(service)
        if current is None:
            if len(self._services) >= self._config.services:
                raise ValueError(
                    f"service {service!r} exceeds the limit of"
                    f" {self._config.services} services"
                )
            self._services[service] = _ServiceState(config, unit_limit, now)
            return
        current.advance(now)
        current.unit_limit = unit_limit
        current.config = current.retry_budget.config = config
        for class_state, share in zip(
            current.classes, config.shares, strict=True
        ):
            class_state.share = share
            class_state.queue.weights = config.team_weights

    def remove_service(self, service, now):
        """Remove a service with its queue; dispatched requests may finish.

        Returns
        -------
        list of Refusal
            One for each queued request.
        """
        service_state = self._services[service]
        service_state.advance(now)
        refused = []
        for class_state in service_state.classes:
            while class_state.queue.count:
                victim = class_state.queue.newest(
                    class_state.queue.largest_team()
                )
                refused.append(self._drop(victim, _unknown_service_failure()))
        del self._services[service]
        return refused

    def set_slots(self, service, slots, now):
        """Set the number of slots that this gateway holds for a service."""
        service_state = self._services[service]
        service_state.advance(now)
        service_state.slots = slots

    def offer(self, request, now):
        """Queue a request or refuse it.

        Parameters
        ----------
        request : Request
            The request; its key must be new.
        now : float
            Monotonic seconds.

        Returns
        -------
        Admitted or citrondeal.errors.Failure
            `Admitted` may name requests that were evicted for this one.

        Raises
        ------
        ValueError
            If the key is queued or dispatched, or the class is not known.
        """
        if request.key in self._queued or request.key in self._dispatched:
            raise ValueError(
                f"request key {request.key!r} is already queued or dispatched"
            )
        if request.request_class not in _RANK:
            raise ValueError(
                f"request class {request.request_class!r} is unknown, expected"
                f" one of {_model.CLASSES}"
            )
        service_state = self._services.get(request.service)
        if service_state is None:
            return _unknown_service_failure()
        service_state.advance(now)
        class_state = service_state.classes[_RANK[request.request_class]]
        remaining = service_state.config.wait_limit_s
        if request.deadline is not None:
            remaining = min(remaining, request.deadline - now)
        if remaining <= 0:
            return errors.Failure(
                errors.Kind.DEADLINE, "the deadline has passed"
            )
        wait = service_state.wait_s(class_state, request.team, now)
        if wait > remaining:
            return errors.Failure(
                errors.Kind.DEADLINE,
                "the expected wait exceeds the remaining time",
                _retry_after(wait - remaining),
            )
        self._last_order += 1
        entry = _fair.Entry(
            request,
            class_state,
            class_state.queue.team(request.team),
            1 + request.size_bytes // self._config.unit_bytes,
            self._last_order,
        )
        entry.deadline = now + remaining
        refused = self._make_room(service_state, class_state, entry)
        if refused is None:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the queue is full",
                _retry_after(wait),
            )
        self._insert(service_state, entry)
        return _model.Admitted(tuple(refused))

    def take(self, service, free, now, request_class=None):
        """Remove the next request to dispatch to an endpoint held here.

        Parameters
        ----------
        service : str
            Name of the service.
        free : int
            Free slots of this gateway, including the one to be used.
        now : float
            Monotonic seconds.
        request_class : str, optional
            Take a request of this class to forward it to another gateway
            instead; requests that were forwarded to this gateway are then
            left out.

        Returns
        -------
        TakeResult
            The request stays known until `finished` or `requeue`.
        """
        service_state = self._services[service]
        service_state.advance(now)
        refused = []
        remote = request_class is not None
        while True:
            if remote:
                chosen = service_state.classes[_RANK[request_class]]
            elif free < 1:
                chosen = None
            else:
                chosen = _shares.choose(
                    service_state.classes,
                    service_state.slots,
                    service_state.reserved(now),
                    free,
                )
            entry = chosen and chosen.queue.head(remote)
            if entry is None:
                return _model.TakeResult(None, tuple(refused))
            if entry.deadline > now:
                break
            refused.append(self._drop(entry, _deadline_failure()))
        del self._queued[entry.request.key]
        self._account(service_state, entry, -1)
        chosen.queue.serve(entry)
        chosen.dispatch_rate.observe(now)
        entry.started = now
        entry.remote = remote
        if remote:
            chosen.remote += 1
        else:
            chosen.running += 1
        self._dispatched[entry.request.key] = entry
        return _model.TakeResult(entry.request, tuple(refused))

    def finished(self, key, now, succeeded=True, ran_s=None):
        """Record that a dispatched request no longer occupies its slot.

        Parameters
        ----------
        key : object
            Key of the request.
        now : float
            Monotonic seconds.
        succeeded : bool
            Whether a complete answer came; only then the retry budget grows
            and the slot time enters the estimate of the service time.
        ran_s : float, optional
            Seconds for which a slot was held, if they are known more
            precisely than from the times of `take` and `finished`, as for
            forwarded requests.

        Raises
        ------
        KeyError
            If the request is not dispatched.
        """
        entry = self._dispatched.pop(key)
        service_state = self._current_service(entry)
        if service_state is None:
            return
        service_state.advance(now)
        self._release(entry)
        if not entry.remote and entry.class_state is service_state.classes[-1]:
            service_state.low_release_rate.observe(now)
        used = now - entry.started if ran_s is None else ran_s
        used_us = max(1, round(used * 1e6))
        entry.class_state.queue.correct_charge(entry, used_us)
        if succeeded:
            service_state.service_time.observe(used_us)
            service_state.retry_budget.record_success()

    def requeue(self, key, now):
        """Queue a dispatched request again that certainly has not run.

        It becomes the first request of its team and keeps its deadline;
        the charge for the dispatch is taken back.

        Returns
        -------
        Admitted or citrondeal.errors.Failure
            As `offer`.

        Raises
        ------
        KeyError
            If the request is not dispatched.
        """
        entry = self._dispatched.pop(key)
        service_state = self._current_service(entry)
        if service_state is None:
            return _unknown_service_failure()
        service_state.advance(now)
        self._release(entry)
        entry.class_state.queue.correct_charge(entry, 0)
        if entry.deadline <= now:
            return _deadline_failure()
        entry.team = entry.class_state.queue.team(entry.request.team)
        refused = self._make_room(service_state, entry.class_state, entry)
        if refused is None:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the queue is full",
                RETRY_AFTER_MIN_S,
            )
        self._front_order -= 1
        entry.order = self._front_order
        self._insert(service_state, entry, front=True)
        return _model.Admitted(tuple(refused))

    def remove(self, key, now):
        """Remove a queued request, for example when its caller has left.

        Returns
        -------
        Request or None
            None if the request is not queued (it may be dispatched).
        """
        entry = self._queued.get(key)
        if entry is None:
            return None
        self._services[entry.request.service].advance(now)
        self._dequeue(entry)
        return entry.request

    def expire(self, now):
        """Remove all requests whose deadline has passed.

        Returns
        -------
        list of Refusal
            One for each removed request.
        """
        refused = []
        heap = self._deadlines
        while heap and heap[0][0] <= now:
            _, _, entry = heapq.heappop(heap)
            if self._queued.get(entry.request.key) is entry:
                self._services[entry.request.service].advance(now)
                refused.append(self._drop(entry, _deadline_failure()))
        return refused

    def next_expiry(self):
        """Return the monotonic time of the next `expire`, or None."""
        heap = self._deadlines
        while heap:
            entry = heap[0][2]
            if self._queued.get(entry.request.key) is entry:
                return heap[0][0]
            heapq.heappop(heap)
        return None

    def acquire_retry(self, service, now):
        """Take one retry from the budget of a service.

        Returns
        -------
        bool
            False if the budget is used up and no retry may be sent.
        """
        return self._services[service].retry_budget.try_acquire(now)

    def forwardable_classes(self, service, now):
        """Return classes with requests that may be forwarded.

        Returns
        -------
        list of tuple
            ``(request_class, expected_wait_s)``, most urgent first; the
            wait is that of a request that arrives now.
        """
        service_state = self._services[service]
        return [
            (class_state.name, service_state.class_wait_s(class_state, now))
            for class_state in service_state.classes
            if class_state.queue.direct_count
        ]

    def queued(self, service):
        """Return the number of queued requests of a service."""
        return sum(
            class_state.queue.count
            for class_state in self._services[service].classes
        )

    def spare_capacity(self, service, free, now):
        """Return how many more requests of each class would be served next.

        They would start in a free slot or get one that becomes free before
        the queued requests of other classes.

        Parameters
        ----------
        service : str
            Name of the service.
        free : int
            Free slots of this gateway.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to int
            By class: the free slots that the class may use, or the
            guaranteed slots that it does not hold, whichever is more, less
            its queued requests; at least 0.
        """
        service_state = self._services[service]
        capacity = {}
        for class_state in service_state.classes:
            usable = free
            if class_state is service_state.classes[-1]:
                usable -= service_state.reserved(now)
            guaranteed_free = (
                int(class_state.share * service_state.slots)
                - class_state.running
            )
            capacity[class_state.name] = (
                max(0, usable, guaranteed_free) - class_state.queue.count
            )
            capacity[class_state.name] = max(0, capacity[class_state.name])
        return capacity

    def dump(self):
        """Return a JSON-ready summary, bounded by the number of services."""
        return {
            "units": self._units,
            "dispatched": len(self._dispatched),
            "services": {
                name: {
                    "slots": service_state.slots,
                    "units": service_state.units,
                    "service_time_us": service_state.service_time.mean_us,
                    "classes": {
                        class_state.name: {
                            "queued": class_state.queue.count,
                            "running": class_state.running,
                            "remote": class_state.remote,
                        }
                        for class_state in service_state.classes
                    },
                }
                for name, service_state in self._services.items()
            },
        }

    def _current_service(self, entry):
        """Return the service that took the entry, or None if it was removed.

        A service that was removed and configured again under the same name
        has new classes, whose counters do not include the entry.
        """
        service_state = self._services.get(entry.request.service)
        if (
            service_state is None
            or entry.class_state not in service_state.classes
        ):
            return None
        return service_state

    def _make_room(self, service_state, class_state, entry):
        """Evict queued requests until an entry fits.

        Returns
        -------
        list of Refusal or None
            The evicted requests; None if the entry must be refused, in which
            case nothing is evicted.
        """
        needed = max(
            0, service_state.units + entry.units - service_state.unit_limit
        )
        limit = self._unit_limit
        shortfall = self._units + entry.units - needed - limit
        if not needed and shortfall <= 0:
            return []
        needed_from_others = 0
        if shortfall > 0:
            service_units = service_state.units + entry.units - needed
            name = self._sizes.largest()
            if service_units * len(self._services) <= limit or (
                name != entry.request.service
                and self._sizes.size(name) - service_units >= shortfall
            ):
                needed_from_others = shortfall
            else:
                needed += shortfall
        classes = self._eviction_classes(
            service_state, class_state, entry, needed
        )
        if classes is None:
            return None
        refused = []
        while needed_from_others > 0:
            largest = self._services[self._sizes.largest()]
            needed_from_others -= self._evict(
                largest, largest.classes, refused
            )
        while needed > 0:
            needed -= self._evict(service_state, classes, refused)
        return refused

    def _eviction_classes(self, service_state, class_state, entry, needed):
        """Return the classes to evict from, or None to refuse the entry.

        A class that stays within its share of the queue may evict from any
        class above its share, another class only from less urgent ones.
        Otherwise the team with the most queued units by weight in the class
        gives way to a team with fewer.
        """
        if needed <= 0:
            return []
        excess = {
            c.rank: self._excess(service_state, c)
            for c in service_state.classes
        }
        within = excess[class_state.rank] + entry.units <= 0
        classes = [
            c
            for c in service_state.classes
            if c is not class_state and (within or c.rank > class_state.rank)
        ]
        if sum(max(0, excess[c.rank]) for c in classes) >= needed:
            return classes
        team = class_state.queue.largest_team()
        if team is None:
            return None
        weight = entry.team.weight
        weighted_units = -(-(entry.team.units + entry.units) // weight)
        if team.units - weighted_units * team.weight >= needed:
            return [class_state]
        return None

    def _evict(self, service_state, classes, refused):
        """Evict one request and return its units.

        The victim is the newest request of the largest team in the class
        that exceeds its share of the queue most.
        """
        queued = [c for c in classes if c.queue.count]
        class_state = max(queued, key=lambda c: self._excess(service_state, c))
        team = class_state.queue.largest_team()
        victim = class_state.queue.newest(team)
        refused.append(self._drop(victim, _eviction_failure()))
        return victim.units

    def _excess(self, service_state, class_state):
        return class_state.queue.units - int(
            class_state.share * service_state.unit_limit
        )

    def _insert(self, service_state, entry, front=False):
        entry.cost_us = service_state.service_time.mean_us
        self._queued[entry.request.key] = entry
        self._account(service_state, entry, 1)
        entry.class_state.queue.add(entry, front)
        heapq.heappush(self._deadlines, (entry.deadline, entry.order, entry))
        # Requests that have left the queue stay in the heap.  It is rebuilt
        # when they are the majority, at constant amortised cost.
        if len(self._deadlines) > 64 + 2 * len(self._queued):
            self._deadlines = [
                (e.deadline, e.order, e) for e in self._queued.values()
            ]
            heapq.heapify(self._deadlines)

    def _dequeue(self, entry):
        del self._queued[entry.request.key]
        self._account(self._services[entry.request.service], entry, -1)
        entry.class_state.queue.discard(entry)

    def _drop(self, entry, failure):
        self._dequeue(entry)
        return _model.Refusal(entry.request, failure)

    def _account(self, service_state, entry, sign):
        service_state.units += sign * entry.units
        self._units += sign * entry.units
        self._sizes.set(entry.request.service, service_state.units)

    def _release(self, entry):
        if entry.remote:
            entry.class_state.remote -= 1
        else:
            entry.class_state.running -= 1


def _limit_in_units(config, count, size_bytes):
    return min(count, size_bytes // config.unit_bytes)


def _unknown_service_failure():
    return errors.Failure(
        errors.Kind.UNKNOWN_SERVICE, "the service is not configured"
    )


def _deadline_failure():
    return errors.Failure(
        errors.Kind.DEADLINE, "the deadline passed in the queue"
    )


def _eviction_failure():
    return errors.Failure(
        errors.Kind.OVERLOADED,
        "evicted because its class or team exceeds its part of the queue",
        RETRY_AFTER_MIN_S,
    )


def _retry_after(wait_s):
    return max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, wait_s))
