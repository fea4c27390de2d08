"""Slot and connection accounting of the endpoints that this gateway holds."""

import dataclasses
import heapq

from citrondeal.routing import _model


class _EndpointState:
    """Use of one endpoint by this gateway."""

    __slots__ = (
        "attempts",
        "counted_totals",
        "failures",
        "idle_connections",
        "endpoint",
        "listed",
        "open_connections",
        "probe_key",
        "probe_at",
        "last_used",
        "version",
    )

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.listed = True
        self.attempts = 0
        self.open_connections = 0
        self.idle_connections = 0
        self.failures = 0
        # While the endpoint is avoided after failures: time from which it may
        # be probed, and key of the attempt that is the current probe.
        self.probe_at = None
        self.probe_key = None
        self.last_used = 0
        self.version = 0
        # (service, available slots, all slots) as included in the totals of
        # `Endpoints`.
        self.counted_totals = (endpoint.service, 0, 0)


class _Attempt:
    """One attempt, which occupies one slot and one connection.

    `ended` is set once its outcome was reported, even as unknown.
    """

    __slots__ = ("ended", "started", "state")

    def __init__(self, state, started):
        self.state = state
        self.started = started
        self.ended = False


def available_slots(state, now):
    """Return the number of attempts that the endpoint can start now."""
    endpoint = state.endpoint
    if not state.listed or endpoint.leaving or endpoint.occupied_until > now:
        return 0
    available = min(
        endpoint.slots - state.attempts,
        endpoint.connections - state.open_connections + state.idle_connections,
    )
    if state.probe_at is not None:
        if state.probe_at > now or state.probe_key is not None:
            return 0
        available = min(available, 1)
    return max(0, available)


