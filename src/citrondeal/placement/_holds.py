"""Room that is held for one job: reservations and preemptions."""

from citrondeal.placement import _families
from citrondeal.placement import _health
from citrondeal.placement import _index
from citrondeal.placement import _model

STAGES = ("checkpoint", "throttle", "stop")


class Hold:
    """Room that is held on some workers for one job.

    `shadow` is the time at which the room is expected to be free; for a
    preemption it is None, and `victims` are the allotments that have to
    give way.
    """

    __slots__ = (
        "amounts",
        "job",
        "shadow",
        "stage",
        "stage_at",
        "until",
        "victims",
    )

    def __init__(self, job, until, shadow=None):
        self.job = job
        self.amounts = {}
        self.until = until
        self.shadow = shadow
        self.victims = {}
        self.stage = 0
        self.stage_at = 0.0


def plan_reservation(workers, families, work, count, avoid, now):
    """Return where and when `count` tasks are expected to fit.

    Parameters
    ----------
    workers : iterable of Worker
        All workers of the pool.
    families : Families
        Estimates of run times.
    work : Work
        The job.
    count : int
        Number of tasks that are to start together.
    avoid : collection of str
        Workers that are not used.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of (dict, float) or None
        Room by worker name, and the time; None if it cannot be told.
    """
    slots = []
    for worker in workers:
        if not _health.may_start(worker) or worker.name in avoid:
            continue
        room = worker.room
        have = max(_model.copies(work.size, room, count), 0)
        slots.extend([(now, worker.name)] * have)
        if have >= count:
            continue
        ends = []
        for allotment in worker.allotted.values():
            end = expected_end(allotment, families, now)
            if end is not None:
                ends.append((end, allotment.size))
        for end, size in sorted(ends):
            room = _model.plus(room, size)
            more = _model.copies(work.size, room, count)
            if more > have:
                slots.extend([(end, worker.name)] * (more - have))
                have = more
    if len(slots) < count:
        return None
    slots.sort()
    amounts = {}
    for _, name in slots[:count]:
        amount = amounts.get(name, _index.ZERO)
        amounts[name] = _model.plus(amount, work.size)
    return amounts, slots[count - 1][0]


def expected_end(allotment, families, now):
    """Return when a task is expected to end, None if it is endless."""
    work = allotment.work
    if work is None:
        return None
    run = _families.run_time(families.get(work.family), work)
    return None if run is None else max(now, allotment.since + run)


def plan_preemption(workers, taken, rooms, work, avoid, may_take, loss):
    """Return the worker and the victims that cost the least work.

    Parameters
    ----------
    workers : iterable of Worker
        All workers of the pool.
    taken : set
        ``(worker, key)`` of allotments that already give way.
    rooms : dict
        Room by worker name where it differs from the worker's own, because
        of earlier decisions of the same plan.
    work : Work
        The job that needs the room of one task.
    avoid : collection of str
        Workers that are not used.
    may_take : callable
        Tells whether an allotment may be preempted.
    loss : callable
        Returns the work that is lost with an allotment.

    Returns
    -------
    tuple of (Worker, list, tuple) or None
        Worker, keys of the victims and the room after them.
    """
    best = None
    best_loss = None
    for worker in workers:
        if not _health.may_start(worker) or worker.name in avoid:
            continue
        if not _model.fits(work.size, worker.capacity):
            continue
        room = rooms.get(worker.name, worker.room)
        candidates = sorted(
            (
                (loss(allotment), str(key), key, allotment.size)
                for key, allotment in worker.allotted.items()
                if (worker.name, key) not in taken and may_take(allotment)
            ),
            key=lambda entry: entry[:2],
        )
        chosen = []
        total = 0.0
        for cost, _, key, size in candidates:
            if _model.fits(work.size, room):
                break
            if best_loss is not None and total >= best_loss:
                break
            room = _model.plus(room, size)
            chosen.append((cost, key, size))
            total += cost
        if not _model.fits(work.size, room):
            continue
        # A cheap victim may have become superfluous by a later one.
        for entry in sorted(chosen, key=lambda e: -e[0]):
            rest = _model.minus(room, entry[2])
            if _model.fits(work.size, rest):
                room = rest
                chosen.remove(entry)
                total -= entry[0]
        if best_loss is None or total < best_loss:
            best = (worker, [key for _, key, _ in chosen], room)
            best_loss = total
    return best
