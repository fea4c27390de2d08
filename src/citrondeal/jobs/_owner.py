"""Decisions of the process that owns a zone's pool of workers.

Holds, while this process is the owner, which tasks run on which workers.
"""

import heapq
import itertools
import math

from citrondeal.jobs import _assignments
from citrondeal.jobs import _crashes
from citrondeal.jobs import _isolation
from citrondeal.jobs import _job
from citrondeal import numbers
from citrondeal import placement

# Of anything that a worker reports; its sums stay exact.
MAX_QUANTITY = 1e9


class PoolOwner:
    """Starts, renews, stops and restarts the tasks of one zone.

    Performs no input or output: methods named ``on_...`` take events,
    `sync_request` returns the next request to a worker, and `tick` the
    records to append.

    Parameters
    ----------
    job_table : JobTable
        The zone's jobs; `on_record` applies records to it.
    pool : placement.Pool
        Chooses workers for tasks; its workers and allotments are managed
        here.
    config : _assignments.OwnerConfig, optional
        Settings.
    """

    def __init__(self, job_table, pool, config=None):
        self._job_table = job_table
        self._pool = pool
        self._config = config or _assignments.OwnerConfig()
        self._workers = {}
        # Times, on this process's clock, at which the VM list was first and
        # last read, and at which a worker last left it.
        self._list_known_since = math.inf
        self._list_read_at = -math.inf
        self._worker_unlisted_at = -math.inf
        self._log_end_read_at = None
        self._owned = False
        self._crashes = _crashes.Crashes()
        self._reset(-math.inf)

    @classmethod
    def from_config(cls, config, job_table, pool):
        """Return an object with the settings in `config`."""
        return cls(job_table, pool, config)

    def _reset(self, previous_until):
        self._epoch = None
        self._attempt = 0
        self._gained_at = 0.0
        self._previous_until = previous_until
        self._caught_up = False
        self._recovered = False
        # Assignments by task key, i.e. (job id, index).
        self._assigned = {}
        # Keys of tasks that were found running during the recovery.
        self._found_in_recovery = set()
        # Ended tasks whose record has not been read from the log: task id ->
        # entry of the record, and task id -> time of the next append.
        self._unrecorded_ends = {}
        self._end_append_at = {}
        # Task keys with a final outcome that has not been read from the log
        # -> task id.
        self._unrecorded_final_ends = {}
        # Number of unrecorded failures by task key.
        self._unrecorded_failures = {}
        # Task id -> name of the worker that listed the end.
        self._end_listed_by = {}
        # Keys of `once` tasks whose intent in the log this owner may use, as
        # no other owner can have started them.
        self._usable_intents = set()
        # Task id -> (time of the next append of the intent, assignment).
        self._intent_append_at = {}
        # Heap of (due time, sequence number, job, index); the index is None
        # for all open tasks of the job.
        self._delayed = []
        self._sequence = itertools.count()
        self._crashes.reset()
        self._isolation = _isolation.Isolation(
            self._pool,
            self._workers,
            self._is_open,
            self._crashes.has_crashed,
        )

    @property
    def crashes(self):
        """Crashes of workers that this process has seen."""
        return self._crashes

    @property
    def job_table(self):
        """The zone's jobs, as the log defines them."""
        return self._job_table

    @property
    def pool(self):
        """Capacity, allotments and queue of the workers."""
        return self._pool

    @property
    def owned(self):
        """Whether this process owns the pool; ignores its validity."""
        return self._owned

    # Events

    def on_workers(self, infos, now):
        """Take the workers of the VM list.

        Parameters
        ----------
        infos : iterable of _assignments.WorkerInfo
            Complete list; a worker that is not in it has left the zone.
        now : float
            Monotonic seconds.
        """
        self._list_known_since = min(self._list_known_since, now)
        self.on_list_read(now)
        named = {info.name: info for info in infos}
        for name, info in named.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = self._workers[name] = _assignments.Worker(info)
            worker.info = info
            worker.drained = worker.drained or info.leaving
            worker.unlisted = False
            self._update_pool_worker(worker, now)
        for name, worker in list(self._workers.items()):
            if name not in named:
                if not worker.unlisted:
                    self._worker_unlisted_at = now
                    self._on_unlisted(worker, now)
                worker.unlisted = True
                self._update_pool_worker(worker, now)
                self._remove_if_unlisted(worker)

    def _on_unlisted(self, worker, now):
        """Forget what would count if a worker that has left had crashed."""
        name = worker.info.name
        self._crashes.on_unlisted(name)
        if not self._owned or not self._caught_up:
            return
        for task, _ in self._job_table.starts.at(name):
            if task not in worker.assignments:
                task_key = _job.parse_task_id(task)[:2]
                self._release_start(task_key, task, now)

    def _update_pool_worker(self, worker, now):
        info = worker.info
        is_open = self._is_open(worker)
        if self._isolation.is_closed(info.name):
            is_open = False
        self._pool.set_worker(
            info.name,
            placement.capacity_of(
                info.cores, info.memory_mb, info.accelerators
            ),
            info.rack,
            is_open,
            now,
        )

    def _is_open(self, worker):
        """Return whether tasks may be started on the worker."""
        return (
            self._owned
            and worker.task_list_read
            and worker.answering
            and not worker.unlisted
            and not worker.info.leaving
        )

    def _remove_if_unlisted(self, worker):
        if worker.unlisted and not worker.assignments:
            self._pool.remove_worker(worker.info.name)
            self._workers.pop(worker.info.name, None)

    def on_list_read(self, now):
        """Note that the VM list was read, whether or not it changed."""
        self._list_read_at = now

    def on_unused_pool(self, now):
        """Note that no process has ever owned the pool.

        To be called once the VM list has been read; this process then knows
        every worker that may run a task.
        """
        if self._list_known_since <= now:
            self._list_known_since = -math.inf

    def on_record(self, offset, record, now):
        """Apply one record of the stream, in log order.

        Returns
        -------
        Change or None
            What the record changed, see `JobTable.apply`.
        """
        change = self._job_table.apply(offset, record, self._log_end_read_at)
        if change is None or not self._owned:
            return change
        if change.kind == "submit":
            if self._caught_up:
                self._queue_open_tasks(self._job_table.get(change.job), now)
        elif change.kind == "cancel":
            self._pool.withdraw(change.job)
        elif change.kind == "intent":
            self._on_intent(change.tasks[0], now)
        elif change.kind == "finished":
            self._on_finished(change.tasks, now)
            for task in change.given_up:
                job_id = _job.parse_task_id(task)[0]
                self._crashes.on_given_up(self._job_table.get(job_id), task)
        return change

    def on_log_end_read(self, sent_at, now):
        """Note that a read sent at `sent_at` reached the end of the log."""
        self._log_end_read_at = sent_at
        if self._owned and not self._caught_up:
            if sent_at >= self._gained_at:
                self._caught_up = True
                for job in list(self._job_table.open_jobs.values()):
                    self._queue_open_tasks(job, now)

    def on_gained(self, epoch, previous_until, now):
        """Start acting as the owner of the pool.

        Parameters
        ----------
        epoch : int
            Epoch of the ownership; unique per owner.
        previous_until : float or None
            Upper bound, on this process's clock, of the validity of every
            previous ownership.  None if it is unknown; then `now` is taken,
            since an owner's validity ends before the next one begins.
            ``-inf`` states that no process, this one included, has owned
            the pool before.
        now : float
            Monotonic seconds.
        """
        self.on_lost(now)
        self._reset(now if previous_until is None else previous_until)
        self._owned = True
        self._epoch = epoch
        self._gained_at = now
        for worker in self._workers.values():
            self._update_pool_worker(worker, now)

    def on_lost(self, now):
        """Stop acting as the owner and forget the state of all tasks."""
        self._owned = False
        self._reset(-math.inf)
        self._pool.clear()
        for name, worker in list(self._workers.items()):
            if worker.unlisted:
                self._pool.remove_worker(name)
                del self._workers[name]
                continue
            reset = self._workers[name] = _assignments.Worker(worker.info)
            self._update_pool_worker(reset, now)

    def replace_job_table(self, job_table, now):
        """Take a job table that was loaded from a snapshot.

        Happens at the start of a process, and when retention has removed
        records that the process has not read yet; tasks that run keep
        their assignments.

        Parameters
        ----------
        job_table : JobTable
            State from the snapshot.
        now : float
            Monotonic seconds.
        """
        for job_id in list(self._job_table.open_jobs):
            self._pool.withdraw(job_id)
        self._isolation.clear()
        self._job_table = job_table
        self._log_end_read_at = None
        for assignment in self._assigned.values():
            if assignment.job is None:
                continue
            # A job that is not in the new table counts as ended.
            known = job_table.get(assignment.job.id)
            if known is not None:
                assignment.job = known
            else:
                assignment.job.cancelled = True
        if self._owned:
            self._caught_up = False
            self._gained_at = now

    # Exchanges with the workers

    def sync_request(self, name, now, valid_until):
        """Return the body of the next request to a worker.

        The caller sends it at once, with one exchange per worker at a time,
        and then calls `on_reply` or `on_exchange_failed`.

        Parameters
        ----------
        name : str
            Id of the worker.
        now : float
            Monotonic seconds; to be passed to `on_reply` as `sent_at`.
        valid_until : float or None
            End of the validity of this process's ownership.

        Returns
        -------
        dict or None
            None if nothing may be sent.
        """
        worker = self._workers.get(name)
        if worker is None or worker.unlisted or not self._owned:
            return None
        if valid_until is None or now >= valid_until:
            return None
        if worker.pending_request_at is not None:
            self.on_exchange_failed(name, now)
        starts, renewals, stops = [], [], []
        starting = []
        for assignment in list(worker.assignments.values()):
            if assignment.phase in (_assignments.INTENT, _assignments.READY):
                if not self._should_run(assignment):
                    self._remove_assignment(worker, assignment)
                elif (
                    assignment.phase == _assignments.READY and worker.answering
                ):
                    left = valid_until - now
                    age = now - worker.clock_read_at
                    if (
                        left >= self._config.min_lease_s
                        and age <= self._config.clock_age_s
                    ):
                        starts.append(
                            self._start_request(
                                worker, assignment, valid_until
                            )
                        )
                        starting.append(assignment)
                continue
            if not self._should_run(assignment):
                assignment.stop_order = "stop"
            if assignment.stop_order is not None:
                stops.append(
                    {"task": assignment.task, "how": assignment.stop_order}
                )
            if assignment.phase == _assignments.RUNNING and worker.answering:
                if assignment.stop_order != "stop":
                    self._add_renewal(worker, assignment, renewals, now)
        worker.pending_request_at = now
        worker.last_request_at = now
        worker.pending_starts = starting
        if starts or stops or worker.acks:
            worker.busy_until = now + self._config.busy_s
        return {
            "boot_id": worker.boot_id or "",
            "starts": starts,
            "renew": renewals,
            "stop": stops,
            "ack": sorted(worker.acks),
        }

    def _start_request(self, worker, assignment, valid_until):
        # The worker read `clock_s` no later than `clock_read_at`, when the
        # reply was received, so that this lease cannot end after our own
        # validity, however long the reply took.
        until = worker.clock_s + (valid_until - worker.clock_read_at)
        assignment.phase = _assignments.SENT
        assignment.boot_id = worker.boot_id
        assignment.lease_end = valid_until
        assignment.start_unanswered_until = valid_until
        job = assignment.job
        cores, memory_mb, accelerators = job.work.size
        return {
            "task": assignment.task,
            "job": job.id,
            "cores": cores / 1000,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "run_time_s": job.work.run_time_s,
            "lease_until": until,
            "command": job.command,
        }

    def _add_renewal(self, worker, assignment, renewals, now):
        if now - assignment.renewed_at < self._config.renew_after_s:
            return
        ttl = self._config.task_ttl_s
        until = worker.clock_s + (now - worker.clock_read_at) + ttl
        assignment.renewed_at = now
        assignment.lease_end = max(assignment.lease_end, now + ttl)
        renewals.append({"task": assignment.task, "lease_until": until})

    def on_exchange_failed(self, name, now):
        """Note that the last request has no usable reply.

        The next request contains neither starts nor renewals, so that the
        leases on a failed worker expire.
        """
        worker = self._workers.get(name)
        if worker is None or worker.pending_request_at is None:
            return
        worker.pending_request_at = None
        worker.pending_starts = ()
        worker.answering = False
        self._update_pool_worker(worker, now)

    def on_reply(self, name, reply, sent_at, now):
        """Process a worker's reply.

        Parameters
        ----------
        name : str
            Id of the worker.
        reply : dict
            Body of the reply.
        sent_at : float
            The `now` of the `sync_request` that it answers; replies to
            requests other than the last one are ignored.
        now : float
            Monotonic seconds, not before the reply was received.

        Returns
        -------
        bool
            False if the reply was ignored or malformed.
        """
        worker = self._workers.get(name)
        if worker is None or worker.pending_request_at != sent_at:
            return False
        tasks = _parse_reply(reply)
        if tasks is None:
            self.on_exchange_failed(name, now)
            return False
        worker.pending_request_at = None
        for assignment in worker.pending_starts:
            assignment.start_unanswered_until = -math.inf
        worker.pending_starts = ()
        worker.answering = True
        worker.clock_s = reply["clock_s"]
        worker.clock_read_at = now
        if worker.boot_id != reply["boot_id"]:
            self._on_incarnation(worker, now)
            worker.boot_id = reply["boot_id"]
        else:
            self._crashes.on_same_incarnation(worker)
        self._settle_starts(worker, tasks, sent_at, now)
        worker.drained = worker.info.leaving
        worker.task_list_read = True
        worker.list_request_sent_at = sent_at
        worker.acks.intersection_update(tasks)
        for assignment in list(worker.assignments.values()):
            if assignment.task not in tasks and assignment.phase in (
                _assignments.SENT,
                _assignments.RUNNING,
            ):
                # A start whose reply was lost may still arrive.
                if sent_at <= assignment.start_unanswered_until + self._margin:
                    continue
                self._on_not_running(
                    worker,
                    assignment,
                    assignment.phase == _assignments.RUNNING,
                    now,
                )
        for task in tasks.values():
            self._on_task_listed(worker, task, now)
        self._update_pool_worker(worker, now)
        return True

    def _on_incarnation(self, worker, now):
        """Requeue the tasks of a worker that has restarted."""
        crash, lapsed = self._crashes.on_incarnation(
            worker,
            self._workers.values(),
            self._pool.is_quarantined(worker.info.name),
        )
        for run in lapsed:
            self._record_crash(run, crash, now)
        for assignment in list(worker.assignments.values()):
            if assignment.phase in (_assignments.SENT, _assignments.RUNNING):
                # A start without a reply may have run before the restart.
                may_have_run = assignment.may_have_run
                if may_have_run and crash is not None:
                    run = self._run_of(assignment)
                    if run is not None:
                        self._record_crash(run, crash, now)
                self._on_not_running(worker, assignment, may_have_run, now)
            elif self._has_recorded_starts(assignment.job, assignment):
                # The recorded start is for the previous incarnation.
                self._on_not_running(worker, assignment, False, now)

    def _settle_starts(self, worker, tasks, sent_at, now):
        """Record the end of recorded starts that a worker doesn't list.

        Most of them are of previous owners, or on a worker that was silent.
        """
        if not self._caught_up:
            # The log may have their ends.
            return
        name = worker.info.name
        for task, boot_id in self._job_table.starts.at(name):
            if task in tasks or task in worker.assignments:
                continue
            job_id, index, _ = _job.parse_task_id(task)
            if boot_id == worker.boot_id or worker.drained:
                # The start of a previous owner may still arrive until then.
                if sent_at >= self._previous_until + self._margin:
                    self._release_start((job_id, index), task, now)
                continue
            crash = self._crashes.unseen(worker)
            job = self._job_table.get(job_id)
            if job is not None:
                run = _crashes.Run(job, index, task, 0.0)
                self._record_crash(run, crash, now)

    def _release_start(self, task_key, task, now):
        """Record that a recorded start has ended without a crash."""
        if task in self._unrecorded_ends:
            return
        if self._job_table.starts.has(task_key, task):
            entry = {"task": task, "outcome": "released"}
            self._unrecorded_ends[task] = entry
            self._end_append_at[task] = now

    def _run_of(self, assignment):
        """Return the run whose crash would count, or None."""
        if assignment.job is None or assignment.task_key is None:
            return None
        started_at = assignment.listed_at
        ended_at = assignment.worker.list_request_sent_at
        ran_s = max(0.0, ended_at - started_at)
        return _crashes.Run(
            assignment.job, assignment.task_key[1], assignment.task, ran_s
        )

    def _record_crash(self, run, crash, now):
        """Hold a task back until the log has the crash of its worker."""
        job = self._job_table.get(run.job.id)
        parts = _job.parse_task_id(run.task)
        # The outcome of a task that must run once is unknown.
        if job is None or job.once or run.task in self._unrecorded_ends:
            return
        if job.ended or self._job_table.is_end_recorded(
            job, run.index, parts[2]
        ):
            return
        self._unrecorded_ends[run.task] = self._crashes.entry(run, crash)
        self._end_append_at[run.task] = now

    @property
    def _margin(self):
        return self._config.lease_margin_s

    def _on_task_listed(self, worker, listing, now):
        task = listing["task"]
        assignment = worker.assignments.get(task)
        if listing["state"] in _assignments.ENDED_STATES:
            self._on_end_listed(worker, assignment, listing, now)
            return
        size = placement.size_of(
            listing["cores"], listing["memory_mb"], listing["accelerators"]
        )
        if assignment is None:
            assignment = self._adopt(worker, listing, size, now)
        elif assignment.job is None and assignment.stop_order is None:
            # The job may have become known since the task was first listed.
            self._remove_assignment(worker, assignment)
            assignment = self._adopt(worker, listing, size, now)
        if assignment.listed_at == math.inf:
            assignment.listed_at = now
        assignment.phase = _assignments.RUNNING
        assignment.start_unanswered_until = -math.inf
        if not assignment.throttled:
            size = tuple(map(max, size, assignment.size))
        elif (
            assignment.stop_order == "throttle"
            and size[0] < assignment.size[0]
        ):
            assignment.stop_order = None
        if size != assignment.size:
            assignment.size = size
            self._allot(worker, assignment, now)
        usage = listing.get("usage")
        if _is_usage(usage) and assignment.job is not None:
            self._pool.report_usage(
                worker.info.name, assignment.allotment_key, usage, now
            )

    def _adopt(self, worker, listing, size, now):
        """Add an assignment for a task that this owner has not started."""
        task = listing["task"]
        parts = _job.parse_task_id(task)
        job = self._job_table.get(parts[0]) if parts else None
        if job is not None and parts[1] >= job.tasks:
            job = None
        assignment = _assignments.Assignment(
            task, job, None, worker, task, size, _assignments.RUNNING
        )
        # A previous owner may have renewed the task until the end of its
        # validity.
        assignment.lease_end = (
            max(self._previous_until, self._gained_at)
            + self._config.task_ttl_s
        )
        worker.assignments[task] = assignment
        self._allot(worker, assignment, now)
        task_key = parts[:2] if parts else None
        if (
            task_key in self._assigned
            or task_key in self._unrecorded_final_ends
        ):
            assignment.stop_order = "stop"
        elif task_key is not None:
            # A task of an unknown job blocks its key too, since a job with
            # this id may be submitted while the task still runs.
            assignment.task_key = task_key
            self._assigned[task_key] = assignment
            if job is not None and not self._recovered:
                self._found_in_recovery.add(task_key)
        return assignment

    def _allot(self, worker, assignment, now):
        work = assignment.job.work if assignment.job is not None else None
        self._pool.allot(
            worker.info.name,
            assignment.allotment_key,
            assignment.size,
            work,
            now,
        )

    def _should_run(self, assignment):
        """Return whether the task should run; otherwise it is stopped."""
        job = assignment.job
        if job is None:
            # The job may be in a part of the log that is not read yet.
            return not self._caught_up
        if assignment.task_key is None:
            return False
        return not job.ended and job.is_open(assignment.task_key[1])

    def _remove_assignment(self, worker, assignment):
        del worker.assignments[assignment.task]
        self._pool.release(worker.info.name, assignment.allotment_key)
        self._intent_append_at.pop(assignment.task, None)
        if assignment.task_key is not None:
            self._assigned.pop(assignment.task_key, None)
        self._remove_if_unlisted(worker)

    def _on_not_running(
        self, worker, assignment, may_have_run, now, lapsed=False
    ):
        """Record or requeue a task that certainly does not run any more.

        `may_have_run` tells whether the attempt may have been started,
        `lapsed` whether its worker may have crashed.
        """
        if assignment.task not in worker.assignments:
            # It was removed with another task of its gang.
            return
        self._remove_assignment(worker, assignment)
        if assignment.task_key is None:
            return
        if not lapsed:
            self._release_start(assignment.task_key, assignment.task, now)
        index = assignment.task_key[1]
        if assignment.job is None:
            self._queue_open_tasks(
                self._job_table.get(assignment.task_key[0]), now
            )
            return
        if assignment.job.once and may_have_run:
            self._record_end(
                assignment.job, index, assignment.task, "unknown", "", now
            )
            return
        pause_s = 0.0 if may_have_run else self._config.refused_pause_s
        self._requeue(assignment.job, index, now, pause_s)

    def _on_end_listed(self, worker, assignment, listing, now):
        task = listing["task"]
        state = listing["state"]
        name = worker.info.name
        worker.busy_until = now + self._config.busy_s
        parts = _job.parse_task_id(task)
        job = self._job_table.get(parts[0]) if parts else None
        if job is None or parts[1] >= job.tasks:
            if assignment is not None:
                self._remove_assignment(worker, assignment)
            if self._caught_up:
                worker.acks.add(task)
            return
        index = parts[1]
        if assignment is not None:
            if state in ("finished", "failed"):
                self._pool.record_outcome(
                    name, assignment.allotment_key, state == "finished", now
                )
            self._remove_assignment(worker, assignment)
        if self._job_table.is_end_recorded(job, index, parts[2]):
            worker.acks.add(task)
        elif task in self._unrecorded_ends:
            self._end_listed_by[task] = name
        elif state in ("finished", "failed"):
            self._end_listed_by[task] = name
            self._record_end(job, index, task, state, name, now)
        elif job.once:
            self._end_listed_by[task] = name
            self._record_end(job, index, task, "unknown", name, now)
        else:
            worker.acks.add(task)
            self._release_start((job.id, index), task, now)
        if assignment is not None and assignment.task_key is not None:
            pause = 0.0
            if state == "failed":
                pause = self._restart_pause(job, index)
            if (job.id, index) not in self._unrecorded_final_ends:
                self._requeue(job, index, now, pause)
            elif job.work.kind == "gang":
                self._requeue_ended_gang(job, now)

    def _restart_pause(self, job, index):
        count = job.failures.get(index, 0)
        count += self._unrecorded_failures.get((job.id, index), 0)
        pause = self._config.restart_pause_s * 2 ** min(max(count - 1, 0), 16)
        return min(pause, self._config.restart_limit_s)

    def _record_end(self, job, index, task, outcome, worker, now):
        entry = {"task": task, "outcome": outcome, "worker": worker}
        if worker and self._pool.is_quarantined(worker):
            entry["blame"] = "worker"
        self._unrecorded_ends[task] = entry
        self._end_append_at[task] = now
        task_key = (job.id, index)
        final = outcome != "failed" and job.work.kind != "service"
        if outcome == "failed":
            self._unrecorded_failures[task_key] = (
                self._unrecorded_failures.get(task_key, 0) + 1
            )
            failures = (
                job.failures.get(index, 0)
                + self._unrecorded_failures[task_key]
            )
            final = failures > self._job_table.max_restarts_of(job)
        if final:
            self._unrecorded_final_ends[task_key] = task

    def _on_finished(self, tasks, now):
        for task in tasks:
            entry = self._unrecorded_ends.pop(task, None)
            self._end_append_at.pop(task, None)
            parts = _job.parse_task_id(task)
            task_key = parts[:2]
            job = self._job_table.get(parts[0])
            if entry is not None and entry["outcome"] == "failed":
                left = self._unrecorded_failures.get(task_key, 0) - 1
                if left > 0:
                    self._unrecorded_failures[task_key] = left
                else:
                    self._unrecorded_failures.pop(task_key, None)
            if self._unrecorded_final_ends.get(task_key) == task:
                del self._unrecorded_final_ends[task_key]
            worker = self._workers.get(self._end_listed_by.pop(task, None))
            if worker is not None:
                worker.acks.add(task)
            if job is None or job.ended or job.hold_reason:
                self._pool.withdraw(parts[0])
            if entry is not None and entry["outcome"] == "crashed":
                self._crashes.on_recorded(task_key, task)
                if job is not None and task_key not in self._assigned:
                    self._requeue(job, task_key[1], now, 0.0)

    # Queueing

    def _enqueue(self, job, indices, now):
        """Queue those of the tasks that are not queued yet."""
        waiting = self._pool.waiting_indices(job.id)
        if len(indices) > 1 and waiting:
            waiting = set(waiting)
        added = [index for index in indices if index not in waiting]
        added = self._isolation.take(job, added, now)
        if added:
            self._pool.offer(job.work, added, now, job.failed_on)

    def _requeue(self, job, index, now, pause_s):
        """Queue a task again whose assignment has ended."""
        if job.ended or not job.is_open(index):
            return
        if job.work.kind == "gang":
            self._stop_gang(job, now, pause_s)
            return
        if pause_s > 0:
            entry = (now + pause_s, next(self._sequence), job, index)
            heapq.heappush(self._delayed, entry)
        elif self._may_queue(job, index):
            self._enqueue(job, [index], now)

    def _stop_gang(self, job, now, pause_s):
        """Stop the rest of a gang, and queue it if none of its tasks runs."""
        none_running = True
        for index in range(job.tasks):
            assignment = self._assigned.get((job.id, index))
            if assignment is None:
                continue
            if assignment.phase in (_assignments.INTENT, _assignments.READY):
                self._remove_assignment(assignment.worker, assignment)
                self._release_start((job.id, index), assignment.task, now)
                continue
            none_running = False
            if assignment.stop_order is None:
                assignment.stop_order = "checkpoint"
                assignment.stop_requested_at = now
                assignment.worker.last_request_at = -math.inf
        if none_running:
            due = now + max(pause_s, self._config.refused_pause_s)
            entry = (due, next(self._sequence), job, None)
            heapq.heappush(self._delayed, entry)

    def _requeue_ended_gang(self, job, now):
        """Queue the open tasks of a gang if none of its tasks runs.

        A task that was told to stop because another task of its gang was
        lost may finish nevertheless.
        """
        for index in range(job.tasks):
            if (job.id, index) in self._assigned:
                return
        due = now + self._config.refused_pause_s
        entry = (due, next(self._sequence), job, None)
        heapq.heappush(self._delayed, entry)

    def _may_queue(self, job, index):
        task_key = (job.id, index)
        if (
            job.hold_reason
            or task_key in self._assigned
            or task_key in self._unrecorded_final_ends
            or self._crashes.holds(task_key)
        ):
            return False
        if job.once and index in job.intents:
            if task_key not in self._usable_intents:
                return False
        return (
            self._recovered
            or task_key in self._found_in_recovery
            or self._is_submitted_after_previous_owner(job)
        )

    def _is_submitted_after_previous_owner(self, job):
        """Return whether no previous owner can have started the job.

        True if the job was appended after a read of the log that was sent
        after the end of the previous owner's validity.
        """
        return (
            job.appended_after is not None
            and job.appended_after >= self._previous_until
        )

    def _queue_open_tasks(self, job, now):
        """Queue all tasks of a job that may be started."""
        if job is None or job.ended:
            return
        indices = [i for i in job.open_indices() if self._may_queue(job, i)]
        if job.work.kind == "gang":
            open_tasks = [
                i
                for i in job.open_indices()
                if (job.id, i) not in self._unrecorded_final_ends
            ]
            if indices != open_tasks:
                return
        if indices:
            self._enqueue(job, indices, now)

    def _all_tasks_found(self, now):
        """Return whether all running tasks of previous owners are known.

        All workers on which a task may run are known, because none has left
        the VM list so recently that a lease there may still be valid.  Each
        has listed its tasks in reply to a request that was sent after the
        validity of previous owners, when no start of theirs can take effect
        any more.
        """
        if self._list_read_at < self._previous_until + self._config.list_lag_s:
            return False
        changed_at = max(self._list_known_since, self._worker_unlisted_at)
        if now < changed_at + self._config.unlisted_hold_s:
            return False
        return all(
            worker.task_list_read
            and worker.list_request_sent_at
            >= self._previous_until + self._margin
            for worker in self._workers.values()
            if not worker.unlisted
        )

    def _finish_recovery(self, now):
        """End the recovery: queue the tasks that were not found running.

        Called when no lease from a previous owner is left, except those of
        tasks that were found.
        """
        self._recovered = True
        for job in list(self._job_table.open_jobs.values()):
            if job.once:
                for index in job.open_indices():
                    task_key = (job.id, index)
                    if (
                        index in job.intents
                        and task_key not in self._assigned
                        and task_key not in self._usable_intents
                        and task_key not in self._unrecorded_final_ends
                    ):
                        task = _job.task_id(job.id, index, job.intents[index])
                        self._record_end(job, index, task, "unknown", "", now)
            if job.work.kind == "gang":
                task_keys = [(job.id, i) for i in job.open_indices()]
                assigned = [
                    task_key in self._assigned for task_key in task_keys
                ]
                if any(assigned) and not all(assigned):
                    self._stop_gang(job, now, 0.0)
            if not self._is_submitted_after_previous_owner(job):
                for index in job.open_indices():
                    if (job.id, index) not in self._assigned:
                        self._crashes.on_not_found(job, index)
            self._queue_open_tasks(job, now)
        self._found_in_recovery.clear()

    def tick(self, now, valid_until):
        """Expire leases, place tasks and return the records to append.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        valid_until : float or None
            End of the validity of this process's ownership.

        Returns
        -------
        list of _assignments.AppendRecord
        """
        if not self._owned or valid_until is None or now >= valid_until:
            return []
        self._expire_assignments(now)
        if not self._caught_up:
            return []
        end = (
            self._previous_until
            + self._config.task_ttl_s
            + self._config.lease_wait_s
        )
        if not self._recovered and (now >= end or self._all_tasks_found(now)):
            self._finish_recovery(now)
        while self._delayed and self._delayed[0][0] <= now:
            _, _, job, index = heapq.heappop(self._delayed)
            if job.ended:
                continue
            if index is None:
                self._queue_open_tasks(job, now)
            elif job.is_open(index) and self._may_queue(job, index):
                self._enqueue(job, [index], now)
        self._drain_workers(now)
        self._start_suspects(now)
        for _ in range(self._config.place_rounds):
            if len(self._unrecorded_ends) >= self._config.max_unrecorded:
                break
            started = False
            for action in self._pool.place(now):
                if isinstance(action, placement.Start):
                    started = True
                    self._on_start(action, now)
                elif isinstance(action, placement.Preempt):
                    self._on_preempt(action, now)
            if not started:
                break
        return self._due_appends(now)

    def _start_suspects(self, now):
        """Start tasks under which workers have crashed apart from others."""
        if len(self._unrecorded_ends) < self._config.max_unrecorded:
            for action in self._isolation.place(self._may_queue, now):
                self._on_start(action, now)
        for name in self._isolation.changed_workers():
            worker = self._workers.get(name)
            if worker is not None:
                self._update_pool_worker(worker, now)

    def _expire_assignments(self, now):
        """Remove tasks whose leases ended on workers that do not answer.

        Tasks that were not started yet are removed only from workers that
        have left the VM list.
        """
        for worker in list(self._workers.values()):
            if worker.answering and not worker.unlisted:
                continue
            for assignment in list(worker.assignments.values()):
                if assignment.phase in (
                    _assignments.INTENT,
                    _assignments.READY,
                ):
                    if worker.unlisted:
                        self._on_not_running(worker, assignment, False, now)
                elif now > assignment.lease_end + self._config.lease_wait_s:
                    run = self._run_of(assignment)
                    if run is not None and assignment.may_have_run:
                        self._crashes.on_lapse(worker, run)
                    may_have_crashed = not (worker.unlisted or worker.drained)
                    self._on_not_running(
                        worker, assignment, True, now, lapsed=may_have_crashed
                    )

    def _drain_workers(self, now):
        """Move tasks off leaving workers, and stop slow checkpoints.

        Tasks that must run once are left to run.
        """
        limit = self._config.checkpoint_limit_s
        interrupted = None
        for worker in self._workers.values():
            for assignment in list(worker.assignments.values()):
                if (
                    assignment.stop_order == "checkpoint"
                    and now - assignment.stop_requested_at > limit
                ):
                    assignment.stop_order = "stop"
            if not worker.info.leaving:
                continue
            for assignment in list(worker.assignments.values()):
                if assignment.phase in (
                    _assignments.INTENT,
                    _assignments.READY,
                ):
                    self._on_not_running(worker, assignment, False, now)
                elif (
                    assignment.stop_order is None
                    and assignment.task_key
                    and assignment.job
                ):
                    if interrupted is None:
                        interrupted = self._count_interrupted()
                    self._interrupt_task(assignment, interrupted, now)

    def _count_interrupted(self):
        """Return the number of starting and stopping tasks by job id."""
        counts = {}
        for task_key, assignment in self._assigned.items():
            if (
                assignment.stop_order is not None
                or assignment.phase != _assignments.RUNNING
            ):
                counts[task_key[0]] = counts.get(task_key[0], 0) + 1
        return counts

    def _interrupt_task(self, assignment, interrupted, now):
        job = assignment.job
        if job.once or assignment.phase != _assignments.RUNNING:
            return
        if job.work.kind == "service":
            allowed = max(1, int(job.tasks * self._config.move_share))
            if interrupted.get(job.id, 0) >= allowed:
                return
            interrupted[job.id] = interrupted.get(job.id, 0) + 1
            assignment.stop_order = "stop"
        else:
            assignment.stop_order = "checkpoint"
        assignment.stop_requested_at = now
        assignment.worker.last_request_at = -math.inf

    def _on_start(self, action, now):
        job = self._job_table.get(action.job)
        task_key = (action.job, action.index)
        worker = self._workers[action.worker]
        if job is None or job.ended or not self._may_queue(job, action.index):
            self._pool.release(action.worker, task_key)
            return
        if job.once and task_key in self._usable_intents:
            attempt = job.intents[action.index]
        else:
            self._attempt += 1
            attempt = f"{self._epoch}.{self._attempt}"
        task = _job.task_id(job.id, action.index, attempt)
        assignment = _assignments.Assignment(
            task,
            job,
            task_key,
            worker,
            task_key,
            job.work.size,
            _assignments.READY,
        )
        needs_intent = job.once and task_key not in self._usable_intents
        if needs_intent or self._has_recorded_starts(job, assignment):
            assignment.phase = _assignments.INTENT
            self._intent_append_at[task] = (now, assignment)
        worker.assignments[task] = assignment
        self._assigned[task_key] = assignment

    def _has_recorded_starts(self, job, assignment):
        """Return whether starts of a task are recorded due to crashes."""
        if job is None or job.once or assignment.task_key is None:
            return False
        return assignment.task_key[1] in job.crashes

    def _on_intent(self, task, now):
        task_key = _job.parse_task_id(task)[:2]
        assignment = self._assigned.get(task_key)
        if assignment is not None and assignment.task == task:
            if assignment.phase == _assignments.INTENT:
                assignment.phase = _assignments.READY
                if assignment.job.once:
                    self._usable_intents.add(task_key)
                self._intent_append_at.pop(task, None)
            return
        job = self._job_table.get(task_key[0])
        if not job.once:
            # This owner has given up a start before its record was read.
            attempt = _job.parse_task_id(task)[2]
            if attempt.startswith(f"{self._epoch}."):
                self._release_start(task_key, task, now)
            return
        if not self._caught_up:
            return
        if assignment is not None and assignment.phase != _assignments.INTENT:
            return
        # The record is from a previous owner and came into the log after we
        # had read it to the end, hence after that owner's validity.  The
        # task was never started, and its intent can be used for our start.
        if assignment is not None:
            self._remove_assignment(assignment.worker, assignment)
        self._usable_intents.add(task_key)
        if not job.ended and self._may_queue(job, task_key[1]):
            self._enqueue(job, [task_key[1]], now)

    def _on_preempt(self, action, now):
        worker = self._workers.get(action.worker)
        if worker is None:
            return
        for assignment in list(worker.assignments.values()):
            if assignment.allotment_key != action.key:
                continue
            if assignment.phase in (_assignments.INTENT, _assignments.READY):
                self._on_not_running(worker, assignment, False, now)
            elif assignment.stop_order != "stop":
                worker.last_request_at = -math.inf
                assignment.stop_order = action.how
                assignment.stop_requested_at = now
                if action.how == "throttle":
                    assignment.throttled = True

    def _due_appends(self, now):
        actions = []
        retry = self._config.append_retry_s
        due = [t for t, at in self._end_append_at.items() if at <= now]
        size = self._config.batch_tasks
        for first in range(0, len(due), size):
            batch = due[first : first + size]
            for task in batch:
                self._end_append_at[task] = now + retry
            entries = [self._unrecorded_ends[task] for task in batch]
            record = {"kind": "finished", "tasks": entries}
            actions.append(_assignments.AppendRecord(record))
        for task, (at, assignment) in list(self._intent_append_at.items()):
            if not self._should_run(assignment):
                self._remove_assignment(assignment.worker, assignment)
            elif at <= now:
                self._intent_append_at[task] = (now + retry, assignment)
                record = _intent_record(assignment)
                actions.append(_assignments.AppendRecord(record))
        return actions

    # Queries

    def worker_names(self):
        """Return the names of the workers in the VM list."""
        return [n for n, w in self._workers.items() if not w.unlisted]

    def due_workers(self, now):
        """Return the workers with which an exchange is due.

        A worker is due at once if there is a start, a stop or a first
        renewal to send, every `poll_s` if it is busy or does not answer,
        and every `idle_poll_s` otherwise.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Names, without the workers whose reply is outstanding.
        """
        names = []
        for name, worker in self._workers.items():
            if worker.unlisted or worker.pending_request_at is not None:
                continue
            age = now - worker.last_request_at
            busy = now < worker.busy_until or not worker.answering
            period = self._config.idle_poll_s
            if busy:
                period = self._config.poll_s
            if age >= period or self._needs_exchange(worker, now):
                names.append(name)
        return names

    def _needs_exchange(self, worker, now):
        if not worker.answering:
            return False
        settled = now - self._config.first_renewal_s
        for assignment in worker.assignments.values():
            if (
                assignment.listed_at <= settled
                and assignment.renewed_at == -math.inf
            ):
                return True
            if assignment.phase == _assignments.READY:
                return True
            if assignment.stop_order is None and not self._should_run(
                assignment
            ):
                return True
        return False

    def refusal(self, job):
        """Return why a job record cannot be accepted, or None.

        Parameters
        ----------
        job : dict
            The job, as in a ``submit`` record.

        Returns
        -------
        errors.Failure or None
            ``malformed``, ``never_fits`` or ``overloaded``.
        """
        return self._job_table.refusal(job, self._pool)

    def status(self, job_id, limit=1000):
        """Return the status of a job and of its tasks, or None.

        Parameters
        ----------
        job_id : str
            Id of the job.
        limit : int
            Number of tasks to report on (about 100 bytes each).

        Returns
        -------
        dict or None
            JSON-ready; None if the job is unknown.
        """
        job = self._job_table.get(job_id)
        if job is None:
            return None
        status = self._job_table.status(job_id)
        tasks = []
        for index, code in enumerate(job.outcomes[:limit]):
            assignment = self._assigned.get((job_id, index))
            state = _job.OUTCOMES[chr(code)]
            if assignment is not None:
                state = (
                    "stopping" if assignment.stop_order else assignment.phase
                )
                if not self._should_run(assignment):
                    state = "stopping"
            elif state == "open":
                state = "cancelled" if job.cancelled else "waiting"
            tasks.append(
                {
                    "index": index,
                    "state": state,
                    "task": assignment.task if assignment else None,
                    "worker": assignment.worker.info.name
                    if assignment
                    else None,
                    "failures": job.failures.get(index, 0),
                    "crashes": _counted_crashes(job, index),
                }
            )
        status["task_states"] = tasks
        return status

    def dump(self):
        """Return the state for the state dump, bounded in size."""
        return {
            "owned": self._owned,
            "epoch": self._epoch,
            "caught_up": self._caught_up,
            "released": self._recovered,
            "workers": len(self._workers),
            "answering": sum(w.answering for w in self._workers.values()),
            "places": sum(len(w.assignments) for w in self._workers.values()),
            "unrecorded": len(self._unrecorded_ends),
            "book": self._job_table.dump(),
            "pool": self._pool.dump(),
            "crashes": self._crashes.dump() | self._isolation.dump(),
        }


