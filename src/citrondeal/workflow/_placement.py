"""Placement: the choice of workers for the tasks of a step."""

import heapq
import math

from citrondeal.workflow import _estimates
from citrondeal.workflow import _interference
from citrondeal.workflow import _like_speed

# A worker is the last choice for this long after a run on it failed or made no
# progress, or after a start on it went wrong.
FAILED_RECENTLY_S = 5.0
# Workers on which a task takes nearly as long are alike, so the fullest of
# them is chosen.
SLOWNESS_STEP = 0.1


def is_eligible(step, worker):
    """Return whether a worker has the label and the capacity for a task.

    The worker must be one of the service that runs the step.
    """
    spec = step.spec
    return (
        not spec.label or spec.label in worker.info.labels
    ) and spec.size.fits(worker.info.capacity)


def failed_recently(worker, now):
    """Return whether a run or a start on a worker went wrong recently."""
    return now - worker.failed_at < FAILED_RECENTLY_S


def choose(step, tasks, workers, is_preferred, now):
    """Choose workers for as many of the tasks as possible.

    Preferred workers come first. Among these, and among the others, the
    fullest worker on which the task fits comes first, which keeps whole
    workers free for large tasks. Steps that are urgent or long prefer fast
    workers to full ones, and a gang workers of like speed.

    Parameters
    ----------
    step : StepState
    tasks : list of TaskState
    workers : list of WorkerState
        Usable workers that are allowed to run the step.
    is_preferred : callable
        Tells of a worker whether it comes before the others.
    now : float

    Returns
    -------
    list of (TaskState, WorkerState)
    """
    if step.spec.same_rack and not _is_spread(step, now):
        chosen = _choose_in_rack(step, tasks, workers, is_preferred, now)
        if len(chosen) == len(tasks) or not _may_spread(step, now):
            return chosen
    return _choose(step, tasks, workers, is_preferred, now)


def choose_first(step, task, workers, rank, now):
    """Choose the first worker on which one task fits, in the order of a rank.

    Returns
    -------
    list of (TaskState, WorkerState)
        Empty if the task fits on none of the workers.
    """
    for worker in sorted(workers, key=rank):
        chosen = choose(step, [task], [worker], lambda worker: True, now)
        if chosen:
            return chosen
    return []


def choose_to_reserve(step, tasks, workers):
    """Choose workers on which resources are reserved until the tasks fit.

    The workers with the most free resources come first, because these will
    have enough of them soonest.

    Returns
    -------
    list of (TaskState, WorkerState)
        Empty if the tasks of a gang can never run at the same time.
    """
    size = step.spec.size
    heap = [
        (-worker.available(step).millicores, worker.id, worker, candidate)
        for worker in workers
        if (candidate := _Candidate(worker, worker.info.capacity, step)).fits(
            size
        )
    ]
    heapq.heapify(heap)
    chosen = []
    for task in tasks:
        if not heap:
            return [] if step.spec.gang else chosen
        negated_free, name, worker, candidate = heapq.heappop(heap)
        chosen.append((task, worker))
        candidate.take(size)
        if candidate.fits(size):
            entry = (negated_free + size.millicores, name, worker, candidate)
            heapq.heappush(heap, entry)
    return chosen


class _Candidate:
    """Resources of a worker that are left for a step during one choice."""

    __slots__ = ("worker", "available", "tasks_left")

    def __init__(self, worker, available, step):
        self.worker = worker
        self.available = available
        self.tasks_left = math.inf
        if step.spec.spread:
            self.tasks_left = step.spec.spread - worker.run_count(step)

    def fits(self, size):
        return self.tasks_left > 0 and size.fits(self.available)

    def take(self, size):
        self.available = self.available.minus(size)
        self.tasks_left -= 1


def _choose(step, tasks, workers, is_preferred, now):
    chosen = _fill(step, tasks, workers, is_preferred, now)
    if not step.spec.gang or len(chosen) < len(tasks):
        return chosen

    def choose_among(subset):
        return _fill(step, tasks, subset, is_preferred, now)

    def rank_without_room(worker):
        return _rank_without_room(step, worker, is_preferred, now)

    return _like_speed.choose(
        step, chosen, workers, choose_among, rank_without_room
    )


def _fill(step, tasks, workers, is_preferred, now):
    size = step.spec.size
    candidates = [
        candidate
        for worker in workers
        if (
            candidate := _Candidate(worker, worker.available(step), step)
        ).fits(size)
    ]
    # A chosen worker gets fuller and so stays first until no more task fits
    # on it. The candidates therefore need to be sorted only once.
    candidates.sort(
        key=lambda candidate: _rank(step, candidate, is_preferred, now)
    )
    slow_each_other = step.kind in step.partner_costs
    chosen = []
    for task in tasks:
        if not candidates:
            break
        candidate = _first_not_avoided(candidates, task.avoid)
        chosen.append((task, candidate.worker))
        candidate.take(size)
        if not candidate.fits(size):
            candidates.remove(candidate)
        elif slow_each_other:
            candidates.remove(candidate)
            candidates.append(candidate)
    return chosen


def _rank(step, candidate, is_preferred, now):
    worker = candidate.worker
    return (
        *_rank_without_room(step, worker, is_preferred, now),
        _slowness(step, worker),
        candidate.available.millicores,
        worker.id,
    )


def _rank_without_room(step, worker, is_preferred, now):
    return (
        not is_preferred(worker),
        failed_recently(worker, now),
        bool(step.spec.rack) and worker.info.rack != step.spec.rack,
    )


def _slowness(step, worker):
    """Return how much slower a worker is than the usual one, in steps.

    This counts its speed for steps that prefer fast workers, unless the
    slowest member of a gang sets the pace, and the tasks beside which those of
    the step are slower or slow others down.
    """
    slowness = 0.0
    if step.wants_fast and not step.spec.gang:
        slowness -= _estimates.CLASS_WIDTH * worker.speed_class
    if step.partner_costs:
        slowness += _interference.cost_on(step, worker)
    return round(slowness / SLOWNESS_STEP)


def _first_not_avoided(candidates, avoid):
    for candidate in candidates:
        if candidate.worker.id not in avoid:
            return candidate
    return candidates[0]


def _may_spread(step, now):
    """Return whether a step has waited long enough for a single rack."""
    until = step.rack_wait_until
    return until is not None and now >= until


def _is_spread(step, now):
    """Return whether a single rack would be of no use to a step any more.

    Its tasks run on several racks, or will on workers whose tickets are being
    renewed.
    """
    renews = step.reserving and _may_spread(step, now)
    return step.on_several_racks or renews


def _choose_in_rack(step, tasks, workers, is_preferred, now):
    racks = {}
    for worker in workers:
        racks.setdefault(worker.info.rack, []).append(worker)
    running = {task.run.worker for task in step.tasks if task.run is not None}
    best = []
    for rack in sorted(racks):
        rack_workers = racks[rack]
        if running and not running & {w.id for w in rack_workers}:
            continue
        chosen = _choose(step, tasks, rack_workers, is_preferred, now)
        if len(chosen) > len(best):
            best = chosen
    return best
