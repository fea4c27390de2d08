"""Slots and connections of the endpoints that this gateway holds."""

import dataclasses
import heapq

from citrondeal.routing import _model


class _State:
    """One endpoint with its attempts."""

    __slots__ = (
        "attempts",
        "counted",
        "failures",
        "idle",
        "info",
        "listed",
        "open",
        "probe",
        "retry_at",
        "turn",
        "version",
    )

    def __init__(self, info):
        self.info = info
        self.listed = True
        self.attempts = 0
        self.open = 0
        self.idle = 0
        self.failures = 0
        # While the endpoint is avoided: time of the next probe and key of
        # the attempt that is the probe.
        self.retry_at = None
        self.probe = None
        self.turn = 0
        self.version = 0
        # (service, usable slots, all slots) as counted in the totals.
        self.counted = (info.service, 0, 0)


class _Attempt:
    """One attempt, which holds one slot and one connection."""

    __slots__ = ("resolved", "started", "state")

    def __init__(self, state, started):
        self.state = state
        self.started = started
        self.resolved = False


def usable(state, now):
    """Return the number of attempts that the endpoint can take now."""
    info = state.info
    if not state.listed or info.leaving or info.occupied_until > now:
        return 0
    room = min(
        info.slots - state.attempts,
        info.connections - state.open + state.idle,
    )
    if state.retry_at is not None:
        if state.retry_at > now or state.probe is not None:
            return 0
        room = min(room, 1)
    return max(0, room)


