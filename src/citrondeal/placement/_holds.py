"""Room that is held for one job: reservations and preemptions."""

from citrondeal.placement import _families
from citrondeal.placement import _health
from citrondeal.placement import _index
from citrondeal.placement import _model

# Allotments that are looked at for a reservation (about 2 us each); all
# of a zone of the target size.
_MAX_SCANNED_ALLOTMENTS = 3000
PREEMPTION_STAGES = ("checkpoint", "throttle", "stop")


class Hold:
    """Room that is held on some workers for one job.

    `shadow` is the time at which the room is expected to be free; for a
    preemption it is None, and `victims` are the allotments that have to
    give way.
    """

    __slots__ = (
        "amounts",
        "job",
        "shadow_time",
        "stage",
        "stage_at",
        "until",
        "victims",
    )

    def __init__(self, job, until, shadow_time=None):
        self.job = job
        self.amounts = {}
        self.until = until
        self.shadow_time = shadow_time
        self.victims = {}
        self.stage = 0
        self.stage_at = 0.0


def plan_reservation(
    workers, families, spec, count, avoid, now, limit=_MAX_SCANNED_ALLOTMENTS
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
    start_options = []
    for worker in workers:
        if not _health.may_start(worker) or worker.name in avoid:
            continue
        if limit <= 0 and len(start_options) >= count:
            break
        limit -= len(worker.allotted) + 1
        available = worker.available
        fitting = max(_model.count_fitting(spec.size, available, count), 0)
        start_options.extend([(now, worker.name)] * fitting)
        if fitting >= count:
            continue
        ends = []
        for allotment in worker.allotted.values():
            end = expected_end(allotment, families, now)
            if end is not None:
                ends.append((end, allotment.size))
        for end, size in sorted(ends):
            available = _model.add(available, size)
            fitting_later = _model.count_fitting(spec.size, available, count)
            if fitting_later > fitting:
                start_options.extend(
                    [(end, worker.name)] * (fitting_later - fitting)
                )
                fitting = fitting_later
    if len(start_options) < count:
        return None
    start_options.sort()
    amounts = {}
    for _, name in start_options[:count]:
        amount = amounts.get(name, _index.ZERO)
        amounts[name] = _model.add(amount, spec.size)
    return amounts, start_options[count - 1][0]


def expected_end(allotment, families, now):
    """Return when a task is expected to end, None if it is endless."""
    spec = allotment.spec
    if spec is None:
        return None
    run_s = _families.expected_run_time_s(families.get(spec.family), spec)
    return None if run_s is None else max(now, allotment.started_at + run_s)


class PreemptionWindow:
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

    def __init__(self, workers, holds, may_preempt, cost, limit):
        self.entries = []
        # Room by worker name that victims are about to free.
        self.pending_release = {}
        self.scanned_workers = 0
        taken = set()
        for hold in holds:
            for name, keys in hold.victims.items():
                taken.update((name, key) for key in keys)
        for worker in workers:
            if limit <= 0:
                break
            self.scanned_workers += 1
            limit -= len(worker.allotted) + 1
            if not _health.may_start(worker):
                continue
            candidates = []
            for key, allotment in worker.allotted.items():
                if (worker.name, key) in taken:
                    self.add_pending_release(worker.name, allotment.size)
                elif may_preempt(allotment):
                    candidates.append((cost(allotment), key, allotment))
            candidates.sort(key=lambda entry: entry[0])
            self.entries.append((worker, candidates))

    def add_pending_release(self, name, size):
        """Count room that a victim is about to free."""
        before = self.pending_release.get(name, _index.ZERO)
        self.pending_release[name] = _model.add(before, size)

    def undo(self, taken):
        """Undo a plan that could not be completed."""
        for name, candidates, chosen in taken:
            for entry in chosen:
                remaining = _model.subtract(
                    self.pending_release[name], entry[2].size
                )
                self.pending_release[name] = remaining
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
    best_cost = None
    for worker, candidates in window.entries:
        name = worker.name
        if name in avoid or not _model.fits(size, worker.capacity):
            continue
        available = worker.available
        if name in window.pending_release:
            available = _model.add(available, window.pending_release[name])
        if name in planned:
            available = _model.subtract(available, planned[name])
        chosen = []
        total = 0.0
        remaining_by_priority = {}
        for entry in candidates:
            if _model.fits(size, available):
                break
            if best_cost is not None and total + entry[0] >= best_cost:
                break
            victim = entry[2]
            priority = victim.spec.priority
            remaining = remaining_by_priority.get(priority, used[priority])
            remaining = _model.subtract(remaining, victim.size)
            if not keeps_share(priority, remaining):
                continue
            remaining_by_priority[priority] = remaining
            available = _model.add(available, victim.size)
            chosen.append(entry)
            total += entry[0]
        if not _model.fits(size, available):
            continue
        # A cheap victim may have become superfluous by a later one.
        for entry in reversed(chosen[:]):
            remaining = _model.subtract(available, entry[2].size)
            if _model.fits(size, remaining):
                available = remaining
                chosen.remove(entry)
                total -= entry[0]
        if best_cost is None or total < best_cost:
            best = (worker, candidates, chosen)
            best_cost = total
        if not chosen:
            break
    return best
