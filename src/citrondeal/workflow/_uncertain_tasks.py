"""Tasks that may run although the owner knows no run of them.

A task is started only when no worker can still run it.  Its own run, in
`TaskState.run`, tells that for one worker.  Others may run it as well: the
records of several workers may list it for a new owner, and a worker may report
a run that the owner does not know.
"""


def find(workers):
    """Return the tasks that a worker may run beside its known runs.

    Such a task is certain again once a report of the worker accounts for it,
    or once its leases have lapsed.

    Parameters
    ----------
    workers : iterable of WorkerState

    Returns
    -------
    set of TaskId
    """
    tasks = set()
    for worker in workers:
        tasks.update(worker.unaccounted_tasks)
        tasks.update(worker.unrecognized_runs)
    return tasks
