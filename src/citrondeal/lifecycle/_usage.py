"""Resources that a process uses."""

import os
import resource

_PAGE = os.sysconf("SC_PAGE_SIZE")  # bytes


def usage():
    """Return processor seconds and memory of this process.

    Returns
    -------
    dict
        ``cpu_s`` in seconds since the start, ``rss_bytes`` now.
    """
    times = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm") as statm:
        resident = int(statm.read().split()[1]) * _PAGE
    return {
        "cpu_s": round(times.ru_utime + times.ru_stime, 4),
        "rss_bytes": resident,
    }
