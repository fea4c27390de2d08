"""The scheduler of one pool: its workers, allotments, queue and decisions.

`Pool` holds all of this state in memory, without locks or input and output.
"""

import collections
import itertools
import math

from citrondeal import errors
from citrondeal.placement import _families
from citrondeal.placement import _health
from citrondeal.placement import _holds
from citrondeal.placement import _index
from citrondeal.placement import _model

# Requests kept per capacity version as fitting on no worker.
_MAX_UNPLACEABLE_SIZES = 24
# Jobs at the head of each queue that are considered for a reservation.
_MAX_RESERVATION_CANDIDATES = 4
_RESERVATION_CHECK_PERIOD_S = 1.0
# Longest list in the state dump.
_DUMP_LIMIT = 50


class _QueuedJob:
    """Waiting tasks of one job."""

    __slots__ = (
        "avoid",
        "hold",
        "indices",
        "reservation_not_before",
        "spec",
        "tried_version",
        "waiting_since",
    )

    def __init__(self, spec, now):
        self.spec = spec
        # A list takes 600 bytes less than a deque, and most jobs have few
        # tasks; taking the first of 10,000 costs about 2 us.
        self.indices = []
        self.waiting_since = now
        # Capacity version at which the job did not fit; -1 if not tried.
        self.tried_version = -1
        self.hold = None
        self.reservation_not_before = now
        # Workers that are used only if no other one is feasible.
        self.avoid = ()


