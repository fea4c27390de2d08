"""The clock of decisions: it counts the time of a suspension."""

import time


def now():
    """Return seconds since the start of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
