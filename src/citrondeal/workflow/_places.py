"""Choice of workers for the tasks of a step."""

import heapq
import math

# A worker on which a run failed or stood still, or a start went wrong, is the
# last choice for this long.
FAILED_S = 5.0


def suits(step, worker):
    """Return whether a worker of its service may ever run the step."""
    spec = step.spec
    return (
        not spec.label or spec.label in worker.info.labels
    ) and spec.size.fits(worker.info.capacity)


def is_doubtful(worker, now):
    """Return whether runs of a worker have gone wrong of late."""
    return now - worker.failed_at < FAILED_S


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
    heap = [
        (-worker.room(step).millicores, worker.id, worker, place)
        for worker in workers
        if (place := _Place(worker, worker.info.capacity, step)).fits(size)
    ]
    heapq.heapify(heap)
    chosen = []
    for task in tasks:
        if not heap:
            return [] if step.spec.gang else chosen
        room, name, worker, place = heapq.heappop(heap)
        chosen.append((task, worker))
        place.take(size)
        if place.fits(size):
            entry = (room + size.millicores, name, worker, place)
            heapq.heappush(heap, entry)
    return chosen


class _Place:
    """What a worker can still take of a step during one choice."""

    __slots__ = ("worker", "room", "left")

    def __init__(self, worker, room, step):
        self.worker = worker
        self.room = room
        self.left = math.inf
        if step.spec.spread:
            self.left = step.spec.spread - worker.count_of(step)

    def fits(self, size):
        return self.left > 0 and size.fits(self.room)

    def take(self, size):
        self.room = self.room.minus(size)
        self.left -= 1


def _choose(step, tasks, workers, prefers, now):
    size = step.spec.size
    places = [
        place
        for worker in workers
        if (place := _Place(worker, worker.room(step), step)).fits(size)
    ]
    # A chosen worker gets fuller, so it stays the first choice until it has
    # no more room, and the order holds for all tasks.
    places.sort(key=lambda place: _rank(step, place, prefers, now))
    chosen = []
    for task in tasks:
        if not places:
            break
        place = _first(places, task.avoid)
        chosen.append((task, place.worker))
        place.take(size)
        if not place.fits(size):
            places.remove(place)
    return chosen


def _rank(step, place, prefers, now):
    worker = place.worker
    return (
        not prefers(worker),
        is_doubtful(worker, now),
        bool(step.spec.rack) and worker.info.rack != step.spec.rack,
        place.room.millicores,
        worker.id,
    )


def _first(places, avoid):
    for place in places:
        if place.worker.id not in avoid:
            return place
    return places[0]


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