def _intent_record(assignment):
    worker = assignment.worker
    record = {
        "kind": "intent",
        "task": assignment.task,
        "worker": worker.info.name,
    }
    if not assignment.job.once:
        record["boot_id"] = worker.boot_id
    return record


def _counted_crashes(job, index):
    crashes = job.crashes.get(index)
    return 0 if crashes is None else crashes.counted


def _is_quantity(value):
    return numbers.is_finite(value) and 0 <= value <= MAX_QUANTITY


def _is_usage(usage):
    return isinstance(usage, dict) and all(
        _is_quantity(value)
        for value in (
            usage.get("cores"),
            usage.get("memory_mb"),
            usage.get("lag_s", 0.0),
        )
    )


def _parse_reply(reply):
    """Return the listed tasks by id, or None if the reply is malformed."""
    try:
        if not isinstance(reply["boot_id"], str) or not reply["boot_id"]:
            return None
        if not numbers.is_finite(reply["clock_s"]):
            return None
        tasks = {}
        for task in reply["tasks"]:
            if not isinstance(task["task"], str):
                return None
            if task["state"] not in (*_assignments.ENDED_STATES, "running"):
                return None
            if not all(
                _is_quantity(task[name])
                for name in ("cores", "memory_mb", "accelerators")
            ):
                return None
            tasks[task["task"]] = task
    except (KeyError, TypeError, AttributeError):
        return None
    return tasks
