"""Whether the store is away for this process."""

# A process reads its view of the members at least once in this time.
MAX_READ_AGE_S = 1.3


class StoreOutage:
    """Whether the store has failed an append and served no call since.

    While it lasts, records are only relayed to other members, and refused
    at once if that fails: each append would keep clients waiting and end
    with an unknown outcome. The reads of this process, which go on, show the
    end of the outage.

    Parameters
    ----------
    last_success_age_s : callable
        Returns the seconds since the store last served a call of this
        process.
    """

    def __init__(self, last_success_age_s):
        self._last_success_age_s = last_success_age_s
        self._failed_at = None
        self._began_at = None

    def on_append_failed(self, now):
        """Record that an append of this process has failed."""
        if not self.lasts(now):
            self._began_at = now
        self._failed_at = now

    def lasts(self, now):
        """Return whether no call has been served since the last failure."""
        if self._failed_at is None:
            return False
        return not self.served_since(self._failed_at, now)

    def served_since(self, since, now):
        """Return whether the store has served a call since a time."""
        return self._last_success_age_s() < now - since

    def served_lately(self):
        """Return whether the store serves the reads of this process."""
        return self._last_success_age_s() < MAX_READ_AGE_S

    def remaining_s(self, now):
        """Return the seconds that the outage is expected to last."""
        return now - self._began_at if self.lasts(now) else 0.0
