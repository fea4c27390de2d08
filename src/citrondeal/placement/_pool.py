"""Allotments on the workers of one pool and the queue of waiting tasks."""

import collections
import itertools

from citrondeal import errors
from citrondeal.placement import _model

_ZERO = (0, 0, 0)


class _Allotment:
    """Room that one task occupies on a worker."""

    __slots__ = ("work", "size", "since", "seq")

    def __init__(self, work, size, since):
        self.work = work
        self.size = size
        self.since = since


class _Worker:
    """One worker with what is allotted and held on it."""

    __slots__ = (
        "name",
        "rack",
        "capacity",
        "open",
        "free",
        "held",
        "allotted",
        "jobs",
        "families",
        "pause_s",
        "paused_until",
        "probe",
        "usage",
    )

    def __init__(self, name):
        self.name = name
        self.rack = ""
        self.capacity = _ZERO
        self.open = False
        self.free = _ZERO
        self.held = _ZERO
        self.allotted = {}
        self.jobs = {}
        self.families = set()
        self.pause_s = 0.0
        self.paused_until = None
        self.probe = None
        self.usage = 0.0


class _Item:
    """Waiting tasks of one job."""

    __slots__ = (
        "work",
        "indices",
        "since",
        "failed_at",
        "hold",
        "not_before",
        "avoid",
    )

    def __init__(self, work, now):
        self.work = work
        self.indices = collections.deque()
        self.since = now
        self.failed_at = -1
        self.hold = None
        self.not_before = now
        self.avoid = ()


class _Hold:
    """Room that is held on some workers for one job."""

    __slots__ = ("job", "amounts", "until", "victims", "stage", "stage_at")

    def __init__(self, job, amounts, until):
        self.job = job
        self.amounts = amounts
        self.until = until
        self.victims = {}
        self.stage = 0
        self.stage_at = 0.0


