"""Bounded queues of all services of one gateway."""

import heapq

from citrondeal.admission import _estimate
from citrondeal.admission import _fair
from citrondeal.admission import _model
from citrondeal.admission import _shares
from citrondeal import errors

# Bounds of `retry_after_s`, seconds: shorter gives retries no time to
# matter, longer would keep callers away after the overload has ended.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0
_RANK = {name: rank for rank, name in enumerate(_model.CLASSES)}


class _Service:
    """Queues and slots of one service."""

    def __init__(self, config, bound, now):
        self.config = config
        # Queue room in units.
        self.bound = bound
        self.slots = 0
        self.units = 0
        self.time = _estimate.ServiceTime()
        self.retries = _estimate.RetryBudget(config, now)
        self.advanced_at = now
        # Slots that low-class work frees.
        self.released = _estimate.Rate()
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
        """Return the slots that low-class work leaves free now."""
        config = self.config
        if _shares.slow(
            self.classes[-1].running,
            self.slots,
            self.released.value(now),
            config.urgent_wait_s,
        ):
            return _shares.reserved(config.reserve_long, self.slots)
        wait = self.class_wait_s(self.classes[-1], now)
        flood = min(1.0, wait / config.flood_wait_s)
        return _shares.reserved(config.reserve * flood, self.slots)

    def class_wait_s(self, state, now):
        """Return the expected wait behind the whole queue of a class."""
        return _shares.wait_s(
            self.classes,
            state,
            self.slots,
            state.queue.cost_us,
            self.time.us,
            now,
        )

    def wait_s(self, state, team, now):
        ahead = state.queue.backlog_us(team)
        if not ahead:
            return 0.0
        return _shares.wait_s(
            self.classes, state, self.slots, ahead, self.time.us, now
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
        self._limit = _units_of(config, config.total_count, config.total_bytes)
        self._services = {}
        self._sizes = _fair.Largest()
        self._units = 0
        self._queued = {}
        self._dispatched = {}
        self._deadlines = []
        self._order = 0
        self._front = 0

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
        bound = _units_of(self._config, config.queue_count, config.queue_bytes)
        current = self._services.get(service)
        if current is None:
            if len(self._services) >= self._config.services:
                raise ValueError("too many services")
            self._services[service] = _Service(config, bound, now)
            return
        current.advance(now)
        current.bound = bound
        current.config = current.retries.config = config
        for state, share in zip(current.classes, config.shares, strict=True):
            state.share = share
            state.queue.weights = config.team_weights

    def remove_service(self, service, now):
        """Remove a service with its queue; dispatched requests may finish.

        Returns
        -------
        list of Refusal
            One for each queued request.
        """
        state = self._services[service]
        state.advance(now)
        refused = []
        for c in state.classes:
            while c.queue.count:
                victim = c.queue.newest(c.queue.heaviest())
                refused.append(self._drop(victim, _removed()))
        del self._services[service]
        return refused

    def set_slots(self, service, slots, now):
        """Set the number of slots that this gateway holds for a service."""
        state = self._services[service]
        state.advance(now)
        state.slots = slots

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
            raise ValueError("the key is in use")
        if request.request_class not in _RANK:
            raise ValueError("unknown class")
        service = self._services.get(request.service)
        if service is None:
            return _removed()
        service.advance(now)
        state = service.classes[_RANK[request.request_class]]
        left = service.config.wait_limit_s
        if request.deadline is not None:
            left = min(left, request.deadline - now)
        if left <= 0:
            return errors.Failure(
                errors.Kind.DEADLINE, "the deadline has passed"
            )
        wait = service.wait_s(state, request.team, now)
        if wait > left:
            return errors.Failure(
                errors.Kind.DEADLINE,
                "the expected wait exceeds the remaining time",
                _retry_after(wait - left),
            )
        self._order += 1
        entry = _fair.Entry(
            request,
            state,
            state.queue.team(request.team),
            1 + request.size_bytes // self._config.unit_bytes,
            self._order,
        )
        entry.deadline = now + left
        refused = self._make_room(service, state, entry)
        if refused is None:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the queue is full",
                _retry_after(wait),
            )
        self._insert(service, entry)
        return _model.Admitted(tuple(refused))

    def take(self, service, free, now, request_class=None):
        """Remove the next request to dispatch to an own endpoint.

        Parameters
        ----------
        service : str
            Name of the service.
        free : int
            Free slots of this gateway, including the one to be used.
        now : float
            Monotonic seconds.
        request_class : str, optional
            Take from this class for another gateway instead; requests that
            were forwarded to this gateway are left out then.

        Returns
        -------
        TakeResult
            The request stays known until `finished` or `requeue`.
        """
        state = self._services[service]
        state.advance(now)
        refused = []
        remote = request_class is not None
        while True:
            if remote:
                chosen = state.classes[_RANK[request_class]]
            elif free < 1:
                chosen = None
            else:
                chosen = _shares.choose(
                    state.classes,
                    state.slots,
                    state.reserved(now),
                    free,
                )
            entry = chosen and chosen.queue.head(remote)
            if entry is None:
                return _model.TakeResult(None, tuple(refused))
            if entry.deadline > now:
                break
            refused.append(self._drop(entry, _expired()))
        del self._queued[entry.request.key]
        self._account(state, entry, -1)
        chosen.queue.serve(entry)
        chosen.rate.observe(now)
        entry.started = now
        entry.remote = remote
        if remote:
            chosen.remote += 1
        else:
            chosen.running += 1
        self._dispatched[entry.request.key] = entry
        return _model.TakeResult(entry.request, tuple(refused))

    def finished(self, key, now, succeeded=True, ran_s=None):
        """Note that a dispatched request no longer occupies its slot.

        Parameters
        ----------
        key : object
            Key of the request.
        now : float
            Monotonic seconds.
        succeeded : bool
            Whether a complete answer came; successes fill the retry budget
            and their times enter the estimate.
        ran_s : float, optional
            Seconds for which a slot was held, if known better than from
            the times of `take` and `finished` (forwarded requests).

        Raises
        ------
        KeyError
            If the request is not dispatched.
        """
        entry = self._dispatched.pop(key)
        service = self._service_of(entry)
        if service is None:
            return
        service.advance(now)
        self._release(entry)
        if not entry.remote and entry.queue is service.classes[-1]:
            service.released.observe(now)
        used = now - entry.started if ran_s is None else ran_s
        used_us = max(1, round(used * 1e6))
        entry.queue.queue.correct(entry, used_us)
        if succeeded:
            service.time.observe(used_us)
            service.retries.success()

    def requeue(self, key, now):
        """Queue a dispatched request again that certainly has not run.

        It goes to the front of its team, free of the charge for the
        dispatch, with its original deadline.

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
        service = self._service_of(entry)
        if service is None:
            return _removed()
        service.advance(now)
        self._release(entry)
        entry.queue.queue.correct(entry, 0)
        if entry.deadline <= now:
            return _expired()
        entry.team = entry.queue.queue.team(entry.request.team)
        refused = self._make_room(service, entry.queue, entry)
        if refused is None:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the queue is full",
                RETRY_AFTER_MIN_S,
            )
        self._front -= 1
        entry.order = self._front
        self._insert(service, entry, front=True)
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
        self._withdraw(entry)
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
                refused.append(self._drop(entry, _expired()))
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
        """Draw one retry from the budget of a service."""
        return self._services[service].retries.draw(now)

    def forwardable_classes(self, service, now):
        """Return classes with requests that may be forwarded.

        Returns
        -------
        list of tuple
            ``(request_class, expected_wait_s)``, most urgent first; the
            wait is that of a request that arrives now.
        """
        state = self._services[service]
        return [
            (c.name, state.class_wait_s(c, now))
            for c in state.classes
            if c.queue.own_count
        ]

    def queued(self, service):
        """Return the number of queued requests of a service."""
        return sum(c.queue.count for c in self._services[service].classes)

    def spare_capacity(self, service, free, now):
        """Return how many further requests would start before others.

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
            By class: free slots that the class may use, or guaranteed
            slots that it neither holds nor has requests queued for,
            whichever is more.
        """
        state = self._services[service]
        room = {}
        for c in state.classes:
            usable = free
            if c is state.classes[-1]:
                usable -= state.reserved(now)
            due = int(c.share * state.slots) - c.running
            room[c.name] = max(0, usable, due) - c.queue.count
            room[c.name] = max(0, room[c.name])
        return room

    def dump(self):
        """Return a JSON-ready summary, bounded by the number of services."""
        return {
            "units": self._units,
            "dispatched": len(self._dispatched),
            "services": {
                name: {
                    "slots": state.slots,
                    "units": state.units,
                    "service_time_us": state.time.us,
                    "classes": {
                        c.name: {
                            "queued": c.queue.count,
                            "running": c.running,
                            "remote": c.remote,
                        }
                        for c in state.classes
                    },
                }
                for name, state in self._services.items()
            },
        }

    def _service_of(self, entry):
        """Return the state that took the entry, or None if removed."""
        service = self._services.get(entry.request.service)
        if service is None or entry.queue not in service.classes:
            return None
        return service

    def _make_room(self, service, state, entry):
        """Evict for an entry; returns the refusals, or None if refused.

        Nothing is evicted unless the entry then fits.
        """
        need = max(0, service.units + entry.units - service.bound)
        limit = self._limit
        short = self._units + entry.units - need - limit
        if not need and short <= 0:
            return []
        others = 0
        if short > 0:
            mine = service.units + entry.units - need
            name = self._sizes.largest()
            if mine * len(self._services) <= limit or (
                name != entry.request.service
                and self._sizes.size(name) - mine >= short
            ):
                others = short
            else:
                need += short
        classes = self._victims(service, state, entry, need)
        if classes is None:
            return None
        refused = []
        while others > 0:
            largest = self._services[self._sizes.largest()]
            others -= self._evict(largest, largest.classes, refused)
        while need > 0:
            need -= self._evict(service, classes, refused)
        return refused

    def _victims(self, service, state, entry, need):
        """Return the classes to evict from, or None to refuse the entry.

        A class below its part of the queue takes room from any class above
        its part, a class above its part only from less urgent ones.
        Otherwise the team with the most room in the class makes way for a
        team with less.
        """
        if need <= 0:
            return []
        excess = {c.rank: self._excess(service, c) for c in service.classes}
        within = excess[state.rank] + entry.units <= 0
        classes = [
            c
            for c in service.classes
            if c is not state and (within or c.rank > state.rank)
        ]
        if sum(max(0, excess[c.rank]) for c in classes) >= need:
            return classes
        team = state.queue.heaviest()
        if team is None:
            return None
        weight = entry.team.weight
        mine = -(-(entry.team.units + entry.units) // weight)
        if team.units - mine * team.weight >= need:
            return [state]
        return None

    def _evict(self, service, classes, refused):
        """Evict one request; returns its units."""
        queued = [c for c in classes if c.queue.count]
        state = max(queued, key=lambda c: self._excess(service, c))
        team = state.queue.heaviest()
        victim = state.queue.newest(team)
        refused.append(self._drop(victim, _evicted()))
        return victim.units

    def _excess(self, service, state):
        return state.queue.units - int(state.share * service.bound)

    def _insert(self, service, entry, front=False):
        entry.cost_us = service.time.us
        self._queued[entry.request.key] = entry
        self._account(service, entry, 1)
        entry.queue.queue.add(entry, front)
        heapq.heappush(self._deadlines, (entry.deadline, entry.order, entry))
        # Removed requests stay in the heap; it is rebuilt when they are
        # the majority, at constant amortised cost.
        if len(self._deadlines) > 64 + 2 * len(self._queued):
            self._deadlines = [
                (e.deadline, e.order, e) for e in self._queued.values()
            ]
            heapq.heapify(self._deadlines)

    def _withdraw(self, entry):
        del self._queued[entry.request.key]
        self._account(self._services[entry.request.service], entry, -1)
        entry.queue.queue.discard(entry)

    def _drop(self, entry, failure):
        self._withdraw(entry)
        return _model.Refusal(entry.request, failure)

    def _account(self, service, entry, sign):
        service.units += sign * entry.units
        self._units += sign * entry.units
        self._sizes.set(entry.request.service, service.units)

    def _release(self, entry):
        if entry.remote:
            entry.queue.remote -= 1
        else:
            entry.queue.running -= 1


def _units_of(config, count, size_bytes):
    return min(count, size_bytes // config.unit_bytes)


def _removed():
    return errors.Failure(
        errors.Kind.UNKNOWN_SERVICE, "the service is not configured"
    )


def _expired():
    return errors.Failure(
        errors.Kind.DEADLINE, "the deadline passed in the queue"
    )


def _evicted():
    return errors.Failure(
        errors.Kind.OVERLOADED,
        "evicted because its class or team exceeds its part of the queue",
        RETRY_AFTER_MIN_S,
    )


def _retry_after(wait_s):
    return max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, wait_s))
