"""Limits of one job, so that no submission can exhaust its scheduler.

The owner of a cell that ended because of a job would be replaced by one that
recovers the same job.
"""

# The capacity target is 2,900 running tasks in all. An owner needs about
# 0.7 KB of memory for each task.
MAX_TASKS = 5_000
MAX_STEPS = 500
# Entries of `Step.after` in all steps; each planning pass may look at them.
MAX_DEPENDENCIES = 5_000
# A gang has to be complete within three seconds, and the capacity target is
# 320 starts a second.
MAX_GANG_TASKS = 1_000
# A record of the store has 262,144 bytes, of which the key needs some. The
# stored progress has the same limit. It lists the failed and crashed runs of
# each task: 5,000 tasks with four failed runs each fit.
MAX_RECORD_BYTES = 256 * 1024 - 1024
# A stored job may exceed the limits by this factor. Earlier versions accepted
# larger jobs, which have to stay known; an owner can hold one of these.
STORED_FACTOR = 10


class LimitError(ValueError):
    """A job that exceeds one of the limits."""


def check_steps(steps, factor=1):
    """Check the number of steps, dependencies and tasks of a job.

    Parameters
    ----------
    steps : sequence of Step
    factor : int
        The limits are multiplied by it.

    Raises
    ------
    LimitError
        If a limit is exceeded; the message names it.
    """
    tasks = sum(step.tasks for step in steps)
    dependencies = sum(len(step.after) for step in steps)
    _check("steps", len(steps), factor * MAX_STEPS)
    _check("tasks", tasks, factor * MAX_TASKS)
    _check("dependencies", dependencies, factor * MAX_DEPENDENCIES)
    for step in steps:
        if step.gang:
            limit = factor * MAX_GANG_TASKS
            _check("tasks in a gang", step.tasks, limit)


def check_record(data):
    """Check the size of a stored submission.

    Raises
    ------
    LimitError
        If it is larger than a record of the store may be.
    """
    _check("bytes in its stored form", len(data), MAX_RECORD_BYTES)


def _check(name, count, limit):
    if count > limit:
        raise LimitError(
            f"job has {count} {name}; at most {limit} are accepted"
        )
