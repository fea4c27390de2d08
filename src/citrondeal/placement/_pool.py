"""Allotments on the workers of one pool and the queue of waiting tasks."""

import collections
import itertools
import math

from citrondeal import errors
from citrondeal.placement import _families
from citrondeal.placement import _health
from citrondeal.placement import _holds
from citrondeal.placement import _index
from citrondeal.placement import _model

# Sizes remembered per version as not fitting anywhere.
_MAX_MISFITS = 24
# Jobs at the head of each queue that may get a reservation.
_HEADS = 4
_STARVED_PERIOD = 1.0  # seconds between two looks for such jobs
# Entries of each list in the state dump.
_DUMP_LIMIT = 50


class _Item:
    """Waiting tasks of one job."""

    __slots__ = (
        "avoid",
        "hold",
        "indices",
        "not_before",
        "since",
        "tried",
        "work",
    )

    def __init__(self, work, now):
        self.work = work
        # A list takes 600 bytes less than a deque, and most jobs have few
        # tasks; taking the first of 10,000 costs about 2 us.
        self.indices = []
        self.since = now
        # Version of the pool at which the job did not fit.
        self.tried = -1
        self.hold = None
        # No reservation before this time.
        self.not_before = now
        self.avoid = ()


class _Queue:
    """Waiting jobs of one team and priority, in order of arrival."""

    __slots__ = ("items", "tried")

    def __init__(self):
        self.items = {}
        self.tried = -1


