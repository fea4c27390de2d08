"""Slots and connections of the endpoints that this gateway holds."""

import heapq

from citrondeal.routing import _model


class _State:
    """One endpoint with its attempts."""

    __slots__ = (
        "attempts",
        "failures",
        "idle",
        "info",
        "listed",
        "open",
        "probing",
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
        self.retry_at = None
        self.probing = False
        self.turn = 0
        self.version = 0


class _Attempt:
    """One attempt, which holds one slot and one connection."""

    __slots__ = ("resolved", "started", "state")

    def __init__(self, state, started):
        self.state = state
        self.started = started
        self.resolved = False


class Endpoints:
    """Accounts of slots and connections.

    An attempt holds its slot and connection until its outcome is known, or,
    if that is unknown, until ``attempt_timeout_s`` after its start.
    """

    def __init__(self, config):
        self._config = config
        self._states = {}
        self._attempts = {}
        # By service: heap of (part of slots in use, turn, version, state).
        self._ready = {}
        # (time, order, action) for slots and endpoints that become free.
        self._timers = []
        self._orders = 0
        self._free = {}

    def update(self, endpoints, now):
        """Replace the list of endpoints; attempts continue."""
        self.advance(now)
        listed = {info.id: info for info in endpoints}
        for name, state in list(self._states.items()):
            if name not in listed:
                self._change(state, lambda s: setattr(s, "listed", False))
                self._forget(state)
        for name, info in listed.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = _State(info)
                state.listed = False
            service = state.info.service
            if service != info.service and state.attempts:
                # Its slots are still counted for the previous service.
                info = state.info

            def adopt(s, info=info):
                s.info = info
                s.listed = True

            self._change(state, adopt)
            if info.occupied_until > now:
                self._at(info.occupied_until, state)

    def slots(self, service):
        """Slots of listed endpoints that are not leaving."""
        return sum(
            s.info.slots
            for s in self._states.values()
            if s.listed and not s.info.leaving and s.info.service == service
        )

    def free(self, service, now):
        """Free slots that can be used at once."""
        self.advance(now)
        return self._free.get(service, 0)

    def choose(self, service, now):
        """Return the least loaded usable endpoint as `Own`, or None."""
        self.advance(now)
        heap = self._ready.get(service)
        while heap:
            _, _, version, state = heap[0]
            if version == state.version:
                return _model.Own(state.info.id, state.idle == 0)
            heapq.heappop(heap)
        return None

    def start(self, key, endpoint, now):
        """Occupy a slot and a connection for an attempt.

        Raises
        ------
        ValueError
            If the endpoint cannot take it or the key is in use.
        """
        self.advance(now)
        state = self._states.get(endpoint)
        if state is None or key in self._attempts or not _room(state, now):
            raise ValueError("the endpoint cannot take this attempt")
        self._attempts[key] = _Attempt(state, now)

        def occupy(s):
            s.attempts += 1
            if s.idle:
                s.idle -= 1
            else:
                s.open += 1
            s.probing = s.retry_at is not None
            self._orders += 1
            s.turn = self._orders

        self._change(state, occupy)

    def finish(self, key, outcome, keep_connection, now):
        """End an attempt; returns False if it had ended already."""
        self.advance(now)
        attempt = self._attempts.get(key)
        if attempt is None or attempt.resolved:
            return False
        state = attempt.state
        if outcome is _model.Outcome.UNKNOWN:
            until = attempt.started + self._config.attempt_timeout_s
            attempt.resolved = True
            self._change(state, lambda s: self._note(s, outcome, now))
            if until > now:
                self._at(until, key)
                return True
        else:
            self._change(state, lambda s: self._note(s, outcome, now))
        keep = keep_connection and outcome is not _model.Outcome.UNKNOWN
        self._free_attempt(key, keep)
        return True

    def connection_closed(self, endpoint):
        """Note that an idle connection was closed."""
        state = self._states.get(endpoint)
        if state is None or not state.idle:
            raise ValueError("no idle connection is open")

        def drop(s):
            s.idle -= 1
            s.open -= 1

        self._change(state, drop)
        self._forget(state)

    def advance(self, now):
        """Free what has become free by `now`."""
        while self._timers and self._timers[0][0] <= now:
            _, _, item = heapq.heappop(self._timers)
            if isinstance(item, _State):
                self._change(item, lambda s: None)
            else:
                self._free_attempt(item, False)

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
                "leaving": s.info.leaving,
                "listed": s.listed,
            }
            for name, s in self._states.items()
        }

    def _at(self, when, item):
        self._orders += 1
        heapq.heappush(self._timers, (when, self._orders, item))

    def _note(self, state, outcome, now):
        """Count successes and failures of an endpoint."""
        if outcome is _model.Outcome.DONE:
            state.failures = 0
            state.retry_at = None
            state.probing = False
            return
        state.failures += 1
        late = state.failures - self._config.fail_threshold
        if late >= 0 and (state.retry_at is None or state.probing):
            pause = self._config.probe_min_s * 2 ** min(late, 16)
            state.retry_at = now + min(pause, self._config.probe_max_s)
            self._at(state.retry_at, state)
        state.probing = False

    def _free_attempt(self, key, keep_connection):
        state = self._attempts.pop(key).state

        def vacate(s):
            s.attempts -= 1
            if keep_connection:
                s.idle += 1
            else:
                s.open -= 1

        self._change(state, vacate)
        self._forget(state)

    def _change(self, state, change):
        """Apply a change and keep free slots and the heap in step."""
        now = self._now_of(state)
        del now
        change(state)
        raise NotImplementedError
