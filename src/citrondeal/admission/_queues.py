"""Bounded request queues of all services of one gateway."""

from citrondeal.admission import _deadlines
from citrondeal.admission import _failures
from citrondeal.admission import _fair
from citrondeal.admission import _model
from citrondeal.admission import _readings
from citrondeal.admission import _room
from citrondeal.admission import _service_state

_RANK = {name: rank for rank, name in enumerate(_model.CLASSES)}


class Queues:
    """Admission of requests at one gateway.

    Its methods `queued`, `forwardable_classes` and `spare_capacity` are those
    of `Readings`.

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
        self._room = _room.Room(
            _limit_in_units(config, config.total_count, config.total_bytes)
        )
        self._services = {}
        readings = _readings.Readings(self._services)
        self.queued = readings.queued
        self.forwardable_classes = readings.forwardable_classes
        self.spare_capacity = readings.spare_capacity
        self._queued = {}
        self._dispatched = {}
        self._deadlines = _deadlines.Deadlines(self._queued)
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
            self._services[service] = _service_state.ServiceState(
                config, unit_limit, now
            )
            return
        current.reconfigure(config, unit_limit, now)

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
                refused.append(self._drop(victim, _failures.unknown_service()))
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
            return _failures.unknown_service()
        service_state.advance(now)
        class_state = service_state.classes[_RANK[request.request_class]]
        remaining = service_state.remaining_s(request, now)
        if remaining <= 0:
            return _failures.deadline_on_arrival()
        wait = service_state.wait_s(class_state, request.team, now)
        if wait > remaining:
            return _failures.wait_too_long(wait - remaining)
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
            return _failures.overloaded(_failures.retry_after(wait))
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
            else:
                chosen = service_state.choose(free, now)
            entry = chosen and chosen.queue.head(remote)
            if entry is None:
                return _model.TakeResult(None, tuple(refused))
            if entry.deadline > now:
                break
            refused.append(self._drop(entry, _failures.deadline_in_queue()))
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
            return _failures.unknown_service()
        service_state.advance(now)
        self._release(entry)
        entry.class_state.queue.correct_charge(entry, 0)
        if entry.deadline <= now:
            return _failures.deadline_in_queue()
        entry.team = entry.class_state.queue.team(entry.request.team)
        refused = self._make_room(service_state, entry.class_state, entry)
        if refused is None:
            return _failures.overloaded(_failures.RETRY_AFTER_MIN_S)
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
        while (entry := self._deadlines.pop_due(now)) is not None:
            self._services[entry.request.service].advance(now)
            refused.append(self._drop(entry, _failures.deadline_in_queue()))
        return refused

    def next_expiry(self):
        """Return the monotonic time of the next `expire`, or None."""
        return self._deadlines.next_time()

    def acquire_retry(self, service, now):
        """Take one retry from the budget of a service.

        Returns
        -------
        bool
            False if the budget is used up and no retry may be sent.
        """
        return self._services[service].retry_budget.try_acquire(now)

    def dump(self):
        """Return a JSON-ready summary, bounded by the number of services."""
        return {
            "units": self._room.units,
            "dispatched": len(self._dispatched),
            "services": {
                name: service_state.dump()
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
        needed, needed_from_others = self._room.units_to_free(
            service_state, entry, len(self._services)
        )
        if not needed and not needed_from_others:
            return []
        classes = self._eviction_classes(
            service_state, class_state, entry, needed
        )
        if classes is None:
            return None
        refused = []
        while needed_from_others > 0:
            largest = self._services[self._room.largest_service()]
            needed_from_others -= self._evict(
                largest, largest.classes, refused
            )
        while needed > 0:
            needed -= self._evict(service_state, classes, refused)
        return refused

    def _eviction_classes(self, service_state, class_state, entry, needed):
        return _room.classes_to_evict(
            service_state, class_state, entry, needed
        )

    def _evict(self, service_state, classes, refused):
        """Evict one request and return its units."""
        victim = _room.victim_of(service_state, classes)
        refused.append(self._drop(victim, _failures.evicted()))
        return victim.units

    def _insert(self, service_state, entry, front=False):
        entry.cost_us = service_state.service_time.mean_us
        self._queued[entry.request.key] = entry
        self._account(service_state, entry, 1)
        entry.class_state.queue.add(entry, front)
        self._deadlines.add(entry)

    def _dequeue(self, entry):
        del self._queued[entry.request.key]
        self._account(self._services[entry.request.service], entry, -1)
        entry.class_state.queue.discard(entry)

    def _drop(self, entry, failure):
        self._dequeue(entry)
        return _model.Refusal(entry.request, failure)

    def _account(self, service_state, entry, sign):
        self._room.account(service_state, entry, sign)

    def _release(self, entry):
        if entry.remote:
            entry.class_state.remote -= 1
        else:
            entry.class_state.running -= 1


def _limit_in_units(config, count, size_bytes):
    return min(count, size_bytes // config.unit_bytes)
