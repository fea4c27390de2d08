"""State of one service of a gateway: settings, slots, classes, estimates."""

from citrondeal.admission import _estimate
from citrondeal.admission import _fair
from citrondeal.admission import _model
from citrondeal.admission import _shares


class ServiceState:
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

    def reconfigure(self, config, unit_limit, now):
        """Change the settings; queued and dispatched requests are kept."""
        self.advance(now)
        self.unit_limit = unit_limit
        self.config = self.retry_budget.config = config
        for class_state, share in zip(
            self.classes, config.shares, strict=True
        ):
            class_state.share = share
            class_state.queue.weights = config.team_weights

    def advance(self, now):
        """Integrate the credits of the classes up to now."""
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

    def remaining_s(self, request, now):
        """Return for how long a new request may wait, in seconds."""
        remaining = self.config.wait_limit_s
        if request.deadline is not None:
            remaining = min(remaining, request.deadline - now)
        return remaining

    def choose(self, free, now):
        """Return the class that gets the next of the free slots, or None."""
        if free < 1:
            return None
        return _shares.choose(
            self.classes, self.slots, self.reserved(now), free
        )

    def excess(self, class_state):
        """Return the queued units of a class beyond its share of the queue."""
        return class_state.queue.units - int(
            class_state.share * self.unit_limit
        )

    def dump(self):
        """Return a JSON-ready summary of bounded size."""
        return {
            "slots": self.slots,
            "units": self.units,
            "service_time_us": self.service_time.mean_us,
            "classes": {
                class_state.name: {
                    "queued": class_state.queue.count,
                    "running": class_state.running,
                    "remote": class_state.remote,
                }
                for class_state in self.classes
            },
        }