class Endpoints:
    """Accounts of slots and connections.

    An attempt holds its slot and connection until its outcome is known, or,
    if that is unknown, until ``attempt_timeout_s`` after its start.

    Parameters
    ----------
    config : Config
        Settings of routing.
    """

    def __init__(self, config):
        self._config = config
        self._states = {}
        self._attempts = {}
        # By service: heap of (part of slots in use, turn, id, order,
        # version, state).
        self._ready = {}
        self._free = {}
        self._slots = {}
        # (time, order, endpoint state or attempt key) to look at again.
        self._timers = []
        self._orders = 0

    def configure(self, config):
        """Replace the settings."""
        self._config = config

    def update(self, endpoints, now):
        """Replace the list of endpoints; attempts continue."""
        self.advance(now)
        listed = {info.id: info for info in endpoints}
        for name, state in list(self._states.items()):
            if name not in listed:
                state.listed = False
                self._refresh(state, now)
                self._forget(state)
        for name, info in listed.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = _State(info)
                before = 0.0
            else:
                before = state.info.occupied_until
                if state.attempts:
                    # Its slots are still counted for the previous service.
                    info = dataclasses.replace(
                        info, service=state.info.service
                    )
            state.info = info
            state.listed = True
            if info.occupied_until > now and info.occupied_until != before:
                self._at(info.occupied_until, state)
            self._refresh(state, now)

    def slots(self, service):
        """Slots of listed endpoints that are not leaving."""
        return self._slots.get(service, 0)

    def free_slots(self, service, now):
        """Return the slots that can be used at once."""
        self.advance(now)
        return self._free.get(service, 0)

    def choose(self, service, now):
        """Return the least loaded usable `LocalEndpoint`, or None."""
        self.advance(now)
        heap = self._ready.get(service)
        while heap:
            *_, version, state = heap[0]
            if version == state.version:
                return _model.LocalEndpoint(state.info.id, state.idle == 0)
            heapq.heappop(heap)
        return None

    def start(self, key, endpoint, now):
        """Occupy a slot and a connection for an attempt."""
        self.advance(now)
        state = self._states.get(endpoint)
        if state is None or not usable(state, now):
            raise ValueError("the endpoint cannot take an attempt")
        if key in self._attempts:
            raise ValueError("the key of the attempt is in use")
        self._attempts[key] = _Attempt(state, now)
        state.attempts += 1
        if state.idle:
            state.idle -= 1
        else:
            state.open += 1
        if state.retry_at is not None:
            state.probe = key
        self._orders += 1
        state.turn = self._orders
        self._refresh(state, now)

    def finish(self, key, outcome, keep_connection, now):
        """End an attempt; returns False if it had ended already."""
        self.advance(now)
        attempt = self._attempts.get(key)
        if attempt is None or attempt.resolved:
            return False
        attempt.resolved = True
        self._note(attempt.state, key, outcome, now)
        if outcome is _model.Outcome.UNKNOWN:
            keep_connection = False
            until = attempt.started + self._config.attempt_timeout_s
            if until > now:
                self._at(until, key)
                self._refresh(attempt.state, now)
                return True
        self._vacate(key, keep_connection, now)
        return True

    def connection_closed(self, endpoint, now):
        """Note that an idle connection was closed."""
        state = self._states.get(endpoint)
        if state is None or not state.idle:
            raise ValueError("no idle connection is open")
        state.idle -= 1
        state.open -= 1
        self._refresh(state, now)
        self._forget(state)

    def advance(self, now):
        """Free what has become free by `now`."""
        while self._timers and self._timers[0][0] <= now:
            _, _, item = heapq.heappop(self._timers)
            if isinstance(item, _State):
                self._refresh(item, now)
            else:
                self._vacate(item, False, now)

    def next_change(self):
        """Return the monotonic time of the next `advance`, or None."""
        return self._timers[0][0] if self._timers else None

    def dump(self):
        """Return a JSON-ready dict by endpoint."""
        return {
            name: {
                "attempts": s.attempts,
                "open": s.open,
                "idle": s.idle,
                "failures": s.failures,
                "avoided": s.retry_at is not None,
                "leaving": s.info.leaving,
                "listed": s.listed,
            }
            for name, s in self._states.items()
        }

    def _at(self, when, item):
        self._orders += 1
        heapq.heappush(self._timers, (when, self._orders, item))

    def _note(self, state, key, outcome, now):
        """Count consecutive failures and schedule the next probe."""
        was_probe = state.probe == key
        if was_probe:
            state.probe = None
        if outcome is _model.Outcome.DONE:
            state.failures = 0
            state.retry_at = None
            state.probe = None
            return
        state.failures += 1
        late = state.failures - self._config.fail_threshold
        if late >= 0 and (state.retry_at is None or was_probe):
            pause = self._config.probe_min_s * 2 ** min(late, 16)
            state.retry_at = now + min(pause, self._config.probe_max_s)
            self._at(state.retry_at, state)

    def _vacate(self, key, keep_connection, now):
        state = self._attempts.pop(key).state
        state.attempts -= 1
        if keep_connection:
            state.idle += 1
        else:
            state.open -= 1
        self._refresh(state, now)
        self._forget(state)

    def _refresh(self, state, now):
        """Bring the total of the service and its heap up to date."""
        service, room, slots = state.counted
        self._free[service] = self._free.get(service, 0) - room
        self._slots[service] = self._slots.get(service, 0) - slots
        room = usable(state, now)
        service = state.info.service
        slots = 0
        if state.listed and not state.info.leaving:
            slots = state.info.slots
        state.counted = (service, room, slots)
        self._free[service] = self._free.get(service, 0) + room
        self._slots[service] = self._slots.get(service, 0) + slots
        state.version += 1
        if not room:
            return
        heap = self._ready.setdefault(service, [])
        load = state.attempts / state.info.slots
        self._orders += 1
        item = (
            load,
            state.turn,
            state.info.id,
            self._orders,
            state.version,
            state,
        )
        heapq.heappush(heap, item)
        # Outdated items go once they are the majority.
        if len(heap) > 64 + 4 * len(self._states):
            heap[:] = [item for item in heap if item[4] == item[5].version]
            heapq.heapify(heap)

    def _forget(self, state):
        if not state.listed and not state.open:
            if self._states.get(state.info.id) is state:
                del self._states[state.info.id]
