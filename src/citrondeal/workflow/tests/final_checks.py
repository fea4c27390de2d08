"""Checks of the jobs at the end of a simulation."""

from citrondeal import workflow
from citrondeal.workflow.tests import invariants


def check(simulation):
    """Check the final state of each job.

    Parameters
    ----------
    simulation : Simulation

    Raises
    ------
    InvariantViolation
    """
    for job in simulation.jobs:
        state = simulation.owner.scheduler.jobs[job].state
        if job in simulation.cancelled_at:
            if not simulation.owner.scheduler.jobs[job].ended:
                raise invariants.InvariantViolation(
                    f"cancelled job {job} is {state}"
                )
            continue
        if job in simulation.deadly and state is not workflow.JobState.FAILED:
            raise invariants.InvariantViolation(
                f"job {job} with a deadly task: {state}"
            )
        if state is workflow.JobState.COMPLETED:
            for number, step in enumerate(simulation.jobs[job].steps):
                for index in range(step.tasks):
                    task_id = workflow.TaskId(job, 0, number, index)
                    if not simulation.done[task_id]:
                        raise invariants.InvariantViolation(
                            f"{task_id} was never done"
                        )
        elif state is not workflow.JobState.FAILED:
            raise invariants.InvariantViolation(
                f"job {job} is {state} at the end"
            )
        elif not simulation.may_fail(job):
            raise invariants.InvariantViolation(
                f"job {job} failed without a cause"
            )


def may_fail(simulation, job):
    """Return whether a task of a job failed too often or is deadly."""
    limit = simulation.jobs[job].policy.max_attempts
    if job in simulation.deadly or any(
        len(numbers) >= limit
        for task, numbers in simulation.failed_numbers.items()
        if task.job == job
    ):
        return True
    # A task under which two runs have crashed may be given up.  It is if
    # no evidence clears it: it was alone on a worker that restarted by
    # chance, it may have crashed under an earlier owner as well, or it
    # had one crash more beside other tasks.
    known = invariants.MAX_CRASHES + (job not in simulation.recovered)
    return any(
        len(numbers)
        >= (invariants.MAX_CRASHES if task in simulation.lost_alone else known)
        for task, numbers in simulation.lost_runs.items()
        if task.job == job
    )
