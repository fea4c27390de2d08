"""Progress of runs between reports, and what it says of their end."""

import dataclasses
import math

# A rate is measured over at least this time and this progress, so that the
# time for which a report is on its way does not matter.
MIN_SPAN_S = 0.9
MIN_PERCENT = 2.0
# A long run is measured again after this time, as its worker may change.
REPEAT_S = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class Watch:
    """What the reports of one run have shown.

    Times are on the clock of the worker, so a report that is late or an owner
    that is busy does not look like a slow run.

    Attributes
    ----------
    first_percent, first_s : float
        Progress in the first report, and its time.
    percent, at_s : float
        Progress in the last report, and its time.
    base_percent, base_s : float
        Where the next sample begins.
    samples : int
        Number of samples taken.
    behind : bool
        Whether it was logged that the run is far behind.
    measured : dict
        See `_interference`.
    """

    first_percent: float
    first_s: float
    percent: float
    at_s: float
    base_percent: float
    base_s: float
    samples: int = 0
    behind: bool = False
    measured: dict = dataclasses.field(default_factory=dict)


def begin(percent, clock_s):
    """Return the `Watch` of a run that is listed for the first time."""
    return Watch(percent, clock_s, percent, clock_s, percent, clock_s)


def advance(watch, percent, clock_s):
    """Add a report, and return the rate if a new sample is complete.

    Returns
    -------
    float or None
        Share of the task in a second.
    """
    watch.percent, watch.at_s = percent, clock_s
    span_s = clock_s - watch.base_s
    if span_s < (REPEAT_S if watch.samples else MIN_SPAN_S):
        return None
    return _take(watch, percent, clock_s)


def finish(watch, clock_s):
    """Return the rate up to the end of a run that is done.

    Returns
    -------
    float or None
        Share of the task in a second; None if that is known already, or if
        the run was watched for too short a time.
    """
    if watch.samples or clock_s - watch.base_s < MIN_SPAN_S / 2:
        return None
    return _take(watch, 100.0, clock_s)


def _take(watch, percent, clock_s):
    gained = percent - watch.base_percent
    if gained < MIN_PERCENT:
        return None
    rate = gained / (100.0 * (clock_s - watch.base_s))
    watch.base_percent, watch.base_s = percent, clock_s
    watch.samples += 1
    return rate


def remaining_s(watch):
    """Return the time from the last report to the end of a run.

    Only its progress counts, not its estimate.

    Returns
    -------
    float
        Infinite if it has made no progress yet.
    """
    gained = watch.percent - watch.first_percent
    if gained <= 0.0:
        return math.inf
    return (100.0 - watch.percent) * (watch.at_s - watch.first_s) / gained


def total_s(watch):
    """Return the time for the whole task at the rate seen so far."""
    gained = watch.percent - watch.first_percent
    if gained < MIN_PERCENT:
        return None
    return 100.0 * (watch.at_s - watch.first_s) / gained
