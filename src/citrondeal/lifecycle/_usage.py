"""Processor time and memory that the process uses."""

import os
import resource

_PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


def usage():
    """Return the processor time and resident memory of this process.

    Returns
    -------
    dict
        ``cpu_s``: processor seconds, user and system, since the start;
        ``rss_bytes``: present resident memory in bytes.
    """
    times = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm") as statm:
        resident = int(statm.read().split()[1]) * _PAGE_SIZE_BYTES
    return {
        "cpu_s": round(times.ru_utime + times.ru_stime, 4),
        "rss_bytes": resident,
    }
