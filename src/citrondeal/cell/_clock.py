"""Clock for leases and timeouts; it also counts while suspended."""

import time


def now():
    """Return the seconds since boot, with the time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
