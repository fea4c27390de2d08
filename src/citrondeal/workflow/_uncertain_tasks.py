"""Tasks that may run although the owner knows no run of them.

A task is started only when no worker can still run it.  Its own run, in
`TaskState.run`, tells that for one worker.  Others may run it as well: the
records of several workers may list it for a new owner, and a worker may report
a run that the owner does not know.
"""

import itertools


def find(workers):
    """Return the tasks that any of the workers may run beside its known runs.

    Such a task is certain again once a report of the worker accounts for it,
    or once its leases have lapsed.

    Parameters
    ----------
    workers : iterable of WorkerState

    Returns
    -------
    set of TaskId
    """
    return set().union(*(of_worker(worker) for worker in workers))


def of_worker(worker):
    """Return the tasks that one worker may run beside its known runs.

    Returns
    -------
    list of TaskId
        Each task once.
    """
    if not (worker.unrecognized_runs or worker.unaccounted_tasks):
        return []
    both = itertools.chain(worker.unrecognized_runs, worker.unaccounted_tasks)
    return list(dict.fromkeys(both))