class Pool:
    """Workers, allotments and waiting tasks of one zone.

    Parameters
    ----------
    config : Config
        Settings.
    """

    def __init__(self, config=None):
        self._config = config or _model.Config()
        self._workers = {}
        self._items = {}
        # Waiting jobs by priority and team, each in order of arrival.
        self._queues = {name: {} for name in _model.PRIORITIES}
        self._queued = 0
        self._quotas = {}
        self._team_used = {}
        self._class_used = dict.fromkeys(_model.PRIORITIES, _ZERO)
        self._total = _ZERO
        # Incremented whenever room may have become free; a job that did not
        # fit is not tried again at the same version.
        self._version = 0
        self._reservation = None
        self._holds = {}

    @classmethod
    def from_config(cls, config):
        """Return a pool with the settings in `config`."""
        return cls(config)

    @property
    def queued(self):
        """Number of waiting tasks."""
        return self._queued

    # Workers

    def set_worker(self, name, capacity, rack, is_open, now):
        """Add a worker or change what is known about it.

        Parameters
        ----------
        name : str
            Id of the worker.
        capacity : tuple of int
            See `capacity_of`.
        rack : str
            Name of the rack.
        is_open : bool
            Whether new tasks may be placed on it.
        now : float
            Monotonic seconds.
        """
        worker = self._workers.get(name)
        if worker is None:
            worker = self._workers[name] = _Worker(name)
        if worker.capacity != capacity:
            self._total = _model.plus(
                self._total, _model.minus(capacity, worker.capacity)
            )
            worker.free = _model.plus(
                worker.free, _model.minus(capacity, worker.capacity)
            )
            worker.capacity = capacity
            self._version += 1
        worker.rack = rack
        if worker.open != is_open:
            worker.open = is_open
            self._version += 1

    def remove_worker(self, name):
        """Forget a worker and every allotment on it."""
        worker = self._workers.pop(name, None)
        if worker is None:
            return
        self._total = _model.minus(self._total, worker.capacity)
        for allotment in worker.allotted.values():
            self._count(allotment.work, allotment.size, -1)
        self._version += 1

    def clear(self):
        """Forget all allotments and waiting tasks, but not the workers."""
        for job in list(self._items):
            self.withdraw(job)
        for name, worker in self._workers.items():
            for key in list(worker.allotted):
                self.release(name, key)

    # Allotments

    def allot(self, worker, key, size, work, now):
        """Count room that a task occupies, whether or not it fits.

        Used for tasks that are found on a worker; replaces an allotment
        with the same key.
        """
        entry = self._workers[worker]
        self.release(worker, key)
        entry.allotted[key] = _Allotment(work, size, now)
        entry.free = _model.minus(entry.free, size)
        if work is not None:
            entry.jobs[work.job] = entry.jobs.get(work.job, 0) + 1
        self._count(work, size, 1)

    def release(self, worker, key):
        """Free the room of an allotment; unknown ones are ignored."""
        entry = self._workers.get(worker)
        if entry is None:
            return
        allotment = entry.allotted.pop(key, None)
        if allotment is None:
            return
        entry.free = _model.plus(entry.free, allotment.size)
        work = allotment.work
        if work is not None:
            left = entry.jobs[work.job] - 1
            if left:
                entry.jobs[work.job] = left
            else:
                del entry.jobs[work.job]
        self._count(work, allotment.size, -1)
        self._version += 1

    def _count(self, work, size, sign):
        if work is None:
            return
        change = tuple(sign * part for part in size)
        team = self._team_used.get(work.team, _ZERO)
        self._team_used[work.team] = _model.plus(team, change)
        used = self._class_used[work.priority]
        self._class_used[work.priority] = _model.plus(used, change)

    # Teams

    def set_quotas(self, quotas):
        """Replace the quotas, a dict of team name to `Quota`."""
        self._quotas = dict(quotas)
        self._version += 1

    def _within_quota(self, team, size):
        quota = self._quotas.get(team)
        if quota is None:
            return True
        used = self._team_used.get(team, _ZERO)
        return _model.fits(_model.plus(used, size), quota.limit())

    # Queue

    def refusal(self, work, tasks):
        """Return why a job cannot be accepted, or None.

        Parameters
        ----------
        work : Work
            The job.
        tasks : int
            Number of its tasks.

        Returns
        -------
        errors.Failure or None
        """
        if self._queued + tasks > self._config.max_queued_tasks:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                f"{self._queued} tasks are waiting",
                retry_after_s=30.0,
            )
        if self._workers and not any(
            _model.fits(work.size, worker.capacity)
            for worker in self._workers.values()
        ):
            return errors.Failure(
                errors.Kind.NEVER_FITS, "a task is larger than every worker"
            )
        count = tasks if work.kind == "gang" else 1
        need = tuple(count * part for part in work.size)
        quota = self._quotas.get(work.team)
        if quota is not None and not _model.fits(need, quota.limit()):
            return errors.Failure(
                errors.Kind.NEVER_FITS,
                f"larger than the quota of team {work.team}",
            )
        if work.kind == "gang" and not _model.fits(need, self._total):
            if self._workers:
                return errors.Failure(
                    errors.Kind.NEVER_FITS, "the gang is larger than the pool"
                )
        return None

    def offer(self, work, indices, now, avoid=()):
        """Add tasks of a job to the queue.

        The tasks of a gang are offered in one call and are placed all
        together.  Workers in `avoid` are not used for the job.
        """
        item = self._items.get(work.job)
        if item is None:
            item = self._items[work.job] = _Item(work, now)
            queue = self._queues[work.priority].setdefault(work.team, {})
            queue[work.job] = item
        item.indices.extend(indices)
        item.avoid = tuple(avoid)
        item.failed_at = -1
        self._queued += len(indices)

    def withdraw(self, job):
        """Remove all waiting tasks of a job, independent of queue length."""
        item = self._items.get(job)
        if item is not None:
            self._queued -= len(item.indices)
            self._drop(item)

    def _drop(self, item):
        work = item.work
        del self._items[work.job]
        queue = self._queues[work.priority][work.team]
        del queue[work.job]
        if not queue:
            del self._queues[work.priority][work.team]
        if item.hold is not None:
            self._unhold(item.hold)

    # Decisions

    def place(self, now):
        """Decide which waiting tasks start where.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Start, Preempt and Reserve
            Each `Start` is already allotted under the key ``(job, index)``.
        """
        actions = []
        while len(actions) < self._config.max_starts:
            if not self._place_one(now, actions):
                break
        return actions

    def _class_order(self):
        """Return the priorities, those below their share first."""
        below = []
        rest = []
        for name in _model.PRIORITIES:
            if self._queues[name]:
                share = _model.dominant(self._class_used[name], self._total)
                if share < self._config.share(name):
                    below.append(name)
                else:
                    rest.append(name)
        return below + rest

    def _team_order(self, queues):
        def load(team):
            used = self._team_used.get(team, _ZERO)
            quota = self._quotas.get(team)
            weight = quota.weight if quota else 1.0
            return _model.dominant(used, self._total) / weight

        return sorted(queues, key=lambda team: (load(team), team))

    def _place_one(self, now, actions):
        for name in self._class_order():
            queues = self._queues[name]
            for team in self._team_order(queues):
                items = itertools.islice(
                    queues[team].values(), self._config.scan_depth
                )
                for item in list(items):
                    if item.failed_at == self._version:
                        continue
                    if self._try(item, now, actions):
                        return True
                    item.failed_at = self._version
        return False

    def _try(self, item, now, actions):
        work = item.work
        if work.kind == "gang":
            return self._try_gang(item, now, actions)
        if not self._within_quota(work.team, work.size):
            return False
        name = self._find(work, item.avoid)
        if name is None:
            return False
        index = item.indices.popleft()
        self._queued -= 1
        if not item.indices:
            self._drop(item)
        self.allot(name, (work.job, index), work.size, work, now)
        actions.append(_model.Start(work.job, index, name))
        return True

    def _try_gang(self, item, now, actions):
        work = item.work
        count = len(item.indices)
        need = tuple(count * part for part in work.size)
        if not self._within_quota(work.team, need):
            return False
        chosen = []
        for index in item.indices:
            name = self._find(work, item.avoid)
            if name is None:
                for worker, placed in chosen:
                    self.release(worker, (work.job, placed))
                return False
            self.allot(name, (work.job, index), work.size, work, now)
            chosen.append((name, index))
        self._queued -= count
        self._drop(item)
        for worker, index in chosen:
            actions.append(_model.Start(work.job, index, worker))
        return True

    def _find(self, work, avoid):
        size = work.size
        best = None
        racks = {}
        if work.kind == "service":
            for worker in self._workers.values():
                count = worker.jobs.get(work.job, 0)
                if count:
                    racks[worker.rack] = racks.get(worker.rack, 0) + count
        for worker in self._workers.values():
            if not worker.open or worker.name in avoid:
                continue
            room = _model.minus(worker.free, worker.held)
            if not _model.fits(size, room):
                continue
            left = _model.dominant(_model.minus(room, size), worker.capacity)
            spare = 1 if room[2] and not size[2] else 0
            if work.kind == "service":
                score = (
                    spare,
                    racks.get(worker.rack, 0),
                    worker.jobs.get(work.job, 0),
                    -left,
                    worker.name,
                )
            else:
                score = (spare, left, worker.name)
            if best is None or score < best:
                best = score
        return None if best is None else best[-1]

    def _unhold(self, hold):
        for name, amount in hold.amounts.items():
            worker = self._workers.get(name)
            if worker is not None:
                worker.held = _model.minus(worker.held, amount)
        self._version += 1

    # Outcomes

    def record_outcome(self, worker, work, succeeded, now):
        """Take note of how a task on a worker ended."""

    def report_usage(self, worker, key, usage, now):
        """Take the reported usage of a task."""

    def is_quarantined(self, worker):
        """Return whether the worker is quarantined."""
        return False

    def dump(self):
        """Return the state for the state dump, bounded in size."""
        return {
            "queued": self._queued,
            "workers": len(self._workers),
            "total": list(self._total),
            "used": {k: list(v) for k, v in self._class_used.items()},
        }
