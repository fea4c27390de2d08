"""Use of the room that is kept for a gang, until the gang can start.

A gang that does not fit keeps room on the workers that it waits for.  Tasks
that are expected to end before the last of its places becomes free may use
that room meanwhile, as they delay the gang by nothing.  The method is EASY
backfilling: D. Lifka, "The ANL/IBM SP Scheduling System", 1995.
"""

import collections
import math

# Estimates of run times are off by a factor of nearly 2.
MAX_ESTIMATE_ERROR = 2.0
# Progress below this many per cent says little about the time that is left.
MIN_PERCENT = 10.0


def latest_end(step, now):
    """Return the time by which tasks end that start now.

    Parameters
    ----------
    step : StepState
    now : float

    Returns
    -------
    float
        Infinite if the run time is unknown.
    """
    estimate_s = step.spec.estimate_s
    if not estimate_s:
        return math.inf
    return now + MAX_ESTIMATE_ERROR * estimate_s


def earliest_start(step, chosen, now):
    """Return the time before which a gang cannot start.

    Parameters
    ----------
    step : StepState
    chosen : list of (TaskState, WorkerState)
        Places that it waits for, some of which do not have room yet.
    now : float
    """
    tasks = collections.Counter(worker.id for _, worker in chosen)
    workers = {worker.id: worker for _, worker in chosen}
    return max(
        (_fits_at(step, workers[i], tasks[i], now) for i in workers),
        default=now,
    )


def _fits_at(step, worker, tasks, now):
    """Return when a number of tasks is expected to fit on a worker."""
    free = worker.available(step)
    if step.spec.size.count_in(free) >= tasks:
        return now
    runs = sorted(
        (_remaining_s(run, now), number, run.task.step.spec.size)
        for number, run in enumerate(worker.runs.values())
    )
    fits_at = now
    for remaining_s, _, size in runs:
        free = free.plus(size)
        fits_at = now + remaining_s
        if step.spec.size.count_in(free) >= tasks:
            break
    return fits_at


def _remaining_s(run, now):
    """Return the least time that a run is expected to take from now on."""
    elapsed_s = now - run.ordered_at
    by_estimate_s = max(0.0, run.task.step.spec.estimate_s - elapsed_s)
    if run.percent < MIN_PERCENT:
        return by_estimate_s
    by_progress_s = elapsed_s * (100.0 - run.percent) / run.percent
    return min(by_estimate_s, by_progress_s)
