"""States of tasks, for status replies and the state dump."""

from citrondeal.jobs import _job


def task_states(state, job, limit):
    """Return the states of the first tasks of a job, ready for JSON.

    Parameters
    ----------
    state : OwnerState
    job : Job
    limit : int
        Number of tasks.

    Returns
    -------
    list of dict
    """
    tasks = []
    for index, code in enumerate(job.outcomes[:limit]):
        assignment = state.assigned.get((job.id, index))
        phase = _job.OUTCOMES[chr(code)]
        if assignment is not None:
            phase = "stopping" if assignment.stop_order else assignment.phase
            if not state.should_run(assignment):
                phase = "stopping"
        elif phase == "open":
            phase = "cancelled" if job.cancelled else "waiting"
        tasks.append(
            {
                "index": index,
                "state": phase,
                "task": assignment.task if assignment else None,
                "worker": assignment.worker.info.name if assignment else None,
                "failures": job.failures.get(index, 0),
                "crashes": _counted_crashes(job, index),
            }
        )
    return tasks


def dump(state):
    """Return the state for the state dump, bounded in size."""
    return {
        "owned": state.owned,
        "epoch": state.epoch,
        "caught_up": state.caught_up,
        "released": state.recovered,
        "workers": len(state.workers),
        "answering": sum(w.answering for w in state.workers.values()),
        "places": sum(len(w.assignments) for w in state.workers.values()),
        "unrecorded": len(state.unrecorded_ends),
        "book": state.job_table.dump(),
        "pool": state.pool.dump(),
        "crashes": state.crashes.dump() | state.isolation.dump(),
    }


def _counted_crashes(job, index):
    crashes = job.crashes.get(index)
    return 0 if crashes is None else crashes.counted
