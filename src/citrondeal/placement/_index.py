"""Index of workers by available resources, and searches in it.

The workers and their index belong to one `Pool`.
"""

import bisect

from citrondeal.placement import _model

ZERO = (0, 0, 0)
# Weight of the difference between the remaining shares of cores and memory
# in the score of a worker.  With 0, plain best fit, 90.8 % of a mixed demand
# fits; with 3 it is 96.3 %, and 8 gains nothing.
_IMBALANCE_WEIGHT = 3.0
# Largest number of workers that are all compared for a task of a service;
# more are searched rack by rack until one is feasible.
_MAX_FULL_SCAN = 32


class Allotment:
    """Resources that one task occupies on a worker."""

    __slots__ = ("backfill", "excess_memory_mb", "size", "spec", "started_at")

    def __init__(self, spec, size, started_at):
        self.spec = spec
        self.size = size
        self.started_at = started_at
        # Uses resources reserved for another job and should end before that
        # job can start.
        self.backfill = False
        # Reported memory beyond the allotment.
        self.excess_memory_mb = 0


class Worker:
    """A worker with its allotments, held resources and failures."""

    __slots__ = (
        "allotted",
        "available",
        "capacity",
        "excess_memory_mb",
        "failures",
        "free",
        "held",
        "index_entry",
        "index_group",
        "name",
        "quarantine_s",
        "quarantined_until",
        "rack",
        "schedulable",
        "service_task_counts",
        "suspect",
        "trial_started_at",
        "trial_task",
    )

    def __init__(self, name):
        self.name = name
        self.rack = ""
        self.capacity = ZERO
        self.schedulable = False
        # Capacity less allotments.
        self.free = ZERO
        # Resources held for jobs that are to start here.
        self.held = ZERO
        # Resources for new tasks: free less held.  Negative while resources
        # are held that other tasks have not released yet.
        self.available = ZERO
        # `Allotment` by key.
        self.allotted = {}
        # Number of tasks by job, for services only.
        self.service_task_counts = {}
        self.excess_memory_mb = 0
        # Entries in the index; None if the worker is not in it.
        self.index_entry = None
        self.index_group = None
        # Number of failures by family since the last success.
        self.failures = {}
        self.suspect = False
        self.quarantine_s = 0.0
        # Earliest time of the next probe; None if not quarantined.
        self.quarantined_until = None
        # Allotment key of the task that runs as a trial.
        self.trial_task = None
        self.trial_started_at = 0.0


class _WorkerGroup:
    """Workers sorted by available cores and by available memory.

    The lists of `by_rack` are sorted by available cores.
    """

    def __init__(self):
        self.by_cores = []
        self.by_memory = []
        self.by_rack = {}


class Index:
    """Workers on which tasks may be placed.

    Workers with and without accelerators are kept apart, so that tasks that
    need no accelerators use the workers without them first.
    """

    def __init__(self):
        self.without_accelerators = _WorkerGroup()
        self.with_accelerators = _WorkerGroup()

    def update(self, worker, included):
        """Update the entries of a worker whose resources have changed.

        Parameters
        ----------
        worker : Worker
            The worker.
        included : bool
            Whether tasks may be placed on it.
        """
        if worker.index_entry is not None:
            cores, memory, rack = worker.index_entry
            group = worker.index_group
            entries = group.by_rack[rack]
            _remove(group.by_cores, cores)
            _remove(group.by_memory, memory)
            _remove(entries, cores)
            if not entries:
                del group.by_rack[rack]
            worker.index_entry = None
        if included:
            group = (
                self.with_accelerators
                if worker.capacity[2]
                else self.without_accelerators
            )
            # Names are unique, so that tuples compare without the worker.
            cores = (worker.available[0], worker.name, worker)
            memory = (worker.available[1], worker.name, worker)
            bisect.insort(group.by_cores, cores)
            bisect.insort(group.by_memory, memory)
            bisect.insort(group.by_rack.setdefault(worker.rack, []), cores)
            worker.index_entry = (cores, memory, worker.rack)
            worker.index_group = group


def _remove(entries, entry):
    del entries[bisect.bisect_left(entries, entry)]


def _smaller_range(group, size):
    """Return a sorted list of entries and the first position to scan.

    Of the workers with enough cores and those with enough memory, the
    smaller set is chosen; it is sorted by the resource that limits it.
    """
    by_cores = group.by_cores
    by_memory = group.by_memory
    first = bisect.bisect_left(by_cores, (size[0],))
    other = bisect.bisect_left(by_memory, (size[1],))
    if other > first:
        return by_memory, other
    return by_cores, first


