"""Estimates of service times and rates; retry budget."""

import math

# Estimate before the first observation, microseconds.
INITIAL_US = 100_000
# Weight of one observation is 1 / MEMORY: about the last 64 requests count.
MEMORY = 64
# Observations are cut at this multiple of the estimate.  Service times have
# heavy tails; an uncut outlier would displace the estimate of ordinary
# requests for the next MEMORY requests.
CUT = 16
# Time constant of the dispatch rate, seconds: long against one service
# time, short against the default deadline.
RATE_TIME_S = 2.0


class ServiceTime:
    """Moving mean of service times in whole microseconds."""

    def __init__(self):
        self.us = INITIAL_US
        self._seen = 0

    def observe(self, us):
        """Add one service time.

        The weight is 1/n for the first `MEMORY` observations, so that the
        initial value disappears at once.
        """
        self._seen = min(MEMORY, self._seen + 1)
        if self._seen > 1:
            us = min(us, CUT * self.us)
        self.us = max(1, self.us + (us - self.us) // self._seen)


class Rate:
    """Exponentially weighted rate of events per second."""

    def __init__(self):
        self._value = 0.0
        self._at = None

    def observe(self, now):
        """Count one event."""
        self._value = self.value(now) + 1.0 / RATE_TIME_S
        self._at = now

    def value(self, now):
        """Return events per second at `now`."""
        if self._at is None:
            return 0.0
        return self._value * math.exp((self._at - now) / RATE_TIME_S)


class RetryBudget:
    """Token bucket that successes and time fill.

    Parameters
    ----------
    config : ServiceConfig
        Ratio, minimum rate and burst.
    now : float
        Monotonic seconds.
    """

    def __init__(self, config, now):
        self.config = config
        self._tokens = 1.0
        self._at = now

    def _fill(self, tokens):
        self._tokens = min(self.config.retry_burst, self._tokens + tokens)

    def success(self):
        """Count one success."""
        self._fill(self.config.retry_ratio)

    def draw(self, now):
        """Return whether one retry may be sent, and count it."""
        self._fill(self.config.retry_min_per_s * max(0.0, now - self._at))
        self._at = max(self._at, now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