class _Queue:
    """Waiting jobs of one team and priority, in order of arrival."""

    __slots__ = ("jobs", "tried_version")

    def __init__(self):
        self.jobs = {}
        # Capacity version at which none of the jobs could start.
        self.tried_version = -1


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
        self._families = _families.FamilyTable(self._config.max_families)
        self._queued_jobs = {}
        # `_Queue` by team, for each priority.
        self._queues = {name: {} for name in _model.PRIORITIES}
        self._queued_tasks = 0
        self._quotas = {}
        self._team_used = {}
        # Dominant share of each team divided by its weight.
        self._team_load = {}
        self._priority_used = dict.fromkeys(_model.PRIORITIES, _index.ZERO)
        self._total_capacity = _index.ZERO
        # Number of tasks per rack of each service, and per gang.
        self._rack_task_counts = {}
        self._gang_task_counts = {}
        # Incremented whenever resources may have become available; a job that
        # did not fit is not tried again at the same version.
        self._capacity_version = 0
        self._unplaceable_sizes = []
        self._unplaceable_version = 0
        self._quarantined = {}
        # Workers that run a trial task.
        self._trials = {}
        # The hold that is a reservation; there is at most one at a time.
        self._reservation = None
        self._next_reservation_check_at = -math.inf
        self._holds = {}
        self._current_window = None
        self._window_offset = 0
        self._urgent_retry_at = None
        self._event_counts = collections.Counter()

    @classmethod
    def from_config(cls, config):
        """Return a pool with the settings in `config`."""
        return cls(config)

    @property
    def queued_tasks(self):
        """Number of waiting tasks."""
        return self._queued_tasks

    # Workers

    def set_worker(self, name, capacity, rack, schedulable, now):
        """Add a worker or update its capacity, rack and state.

        Parameters
        ----------
        name : str
            Id of the worker.
        capacity : tuple of int
            See `capacity_of`.
        rack : str
            Name of the rack.
        schedulable : bool
            Whether new tasks may be placed on it.
        now : float
            Monotonic seconds.
        """
        worker = self._workers.get(name)
        if worker is None:
            worker = self._workers[name] = _index.Worker(name)
        elif (worker.capacity, worker.rack, worker.schedulable) == (
            capacity,
            rack,
            schedulable,
        ):
            return
        change = _model.subtract(capacity, worker.capacity)
        self._total_capacity = _model.add(self._total_capacity, change)
        worker.free = _model.add(worker.free, change)
        worker.capacity = capacity
        if worker.rack != rack:
            for job, count in worker.service_task_counts.items():
                self._update_rack_count(job, worker.rack, -count)
                self._update_rack_count(job, rack, count)
            worker.rack = rack
        worker.schedulable = schedulable
        self._capacity_version += 1
        self._refresh_worker(worker)

    def remove_worker(self, name):
        """Remove a worker and every allotment on it.

        Parameters
        ----------
        name : str
            Id of the worker; an unknown one is ignored.
        """
        worker = self._workers.get(name)
        if worker is None:
            return
        # A hold must not outlive the worker: if a worker with the same name
        # is added, releasing the hold would free resources it never held.
        for job, hold in list(self._holds.items()):
            if name in hold.amounts:
                self._release_hold(self._queued_jobs[job])
        for key in list(worker.allotted):
            self.release(name, key)
        worker.schedulable = False
        self._refresh_worker(worker)
        del self._workers[name]
        self._quarantined.pop(name, None)
        self._trials.pop(name, None)
        self._total_capacity = _model.subtract(
            self._total_capacity, worker.capacity
        )
        self._capacity_version += 1

    def clear(self):
        """Remove all allotments and waiting tasks, but keep the workers."""
        for job in list(self._queued_jobs):
            self.withdraw(job)
        for name, worker in self._workers.items():
            for key in list(worker.allotted):
                self.release(name, key)

    def _refresh_worker(self, worker):
        """Update the available resources of a worker and the index."""
        worker.available = _model.subtract(worker.free, worker.held)
        self._index.update(worker, _health.may_start(worker))

    # Allotments

    def allot(self, worker, key, size, spec, now):
        """Allot resources to a task, whether or not it fits.

        Replaces an allotment with the same key, but keeps its start time.

        Parameters
        ----------
        worker : str
            Id of a known worker.
        key : hashable
            Identifies the allotment on this worker.
        size : tuple of int
            See `size_of`.
        spec : JobSpec or None
            None for a task of an unknown job.
        now : float
            Monotonic seconds.

        Returns
        -------
        Allotment
            The new allotment.

        Raises
        ------
        KeyError
            If the worker is unknown.
        """
        worker_state = self._workers[worker]
        previous = worker_state.allotted.get(key)
        if previous is not None:
            now = previous.started_at
            self.release(worker, key)
        allotment = _index.Allotment(spec, size, now)
        worker_state.allotted[key] = allotment
        worker_state.free = _model.subtract(worker_state.free, size)
        if spec is not None:
            self._update_usage(spec, size, 1)
            if spec.kind == "service":
                worker_state.service_task_counts[spec.job] = (
                    worker_state.service_task_counts.get(spec.job, 0) + 1
                )
                self._update_rack_count(spec.job, worker_state.rack, 1)
            elif spec.kind == "gang":
                self._gang_task_counts[spec.job] = (
                    self._gang_task_counts.get(spec.job, 0) + 1
                )
        if size[2]:
            # The cores and memory kept for these accelerators are available
            # to other tasks from now on.
            self._capacity_version += 1
        self._refresh_worker(worker_state)
        return allotment

    def release(self, worker, key):
        """Release an allotment; an unknown one is ignored."""
        worker_state = self._workers.get(worker)
        allotment = (
            worker_state.allotted.pop(key, None) if worker_state else None
        )
        if allotment is None:
            return
        worker_state.free = _model.add(worker_state.free, allotment.size)
        worker_state.excess_memory_mb -= allotment.excess_memory_mb
        spec = allotment.spec
        if spec is not None:
            self._update_usage(spec, allotment.size, -1)
            if spec.kind == "service":
                _decrement(worker_state.service_task_counts, spec.job)
                self._update_rack_count(spec.job, worker_state.rack, -1)
            elif spec.kind == "gang":
                _decrement(self._gang_task_counts, spec.job)
        if worker_state.trial_task == key:
            worker_state.trial_task = None
            self._trials.pop(worker, None)
        self._capacity_version += 1
        self._refresh_worker(worker_state)

    def has_allotment(self, worker, key):
        """Return whether a worker has an allotment with this key."""
        worker_state = self._workers.get(worker)
        return worker_state is not None and key in worker_state.allotted

    def has_room(self, worker, spec):
        """Return whether a task of a job fits on a worker now.

        Whether tasks may be placed there, see `set_worker`, is up to the
        caller.

        Parameters
        ----------
        worker : str
            Id of a worker.
        spec : JobSpec
            The job.

        Returns
        -------
        bool
            False also for a worker on which tasks have failed.
        """
        worker_state = self._workers.get(worker)
        if worker_state is None or worker_state.suspect:
            return False
        if worker_state.quarantined_until is not None:
            return False
        available = _index.available_to(worker_state, spec.size, self._config)
        return _model.fits(spec.size, available) and self._within_quota(
            spec.team, spec.size
        )

    def _update_usage(self, spec, size, sign):
        change = size if sign > 0 else tuple(-part for part in size)
        team = spec.team
        used = _model.add(self._team_used.get(team, _index.ZERO), change)
        if used == _index.ZERO:
            self._team_used.pop(team, None)
            self._team_load.pop(team, None)
        else:
            self._team_used[team] = used
            quota = self._quotas.get(team)
            weight = quota.weight if quota else 1.0
            load = _model.dominant_share(used, self._total_capacity) / weight
            self._team_load[team] = load
        total = self._priority_used[spec.priority]
        self._priority_used[spec.priority] = _model.add(total, change)

    def _update_rack_count(self, job, rack, change):
        racks = self._rack_task_counts.setdefault(job, {})
        racks[rack] = racks.get(rack, 0) + change
        if not racks[rack]:
            del racks[rack]
            if not racks:
                del self._rack_task_counts[job]

    def report_usage(self, worker, key, usage, now):
        """Update the usage estimates with the reported usage of a task.

        Parameters
        ----------
        worker : str
            Id of the worker.
        key : hashable
            Identifies the allotment on this worker.
        usage : dict
            ``cores``, ``memory_mb`` and ``lag_s``, the age of the report in
            seconds; a report from before the start of the task is ignored.
        now : float
            Monotonic seconds.
        """
        worker_state = self._workers.get(worker)
        allotment = worker_state.allotted.get(key) if worker_state else None
        if allotment is None or allotment.spec is None:
            return
        if now - usage.get("lag_s", 0.0) <= allotment.started_at:
            return
        family = self._families.get(allotment.spec.family)
        _families.record_usage(family, allotment.size, usage)
        excess = max(0, int(usage["memory_mb"]) - allotment.size[1])
        worker_state.excess_memory_mb += excess - allotment.excess_memory_mb
        allotment.excess_memory_mb = excess

    # Teams

    def set_quotas(self, quotas):
        """Replace all quotas.

        Parameters
        ----------
        quotas : dict of str to Quota
            Quotas by team; other teams have no limits and the weight 1.
        """
        self._quotas = dict(quotas)
        for team, used in self._team_used.items():
            quota = self._quotas.get(team)
            weight = quota.weight if quota else 1.0
            load = _model.dominant_share(used, self._total_capacity) / weight
            self._team_load[team] = load
        self._capacity_version += 1

    def _within_quota(self, team, size):
        quota = self._quotas.get(team)
        if quota is None:
            return True
        used = self._team_used.get(team, _index.ZERO)
        return _model.fits(_model.add(used, size), quota.limit())

    # Queue

    def refusal(self, spec, tasks):
        """Return why a job cannot be accepted, or None.

        Parameters
        ----------
        spec : JobSpec
            The job.
        tasks : int
            Number of its tasks.

        Returns
        -------
        errors.Failure or None
            ``overloaded`` if the queue is full, ``never_fits`` if the job
            exceeds its quota or the capacity of the workers.  While no worker
            is known, only the queue and the quota are checked.
        """
        if self._queued_tasks + tasks > self._config.max_queued_tasks:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                f"{self._queued_tasks} tasks are waiting, {tasks} more exceed"
                f" the limit of {self._config.max_queued_tasks}",
                retry_after_s=30.0,
            )
        together = tasks if spec.kind == "gang" else 1
        quota = self._quotas.get(spec.team)
        required = tuple(together * part for part in spec.size)
        if quota is not None and not _model.fits(required, quota.limit()):
            return errors.Failure(
                errors.Kind.NEVER_FITS,
                f"job {spec.job!r} needs"
                f" {required[0] / _model.MILLICORES_PER_CORE:g} cores,"
                f" {required[1]} MB and {required[2]} accelerators, more than"
                f" the quota of team {spec.team!r}",
            )
        fitting = 0
        for worker in self._workers.values():
            left = together - fitting
            fitting += _model.count_fitting(spec.size, worker.capacity, left)
            if fitting >= together:
                return None
        if not self._workers:
            return None
        reason = (
            f"a task of job {spec.job!r} needs"
            f" {spec.size[0] / _model.MILLICORES_PER_CORE:g} cores,"
            f" {spec.size[1]} MB and {spec.size[2]} accelerators and fits on"
            f" none of {len(self._workers)} workers"
        )
        if fitting:
            reason = (
                f"only {fitting} of {together} tasks of gang {spec.job!r} fit"
                f" on all {len(self._workers)} workers together"
            )
        return errors.Failure(errors.Kind.NEVER_FITS, reason)

    def offer(self, spec, indices, now, avoid=()):
        """Add tasks of a job to the queue.

        Parameters
        ----------
        spec : JobSpec
            The job.
        indices : list of int
            Tasks to start.  Those of a gang have to be offered in one call
            and start together.
        now : float
            Monotonic seconds.
        avoid : iterable of str
            Workers that are used only if no other one is feasible.
        """
        queued_job = self._queued_jobs.get(spec.job)
        if queued_job is None:
            queued_job = self._queued_jobs[spec.job] = _QueuedJob(spec, now)
            queues = self._queues[spec.priority]
            queue = queues.get(spec.team)
            if queue is None:
                queue = queues[spec.team] = _Queue()
            queue.jobs[spec.job] = queued_job
        queued_job.indices.extend(indices)
        queued_job.avoid = tuple(avoid)
        queued_job.tried_version = -1
        self._queues[spec.priority][spec.team].tried_version = -1
        self._queued_tasks += len(indices)

    def waiting_indices(self, job):
        """Return the indices of the waiting tasks of a job.

        The sequence belongs to the pool and must not be changed.
        """
        queued_job = self._queued_jobs.get(job)
        return () if queued_job is None else queued_job.indices

    def withdraw(self, job):
        """Remove all waiting tasks of a job.

        The cost does not depend on the length of the queue.
        """
        queued_job = self._queued_jobs.get(job)
        if queued_job is not None:
            self._queued_tasks -= len(queued_job.indices)
            self._remove_from_queue(queued_job)

    def _remove_from_queue(self, queued_job):
        spec = queued_job.spec
        del self._queued_jobs[spec.job]
        queue = self._queues[spec.priority][spec.team]
        del queue.jobs[spec.job]
        if not queue.jobs:
            del self._queues[spec.priority][spec.team]
        self._release_hold(queued_job)

    # Decisions

    def place(self, now):
        """Decide which waiting tasks start on which workers.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Start, Preempt and Reserve
            Each `Start` is already allotted under the key ``(job, index)``.
            At most `Config.max_starts` tasks start per call, except that a
            gang is never split; call again while there are starts.
        """
        config = self._config
        actions = []
        self._end_trials(now)
        self._advance_holds(now, actions)
        tries = config.max_tries
        preemptions = config.max_preemptions
        self._current_window = None
        self._retry_urgent_jobs(now)
        starts = 0
        while starts < config.max_starts and tries > 0:
            queue = self._next_queue()
            if queue is None:
                break
            for queued_job in itertools.islice(
                queue.jobs.values(), config.scan_depth
            ):
                if queued_job.tried_version == self._capacity_version:
                    continue
                count = self._try_start(queued_job, now, actions)
                if count:
                    # The start may have changed the order of the queues.
                    starts += count
                    break
                queued_job.tried_version = self._capacity_version
                tries -= 1
                if preemptions > 0 and queued_job.spec.priority == "urgent":
                    preemptions -= 1 + self._preempt_for(
                        queued_job, preemptions, now, actions
                    )
                if tries <= 0:
                    break
            else:
                queue.tried_version = self._capacity_version
        if (
            self._reservation is None
            and now >= self._next_reservation_check_at
        ):
            self._next_reservation_check_at = now + _RESERVATION_CHECK_PERIOD_S
            candidate = self._find_reservation_candidate(now)
            if candidate is not None:
                self._reserve(candidate, now, actions)
        return actions

    def _next_queue(self):
        """Return the next queue to serve, or None.

        Within a priority, the team with the lowest load is next.
        """
        version = self._capacity_version
        loads = self._team_load
        for name in self._priority_order():
            best = None
            best_load = None
            best_team = None
            for team, queue in self._queues[name].items():
                if queue.tried_version == version:
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

    def _priority_order(self):
        """Return the priorities with waiting jobs, in order of service.

        Those below their guaranteed share come first.
        """
        below = []
        others = []
        for name in _model.PRIORITIES:
            if self._queues[name]:
                share = _model.dominant_share(
                    self._priority_used[name], self._total_capacity
                )
                if share < self._config.share(name):
                    below.append(name)
                else:
                    others.append(name)
        return below + others

    def _try_start(self, queued_job, now, actions):
        """Start one task, or a whole gang, and return the number of starts."""
        spec = queued_job.spec
        if spec.kind == "gang":
            return self._try_start_gang(queued_job, now, actions)
        if not self._within_quota(spec.team, spec.size):
            return 0
        worker = self._find_worker(queued_job, now)
        backfill = False
        if worker is None:
            worker = self._find_backfill_worker(queued_job, now)
            if worker is None:
                return 0
            backfill = True
        index = queued_job.indices[0]
        allotment = self._start(queued_job, worker, index, now, actions)
        allotment.backfill = backfill
        del queued_job.indices[0]
        self._queued_tasks -= 1
        if not queued_job.indices:
            self._remove_from_queue(queued_job)
        return 1

    def _start(self, queued_job, worker, index, now, actions):
        spec = queued_job.spec
        self._consume_hold(queued_job, worker)
        is_trial = worker.suspect or worker.quarantined_until is not None
        if is_trial and spec.kind != "gang":
            worker.trial_task = (spec.job, index)
            worker.trial_started_at = now
            self._trials[worker.name] = worker
        actions.append(_model.Start(spec.job, index, worker.name))
        return self.allot(worker.name, (spec.job, index), spec.size, spec, now)

    def _try_start_gang(self, queued_job, now, actions):
        spec = queued_job.spec
        count = len(queued_job.indices)
        required = tuple(count * part for part in spec.size)
        if not self._within_quota(spec.team, required):
            return 0
        hold = queued_job.hold
        if hold is not None:
            # The gang may use the resources that are held for it.
            self._apply_hold(hold, -1)
        fitting = _index.count_fitting_tasks(
            self._index, spec.size, (), count, self._config
        )
        started = 0
        if fitting >= count:
            if hold is not None:
                hold.amounts = {}
                self._release_hold(queued_job)
            for index in queued_job.indices:
                worker = self._search_index(spec, queued_job.avoid)
                if worker is None:
                    worker = self._search_index(spec, ())
                self._start(queued_job, worker, index, now, actions)
            started = count
            self._queued_tasks -= count
            self._remove_from_queue(queued_job)
        elif hold is not None:
            self._apply_hold(hold, 1)
        return started

    def _find_worker(self, queued_job, now):
        """Return a worker for one task of a job, or None."""
        spec = queued_job.spec
        if queued_job.hold is not None:
            for name in queued_job.hold.amounts:
                worker = self._workers.get(name)
                if worker is None or not _health.may_start(worker):
                    continue
                available = _model.add(
                    worker.available, queued_job.hold.amounts[name]
                )
                if _model.fits(spec.size, available):
                    return worker
        probe = self._find_worker_to_probe(spec, now)
        if probe is not None:
            return probe
        size = spec.size
        if self._unplaceable_version != self._capacity_version:
            self._unplaceable_sizes = []
            self._unplaceable_version = self._capacity_version
        for unplaceable in self._unplaceable_sizes:
            # Tasks without accelerators may not use the resources kept for
            # accelerators, so that a task with accelerators may fit even if
            # they do not.
            if _model.fits(unplaceable, size) and (
                unplaceable[2] or not size[2]
            ):
                return None
        worker = self._search_index(spec, queued_job.avoid)
        if worker is None and queued_job.avoid:
            worker = self._search_index(spec, ())
        if worker is None:
            self._add_unplaceable_size(size)
        return worker

    def _add_unplaceable_size(self, size):
        """Store a size that fits on no worker and drop those it implies."""
        kept = [
            unplaceable
            for unplaceable in self._unplaceable_sizes
            if not _model.fits(size, unplaceable)
            or (unplaceable[2] and not size[2])
        ]
        if len(kept) < _MAX_UNPLACEABLE_SIZES:
            kept.append(size)
        self._unplaceable_sizes = kept

    def _search_index(self, spec, avoid):
        if spec.kind == "service":
            return _index.find_spread(
                self._index,
                spec.size,
                spec.job,
                avoid,
                self._rack_task_counts.get(spec.job, {}),
                self._config,
            )
        return _index.find_packed(self._index, spec.size, avoid, self._config)

    def _find_worker_to_probe(self, spec, now):
        """Return a quarantined worker that the job may probe, or None."""
        if spec.once or spec.kind != "batch" or spec.priority == "urgent":
            return None
        for worker in self._quarantined.values():
            if _health.may_probe(worker, now):
                if _model.fits(spec.size, worker.available):
                    return worker
        return None

    def _find_backfill_worker(self, queued_job, now):
        """Return a worker with resources reserved for a later start, or None.

        The task has to be expected to end before the reserved resources are
        needed.
        """
        hold = self._reservation
        spec = queued_job.spec
        if hold is None or spec.kind != "batch" or spec.once:
            return None
        if queued_job.hold is hold:
            return None
        run_s = _families.expected_run_time_s(
            self._families.get(spec.family), spec
        )
        if now + run_s * self._config.backfill_factor > hold.shadow_time:
            return None
        for name, amount in hold.amounts.items():
            worker = self._workers.get(name)
            if worker is None or not _health.may_start(worker):
                continue
            if _model.fits(spec.size, _model.add(worker.available, amount)):
                return worker
        return None

    # Holds

    def _apply_hold(self, hold, sign):
        """Add (`sign` 1) or remove (-1) the resources of a hold."""
        for name, amount in hold.amounts.items():
            worker = self._workers.get(name)
            if worker is not None:
                change = amount if sign > 0 else _negative(amount)
                worker.held = _model.add(worker.held, change)
                self._refresh_worker(worker)

    def _consume_hold(self, queued_job, worker):
        """Release what is held on a worker for one task of the job."""
        hold = queued_job.hold
        if hold is None or worker.name not in hold.amounts:
            return
        remaining = _model.subtract(
            hold.amounts[worker.name], queued_job.spec.size
        )
        if remaining[0] > 0 or remaining[1] > 0 or remaining[2] > 0:
            hold.amounts[worker.name] = remaining
        else:
            del hold.amounts[worker.name]
        worker.held = _model.subtract(worker.held, queued_job.spec.size)
        self._refresh_worker(worker)
        if not hold.amounts:
            self._release_hold(queued_job)

    def _release_hold(self, queued_job):
        hold = queued_job.hold
        if hold is None:
            return
        queued_job.hold = None
        self._apply_hold(hold, -1)
        self._holds.pop(hold.job, None)
        if self._reservation is hold:
            self._reservation = None
        self._capacity_version += 1

    def _advance_holds(self, now, actions):
        """Release expired or broken holds and advance preemptions.

        A hold is broken if one of its workers is gone or not schedulable.
        """
        for job, hold in list(self._holds.items()):
            queued_job = self._queued_jobs[job]
            workers = [self._workers.get(name) for name in hold.amounts]
            broken = any(
                worker is None or not worker.schedulable for worker in workers
            )
            if now >= hold.until or broken:
                self._release_hold(queued_job)
                queued_job.reservation_not_before = (
                    now + self._config.reservation_cooldown_s
                )
                self._event_counts["holds_given_up"] += 1
                continue
            if hold.shadow_time is not None:
                if now >= hold.shadow_time:
                    self._preempt_backfill(hold, now, actions)
                continue
            stage_s = self._config.preemption_stage_s
            while (
                hold.stage < len(_holds.PREEMPTION_STAGES) - 1
                and now - hold.stage_at >= stage_s
            ):
                hold.stage += 1
                hold.stage_at += stage_s
                self._emit_stage(hold, actions)

    def _preempt_backfill(self, hold, now, actions):
        """Preempt backfilled tasks that overran into a reservation.

        They are asked for a checkpoint first, and stopped from the next stage
        on.
        """
        if now < hold.stage_at:
            return
        hold.stage_at = now + self._config.preemption_stage_s
        how = _holds.PREEMPTION_STAGES[0 if hold.stage == 0 else -1]
        hold.stage += 1
        for name in hold.amounts:
            worker = self._workers[name]
            if _model.fits(_index.ZERO, worker.available):
                continue
            for key, allotment in worker.allotted.items():
                if allotment.backfill:
                    actions.append(_model.Preempt(name, key, how, hold.job))

    def _emit_stage(self, hold, actions):
        """Append the preemptions of the current stage to `actions`."""
        how = _holds.PREEMPTION_STAGES[hold.stage]
        for name, keys in hold.victims.items():
            worker = self._workers.get(name)
            if worker is None:
                continue
            if how == "throttle":
                # Throttling releases nothing but cores.
                available = worker.available
                if available[0] >= 0 or available[1] < 0 or available[2] < 0:
                    continue
            if _model.fits(_index.ZERO, worker.available):
                continue
            for key in keys:
                if key in worker.allotted:
                    actions.append(_model.Preempt(name, key, how, hold.job))

    def _preempt_for(self, queued_job, limit, now, actions):
        """Preempt allotments for tasks of an urgent job.

        Returns
        -------
        int
            Number of tasks that can start once the victims have ended.
        """
        spec = queued_job.spec
        hold = queued_job.hold
        if hold is not None and (hold.shadow_time is not None or hold.amounts):
            return 0
        count = len(queued_job.indices) if spec.kind == "gang" else 1
        count = max(count, min(len(queued_job.indices), limit))
        plan = self._plan_preemption(queued_job, count, now)
        if plan is None:
            if self._urgent_retry_at is None:
                self._urgent_retry_at = now + self._config.preemption_stage_s
            return 0
        hold, planned = plan
        self._holds[spec.job] = hold
        queued_job.hold = hold
        self._apply_hold(hold, 1)
        self._event_counts["preemptions"] += sum(
            map(len, hold.victims.values())
        )
        self._emit_stage(hold, actions)
        return planned

    def _retry_urgent_jobs(self, now):
        """Mark urgent jobs as not tried if no victims were found for one.

        Each call of `place` compares only some of the workers, so that the
        next one may find victims.
        """
        if self._urgent_retry_at is None or now < self._urgent_retry_at:
            return
        self._urgent_retry_at = None
        for queue in self._queues["urgent"].values():
            queue.tried_version = -1
            depth = self._config.scan_depth
            for queued_job in itertools.islice(queue.jobs.values(), depth):
                queued_job.tried_version = -1

    def _preemption_window(self, now):
        """Return the workers compared in this call of `place`.

        Each call continues behind the workers of the previous one.
        """
        if self._current_window is None:
            names = list(self._workers)
            first = self._window_offset % max(1, len(names))
            ordered = names[first:] + names[:first]
            self._current_window = _holds.PreemptionWindow(
                (self._workers[name] for name in ordered),
                self._holds.values(),
                self._is_preemptible,
                lambda allotment: self._preemption_cost(allotment, now),
                self._config.max_preemption_candidates,
            )
            self._window_offset = first + self._current_window.scanned_workers
        return self._current_window

    def _plan_preemption(self, queued_job, count, now):
        spec = queued_job.spec
        window = self._preemption_window(now)
        used = dict(self._priority_used)
        planned = {}
        victims = {}
        required = _index.ZERO
        taken = []
        planned_tasks = 0

        def keeps_share(priority, remaining):
            share = self._config.share(priority)
            return (
                _model.dominant_share(remaining, self._total_capacity) >= share
            )

        while planned_tasks < count:
            required = _model.add(required, spec.size)
            if not self._within_quota(spec.team, required):
                break
            found = _holds.choose_victims(
                window, planned, spec.size, queued_job.avoid, used, keeps_share
            )
            if found is None:
                break
            worker, candidates, chosen = found
            name = worker.name
            before = planned.get(name, _index.ZERO)
            planned[name] = _model.add(before, spec.size)
            taken.append((name, candidates, chosen))
            keys = victims.setdefault(name, [])
            for entry in chosen:
                candidates.remove(entry)
                victim = entry[2]
                window.add_pending_release(name, victim.size)
                priority = victim.spec.priority
                used[priority] = _model.subtract(used[priority], victim.size)
                keys.append(entry[1])
            planned_tasks += 1
        if not planned_tasks or (
            spec.kind == "gang" and planned_tasks < count
        ):
            window.undo(taken)
            return None
        hold = _holds.Hold(spec.job, now + self._config.preemption_timeout_s)
        hold.stage_at = now
        hold.amounts = planned
        hold.victims = victims
        return hold, planned_tasks

    def _is_preemptible(self, allotment):
        """Return whether an allotment may be preempted by urgent tasks."""
        spec = allotment.spec
        return spec is not None and not spec.once and spec.priority != "urgent"

    def _preemption_cost(self, allotment, now):
        """Return the work lost with an allotment.

        Seconds of run time, weighted by the dominant share of the allotment
        and by its priority.
        """
        spec = allotment.spec
        if spec.kind == "service":
            seconds = self._config.service_preemption_cost_s
        else:
            seconds = now - allotment.started_at + 1.0
        amount = seconds * _model.dominant_share(
            allotment.size, self._total_capacity
        )
        if spec.kind == "gang":
            # If one task of a gang is stopped, all of them are.
            amount *= self._gang_task_counts.get(spec.job, 1)
        return amount * (10.0 if spec.priority == "normal" else 1.0)

    def _find_reservation_candidate(self, now):
        """Return the longest waiting job that may get a reservation, or None.

        Only jobs that were tried and did not fit are considered.
        """
        since = now - self._config.reserve_after_s
        best = None
        for queues in self._queues.values():
            for queue in queues.values():
                for queued_job in itertools.islice(
                    queue.jobs.values(), _MAX_RESERVATION_CANDIDATES
                ):
                    if (
                        queued_job.hold is not None
                        or queued_job.tried_version < 0
                    ):
                        continue
                    if (
                        queued_job.waiting_since <= since
                        and queued_job.reservation_not_before <= now
                    ):
                        if (
                            best is None
                            or queued_job.waiting_since < best.waiting_since
                        ):
                            best = queued_job
        return best

    def _reserve(self, queued_job, now, actions):
        """Reserve resources for a job, or put off its next reservation."""
        spec = queued_job.spec
        count = len(queued_job.indices) if spec.kind == "gang" else 1
        required = tuple(count * part for part in spec.size)
        plan = None
        if self._within_quota(spec.team, required):
            plan = _holds.plan_reservation(
                self._workers.values(),
                self._families,
                spec,
                count,
                queued_job.avoid,
                now,
            )
        if plan is None or plan[1] > now + self._config.max_reservation_s:
            queued_job.reservation_not_before = (
                now + self._config.reservation_cooldown_s
            )
            return
        amounts, shadow_time = plan
        until = min(
            shadow_time + self._config.reservation_slack_s,
            now + self._config.max_reservation_s,
        )
        hold = _holds.Hold(spec.job, until, shadow_time)
        hold.amounts = amounts
        queued_job.hold = hold
        self._holds[spec.job] = hold
        self._reservation = hold
        self._apply_hold(hold, 1)
        self._event_counts["reservations"] += 1
        actions.append(_model.Reserve(spec.job, tuple(amounts), until))

    # Outcomes

    def record_outcome(self, worker, key, succeeded, now):
        """Record whether a task succeeded; call it before `release`.

        Parameters
        ----------
        worker : str
            Id of the worker.
        key : hashable
            Identifies the allotment on this worker.
        succeeded : bool
            False if the task failed.
        now : float
            Monotonic seconds.
        """
        worker_state = self._workers.get(worker)
        allotment = worker_state.allotted.get(key) if worker_state else None
        if allotment is None or allotment.spec is None:
            return
        spec = allotment.spec
        family = self._families.get(spec.family)
        _families.record_end(
            family, spec, worker, succeeded, now - allotment.started_at
        )
        if succeeded:
            self._clear_failures(worker_state)
            return
        limit = max(1, len(self._workers) * self._config.max_quarantined_share)
        quarantined = _health.record_failure(
            worker_state,
            spec.family,
            self._families,
            self._config,
            len(self._quarantined) < limit,
            now,
        )
        if quarantined and worker not in self._quarantined:
            self._quarantined[worker] = worker_state
            self._event_counts["quarantines"] += 1
        self._refresh_worker(worker_state)

    def _clear_failures(self, worker):
        _health.record_success(worker)
        self._quarantined.pop(worker.name, None)
        worker.trial_task = None
        self._trials.pop(worker.name, None)
        self._capacity_version += 1
        self._refresh_worker(worker)

    def _end_trials(self, now):
        for worker in list(self._trials.values()):
            if now - worker.trial_started_at >= _health.TRIAL_SUCCESS_S:
                self._clear_failures(worker)
        for worker in self._quarantined.values():
            if _health.may_probe(worker, now):
                # Jobs that did not fit may serve as a probe.
                self._capacity_version += 1
                break

    def is_quarantined(self, worker):
        """Return whether the worker is quarantined."""
        return worker in self._quarantined

    def dump(self):
        """Return the state for the state dump, as JSON types.

        Each list holds at most `_DUMP_LIMIT` entries.
        """
        names = itertools.islice(self._quarantined, _DUMP_LIMIT)
        loads = sorted(self._team_load.items(), key=lambda e: -e[1])
        return {
            "queued": self._queued_tasks,
            "workers": len(self._workers),
            "total": list(self._total_capacity),
            "used": {k: list(v) for k, v in self._priority_used.items()},
            "team_loads": dict(loads[:_DUMP_LIMIT]),
            "quarantined": list(names),
            "holds": [
                {"job": hold.job, "until": hold.until, "stage": hold.stage}
                for hold in itertools.islice(self._holds.values(), _DUMP_LIMIT)
            ],
            "over_request": self._families.over_request(_DUMP_LIMIT),
            "counts": dict(self._event_counts),
        }


def _negative(size):
    return (-size[0], -size[1], -size[2])


def _decrement(table, key):
    left = table[key] - 1
    if left:
        table[key] = left
    else:
        del table[key]
