"""Estimates of service times and event rates, and the retry budget."""

import math

# Estimate before the first observation.
INITIAL_SERVICE_TIME_US = 100_000
# The weight of one observation is 1 / SAMPLE_WINDOW, so that about the last
# 64 requests determine the mean.
SAMPLE_WINDOW = 64
# Observations are limited to this multiple of the mean.  Service times have
# heavy tails; an unlimited outlier would distort the estimate for ordinary
# requests during the next SAMPLE_WINDOW requests.
OUTLIER_FACTOR = 16
# Long compared with one service time, short compared with the default
# deadline of a request.
RATE_TIME_CONSTANT_S = 2.0


class ServiceTime:
    """Moving mean of service times in whole microseconds."""

    def __init__(self):
        self.mean_us = INITIAL_SERVICE_TIME_US
        self._sample_count = 0

    def observe(self, us):
        """Add one service time in microseconds.

        The n-th of the first `SAMPLE_WINDOW` observations has the weight
        1/n, so that the first one replaces the initial value.
        """
        self._sample_count = min(SAMPLE_WINDOW, self._sample_count + 1)
        if self._sample_count > 1:
            us = min(us, OUTLIER_FACTOR * self.mean_us)
        self.mean_us = max(
            1, self.mean_us + (us - self.mean_us) // self._sample_count
        )


class Rate:
    """Exponentially weighted rate of events per second."""

    def __init__(self):
        self._value = 0.0
        self._updated_at = None

    def observe(self, now):
        """Count one event."""
        self._value = self.value(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._updated_at = now

    def value(self, now):
        """Return the events per second, decayed to the time `now`."""
        if self._updated_at is None:
            return 0.0
        return self._value * math.exp(
            (self._updated_at - now) / RATE_TIME_CONSTANT_S
        )


class RetryBudget:
    """Token bucket for retries, filled by successful requests and by time.

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
        self._updated_at = now

    def _add_tokens(self, tokens):
        self._tokens = min(self.config.retry_burst, self._tokens + tokens)

    def record_success(self):
        """Add the part of a token that one successful request earns."""
        self._add_tokens(self.config.retry_ratio)

    def try_acquire(self, now):
        """Take the token for one retry; return False if there is none."""
        self._add_tokens(
            self.config.retry_min_per_s * max(0.0, now - self._updated_at)
        )
        self._updated_at = max(self._updated_at, now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
