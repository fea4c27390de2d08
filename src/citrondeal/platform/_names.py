"""Names of tasks and steps in the platform's requests and answers."""

from citrondeal import workflow


def task_name(task):
    """Return the wire name of a `workflow.TaskId`."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_name(name):
    """Return the `workflow.TaskId` of a wire name.

    Raises
    ------
    ValueError
        If `name` is not the wire name of a task.
    """
    job, occurrence, step, index = name.split(".")
    return workflow.TaskId(job, int(occurrence), int(step), int(index))


def step_name(step):
    """Return the wire name of a `workflow.StepId`."""
    return f"{step.job}.{step.occurrence}.{step.step}"
