"""Order in which the steps of jobs are planned."""

import enum

# Share of its estimated run time that a job needs at least.
MIN_RUN_TIME_SHARE = 0.5


class Precedence(enum.IntEnum):
    """Classes of jobs, in the order in which their steps are planned.

    A job is late if it can no longer meet its objective, and useless if its
    result is of no more use. An excess job exceeds the rate of its account.
    """

    IN_TIME = 0
    LATE = 1
    EXCESS = 2
    LATE_EXCESS = 3
    USELESS = 4


def precedence(step, now):
    """Return the `Precedence` of the job of a step."""
    job = step.job
    earliest_end = now + MIN_RUN_TIME_SHARE * step.remaining_s
    if earliest_end > job.useless_at:
        return Precedence.USELESS
    if earliest_end > job.due_at:
        return Precedence.LATE_EXCESS if job.excess else Precedence.LATE
    return Precedence.EXCESS if job.excess else Precedence.IN_TIME


def urgency(step, now):
    """Return the sort key of a step; the lowest one is the most urgent.

    Steps are ordered by the precedence of their jobs, and those of jobs that
    can still meet their objective then by priority.
    """
    job = step.job
    own = precedence(step, now)
    in_time = own in (Precedence.IN_TIME, Precedence.EXCESS)
    return (
        own,
        job.policy.priority if in_time else 0,
        job.due_at - step.remaining_s,
        job.offset,
        step.id.step,
    )


def is_low(step, now):
    """Return whether room is kept from a step for gangs that are in time."""
    return precedence(step, now) >= Precedence.EXCESS
