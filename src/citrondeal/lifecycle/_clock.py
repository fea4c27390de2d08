"""Clock for ages, leases and timeouts; it also counts while suspended."""

import time


def boot_time_s():
    """Return the seconds since boot, with the time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