class Endpoints:
    """Occupied slots and connections of all held endpoints.

    An attempt occupies its slot and connection until it ends or, if its
    outcome is unknown, until ``attempt_timeout_s`` after its start.

    Parameters
    ----------
    config : Config
        Settings of routing.
    """

    def __init__(self, config):
        self._config = config
        self._states = {}
        self._attempts = {}
        # Available endpoints by service: heap of (part of the slots in use,
        # last use, id, sequence number, version, state).  An item is outdated
        # if its version is not that of the state.
        self._ready_heaps = {}
        # Available slots and all slots by service.
        self._free_totals = {}
        self._slot_totals = {}
        # Heap of (time, sequence number, item): at that time the state of an
        # endpoint changes, or the slot of an attempt with unknown outcome,
        # given by its key, becomes free.
        self._timers = []
        self._sequence = 0

    def configure(self, config):
        """Replace the settings."""
        self._config = config

    def update(self, endpoints, now):
        """Replace the list of endpoints; attempts in progress continue."""
        self.advance(now)
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for name, state in list(self._states.items()):
            if name not in listed:
                state.listed = False
                self._refresh(state, now)
                self._delete_if_unused(state)
        for name, endpoint in listed.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = _EndpointState(endpoint)
                previous_until = 0.0
            else:
                previous_until = state.endpoint.occupied_until
                if state.attempts:
                    # Its slots are still counted for the previous service.
                    endpoint = dataclasses.replace(
                        endpoint, service=state.endpoint.service
                    )
            state.endpoint = endpoint
            state.listed = True
            if (
                endpoint.occupied_until > now
                and endpoint.occupied_until != previous_until
            ):
                self._schedule(endpoint.occupied_until, state)
            self._refresh(state, now)

    def slots(self, service):
        """Return the slots of listed endpoints that are not leaving."""
        return self._slot_totals.get(service, 0)

    def free_slots(self, service, now):
        """Return the number of slots that can be used at once."""
        self.advance(now)
        return self._free_totals.get(service, 0)

    def choose(self, service, now):
        """Return the least loaded available `LocalEndpoint`, or None."""
        self.advance(now)
        heap = self._ready_heaps.get(service)
        while heap:
            *_, version, state = heap[0]
            if version == state.version:
                return _model.LocalEndpoint(
                    state.endpoint.id, state.idle_connections == 0
                )
            heapq.heappop(heap)
        return None

    def start(self, key, endpoint, now):
        """Occupy a slot and a connection for an attempt."""
        self.advance(now)
        state = self._states.get(endpoint)
        if state is None or not available_slots(state, now):
            raise ValueError(
                f"endpoint {endpoint!r} is unknown or cannot take an attempt"
            )
        if key in self._attempts:
            raise ValueError(f"attempt key {key!r} is already in use")
        self._attempts[key] = _Attempt(state, now)
        state.attempts += 1
        if state.idle_connections:
            state.idle_connections -= 1
        else:
            state.open_connections += 1
        if state.probe_at is not None:
            state.probe_key = key
        self._sequence += 1
        state.last_used = self._sequence
        self._refresh(state, now)

    def finish(self, key, outcome, keep_connection, now):
        """End an attempt; return False if it is unknown or had ended."""
        self.advance(now)
        attempt = self._attempts.get(key)
        if attempt is None or attempt.ended:
            return False
        attempt.ended = True
        self._record_outcome(attempt.state, key, outcome, now)
        if outcome is _model.Outcome.UNKNOWN:
            keep_connection = False
            until = attempt.started + self._config.attempt_timeout_s
            if until > now:
                self._schedule(until, key)
                self._refresh(attempt.state, now)
                return True
        self._release(key, keep_connection, now)
        return True

    def connection_closed(self, endpoint, now):
        """Record that an idle connection was closed."""
        state = self._states.get(endpoint)
        if state is None or not state.idle_connections:
            raise ValueError(
                f"endpoint {endpoint!r} has no idle connection to close"
            )
        state.idle_connections -= 1
        state.open_connections -= 1
        self._refresh(state, now)
        self._delete_if_unused(state)

    def advance(self, now):
        """Free the slots and endpoints that become available by `now`."""
        while self._timers and self._timers[0][0] <= now:
            _, _, item = heapq.heappop(self._timers)
            if isinstance(item, _EndpointState):
                self._refresh(item, now)
            else:
                self._release(item, False, now)

    def next_change(self):
        """Return the monotonic time of the next `advance`, or None."""
        return self._timers[0][0] if self._timers else None

    def dump(self):
        """Return a JSON-ready dict by endpoint."""
        return {
            name: {
                "attempts": s.attempts,
                "open": s.open_connections,
                "idle": s.idle_connections,
                "failures": s.failures,
                "avoided": s.probe_at is not None,
                "leaving": s.endpoint.leaving,
                "listed": s.listed,
            }
            for name, s in self._states.items()
        }

    def _schedule(self, when, item):
        self._sequence += 1
        heapq.heappush(self._timers, (when, self._sequence, item))

    def _record_outcome(self, state, key, outcome, now):
        """Count consecutive failures and schedule the next probe."""
        was_probe = state.probe_key == key
        if was_probe:
            state.probe_key = None
        if outcome is _model.Outcome.DONE:
            state.failures = 0
            state.probe_at = None
            state.probe_key = None
            return
        state.failures += 1
        excess_failures = state.failures - self._config.failure_threshold
        if excess_failures >= 0 and (state.probe_at is None or was_probe):
            backoff_s = self._config.probe_min_s * 2 ** min(
                excess_failures, 16
            )
            state.probe_at = now + min(backoff_s, self._config.probe_max_s)
            self._schedule(state.probe_at, state)

    def _release(self, key, keep_connection, now):
        state = self._attempts.pop(key).state
        state.attempts -= 1
        if keep_connection:
            state.idle_connections += 1
        else:
            state.open_connections -= 1
        self._refresh(state, now)
        self._delete_if_unused(state)

    def _refresh(self, state, now):
        """Update the totals and the heap of the service of an endpoint."""
        service, available, slots = state.counted_totals
        self._free_totals[service] = (
            self._free_totals.get(service, 0) - available
        )
        self._slot_totals[service] = self._slot_totals.get(service, 0) - slots
        available = available_slots(state, now)
        service = state.endpoint.service
        slots = 0
        if state.listed and not state.endpoint.leaving:
            slots = state.endpoint.slots
        state.counted_totals = (service, available, slots)
        self._free_totals[service] = (
            self._free_totals.get(service, 0) + available
        )
        self._slot_totals[service] = self._slot_totals.get(service, 0) + slots
        state.version += 1
        if not available:
            return
        heap = self._ready_heaps.setdefault(service, [])
        load = state.attempts / state.endpoint.slots
        self._sequence += 1
        item = (
            load,
            state.last_used,
            state.endpoint.id,
            self._sequence,
            state.version,
            state,
        )
        heapq.heappush(heap, item)
        # Remove outdated items once they are the majority.
        if len(heap) > 64 + 4 * len(self._states):
            heap[:] = [item for item in heap if item[4] == item[5].version]
            heapq.heapify(heap)

    def _delete_if_unused(self, state):
        if not state.listed and not state.open_connections:
            if self._states.get(state.endpoint.id) is state:
                del self._states[state.endpoint.id]
