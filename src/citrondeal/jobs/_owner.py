"""Decisions of the process that owns a zone's pool of workers.

Holds, while this process is the owner, which tasks run on which workers.
"""

import math

from citrondeal.jobs import _assignments
from citrondeal.jobs import _ends
from citrondeal.jobs import _expiry
from citrondeal.jobs import _job
from citrondeal.jobs import _owner_state
from citrondeal.jobs import _queueing
from citrondeal.jobs import _recovery
from citrondeal.jobs import _reports
from citrondeal.jobs import _requests
from citrondeal.jobs import _starting
from citrondeal.jobs import _task_states
from citrondeal import placement


class PoolOwner:
    """Starts, renews, stops and restarts the tasks of one zone.

    Performs no input or output: methods named ``on_...`` take events,
    `sync_request` returns the next request to a worker, and `tick` the
    records to append.  Its parts, which share one state, decide.

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
        self._state = state = _owner_state.OwnerState(
            job_table, pool, config or _assignments.OwnerConfig()
        )
        self._pool = pool
        self._workers = state.workers
        self._crashes = state.crashes
        self._assigned = state.assigned
        # Times, on this process's clock, at which the VM list was first and
        # last read, and at which a worker last left it.
        self._list_known_since = math.inf
        self._list_read_at = -math.inf
        self._worker_unlisted_at = -math.inf
        self._ends = ends = _ends.Ends(state)
        self._queueing = queueing = _queueing.Queueing(state, ends)
        self._starting = _starting.Starting(state, ends, queueing)
        self._recovery = _recovery.Recovery(state, ends, queueing)
        self._expiry = _expiry.Expiry(state, queueing)
        self._requests = _requests.Requests(state)
        self.due_workers = self._requests.due_workers
        hooks = _reports.Hooks(
            self._adopt, self._on_end_listed, self._record_crash
        )
        self._reports = _reports.Reports(state, ends, queueing, hooks)
        self._update_pool_worker = state.update_pool_worker
        # For subclasses to call; replacing them has no effect.
        self._intent_append_at = state.intent_append_at
        self._remove_assignment = state.remove_assignment
        self._run_of = state.run_of
        self._requeue = queueing.requeue
        self._on_not_running = queueing.on_not_running

    @classmethod
    def from_config(cls, config, job_table, pool):
        """Return an object with the settings in `config`."""
        return cls(job_table, pool, config)

    @property
    def crashes(self):
        """Crashes of workers that this process has seen."""
        return self._crashes

    @property
    def job_table(self):
        """The zone's jobs, as the log defines them."""
        return self._state.job_table

    @property
    def pool(self):
        """Capacity, allotments and queue of the workers."""
        return self._pool

    @property
    def owned(self):
        """Whether this process owns the pool; ignores its validity."""
        return self._state.owned

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
                self._state.remove_if_unlisted(worker)

    def _on_unlisted(self, worker, now):
        """Forget what would count if a worker that has left had crashed."""
        name = worker.info.name
        self._crashes.on_unlisted(name)
        if not self._state.owned or not self._state.caught_up:
            return
        for task, _ in self._state.job_table.starts.at(name):
            if task not in worker.assignments:
                task_key = _job.parse_task_id(task)[:2]
                self._ends.release_start(task_key, task, now)

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
        change = self._state.job_table.apply(
            offset, record, self._state.log_end_read_at
        )
        if change is None or not self._state.owned:
            return change
        if change.kind == "submit":
            if self._state.caught_up:
                self._queueing.queue_open_tasks(
                    self._state.job_table.get(change.job), now
                )
        elif change.kind == "cancel":
            self._pool.withdraw(change.job)
        elif change.kind == "intent":
            self._starting.on_intent(change.tasks[0], now)
        elif change.kind == "finished":
            self._queueing.on_finished(change.tasks, now)
            for task in change.given_up:
                job_id = _job.parse_task_id(task)[0]
                self._crashes.on_given_up(
                    self._state.job_table.get(job_id), task
                )
        return change

    def on_log_end_read(self, sent_at, now):
        """Note that a read sent at `sent_at` reached the end of the log."""
        self._state.log_end_read_at = sent_at
        if self._state.owned and not self._state.caught_up:
            if sent_at >= self._state.gained_at:
                self._state.caught_up = True
                for job in list(self._state.job_table.open_jobs.values()):
                    self._queueing.queue_open_tasks(job, now)

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
        self._state.reset(now if previous_until is None else previous_until)
        self._state.owned = True
        self._state.epoch = epoch
        self._state.gained_at = now
        for worker in self._workers.values():
            self._update_pool_worker(worker, now)

    def on_lost(self, now):
        """Stop acting as the owner and forget the state of all tasks."""
        self._state.owned = False
        self._state.reset(-math.inf)
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
        for job_id in list(self._state.job_table.open_jobs):
            self._pool.withdraw(job_id)
        self._state.isolation.clear()
        self._state.job_table = job_table
        self._state.log_end_read_at = None
        for assignment in self._assigned.values():
            if assignment.job is None:
                continue
            # A job that is not in the new table counts as ended.
            known = job_table.get(assignment.job.id)
            if known is not None:
                assignment.job = known
            else:
                assignment.job.cancelled = True
        if self._state.owned:
            self._state.caught_up = False
            self._state.gained_at = now

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
        if worker is None or worker.unlisted or not self._state.owned:
            return None
        if valid_until is None or now >= valid_until:
            return None
        if worker.pending_request_at is not None:
            self.on_exchange_failed(name, now)
        return self._requests.compose(
            worker, self._add_renewal, now, valid_until
        )

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
        tasks = _reports.parse(reply)
        if tasks is None:
            self.on_exchange_failed(name, now)
            return False
        self._reports.apply(worker, reply, tasks, sent_at, now)
        return True

    # Periodic work

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
        if not self._state.owned or valid_until is None or now >= valid_until:
            return []
        self._expire_assignments(now)
        if not self._state.caught_up:
            return []
        if not self._state.recovered and (
            now >= self._recovery.leases_end or self._all_tasks_found(now)
        ):
            self._recovery.finish(now)
        self._queueing.queue_due_tasks(now)
        self._expiry.drain_workers(self._interrupt_task, now)
        self._start_suspects(now)
        for _ in range(self._state.config.place_rounds):
            if (
                len(self._state.unrecorded_ends)
                >= self._state.config.max_unrecorded
            ):
                break
            started = False
            for action in self._pool.place(now):
                if isinstance(action, placement.Start):
                    started = True
                    self._on_start(action, now)
                elif isinstance(action, placement.Preempt):
                    self._starting.on_preempt(action, now)
            if not started:
                break
        return self._ends.due_appends(now) + self._starting.due_appends(now)

    def _start_suspects(self, now):
        """Start tasks under which workers have crashed apart from others."""
        if (
            len(self._state.unrecorded_ends)
            < self._state.config.max_unrecorded
        ):
            for action in self._state.isolation.place(
                self._queueing.may_queue, now
            ):
                self._on_start(action, now)
        for name in self._state.isolation.changed_workers():
            worker = self._workers.get(name)
            if worker is not None:
                self._update_pool_worker(worker, now)

    # Steps that subclasses may replace

    def _add_renewal(self, worker, assignment, renewals, now):
        self._requests.add_renewal(worker, assignment, renewals, now)

    def _adopt(self, worker, listing, size, now):
        return self._reports.adopt(worker, listing, size, now)

    def _on_end_listed(self, worker, assignment, listing, now):
        self._reports.on_end_listed(worker, assignment, listing, now)

    def _record_crash(self, run, crash, now):
        self._ends.record_crash(run, crash, now)

    def _on_start(self, action, now):
        self._starting.on_start(action, now)

    def _expire_assignments(self, now):
        self._expiry.expire_assignments(now)

    def _interrupt_task(self, assignment, interrupted, now):
        self._expiry.interrupt_task(assignment, interrupted, now)

    def _all_tasks_found(self, now):
        changed_at = max(self._list_known_since, self._worker_unlisted_at)
        return self._recovery.all_tasks_found(
            self._list_read_at, changed_at, now
        )

    # Queries

    def worker_names(self):
        """Return the names of the workers in the VM list."""
        return [n for n, w in self._workers.items() if not w.unlisted]

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
        return self._state.job_table.refusal(job, self._pool)

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
        job = self._state.job_table.get(job_id)
        if job is None:
            return None
        status = self._state.job_table.status(job_id)
        status["task_states"] = _task_states.task_states(
            self._state, job, limit
        )
        return status

    def dump(self):
        """Return the state for the state dump, bounded in size."""
        return _task_states.dump(self._state)
