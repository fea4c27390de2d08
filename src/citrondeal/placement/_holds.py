"""Resources held for a job: planning of reservations and preemptions.

The holds themselves are kept by `Pool`.
"""

from citrondeal.placement import _families
from citrondeal.placement import _health
from citrondeal.placement import _index
from citrondeal.placement import _model

# Allotments that are scanned for a reservation, about 2 us each; a zone of
# the target size has no more.
_MAX_SCANNED_ALLOTMENTS = 3000
PREEMPTION_STAGES = ("checkpoint", "throttle", "stop")


class Hold:
    """Resources that are held on some workers for one job.

    Parameters
    ----------
    job : str
        Job id.
    until : float
        Monotonic time in seconds at which the hold expires.
    shadow_time : float or None
        For a reservation, the monotonic time in seconds at which the
        resources are expected to be free (the shadow time of EASY
        backfilling); None for a preemption.
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
        # Held resources by name of the worker.
        self.amounts = {}
        self.until = until
        self.shadow_time = shadow_time
        # Keys of the allotments to preempt, by name of the worker.
        self.victims = {}
        # For a preemption, the position in `PREEMPTION_STAGES` and the time
        # at which that stage began.  For a reservation, how often overrunning
        # backfill tasks were preempted and the earliest next time.
        self.stage = 0
        self.stage_at = 0.0


def plan_reservation(
    workers, families, spec, count, avoid, now, limit=_MAX_SCANNED_ALLOTMENTS
):
    """Return where and when `count` tasks are expected to fit together.

    Resources of running tasks count as free from their expected ends on.

    Parameters
    ----------
    workers : iterable of Worker
        All workers of the pool.
    families : FamilyTable
        Estimates of run times.
    spec : JobSpec
        The job.
    count : int
        Number of tasks that are to start together.
    avoid : collection of str
        Workers that are not used.
    now : float
        Monotonic seconds.
    limit : int
        Allotments to scan; more are scanned only until `count` tasks fit.

    Returns
    -------
    tuple of (dict, float) or None
        Resources by worker name, and the monotonic time at which they are
        expected to be free; None if the tasks are not expected to fit.
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
    """Return when a task is expected to end.

    Returns
    -------
    float or None
        Monotonic seconds; None for services and tasks of unknown jobs.
    """
    spec = allotment.spec
    if spec is None:
        return None
    run_s = _families.expected_run_time_s(families.get(spec.family), spec)
    return None if run_s is None else max(now, allotment.started_at + run_s)


class PreemptionWindow:
    """Workers and allotments compared for preemption in a call of `place`.

    Parameters
    ----------
    workers : iterable of Worker
        Workers in the order in which they are to be looked at.
    holds : iterable of Hold
        Holds whose victims are being preempted already.
    may_preempt : callable
        Tells whether an allotment may be preempted.
    cost : callable
        Returns the work that is lost with an allotment.
    limit : int
        Allotments to scan.
    """

    def __init__(self, workers, holds, may_preempt, cost, limit):
        # Pairs of a worker and its ``(cost, key, allotment)`` by rising cost.
        self.entries = []
        # Resources by worker name that victims are about to release.
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
        """Count the resources of a victim as about to be released."""
        before = self.pending_release.get(name, _index.ZERO)
        self.pending_release[name] = _model.add(before, size)

    def undo(self, taken):
        """Make the victims of a plan that was dropped available again."""
        for name, candidates, chosen in taken:
            for entry in chosen:
                remaining = _model.subtract(
                    self.pending_release[name], entry[2].size
                )
                self.pending_release[name] = remaining
            candidates.extend(chosen)
            candidates.sort(key=lambda entry: entry[0])


def choose_victims(window, planned, size, avoid, used, keeps_share):
    """Return a worker for a task, and victims that cost the least work.

    Parameters
    ----------
    window : PreemptionWindow
        Workers to compare.
    planned : dict
        Resources by worker name that the same plan uses already.
    size : tuple of int
        Request of the task.
    avoid : collection of str
        Workers that are not used.
    used : dict
        Resources allotted to each priority.
    keeps_share : callable
        Tells whether a priority has its guaranteed share with the given
        resources.

    Returns
    -------
    tuple of (Worker, list, list) or None
        The lists hold ``(cost, key, allotment)`` of each allotment that may
        be preempted, and of the victims; None if no worker is feasible.
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
        # Cheap victims may be unnecessary once a larger one was chosen.
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
