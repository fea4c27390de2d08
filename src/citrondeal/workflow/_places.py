"""Choice of workers for the tasks of a step."""

# A worker on which a run failed or a start went wrong is the last choice
# for this long.
FAILED_S = 5.0


def suits(step, worker):
    """Return whether a worker may ever run a task of the step."""
    spec = step.spec
    return (
        worker.info.service == step.job.policy.service
        and (not spec.label or spec.label in worker.info.labels)
        and spec.size.fits(worker.info.capacity)
    )


def choose(step, tasks, workers, prefers, now):
    """Choose a worker for each task, as many tasks as possible.

    Of the preferred workers, and then of the others, the fullest that still
    has room comes first, which keeps whole workers free for tasks that need
    much.

    Parameters
    ----------
    step : StepState
    tasks : list of TaskState
    workers : list of WorkerState
        Usable workers that are allowed to run the step.
    prefers : callable
        Whether a worker comes before the others.
    now : float

    Returns
    -------
    list of (TaskState, WorkerState)
    """
    if step.spec.same_rack:
        return _choose_in_rack(step, tasks, workers, prefers, now)
    return _choose(step, tasks, workers, prefers, now)


def earmark(step, tasks, workers):
    """Choose workers on which room is to be kept until the tasks fit.

    The workers with most room come first, as these will be free first.

    Returns
    -------
    list of (TaskState, WorkerState)
        Empty if the tasks of a gang can never run at the same time.
    """
    size = step.spec.size
    room = {w.id: w.room(step) for w in workers}
    left = {w.id: w.info.capacity for w in workers}
    counts = {w.id: w.count_of(step) for w in workers}
    chosen = []
    for task in tasks:
        fitting = [
            w
            for w in workers
            if size.fits(left[w.id])
            and not (step.spec.spread and counts[w.id] >= step.spec.spread)
        ]
        if not fitting:
            return [] if step.spec.gang else chosen
        best = max(fitting, key=lambda w: (room[w.id].millicores, w.id))
        room[best.id] = room[best.id].minus(size)
        left[best.id] = left[best.id].minus(size)
        counts[best.id] += 1
        chosen.append((task, best))
    return chosen


def _choose(step, tasks, workers, prefers, now):
    room = {w.id: w.room(step) for w in workers}
    size = step.spec.size
    fitting = [w for w in workers if size.fits(room[w.id])]
    if not fitting:
        return []
    counts = {w.id: w.count_of(step) for w in fitting}
    preferred = {w.id: prefers(w) for w in fitting}
    chosen = []
    for task in tasks:
        best = None
        best_rank = None
        for worker in fitting:
            free = room[worker.id]
            if not size.fits(free):
                continue
            if step.spec.spread and counts[worker.id] >= step.spec.spread:
                continue
            rank = (
                worker.id in task.avoid,
                not preferred[worker.id],
                now - worker.failed_at < FAILED_S,
                bool(step.spec.rack) and worker.info.rack != step.spec.rack,
                free.millicores,
                worker.id,
            )
            if best is None or rank < best_rank:
                best, best_rank = worker, rank
        if best is None:
            break
        room[best.id] = room[best.id].minus(size)
        counts[best.id] += 1
        chosen.append((task, best))
    return chosen


def _choose_in_rack(step, tasks, workers, prefers, now):
    racks = {}
    for worker in workers:
        racks.setdefault(worker.info.rack, []).append(worker)
    running = {task.run.worker for task in step.tasks if task.run is not None}
    best = []
    for rack in sorted(racks):
        members = racks[rack]
        if running and not running & {w.id for w in members}:
            continue
        chosen = _choose(step, tasks, members, prefers, now)
        if len(chosen) > len(best):
            best = chosen
    return best