def groups_for(index, size):
    """Return the groups to search for a task, in order of preference."""
    if size[2]:
        return (index.with_accelerators,)
    return (index.without_accelerators, index.with_accelerators)


def available_to(worker, size, config):
    """Return the resources of a worker that a task of `size` may use.

    Tasks without accelerators leave cores and memory for each unused
    accelerator of the worker.
    """
    available = worker.available
    unused = available[2]
    if size[2] or unused <= 0:
        return available
    return (
        available[0]
        - int(
            unused
            * config.kept_cores_per_accelerator
            * _model.MILLICORES_PER_CORE
        ),
        available[1] - int(unused * config.kept_memory_mb_per_accelerator),
        unused,
    )


def find_packed(index, size, avoid, config):
    """Return the worker that a task packs best, or None.

    Compares up to `Config.candidates` feasible workers, those with the least
    of the limiting resource first.  With the score "best", cores that remain
    without memory, or the reverse, count as worse than an even remainder.
    """
    for group in groups_for(index, size):
        best = None
        best_score = None
        compared = 0
        entries, first = _smaller_range(group, size)
        for position in range(first, len(entries)):
            worker = entries[position][2]
            available = available_to(worker, size, config)
            if not _model.fits(size, available):
                continue
            if avoid and worker.name in avoid:
                continue
            score = _score(worker, available, size, config)
            if best is None or score < best_score:
                best = worker
                best_score = score
            compared += 1
            if compared >= config.candidates:
                break
        if best is not None:
            return best
    return None


def _score(worker, available, size, config):
    """Return the score of a feasible worker; the lowest is the best.

    Scores are numbers, or names of workers if `Config.score` is "first".
    """
    capacity = worker.capacity
    if config.score == "first":
        return worker.name
    if config.score == "dot":
        score = 0.0
        for part, left, whole in zip(size, available, capacity, strict=True):
            if whole:
                score -= part * left / (whole * whole)
        return score
    left = (available[0] - size[0]) / capacity[0] if capacity[0] else 0.0
    if capacity[1]:
        memory = (available[1] - size[1]) / capacity[1]
        if memory > left:
            left = memory + _IMBALANCE_WEIGHT * (memory - left)
        else:
            left += _IMBALANCE_WEIGHT * (left - memory)
        # Prefer workers whose tasks stay within their allotted memory.
        left += worker.excess_memory_mb / capacity[1]
    if size[2]:
        left += (available[2] - size[2]) / capacity[2]
    return left


def find_spread(index, size, job, avoid, rack_counts, config):
    """Return the worker for a task of a service, or None.

    Prefers the rack with the fewest tasks of the job, then the worker with
    the fewest of them, then the one with the most available cores.
    """
    for group in groups_for(index, size):
        entries, first = _smaller_range(group, size)
        if len(entries) - first <= _MAX_FULL_SCAN:
            best = _best_for_spread(
                entries[first:], size, job, avoid, rack_counts, config
            )
            if best is not None:
                return best
            continue
        order = sorted(
            (rack_counts.get(rack, 0), -entries[-1][0], rack)
            for rack, entries in group.by_rack.items()
        )
        for _, _, rack in order:
            best = _best_for_spread(
                group.by_rack[rack], size, job, avoid, rack_counts, config
            )
            if best is not None:
                return best
    return None


def _best_for_spread(entries, size, job, avoid, rack_counts, config):
    """Return the feasible worker that spreads the job best, or None."""
    best = None
    best_score = None
    for entry in entries:
        worker = entry[2]
        available = worker.available
        if not _model.fits(size, available_to(worker, size, config)):
            continue
        if avoid and worker.name in avoid:
            continue
        score = (
            rack_counts.get(worker.rack, 0),
            worker.service_task_counts.get(job, 0),
            -available[0],
            worker.name,
        )
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


def count_fitting_tasks(index, size, avoid, limit, config):
    """Return how many tasks of `size` fit now, at most `limit`."""
    count = 0
    for group in groups_for(index, size):
        entries, first = _smaller_range(group, size)
        for position in range(first, len(entries)):
            worker = entries[position][2]
            if avoid and worker.name in avoid:
                continue
            available = available_to(worker, size, config)
            count += _model.count_fitting(size, available, limit - count)
            if count >= limit:
                return count
    return count
