"""Naive scheduler that scans all jobs and workers for each decision.

It is the reference of the differential test and the baseline of the
benchmark.
"""

from citrondeal import placement


def fits(size, available):
    return all(
        part <= left for part, left in zip(size, available, strict=True)
    )


def add(left, right, sign=1):
    return tuple(a + sign * b for a, b in zip(left, right, strict=True))


def share(used, total):
    parts = [0.0]
    for part, whole in zip(used, total, strict=True):
        if part > 0:
            parts.append(part / whole if whole else 1.0)
    return max(parts)


class Pool:
    """Pool with the methods of `placement.Pool` that the tests need.

    Parameters
    ----------
    config : placement.Config
        Shares, and resources kept for accelerators.
    fifo : bool
        Order jobs by arrival only; a job that does not fit blocks the others.
    first_fit : bool
        Take the first feasible worker instead of the best one.
    """

    def __init__(self, config=None, fifo=False, first_fit=False):
        self.config = config or placement.Config()
        self.fifo = fifo
        self.first_fit = first_fit
        self.workers = {}
        self.schedulable = {}
        self.running = {}
        self.waiting = []
        self.quotas = {}

    def set_worker(self, name, capacity, rack, schedulable, now):
        self.workers[name] = capacity
        self.schedulable[name] = schedulable

    def set_quotas(self, quotas):
        self.quotas = quotas

    def offer(self, spec, indices, now, avoid=()):
        self.waiting.append((spec, list(indices)))

    def withdraw(self, job):
        self.waiting = [w for w in self.waiting if w[0].job != job]

    def release(self, worker, key):
        self.running.pop((worker, key), None)

    def free_resources(self, name):
        available = self.workers[name]
        for (worker, _), spec in self.running.items():
            if worker == name:
                available = add(available, spec.size, -1)
        return available

    def used(self, matches):
        total = (0, 0, 0)
        for spec in self.running.values():
            if matches(spec):
                total = add(total, spec.size)
        return total

    @property
    def total(self):
        total = (0, 0, 0)
        for capacity in self.workers.values():
            total = add(total, capacity)
        return total

    def available_by_worker(self, spec):
        """Return the available resources of feasible workers, by name."""
        feasible = {}
        for name in sorted(self.workers):
            available = self.free_resources(name)
            if not spec.size[2] and available[2] > 0:
                kept = (
                    int(
                        available[2]
                        * self.config.kept_cores_per_accelerator
                        * 1000
                    ),
                    int(
                        available[2]
                        * self.config.kept_memory_mb_per_accelerator
                    ),
                    0,
                )
                available = add(available, kept, -1)
            if self.schedulable[name] and fits(spec.size, available):
                feasible[name] = available
        return feasible

    def within_quota(self, spec):
        quota = self.quotas.get(spec.team)
        if quota is None:
            return True
        used = self.used(lambda other: other.team == spec.team)
        return fits(add(used, spec.size), quota.limit())

    def ordered_jobs(self):
        """Return the waiting jobs, the next one first."""
        if self.fifo:
            return self.waiting[:1]
        total = self.total

        def rank(entry):
            spec = entry[0]
            of_priority = self.used(lambda w: w.priority == spec.priority)
            below = share(of_priority, total) < self.config.share(
                spec.priority
            )
            team = self.used(lambda other: other.team == spec.team)
            quota = self.quotas.get(spec.team)
            weight = quota.weight if quota else 1.0
            return (
                not below,
                placement.PRIORITIES.index(spec.priority),
                share(team, total) / weight,
                spec.team,
            )

        return sorted(self.waiting, key=rank)

    def startable_jobs(self):
        """Return the waiting jobs that can start a task now, in order."""
        return [
            entry
            for entry in self.ordered_jobs()
            if self.within_quota(entry[0])
            and self.available_by_worker(entry[0])
        ]

    def start(self, entry, name):
        """Start the next task of a waiting job on a worker."""
        spec, indices = entry
        index = indices.pop(0)
        if not indices:
            self.waiting.remove(entry)
        self.running[name, (spec.job, index)] = spec
        return placement.Start(spec.job, index, name)

    def place(self, now):
        actions = []
        while True:
            entries = self.startable_jobs()
            if not entries:
                return actions
            spec = entries[0][0]
            feasible = self.available_by_worker(spec)
            name = next(iter(feasible))
            if not self.first_fit:
                name = min(
                    feasible,
                    key=lambda n: self.score(spec, n, feasible),
                )
            actions.append(self.start(entries[0], name))

    def score(self, spec, name, feasible):
        """Return the score of a worker for a task; the lowest is the best.

        Sum of the largest remaining share of cores or memory after the start,
        of the weighted difference between both, and of the remaining share of
        accelerators if the task needs some.
        """
        capacity = self.workers[name]
        remaining = add(feasible[name], spec.size, -1)
        cores, memory = remaining[0] / capacity[0], remaining[1] / capacity[1]
        accelerators = remaining[2] / capacity[2] if spec.size[2] else 0.0
        return max(cores, memory) + 3 * abs(cores - memory) + accelerators