class Pool:
    """Workers, allotments and waiting tasks of one zone.

    Parameters
    ----------
    config : Config, optional
        Settings.
    """

    def __init__(self, config=None):
        self._config = config or _model.Config()
        self._workers = {}
        self._index = _index.Index()
        self._families = _families.Families(self._config.max_families)
        self._items = {}
        self._queues = {name: {} for name in _model.PRIORITIES}
        self._queued = 0
        self._quotas = {}
        self._team_used = {}
        self._team_load = {}
        self._class_used = dict.fromkeys(_model.PRIORITIES, _index.ZERO)
        self._total = _index.ZERO
        # Tasks per rack of each service, and allotted tasks per gang.
        self._racks = {}
        self._gangs = {}
        # Incremented whenever room may have become free; a job that did not
        # fit is not tried again at the same version.
        self._version = 0
        self._misfits = []
        self._misfits_version = 0
        self._quarantined = {}
        self._trials = {}
        self._reservation = None
        self._starved_at = -math.inf
        self._holds = {}
        self._window = None
        self._window_start = 0
        self._retry_at = None
        self._counts = collections.Counter()

    @classmethod
    def from_config(cls, config):
        """Return a pool with the settings in `config`."""
        return cls(config)

    @property
    def queued_tasks(self):
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
            worker = self._workers[name] = _index.Worker(name)
        elif (worker.capacity, worker.rack, worker.open) == (
            capacity,
            rack,
            is_open,
        ):
            return
        change = _model.minus(capacity, worker.capacity)
        self._total = _model.plus(self._total, change)
        worker.free = _model.plus(worker.free, change)
        worker.capacity = capacity
        if worker.rack != rack:
            for job, count in worker.jobs.items():
                self._count_rack(job, worker.rack, -count)
                self._count_rack(job, rack, count)
            worker.rack = rack
        worker.open = is_open
        self._version += 1
        self._update(worker)

    def remove_worker(self, name):
        """Forget a worker and every allotment on it."""
        worker = self._workers.get(name)
        if worker is None:
            return
        # A hold must not outlive the worker: its room would be taken from
        # a worker with the same name that comes back.
        for job, hold in list(self._holds.items()):
            if name in hold.amounts:
                self._unhold(self._items[job])
        for key in list(worker.allotted):
            self.release(name, key)
        worker.open = False
        self._update(worker)
        del self._workers[name]
        self._quarantined.pop(name, None)
        self._trials.pop(name, None)
        self._total = _model.minus(self._total, worker.capacity)
        self._version += 1

    def clear(self):
        """Forget all allotments and waiting tasks, but not the workers."""
        for job in list(self._items):
            self.withdraw(job)
        for name, worker in self._workers.items():
            for key in list(worker.allotted):
                self.release(name, key)

    def _update(self, worker):
        """Compute the room of a worker and its position in the index."""
        worker.room = _model.minus(worker.free, worker.held)
        self._index.update(worker, _health.may_start(worker))

    # Allotments

    def allot(self, worker, key, size, work, now):
        """Count room that a task occupies, whether or not it fits.

        Replaces an allotment with the same key.

        Parameters
        ----------
        worker : str
            Id of a known worker.
        key : hashable
            Names the allotment on this worker.
        size : tuple of int
            See `size_of`.
        work : JobSpec or None
            None for a task of an unknown job.
        now : float
            Monotonic seconds.
        """
        entry = self._workers[worker]
        previous = entry.allotted.get(key)
        if previous is not None:
            now = previous.since
            self.release(worker, key)
        allotment = _index.Allotment(work, size, now)
        entry.allotted[key] = allotment
        entry.free = _model.minus(entry.free, size)
        if work is not None:
            self._count(work, size, 1)
            if work.kind == "service":
                entry.jobs[work.job] = entry.jobs.get(work.job, 0) + 1
                self._count_rack(work.job, entry.rack, 1)
            elif work.kind == "gang":
                self._gangs[work.job] = self._gangs.get(work.job, 0) + 1
        if size[2]:
            # Room that was kept for the accelerators is no longer kept.
            self._version += 1
        self._update(entry)
        return allotment

    def release(self, worker, key):
        """Free the room of an allotment; unknown ones are ignored."""
        entry = self._workers.get(worker)
        allotment = entry.allotted.pop(key, None) if entry else None
        if allotment is None:
            return
        entry.free = _model.plus(entry.free, allotment.size)
        entry.excess_mb -= allotment.usage
        work = allotment.work
        if work is not None:
            self._count(work, allotment.size, -1)
            if work.kind == "service":
                _decrement(entry.jobs, work.job)
                self._count_rack(work.job, entry.rack, -1)
            elif work.kind == "gang":
                _decrement(self._gangs, work.job)
        if entry.trial == key:
            entry.trial = None
            self._trials.pop(worker, None)
        self._version += 1
        self._update(entry)

    def _count(self, work, size, sign):
        change = size if sign > 0 else tuple(-part for part in size)
        team = work.team
        used = _model.plus(self._team_used.get(team, _index.ZERO), change)
        if used == _index.ZERO:
            self._team_used.pop(team, None)
            self._team_load.pop(team, None)
        else:
            self._team_used[team] = used
            quota = self._quotas.get(team)
            weight = quota.weight if quota else 1.0
            load = _model.dominant(used, self._total) / weight
            self._team_load[team] = load
        total = self._class_used[work.priority]
        self._class_used[work.priority] = _model.plus(total, change)

    def _count_rack(self, job, rack, change):
        racks = self._racks.setdefault(job, {})
        racks[rack] = racks.get(rack, 0) + change
        if not racks[rack]:
            del racks[rack]
            if not racks:
                del self._racks[job]

    def report_usage(self, worker, key, usage, now):
        """Take the reported usage of a task.

        Parameters
        ----------
        worker : str
            Id of the worker.
        key : hashable
            Names the allotment.
        usage : dict
            ``cores``, ``memory_mb`` and ``lag_s``; a report from before
            the start of the task is ignored.
        now : float
            Monotonic seconds.
        """
        entry = self._workers.get(worker)
        allotment = entry.allotted.get(key) if entry else None
        if allotment is None or allotment.work is None:
            return
        if now - usage.get("lag_s", 0.0) <= allotment.since:
            return
        family = self._families.get(allotment.work.family)
        _families.take_usage(family, allotment.size, usage)
        excess = max(0, int(usage["memory_mb"]) - allotment.size[1])
        entry.excess_mb += excess - allotment.usage
        allotment.usage = excess

    # Teams

    def set_quotas(self, quotas):
        """Replace the quotas, a dict of team name to `Quota`."""
        self._quotas = dict(quotas)
        for team, used in self._team_used.items():
            quota = self._quotas.get(team)
            weight = quota.weight if quota else 1.0
            load = _model.dominant(used, self._total) / weight
            self._team_load[team] = load
        self._version += 1

    def _within_quota(self, team, size):
        quota = self._quotas.get(team)
        if quota is None:
            return True
        used = self._team_used.get(team, _index.ZERO)
        return _model.fits(_model.plus(used, size), quota.limit())

    # Queue

    def refusal(self, work, tasks):
        """Return why a job cannot be accepted, or None.

        Parameters
        ----------
        work : JobSpec
            The job.
        tasks : int
            Number of its tasks.

        Returns
        -------
        errors.Failure or None
            ``overloaded`` or ``never_fits``.  While no worker is known,
            nothing is refused for its size.
        """
        if self._queued + tasks > self._config.max_queued_tasks:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                f"{self._queued} tasks are waiting",
                retry_after_s=30.0,
            )
        together = tasks if work.kind == "gang" else 1
        quota = self._quotas.get(work.team)
        need = tuple(together * part for part in work.size)
        if quota is not None and not _model.fits(need, quota.limit()):
            return errors.Failure(
                errors.Kind.NEVER_FITS,
                f"larger than the quota of team {work.team}",
            )
        slots = 0
        for worker in self._workers.values():
            left = together - slots
            slots += _model.copies(work.size, worker.capacity, left)
            if slots >= together:
                return None
        if not self._workers:
            return None
        reason = "a task is larger than every worker"
        if slots:
            reason = "the gang is larger than all workers together"
        return errors.Failure(errors.Kind.NEVER_FITS, reason)

    def offer(self, work, indices, now, avoid=()):
        """Add tasks of a job to the queue.

        Parameters
        ----------
        work : JobSpec
            The job.
        indices : list of int
            Tasks to start.  Those of a gang are offered in one call and
            are placed all together.
        now : float
            Monotonic seconds.
        avoid : iterable of str
            Workers that are used only if no other one is feasible.
        """
        item = self._items.get(work.job)
        if item is None:
            item = self._items[work.job] = _Item(work, now)
            queues = self._queues[work.priority]
            queue = queues.get(work.team)
            if queue is None:
                queue = queues[work.team] = _Queue()
            queue.items[work.job] = item
        item.indices.extend(indices)
        item.avoid = tuple(avoid)
        item.tried = -1
        self._queues[work.priority][work.team].tried = -1
        self._queued += len(indices)

    def waiting_indices(self, job):
        """Return the indices of the waiting tasks of a job, read only."""
        item = self._items.get(job)
        return () if item is None else item.indices

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
        del queue.items[work.job]
        if not queue.items:
            del self._queues[work.priority][work.team]
        self._unhold(item)

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
            At most `Config.max_starts` tasks start per call, except that a
            gang is never divided; call again while there are starts.
        """
        config = self._config
        actions = []
        self._end_trials(now)
        self._advance_holds(now, actions)
        tries = config.max_tries
        preemptions = config.max_preemptions
        self._window = None
        self._retry_urgent(now)
        starts = 0
        while starts < config.max_starts and tries > 0:
            queue = self._next_queue()
            if queue is None:
                break
            for item in itertools.islice(
                queue.items.values(), config.scan_depth
            ):
                if item.tried == self._version:
                    continue
                count = self._try(item, now, actions)
                if count:
                    # The order of the queues may have changed.
                    starts += count
                    break
                item.tried = self._version
                tries -= 1
                if preemptions > 0 and item.work.priority == "urgent":
                    preemptions -= 1 + self._preempt(
                        item, preemptions, now, actions
                    )
                if tries <= 0:
                    break
            else:
                queue.tried = self._version
        if self._reservation is None and now >= self._starved_at:
            self._starved_at = now + _STARVED_PERIOD
            starved = self._find_starved(now)
            if starved is not None:
                self._reserve(starved, now, actions)
        return actions

    def _next_queue(self):
        """Return the queue whose turn it is, or None."""
        version = self._version
        loads = self._team_load
        for name in self._class_order():
            best = None
            best_load = None
            best_team = None
            for team, queue in self._queues[name].items():
                if queue.tried == version:
                    continue
                load = loads.get(team, 0.0)
                if (
                    best is None
                    or load < best_load
                    or (load == best_load and team < best_team)
                ):
                    best = queue
                    best_load = load
                    best_team = team
            if best is not None:
                return best
        return None

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

    def _try(self, item, now, actions):
        """Start one task, or a gang; returns the number of starts."""
        work = item.work
        if work.kind == "gang":
            return self._try_gang(item, now, actions)
        if not self._within_quota(work.team, work.size):
            return 0
        worker = self._find(item, now)
        backfill = False
        if worker is None:
            worker = self._find_backfill(item, now)
            if worker is None:
                return 0
            backfill = True
        index = item.indices[0]
        allotment = self._start(item, worker, index, now, actions)
        allotment.backfill = backfill
        del item.indices[0]
        self._queued -= 1
        if not item.indices:
            self._drop(item)
        return 1

    def _start(self, item, worker, index, now, actions):
        work = item.work
        self._take_held(item, worker)
        trial = worker.suspect or worker.paused_until is not None
        if trial and work.kind != "gang":
            worker.trial = (work.job, index)
            worker.trial_at = now
            self._trials[worker.name] = worker
        actions.append(_model.Start(work.job, index, worker.name))
        return self.allot(worker.name, (work.job, index), work.size, work, now)

    def _try_gang(self, item, now, actions):
        work = item.work
        count = len(item.indices)
        need = tuple(count * part for part in work.size)
        if not self._within_quota(work.team, need):
            return 0
        hold = item.hold
        if hold is not None:
            # The room that is held counts as room while the gang is tried.
            self._set_held(hold, -1)
        slots = _index.total_copies(
            self._index, work.size, (), count, self._config
        )
        started = 0
        if slots >= count:
            if hold is not None:
                hold.amounts = {}
                self._unhold(item)
            for index in item.indices:
                worker = self._search(work, item.avoid)
                if worker is None:
                    worker = self._search(work, ())
                self._start(item, worker, index, now, actions)
            started = count
            self._queued -= count
            self._drop(item)
        elif hold is not None:
            self._set_held(hold, 1)
        return started

    def _find(self, item, now):
        """Return a worker for one task of a job, or None."""
        work = item.work
        if item.hold is not None:
            for name in item.hold.amounts:
                worker = self._workers.get(name)
                if worker is None or not _health.may_start(worker):
                    continue
                room = _model.plus(worker.room, item.hold.amounts[name])
                if _model.fits(work.size, room):
                    return worker
        probe = self._find_probe(work, now)
        if probe is not None:
            return probe
        size = work.size
        if self._misfits_version != self._version:
            self._misfits = []
            self._misfits_version = self._version
        for misfit in self._misfits:
            # Tasks without accelerators do not get all the room, so that
            # nothing follows from them for tasks with accelerators.
            if _model.fits(misfit, size) and (misfit[2] or not size[2]):
                return None
        worker = self._search(work, item.avoid)
        if worker is None and item.avoid:
            worker = self._search(work, ())
        if worker is None:
            self._add_misfit(size)
        return worker

    def _add_misfit(self, size):
        """Remember a size that does not fit, without those it implies."""
        kept = [
            misfit
            for misfit in self._misfits
            if not _model.fits(size, misfit) or (misfit[2] and not size[2])
        ]
        if len(kept) < _MAX_MISFITS:
            kept.append(size)
        self._misfits = kept

    def _search(self, work, avoid):
        if work.kind == "service":
            return _index.spread(
                self._index,
                work.size,
                work.job,
                avoid,
                self._racks.get(work.job, {}),
                self._config,
            )
        return _index.packed(self._index, work.size, avoid, self._config)

    def _find_probe(self, work, now):
        """Return a quarantined worker that is due for one task."""
        if work.once or work.kind != "batch" or work.priority == "urgent":
            return None
        for worker in self._quarantined.values():
            if _health.may_probe(worker, now):
                if _model.fits(work.size, worker.room):
                    return worker
        return None

    def _find_backfill(self, item, now):
        """Return a worker with held room that is not needed in time."""
        hold = self._reservation
        work = item.work
        if hold is None or work.kind != "batch" or work.once:
            return None
        if item.hold is hold:
            return None
        run = _families.run_time(self._families.get(work.family), work)
        if now + run * self._config.backfill_factor > hold.shadow:
            return None
        for name, amount in hold.amounts.items():
            worker = self._workers.get(name)
            if worker is None or not _health.may_start(worker):
                continue
            if _model.fits(work.size, _model.plus(worker.room, amount)):
                return worker
        return None

    # Held room

    def _set_held(self, hold, sign):
        """Add or remove the room of a hold on its workers."""
        for name, amount in hold.amounts.items():
            worker = self._workers.get(name)
            if worker is not None:
                change = amount if sign > 0 else _negative(amount)
                worker.held = _model.plus(worker.held, change)
                self._update(worker)

    def _take_held(self, item, worker):
        """Give a task the room that is held for its job on a worker."""
        hold = item.hold
        if hold is None or worker.name not in hold.amounts:
            return
        rest = _model.minus(hold.amounts[worker.name], item.work.size)
        if rest[0] > 0 or rest[1] > 0 or rest[2] > 0:
            hold.amounts[worker.name] = rest
        else:
            del hold.amounts[worker.name]
        worker.held = _model.minus(worker.held, item.work.size)
        self._update(worker)
        if not hold.amounts:
            self._unhold(item)

    def _unhold(self, item):
        hold = item.hold
        if hold is None:
            return
        item.hold = None
        self._set_held(hold, -1)
        self._holds.pop(hold.job, None)
        if self._reservation is hold:
            self._reservation = None
        self._version += 1

    def _advance_holds(self, now, actions):
        """End holds that are over and advance preemptions."""
        for job, hold in list(self._holds.items()):
            item = self._items[job]
            workers = [self._workers.get(name) for name in hold.amounts]
            broken = any(
                worker is None or not worker.open for worker in workers
            )
            if now >= hold.until or broken:
                self._unhold(item)
                item.not_before = now + self._config.reservation_pause_s
                self._counts["holds_given_up"] += 1
                continue
            if hold.shadow is not None:
                if now >= hold.shadow:
                    self._end_backfill(hold, now, actions)
                continue
            stage_s = self._config.preempt_stage_s
            while (
                hold.stage < len(_holds.STAGES) - 1
                and now - hold.stage_at >= stage_s
            ):
                hold.stage += 1
                hold.stage_at += stage_s
                self._emit_stage(hold, actions)

    def _end_backfill(self, hold, now, actions):
        """Preempt tasks that overran on room that is needed now."""
        if now < hold.stage_at:
            return
        hold.stage_at = now + self._config.preempt_stage_s
        how = _holds.STAGES[0 if hold.stage == 0 else -1]
        hold.stage += 1
        for name in hold.amounts:
            worker = self._workers[name]
            if _model.fits(_index.ZERO, worker.room):
                continue
            for key, allotment in worker.allotted.items():
                if allotment.backfill:
                    actions.append(_model.Preempt(name, key, how, hold.job))

    def _emit_stage(self, hold, actions):
        """Emit the preemptions of the current stage."""
        how = _holds.STAGES[hold.stage]
        for name, keys in hold.victims.items():
            worker = self._workers.get(name)
            if worker is None:
                continue
            if how == "throttle":
                # Throttling frees cores only.
                room = worker.room
                if room[0] >= 0 or room[1] < 0 or room[2] < 0:
                    continue
            if _model.fits(_index.ZERO, worker.room):
                continue
            for key in keys:
                if key in worker.allotted:
                    actions.append(_model.Preempt(name, key, how, hold.job))

    def _preempt(self, item, limit, now, actions):
        """Make room for urgent tasks; returns the number of tasks."""
        work = item.work
        hold = item.hold
        if hold is not None and (hold.shadow is not None or hold.amounts):
            return 0
        count = len(item.indices) if work.kind == "gang" else 1
        count = max(count, min(len(item.indices), limit))
        plan = self._plan_preemption(item, count, now)
        if plan is None:
            if self._retry_at is None:
                self._retry_at = now + self._config.preempt_stage_s
            return 0
        hold, planned = plan
        self._holds[work.job] = hold
        item.hold = hold
        self._set_held(hold, 1)
        self._counts["preemptions"] += sum(map(len, hold.victims.values()))
        self._emit_stage(hold, actions)
        return planned

    def _retry_urgent(self, now):
        """Try urgent jobs again for which no victims were found.

        Only some of the workers are compared in one call.
        """
        if self._retry_at is None or now < self._retry_at:
            return
        self._retry_at = None
        for queue in self._queues["urgent"].values():
            queue.tried = -1
            depth = self._config.scan_depth
            for item in itertools.islice(queue.items.values(), depth):
                item.tried = -1

    def _preemption_window(self, now):
        """Return the workers to compare, the next ones in each call."""
        if self._window is None:
            names = list(self._workers)
            first = self._window_start % max(1, len(names))
            ordered = names[first:] + names[:first]
            self._window = _holds.Window(
                (self._workers[name] for name in ordered),
                self._holds.values(),
                self._may_take,
                lambda allotment: self._loss(allotment, now),
                self._config.max_victims,
            )
            self._window_start = first + self._window.seen
        return self._window

    def _plan_preemption(self, item, count, now):
        work = item.work
        window = self._preemption_window(now)
        used = dict(self._class_used)
        planned = {}
        victims = {}
        need = _index.ZERO
        taken = []
        done = 0

        def keeps_share(priority, rest):
            share = self._config.share(priority)
            return _model.dominant(rest, self._total) >= share

        while done < count:
            need = _model.plus(need, work.size)
            if not self._within_quota(work.team, need):
                break
            found = _holds.choose_victims(
                window, planned, work.size, item.avoid, used, keeps_share
            )
            if found is None:
                break
            worker, candidates, chosen = found
            name = worker.name
            before = planned.get(name, _index.ZERO)
            planned[name] = _model.plus(before, work.size)
            taken.append((name, candidates, chosen))
            keys = victims.setdefault(name, [])
            for entry in chosen:
                candidates.remove(entry)
                victim = entry[2]
                window.add_pending(name, victim.size)
                priority = victim.work.priority
                used[priority] = _model.minus(used[priority], victim.size)
                keys.append(entry[1])
            done += 1
        if not done or (work.kind == "gang" and done < count):
            window.put_back(taken)
            return None
        hold = _holds.Hold(work.job, now + self._config.preempt_limit_s)
        hold.stage_at = now
        hold.amounts = planned
        hold.victims = victims
        return hold, done

    def _may_take(self, allotment):
        """Return whether an allotment may give way to urgent work."""
        work = allotment.work
        return work is not None and not work.once and work.priority != "urgent"

    def _loss(self, allotment, now):
        """Return the work lost with an allotment, in weighted seconds."""
        work = allotment.work
        if work.kind == "service":
            seconds = self._config.service_loss_s
        else:
            seconds = now - allotment.since + 1.0
        amount = seconds * _model.dominant(allotment.size, self._total)
        if work.kind == "gang":
            # The whole gang stops with one of its tasks.
            amount *= self._gangs.get(work.job, 1)
        return amount * (10.0 if work.priority == "normal" else 1.0)

    def _find_starved(self, now):
        """Return the job that has waited longest for a reservation."""
        since = now - self._config.reserve_after_s
        best = None
        for queues in self._queues.values():
            for queue in queues.values():
                for item in itertools.islice(queue.items.values(), _HEADS):
                    if item.hold is not None or item.tried < 0:
                        continue
                    if item.since <= since and item.not_before <= now:
                        if best is None or item.since < best.since:
                            best = item
        return best

    def _reserve(self, item, now, actions):
        """Hold room for a job that waits for too long."""
        work = item.work
        count = len(item.indices) if work.kind == "gang" else 1
        need = tuple(count * part for part in work.size)
        plan = None
        if self._within_quota(work.team, need):
            plan = _holds.plan_reservation(
                self._workers.values(),
                self._families,
                work,
                count,
                item.avoid,
                now,
            )
        if plan is None or plan[1] > now + self._config.reservation_s:
            item.not_before = now + self._config.reservation_pause_s
            return
        amounts, shadow = plan
        until = min(
            shadow + self._config.reservation_slack_s,
            now + self._config.reservation_s,
        )
        hold = _holds.Hold(work.job, until, shadow)
        hold.amounts = amounts
        item.hold = hold
        self._holds[work.job] = hold
        self._reservation = hold
        self._set_held(hold, 1)
        self._counts["reservations"] += 1
        actions.append(_model.Reserve(work.job, tuple(amounts), until))

    # Outcomes

    def record_outcome(self, worker, key, succeeded, now):
        """Take note of how a task ended; call it before `release`.

        Parameters
        ----------
        worker : str
            Id of the worker.
        key : hashable
            Names the allotment.
        succeeded : bool
            False if the task failed.
        now : float
            Monotonic seconds.
        """
        entry = self._workers.get(worker)
        allotment = entry.allotted.get(key) if entry else None
        if allotment is None or allotment.work is None:
            return
        work = allotment.work
        family = self._families.get(work.family)
        _families.take_end(
            family, work, worker, succeeded, now - allotment.since
        )
        if succeeded:
            self._clear_suspicion(entry)
            return
        limit = max(1, len(self._workers) * self._config.quarantine_share)
        quarantined = _health.take_failure(
            entry,
            work.family,
            self._families,
            self._config,
            len(self._quarantined) < limit,
            now,
        )
        if quarantined and worker not in self._quarantined:
            self._quarantined[worker] = entry
            self._counts["quarantines"] += 1
        self._update(entry)

    def _clear_suspicion(self, worker):
        _health.take_success(worker)
        self._quarantined.pop(worker.name, None)
        worker.trial = None
        self._trials.pop(worker.name, None)
        self._version += 1
        self._update(worker)

    def _end_trials(self, now):
        for worker in list(self._trials.values()):
            if now - worker.trial_at >= _health.TRIAL_OK:
                self._clear_suspicion(worker)
        for worker in self._quarantined.values():
            if _health.may_probe(worker, now):
                # Jobs that did not fit may be used as a probe.
                self._version += 1
                break

    def is_quarantined(self, worker):
        """Return whether the worker is quarantined."""
        return worker in self._quarantined

    def dump(self):
        """Return the state for the state dump, bounded in size."""
        names = itertools.islice(self._quarantined, _DUMP_LIMIT)
        loads = sorted(self._team_load.items(), key=lambda e: -e[1])
        return {
            "queued": self._queued,
            "workers": len(self._workers),
            "total": list(self._total),
            "used": {k: list(v) for k, v in self._class_used.items()},
            "team_loads": dict(loads[:_DUMP_LIMIT]),
            "quarantined": list(names),
            "holds": [
                {"job": hold.job, "until": hold.until, "stage": hold.stage}
                for hold in itertools.islice(self._holds.values(), _DUMP_LIMIT)
            ],
            "over_request": self._families.flagged(_DUMP_LIMIT),
            "counts": dict(self._counts),
        }


def _negative(size):
    return (-size[0], -size[1], -size[2])


def _decrement(table, key):
    left = table[key] - 1
    if left:
        table[key] = left
    else:
        del table[key]
