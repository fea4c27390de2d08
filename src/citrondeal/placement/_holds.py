"""Room that is held for one job: reservations and preemptions."""

from citrondeal.placement import _families
from citrondeal.placement import _health
from citrondeal.placement import _index
from citrondeal.placement import _model

# Allotments that are looked at for a reservation (about 2 us each); all
# of a zone of the target size.
_MAX_PLANNED = 3000
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


def plan_reservation(
    workers, families, work, count, avoid, now, limit=_MAX_PLANNED
):
    """Return where and when `count` tasks are expected to fit.

    Parameters
    ----------
    workers : iterable of Worker
        All workers of the pool.
    families : Families
        Estimates of run times.
    work : JobSpec
        The job.
    count : int
        Number of tasks that are to start together.
    avoid : collection of str
        Workers that are not used.
    now : float
        Monotonic seconds.
    limit : int
        Allotments to look at once there are enough places.

    Returns
    -------
    tuple of (dict, float) or None
        Room by worker name, and the time; None if it cannot be told.
    """
    slots = []
    for worker in workers:
        if not _health.may_start(worker) or worker.name in avoid:
            continue
        if limit <= 0 and len(slots) >= count:
            break
        limit -= len(worker.allotted) + 1
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


class Window:
    """Workers that are compared for preemption in one call of `place`.

    Parameters
    ----------
    workers : iterable of Worker
        Workers in the order in which they are to be looked at.
    holds : iterable of Hold
        Holds whose victims give way already.
    may_take : callable
        Tells whether an allotment may be preempted.
    loss : callable
        Returns the work that is lost with an allotment.
    limit : int
        Allotments to look at.
    """

    def __init__(self, workers, holds, may_take, loss, limit):
        self.entries = []
        # Room by worker name that victims are about to free.
        self.pending = {}
        self.seen = 0
        taken = set()
        for hold in holds:
            for name, keys in hold.victims.items():
                taken.update((name, key) for key in keys)
        for worker in workers:
            if limit <= 0:
                break
            self.seen += 1
            limit -= len(worker.allotted) + 1
            if not _health.may_start(worker):
                continue
            candidates = []
            for key, allotment in worker.allotted.items():
                if (worker.name, key) in taken:
                    self.add_pending(worker.name, allotment.size)
                elif may_take(allotment):
                    candidates.append((loss(allotment), key, allotment))
            candidates.sort(key=lambda entry: entry[0])
            self.entries.append((worker, candidates))

    def add_pending(self, name, size):
        """Count room that a victim is about to free."""
        before = self.pending.get(name, _index.ZERO)
        self.pending[name] = _model.plus(before, size)

    def put_back(self, taken):
        """Undo a plan that could not be completed."""
        for name, candidates, chosen in taken:
            for entry in chosen:
                rest = _model.minus(self.pending[name], entry[2].size)
                self.pending[name] = rest
            candidates.extend(chosen)
            candidates.sort(key=lambda entry: entry[0])


def choose_victims(window, planned, size, avoid, used, keeps_share):
    """Return the worker and the victims that cost the least work.

    Parameters
    ----------
    window : Window
        Workers to compare.
    planned : dict
        Room by worker name that the same plan uses already.
    size : tuple of int
        Request of the task that needs room.
    avoid : collection of str
        Workers that are not used.
    used : dict
        Room that each priority is allotted.
    keeps_share : callable
        Tells whether a priority may be left with the given room.

    Returns
    -------
    tuple of (Worker, list, list) or None
        The lists hold ``(loss, key, allotment)`` of each allotment that may
        be preempted, and of the victims.
    """
    best = None
    best_loss = None
    for worker, candidates in window.entries:
        name = worker.name
        if name in avoid or not _model.fits(size, worker.capacity):
            continue
        room = worker.room
        if name in window.pending:
            room = _model.plus(room, window.pending[name])
        if name in planned:
            room = _model.minus(room, planned[name])
        chosen = []
        total = 0.0
        rests = {}
        for entry in candidates:
            if _model.fits(size, room):
                break
            if best_loss is not None and total + entry[0] >= best_loss:
                break
            victim = entry[2]
            priority = victim.work.priority
            rest = rests.get(priority, used[priority])
            rest = _model.minus(rest, victim.size)
            if not keeps_share(priority, rest):
                continue
            rests[priority] = rest
            room = _model.plus(room, victim.size)
            chosen.append(entry)
            total += entry[0]
        if not _model.fits(size, room):
            continue
        # A cheap victim may have become superfluous by a later one.
        for entry in reversed(chosen[:]):
            rest = _model.minus(room, entry[2].size)
            if _model.fits(size, rest):
                room = rest
                chosen.remove(entry)
                total -= entry[0]
        if best_loss is None or total < best_loss:
            best = (worker, candidates, chosen)
            best_loss = total
        if not chosen:
            break
    return best
