"""Quarantine of workers on which tasks of unrelated job families fail.

The failure score of a worker sums over the families that failed on it since
its last success.  A family that has succeeded before and fails on no other
worker counts 1, and 1/4 more for each further failure.  A family that never
succeeded, or that fails on other workers too, counts 1/2 once, since the job
may be the cause.  The state is kept in `_index.Worker`.
"""

# Failure score at which a worker is quarantined: two families that count 1,
# or four that count 1/2.
QUARANTINE_SCORE = 2.0
_REPEAT_SCORE = 0.25
# A trial task that runs for this long counts as a success, since workers
# that fail every task do so soon after the start.
TRIAL_SUCCESS_S = 30.0
# Failed families that are counted per worker.
_MAX_FAILED_FAMILIES = 16


def failure_score(worker, families):
    """Return the failure score of a worker."""
    total = 0.0
    for name, count in worker.failures.items():
        family = families.get(name)
        elsewhere = any(other != worker.name for other in family.failed_on)
        if family.succeeded and not elsewhere:
            total += 1.0 + _REPEAT_SCORE * (count - 1)
        else:
            total += 0.5
    return total


def may_start(worker):
    """Return whether a worker may get tasks other than probes.

    A suspect worker, on which a family failed that fails on no other worker,
    gets one task at a time until one succeeds.
    """
    if not worker.schedulable or worker.quarantined_until is not None:
        return False
    return not (worker.suspect and worker.trial_task is not None)


def may_probe(worker, now):
    """Return whether a quarantined worker may get one task as a probe."""
    return (
        worker.schedulable
        and worker.quarantined_until is not None
        and worker.trial_task is None
        and now >= worker.quarantined_until
    )


def record_failure(worker, family, families, config, may_quarantine, now):
    """Count a failure and return whether the worker is quarantined.

    Parameters
    ----------
    worker : Worker
        Worker on which the task failed.
    family : str
        Family of the job.
    families : FamilyTable
        Estimates, with this failure already recorded.
    config : Config
        Durations of the quarantine.
    may_quarantine : bool
        Whether one more worker may be quarantined.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        True also if the worker was in quarantine before.
    """
    count = worker.failures.get(family, 0)
    if count or len(worker.failures) < _MAX_FAILED_FAMILIES:
        worker.failures[family] = count + 1
    failed_on = families.get(family).failed_on
    if not any(other != worker.name for other in failed_on):
        worker.suspect = True
    if worker.quarantined_until is not None:
        worker.quarantine_s = min(
            worker.quarantine_s * 2, config.max_quarantine_s
        )
        worker.quarantined_until = now + worker.quarantine_s
    elif (
        may_quarantine and failure_score(worker, families) >= QUARANTINE_SCORE
    ):
        worker.quarantine_s = config.initial_quarantine_s
        worker.quarantined_until = now + worker.quarantine_s
    return worker.quarantined_until is not None


def record_success(worker):
    """Clear the failures of a worker and end its quarantine."""
    worker.failures.clear()
    worker.suspect = False
    worker.quarantine_s = 0.0
    worker.quarantined_until = None
