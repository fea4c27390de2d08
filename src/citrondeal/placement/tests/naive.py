"""Placement by scanning everything; slow, and plainly correct.

Used as the reference of the differential test and as the baseline of the
benchmark.
"""

from citrondeal import placement


def fits(size, room):
    return all(s <= r for s, r in zip(size, room, strict=True))


def add(left, right, sign=1):
    return tuple(a + sign * b for a, b in zip(left, right, strict=True))


def share(used, total):
    parts = [0.0]
    for part, whole in zip(used, total, strict=True):
        if part > 0:
            parts.append(part / whole if whole else 1.0)
    return max(parts)


class Pool:
    """Scans jobs and workers for each decision.

    Parameters
    ----------
    config : placement.Config
        Shares and the room kept for accelerators.
    fifo : bool
        Order by arrival only, without passing over a job that does not fit.
    first_fit : bool
        Take the first feasible worker instead of the best one.
    """

    def __init__(self, config=None, fifo=False, first_fit=False):
        self.config = config or placement.Config()
        self.fifo = fifo
        self.first_fit = first_fit
        self.workers = {}
        self.open = {}
        self.running = {}
        self.waiting = []
        self.quotas = {}

    def set_worker(self, name, capacity, rack, is_open, now):
        self.workers[name] = capacity
        self.open[name] = is_open

    def set_quotas(self, quotas):
        self.quotas = quotas

    def offer(self, work, indices, now, avoid=()):
        self.waiting.append((work, list(indices)))

    def withdraw(self, job):
        self.waiting = [w for w in self.waiting if w[0].job != job]

    def release(self, worker, key):
        self.running.pop((worker, key), None)

    def free(self, name):
        room = self.workers[name]
        for (worker, _), work in self.running.items():
            if worker == name:
                room = add(room, work.size, -1)
        return room

    def used(self, wanted):
        total = (0, 0, 0)
        for work in self.running.values():
            if wanted(work):
                total = add(total, work.size)
        return total

    @property
    def total(self):
        total = (0, 0, 0)
        for capacity in self.workers.values():
            total = add(total, capacity)
        return total

    def rooms(self, work):
        """Return the room of each feasible worker, in order of names."""
        rooms = {}
        for name in sorted(self.workers):
            room = self.free(name)
            if not work.size[2] and room[2] > 0:
                kept = (
                    int(room[2] * self.config.accelerator_cores * 1000),
                    int(room[2] * self.config.accelerator_memory_mb),
                    0,
                )
                room = add(room, kept, -1)
            if self.open[name] and fits(work.size, room):
                rooms[name] = room
        return rooms

    def in_quota(self, work):
        quota = self.quotas.get(work.team)
        if quota is None:
            return True
        used = self.used(lambda other: other.team == work.team)
        return fits(add(used, work.size), quota.limit())

    def order(self):
        """Return the waiting jobs, the next one first."""
        if self.fifo:
            return self.waiting[:1]
        total = self.total

        def rank(entry):
            work = entry[0]
            of_class = self.used(lambda w: w.priority == work.priority)
            below = share(of_class, total) < self.config.share(work.priority)
            team = self.used(lambda other: other.team == work.team)
            quota = self.quotas.get(work.team)
            weight = quota.weight if quota else 1.0
            return (
                not below,
                placement.PRIORITIES.index(work.priority),
                share(team, total) / weight,
                work.team,
            )

        return sorted(self.waiting, key=rank)

    def feasible(self):
        """Return the jobs that can start a task now, in order."""
        return [
            entry
            for entry in self.order()
            if self.in_quota(entry[0]) and self.rooms(entry[0])
        ]

    def start(self, entry, name):
        """Start the next task of a waiting job on a worker."""
        work, indices = entry
        index = indices.pop(0)
        if not indices:
            self.waiting.remove(entry)
        self.running[name, (work.job, index)] = work
        return placement.Start(work.job, index, name)

    def place(self, now):
        actions = []
        while True:
            entries = self.feasible()
            if not entries:
                return actions
            work = entries[0][0]
            rooms = self.rooms(work)
            name = next(iter(rooms))
            if not self.first_fit:
                name = min(rooms, key=lambda n: self.score(work, n, rooms))
            actions.append(self.start(entries[0], name))

    def score(self, work, name, rooms):
        """Return the dominant rest after the start, and its imbalance."""
        capacity = self.workers[name]
        rest = add(rooms[name], work.size, -1)
        cores, memory = rest[0] / capacity[0], rest[1] / capacity[1]
        accelerators = rest[2] / capacity[2] if work.size[2] else 0.0
        return max(cores, memory) + 3 * abs(cores - memory) + accelerators
