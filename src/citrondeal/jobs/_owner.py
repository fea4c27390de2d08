"""The pool owner's view of the workers and of the tasks on them."""

import heapq
import itertools
import math

from citrondeal.jobs import _job_table
from citrondeal.jobs import _places
from citrondeal import placement


class PoolOwner:
    """Connects the fold, the pool and the workers of one zone.

    Feed it with events; `sync_request` gives the next request to a worker
    and `tick` the records to append.

    Parameters
    ----------
    job_table : JobTable
        Fold of the zone's jobs; `on_record` applies records to it.
    pool : placement.Pool
        Placement; its workers and allotments are managed here.
    config : _places.OwnerConfig, optional
        Settings.
    """

    def __init__(self, job_table, pool, config=None):
        self._job_table = job_table
        self._pool = pool
        self._config = config or _places.OwnerConfig()
        self._workers = {}
        # What this process has seen of the list of workers.
        self._listed_since = math.inf
        self._listed_at = -math.inf
        self._unlisted_at = -math.inf
        self._tail_sent = None
        self._owned = False
        self._reset(-math.inf)

    @classmethod
    def from_config(cls, config, job_table, pool):
        """Return an owner's view with the settings in `config`."""
        return cls(job_table, pool, config)

    def _reset(self, bound):
        self._epoch = None
        self._attempt = 0
        self._gained_at = 0.0
        self._bound = bound
        self._caught_up = False
        self._released = False
        # Places by (job, index).
        self._at = {}
        # Tasks that were found running before the release.
        self._found_early = set()
        # Ended tasks whose record is not read back: task -> entry.
        self._records = {}
        self._record_due = {}
        # Tasks with a final outcome that is not read back.
        self._finishing = {}
        self._failing = {}
        self._ended_on = {}
        self._own_intents = set()
        self._intent_due = {}
        self._later = []
        self._sequence = itertools.count()

    # Properties for the shell

    @property
    def job_table(self):
        """Fold of the zone's jobs."""
        return self._job_table

    @property
    def pool(self):
        """Placement state."""
        return self._pool

    @property
    def owned(self):
        """Whether this process owns the pool (its validity aside)."""
        return self._owned

    # Events

    def on_workers(self, infos, now):
        """Take the workers of the VM list.

        Parameters
        ----------
        infos : iterable of _places.WorkerInfo
            Complete list; a worker that is missing is gone.
        now : float
            Monotonic seconds.
        """
        self._listed_since = min(self._listed_since, now)
        self.on_list_read(now)
        named = {info.name: info for info in infos}
        for name, info in named.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = self._workers[name] = _places.Worker(info)
            worker.info = info
            worker.gone = False
            self._refresh(worker, now)
        for name, worker in list(self._workers.items()):
            if name not in named:
                if not worker.gone:
                    self._unlisted_at = now
                worker.gone = True
                self._refresh(worker, now)
                self._forget(worker)

    def _refresh(self, worker, now):
        info = worker.info
        is_open = (
            self._owned
            and worker.read
            and worker.answering
            and not worker.gone
            and not info.leaving
        )
        self._pool.set_worker(
            info.name,
            placement.capacity_of(
                info.cores, info.memory_mb, info.accelerators
            ),
            info.rack,
            is_open,
            now,
        )

    def _forget(self, worker):
        if worker.gone and not worker.places:
            self._pool.remove_worker(worker.info.name)
            self._workers.pop(worker.info.name, None)

    def on_list_read(self, now):
        """Note that the list was read at `now`, whether or not it changed."""
        self._listed_at = now

    def on_unused_pool(self, now):
        """Note that no process has ever owned the pool.

        To be called while the list of workers is known; every worker that
        may run a task is then known to this process.
        """
        if self._listed_since <= now:
            self._listed_since = -math.inf

    def on_record(self, offset, record, now):
        """Apply one record of the stream, in log order.

        Returns
        -------
        Change or None
            What the record changed, see `JobTable.apply`.
        """
        change = self._job_table.apply(offset, record, self._tail_sent)
        if change is None or not self._owned:
            return change
        if change.kind == "submit":
            if self._caught_up:
                self._offer(self._job_table.get(change.job), now)
        elif change.kind == "cancel":
            self._pool.withdraw(change.job)
        elif change.kind == "intent":
            self._on_intent(change.tasks[0], now)
        elif change.kind == "finished":
            self._on_finished(change.tasks, now)
        return change

    def on_log_end_read(self, sent_at, now):
        """Note that a read sent at `sent_at` reached the end of the log."""
        self._tail_sent = sent_at
        if self._owned and not self._caught_up:
            if sent_at >= self._gained_at:
                self._caught_up = True
                for job in list(self._job_table.open_jobs.values()):
                    self._offer(job, now)

    def on_gained(self, epoch, previous_until, now):
        """Start to act as the owner of the pool.

        Parameters
        ----------
        epoch : int
            Epoch of the ownership; unique per owner.
        previous_until : float or None
            Upper bound, on our clock, of the validity of every previous
            owner.  None if there is no bound; then `now` is taken, since
            an owner's validity ends before the next one begins.  ``-inf``
            states that there never was another owner, nor an earlier
            ownership of this process.
        now : float
            Monotonic seconds.
        """
        self.on_lost(now)
        self._reset(now if previous_until is None else previous_until)
        self._owned = True
        self._epoch = epoch
        self._gained_at = now
        for worker in self._workers.values():
            self._refresh(worker, now)

    def on_lost(self, now):
        """Stop to act as the owner; everything about tasks is forgotten."""
        self._owned = False
        self._reset(-math.inf)
        self._pool.clear()
        for name, worker in list(self._workers.items()):
            if worker.gone:
                self._pool.remove_worker(name)
                del self._workers[name]
                continue
            fresh = self._workers[name] = _places.Worker(worker.info)
            self._refresh(fresh, now)

    def replace_job_table(self, job_table, now):
        """Take a job table that was loaded from a snapshot.

        Happens at the start of a process, and when retention has passed
        its position; tasks that run keep their places.

        Parameters
        ----------
        job_table : JobTable
            The new fold.
        now : float
            Monotonic seconds.
        """
        for job_id in list(self._job_table.open_jobs):
            self._pool.withdraw(job_id)
        self._job_table = job_table
        self._tail_sent = None
        for place in self._at.values():
            # A job that the new table does not know counts as ended.
            known = job_table.get(place.job.id)
            if known is not None:
                place.job = known
            else:
                place.job.cancelled = True
        if self._owned:
            self._caught_up = False
            self._gained_at = now

    # Exchanges with the workers

    def sync_request(self, name, now, valid_until):
        """Return the body of the next request to a worker.

        Must be sent at once, in one exchange per worker at a time, and be
        followed by `on_reply` or `on_exchange_failed`.

        Parameters
        ----------
        name : str
            Id of the worker.
        now : float
            Monotonic seconds; `on_reply` has to name the same time.
        valid_until : float or None
            End of our own validity.

        Returns
        -------
        dict or None
            None if nothing may be sent.
        """
        worker = self._workers.get(name)
        if worker is None or worker.gone or not self._owned:
            return None
        if valid_until is None or now >= valid_until:
            return None
        if worker.outstanding is not None:
            self.on_exchange_failed(name, now)
        starts, renewals, stops = [], [], []
        sent = []
        for place in list(worker.places.values()):
            if place.phase in (_places.INTENT, _places.READY):
                if not self._wanted(place):
                    self._remove(worker, place)
                elif place.phase == _places.READY and worker.answering:
                    left = valid_until - now
                    age = now - worker.clock_at
                    if (
                        left >= self._config.min_lease_s
                        and age <= self._config.clock_age_s
                    ):
                        starts.append(self._start(worker, place, valid_until))
                        sent.append(place)
                continue
            if not self._wanted(place):
                place.stop = "stop"
            if place.stop is not None:
                stops.append({"task": place.task, "how": place.stop})
            if place.phase == _places.RUNNING and worker.answering:
                if place.stop != "stop":
                    self._renew(worker, place, renewals, now)
        worker.outstanding = now
        worker.polled_at = now
        worker.sent = sent
        if starts or stops or worker.acks:
            worker.busy_until = now + self._config.busy_s
        return {
            "boot_id": worker.boot or "",
            "starts": starts,
            "renew": renewals,
            "stop": stops,
            "ack": sorted(worker.acks),
        }

    def _start(self, worker, place, valid_until):
        # The worker's clock showed `clock_s` no later than `clock_at`, the
        # receipt of the reply, so that this lease cannot end after our own
        # validity, however long the reply was under way.
        until = worker.clock_s + (valid_until - worker.clock_at)
        place.phase = _places.SENT
        place.boot = worker.boot
        place.lease_end = valid_until
        place.unanswered_until = valid_until
        job = place.job
        cores, memory_mb, accelerators = job.work.size
        return {
            "task": place.task,
            "job": job.id,
            "cores": cores / 1000,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "run_time_s": job.work.run_time_s,
            "lease_until": until,
            "command": job.command,
        }

    def _renew(self, worker, place, renewals, now):
        if now - place.renewed_at < self._config.renew_after_s:
            return
        ttl = self._config.task_ttl_s
        until = worker.clock_s + (now - worker.clock_at) + ttl
        place.renewed_at = now
        place.lease_end = max(place.lease_end, now + ttl)
        renewals.append({"task": place.task, "lease_until": until})

    def on_exchange_failed(self, name, now):
        """Note that no reply to the last request will be used.

        The next request carries neither starts nor renewals, so that the
        leases on a worker that has failed run out.
        """
        worker = self._workers.get(name)
        if worker is None or worker.outstanding is None:
            return
        worker.outstanding = None
        worker.sent = ()
        worker.answering = False
        self._refresh(worker, now)

    def on_reply(self, name, reply, sent_at, now):
        """Take a worker's reply.

        Parameters
        ----------
        name : str
            Id of the worker.
        reply : dict
            Body of the reply.
        sent_at : float
            The `now` of the `sync_request` that it answers; replies to
            other requests are ignored.
        now : float
            Monotonic seconds, not before the receipt.

        Returns
        -------
        bool
            False if the reply was ignored or malformed.
        """
        worker = self._workers.get(name)
        if worker is None or worker.outstanding != sent_at:
            return False
        tasks = _read_reply(reply)
        if tasks is None:
            self.on_exchange_failed(name, now)
            return False
        worker.outstanding = None
        for place in worker.sent:
            place.unanswered_until = -math.inf
        worker.sent = ()
        worker.answering = True
        worker.clock_s = reply["clock_s"]
        worker.clock_at = now
        if worker.boot != reply["boot_id"]:
            worker.boot = reply["boot_id"]
            for place in list(worker.places.values()):
                if place.phase in (_places.SENT, _places.RUNNING):
                    # A start without reply may have run before the restart.
                    may_have_run = (
                        place.phase == _places.RUNNING
                        or place.unanswered_until > -math.inf
                    )
                    self._gone(worker, place, may_have_run, now)
        worker.read = True
        worker.read_sent = sent_at
        worker.acks.intersection_update(tasks)
        for place in list(worker.places.values()):
            if place.task not in tasks and place.phase in (
                _places.SENT,
                _places.RUNNING,
            ):
                if sent_at <= place.unanswered_until + self._margin:
                    continue
                self._gone(worker, place, place.phase == _places.RUNNING, now)
        for task in tasks.values():
            self._listed(worker, task, now)
        self._refresh(worker, now)
        return True

    @property
    def _margin(self):
        return self._config.lease_margin_s

    def _listed(self, worker, listing, now):
        task = listing["task"]
        place = worker.places.get(task)
        if listing["state"] in _places.ENDED:
            self._listed_end(worker, place, listing, now)
            return
        size = placement.size_of(
            listing["cores"], listing["memory_mb"], listing["accelerators"]
        )
        if place is None:
            place = self._found(worker, listing, size, now)
        elif place.job is None and place.stop is None:
            # The job may have become known since the task was found.
            self._remove(worker, place)
            place = self._found(worker, listing, size, now)
        if place.listed_at == math.inf:
            place.listed_at = now
        place.phase = _places.RUNNING
        place.unanswered_until = -math.inf
        if not place.throttled:
            size = tuple(map(max, size, place.size))
        elif place.stop == "throttle" and size[0] < place.size[0]:
            place.stop = None
        if size != place.size:
            place.size = size
            self._allot(worker, place, now)
        usage = listing.get("usage")
        if usage and place.job is not None:
            self._pool.report_usage(worker.info.name, place.key, usage, now)

    def _found(self, worker, listing, size, now):
        """Count a task that this owner has not started."""
        task = listing["task"]
        parts = _job_table.parse_task_id(task)
        job = self._job_table.get(parts[0]) if parts else None
        if job is not None and parts[1] >= job.tasks:
            job = None
        place = _places.Place(
            task, job, None, worker, task, size, _places.RUNNING
        )
        place.lease_end = (
            max(self._bound, self._gained_at) + self._config.task_ttl_s
        )
        worker.places[task] = place
        self._allot(worker, place, now)
        spot = parts[:2] if parts else None
        if spot in self._at or spot in self._finishing:
            place.stop = "stop"
        elif spot is not None:
            # A task of an unknown job counts too, since a job with this id
            # may be submitted while the task still runs.
            place.spot = spot
            self._at[spot] = place
            if job is not None and not self._released:
                self._found_early.add(spot)
        return place

    def _allot(self, worker, place, now):
        work = place.job.work if place.job is not None else None
        self._pool.allot(worker.info.name, place.key, place.size, work, now)

    def _wanted(self, place):
        """Return whether the task should run."""
        job = place.job
        if job is None:
            return not self._caught_up
        if place.spot is None:
            return False
        return not job.ended and job.is_open(place.spot[1])

    def _remove(self, worker, place):
        del worker.places[place.task]
        self._pool.release(worker.info.name, place.key)
        self._intent_due.pop(place.task, None)
        if place.spot is not None:
            self._at.pop(place.spot, None)
        self._forget(worker)

    def _gone(self, worker, place, may_have_run, now, pause_s=0.0):
        """Handle a task that certainly does not run any more."""
        self._remove(worker, place)
        if place.spot is None:
            return
        index = place.spot[1]
        if place.job is None:
            self._offer(self._job_table.get(place.spot[0]), now)
            return
        if place.job.once and may_have_run:
            self._record(place.job, index, place.task, "unknown", "", now)
            return
        if not may_have_run:
            pause_s = max(pause_s, self._config.refused_pause_s)
        self._vacated(place.job, index, now, pause_s)

    def _listed_end(self, worker, place, listing, now):
        task = listing["task"]
        state = listing["state"]
        name = worker.info.name
        worker.busy_until = now + self._config.busy_s
        parts = _job_table.parse_task_id(task)
        job = self._job_table.get(parts[0]) if parts else None
        if job is None or parts[1] >= job.tasks:
            if place is not None:
                self._remove(worker, place)
            if self._caught_up:
                worker.acks.add(task)
            return
        index = parts[1]
        if place is not None:
            if state in ("finished", "failed"):
                self._pool.record_outcome(
                    name, place.key, state == "finished", now
                )
            self._remove(worker, place)
        if self._job_table.counted(job, index, parts[2]):
            worker.acks.add(task)
        elif task in self._records:
            self._ended_on[task] = name
        elif state in ("finished", "failed"):
            self._ended_on[task] = name
            self._record(job, index, task, state, name, now)
        elif job.once:
            self._ended_on[task] = name
            self._record(job, index, task, "unknown", name, now)
        else:
            worker.acks.add(task)
        if place is not None and place.spot is not None:
            pause = 0.0
            if state == "failed":
                pause = self._restart_pause(job, index)
            if (job.id, index) not in self._finishing:
                self._vacated(job, index, now, pause)
            elif job.work.kind == "gang":
                self._resume_gang(job, now)

    def _restart_pause(self, job, index):
        count = job.failures.get(index, 0)
        count += self._failing.get((job.id, index), 0)
        pause = self._config.restart_pause_s * 2 ** min(max(count - 1, 0), 16)
        return min(pause, self._config.restart_limit_s)

    def _record(self, job, index, task, outcome, worker, now):
        entry = {"task": task, "outcome": outcome, "worker": worker}
        if worker and self._pool.is_quarantined(worker):
            entry["blame"] = "worker"
        self._records[task] = entry
        self._record_due[task] = now
        spot = (job.id, index)
        final = outcome != "failed" and job.work.kind != "service"
        if outcome == "failed":
            self._failing[spot] = self._failing.get(spot, 0) + 1
            failures = job.failures.get(index, 0) + self._failing[spot]
            final = failures > self._job_table.restarts_of(job)
        if final:
            self._finishing[spot] = task

    def _on_finished(self, tasks, now):
        for task in tasks:
            entry = self._records.pop(task, None)
            self._record_due.pop(task, None)
            parts = _job_table.parse_task_id(task)
            spot = parts[:2]
            job = self._job_table.get(parts[0])
            if entry is not None and entry["outcome"] == "failed":
                left = self._failing.get(spot, 0) - 1
                if left > 0:
                    self._failing[spot] = left
                else:
                    self._failing.pop(spot, None)
            if self._finishing.get(spot) == task:
                del self._finishing[spot]
            worker = self._workers.get(self._ended_on.pop(task, None))
            if worker is not None:
                worker.acks.add(task)
            if job is None or job.ended or job.hold:
                self._pool.withdraw(parts[0])

    # Queueing

    def _enqueue(self, job, indices, now):
        """Queue tasks that do not wait already."""
        waiting = self._pool.waiting(job.id)
        if len(indices) > 1 and waiting:
            waiting = set(waiting)
        fresh = [index for index in indices if index not in waiting]
        if fresh:
            self._pool.offer(job.work, fresh, now, job.failed_on)

    def _vacated(self, job, index, now, pause_s):
        """Queue a task again after its place has become free."""
        if job.ended or not job.is_open(index):
            return
        if job.work.kind == "gang":
            self._break_gang(job, now, pause_s)
            return
        if pause_s > 0:
            entry = (now + pause_s, next(self._sequence), job, index)
            heapq.heappush(self._later, entry)
        elif self._may_offer(job, index):
            self._enqueue(job, [index], now)

    def _break_gang(self, job, now, pause_s):
        """Stop the rest of a gang; it is queued once nothing of it runs."""
        alone = True
        for index in range(job.tasks):
            place = self._at.get((job.id, index))
            if place is None:
                continue
            if place.phase in (_places.INTENT, _places.READY):
                self._remove(place.worker, place)
                continue
            alone = False
            if place.stop is None:
                place.stop = "checkpoint"
                place.stop_at = now
                place.worker.polled_at = -math.inf
        if alone:
            due = now + max(pause_s, self._config.refused_pause_s)
            entry = (due, next(self._sequence), job, None)
            heapq.heappush(self._later, entry)

    def _resume_gang(self, job, now):
        """Queue the rest of a gang if its last running task has ended.

        A task may finish in spite of the order to stop that it got when
        another task of the gang was lost.
        """
        for index in range(job.tasks):
            if (job.id, index) in self._at:
                return
        due = now + self._config.refused_pause_s
        entry = (due, next(self._sequence), job, None)
        heapq.heappush(self._later, entry)

    def _may_offer(self, job, index):
        spot = (job.id, index)
        if job.hold or spot in self._at or spot in self._finishing:
            return False
        if job.once and index in job.intents:
            if spot not in self._own_intents:
                return False
        return (
            self._released or spot in self._found_early or self._is_fresh(job)
        )

    def _is_fresh(self, job):
        """Return whether no previous owner can have started the job.

        True if the record came after a read that reached the end of the
        log and was sent after the previous owner's validity.
        """
        return job.seen_after is not None and job.seen_after >= self._bound

    def _offer(self, job, now):
        """Queue all tasks of a job that may be started."""
        if job is None or job.ended:
            return
        indices = [i for i in job.open_indices() if self._may_offer(job, i)]
        if job.work.kind == "gang":
            open_tasks = [
                i
                for i in job.open_indices()
                if (job.id, i) not in self._finishing
            ]
            if indices != open_tasks:
                return
        if indices:
            self._enqueue(job, indices, now)

    def _all_found(self, now):
        """Return whether every task of previous owners must be in a list.

        All workers on which a task may run are known, because none has left
        the list so recently that a lease there may still run, and each has
        answered a request that was sent after the previous validity, when
        no start of a previous owner can take effect any more.
        """
        if self._listed_at < self._bound + self._config.list_lag_s:
            return False
        changed_at = max(self._listed_since, self._unlisted_at)
        if now < changed_at + self._config.unlisted_hold_s:
            return False
        return all(
            worker.read and worker.read_sent >= self._bound + self._margin
            for worker in self._workers.values()
            if not worker.gone
        )

    def _release(self, now):
        """Restart what was not found; every earlier lease has ended."""
        self._released = True
        for job in list(self._job_table.open_jobs.values()):
            if job.once:
                for index in job.open_indices():
                    spot = (job.id, index)
                    if (
                        index in job.intents
                        and spot not in self._at
                        and spot not in self._own_intents
                        and spot not in self._finishing
                    ):
                        task = _job_table.task_id(
                            job.id, index, job.intents[index]
                        )
                        self._record(job, index, task, "unknown", "", now)
            if job.work.kind == "gang":
                spots = [(job.id, i) for i in job.open_indices()]
                here = [spot in self._at for spot in spots]
                if any(here) and not all(here):
                    self._break_gang(job, now, 0.0)
            self._offer(job, now)
        self._found_early.clear()

    def tick(self, now, valid_until):
        """Advance time: place tasks, give up lost ones, write records.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        valid_until : float or None
            End of our own validity.

        Returns
        -------
        list of _places.AppendRecord
        """
        if not self._owned or valid_until is None or now >= valid_until:
            return []
        self._give_up(now)
        if not self._caught_up:
            return []
        end = self._bound + self._config.task_ttl_s + self._margin
        if not self._released and (now >= end or self._all_found(now)):
            self._release(now)
        while self._later and self._later[0][0] <= now:
            _, _, job, index = heapq.heappop(self._later)
            if job.ended:
                continue
            if index is None:
                self._offer(job, now)
            elif job.is_open(index) and self._may_offer(job, index):
                self._enqueue(job, [index], now)
        self._move(now)
        for _ in range(self._config.place_rounds):
            if len(self._records) >= self._config.max_unrecorded:
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
        return self._appends(now)

    def _give_up(self, now):
        """Handle tasks whose leases ended on workers that do not answer."""
        for worker in list(self._workers.values()):
            if worker.answering and not worker.gone:
                continue
            for place in list(worker.places.values()):
                if place.phase in (_places.INTENT, _places.READY):
                    if worker.gone:
                        self._gone(worker, place, False, now)
                elif now > place.lease_end + self._margin:
                    self._gone(worker, place, True, now)

    def _move(self, now):
        """Stop tasks on leaving workers and end slow checkpoints."""
        limit = self._config.checkpoint_limit_s
        moving = None
        for worker in self._workers.values():
            for place in list(worker.places.values()):
                if place.stop == "checkpoint" and now - place.stop_at > limit:
                    place.stop = "stop"
            if not worker.info.leaving:
                continue
            for place in list(worker.places.values()):
                if place.phase in (_places.INTENT, _places.READY):
                    self._gone(worker, place, False, now)
                elif place.stop is None and place.spot and place.job:
                    if moving is None:
                        moving = self._moving()
                    self._move_one(place, moving, now)

    def _moving(self):
        """Return the number of tasks per service that are not running."""
        counts = {}
        for spot, place in self._at.items():
            if place.stop is not None or place.phase != _places.RUNNING:
                counts[spot[0]] = counts.get(spot[0], 0) + 1
        return counts

    def _move_one(self, place, moving, now):
        job = place.job
        if job.once or place.phase != _places.RUNNING:
            return
        if job.work.kind == "service":
            allowed = max(1, int(job.tasks * self._config.move_share))
            if moving.get(job.id, 0) >= allowed:
                return
            moving[job.id] = moving.get(job.id, 0) + 1
            place.stop = "stop"
        else:
            place.stop = "checkpoint"
        place.stop_at = now
        place.worker.polled_at = -math.inf

    def _on_start(self, action, now):
        job = self._job_table.get(action.job)
        spot = (action.job, action.index)
        worker = self._workers[action.worker]
        if job is None or job.ended or not self._may_offer(job, action.index):
            self._pool.release(action.worker, spot)
            return
        if job.once and spot in self._own_intents:
            attempt = job.intents[action.index]
        else:
            self._attempt += 1
            attempt = f"{self._epoch}.{self._attempt}"
        task = _job_table.task_id(job.id, action.index, attempt)
        place = _places.Place(
            task, job, spot, worker, spot, job.work.size, _places.READY
        )
        if job.once and spot not in self._own_intents:
            place.phase = _places.INTENT
            self._intent_due[task] = (now, place)
        worker.places[task] = place
        self._at[spot] = place

    def _on_intent(self, task, now):
        spot = _job_table.parse_task_id(task)[:2]
        place = self._at.get(spot)
        if place is not None and place.task == task:
            if place.phase == _places.INTENT:
                place.phase = _places.READY
                self._own_intents.add(spot)
                self._intent_due.pop(task, None)
            return
        if not self._caught_up:
            return
        if place is not None and place.phase != _places.INTENT:
            return
        # A previous owner's record that came into the log after we had read
        # it to the end, hence after that owner's validity: the task was
        # never started, and this intent can be used for our start.
        if place is not None:
            self._remove(place.worker, place)
        self._own_intents.add(spot)
        job = self._job_table.get(spot[0])
        if not job.ended and self._may_offer(job, spot[1]):
            self._enqueue(job, [spot[1]], now)

    def _on_preempt(self, action, now):
        worker = self._workers.get(action.worker)
        if worker is None:
            return
        for place in list(worker.places.values()):
            if place.key != action.key:
                continue
            if place.phase in (_places.INTENT, _places.READY):
                self._gone(worker, place, False, now)
            elif place.stop != "stop":
                worker.polled_at = -math.inf
                place.stop = action.how
                place.stop_at = now
                if action.how == "throttle":
                    place.throttled = True

    def _appends(self, now):
        actions = []
        retry = self._config.append_retry_s
        due = [t for t, at in self._record_due.items() if at <= now]
        size = self._config.batch_tasks
        for first in range(0, len(due), size):
            batch = due[first : first + size]
            for task in batch:
                self._record_due[task] = now + retry
            entries = [self._records[task] for task in batch]
            record = {"kind": "finished", "tasks": entries}
            actions.append(_places.AppendRecord(record))
        for task, (at, place) in list(self._intent_due.items()):
            if not self._wanted(place):
                self._remove(place.worker, place)
            elif at <= now:
                self._intent_due[task] = (now + retry, place)
                actions.append(
                    _places.AppendRecord(
                        {
                            "kind": "intent",
                            "task": task,
                            "worker": place.worker.info.name,
                        }
                    )
                )
        return actions

    # Queries

    def worker_names(self):
        """Return the names of the workers to poll."""
        return [n for n, w in self._workers.items() if not w.gone]

    def due_workers(self, now):
        """Return the workers to exchange with now.

        Workers with something to tell are named at once, those on which
        something happens every `poll_s`, the others every `idle_poll_s`.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Ids; workers with an exchange under way are left out.
        """
        names = []
        for name, worker in self._workers.items():
            if worker.gone or worker.outstanding is not None:
                continue
            age = now - worker.polled_at
            busy = now < worker.busy_until or not worker.answering
            period = self._config.idle_poll_s
            if busy:
                period = self._config.poll_s
            if age >= period or self._has_news(worker, now):
                names.append(name)
        return names

    def _has_news(self, worker, now):
        if not worker.answering:
            return False
        settled = now - self._config.first_renewal_s
        for place in worker.places.values():
            if place.listed_at <= settled and place.renewed_at == -math.inf:
                return True
            if place.phase == _places.READY:
                return True
            if place.stop is None and not self._wanted(place):
                return True
        return False

    def refusal(self, job):
        """Return why a job record cannot be accepted, or None.

        Parameters
        ----------
        job : dict
            The job as it would be appended.

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
            Tasks to report on (about 100 bytes each).

        Returns
        -------
        dict or None
            JSON-ready; None if the job is not known.
        """
        job = self._job_table.get(job_id)
        if job is None:
            return None
        status = self._job_table.status(job_id)
        tasks = []
        for index, code in enumerate(job.outcomes[:limit]):
            place = self._at.get((job_id, index))
            state = _job_table.OUTCOMES[chr(code)]
            if place is not None:
                state = "stopping" if place.stop else place.phase
                if not self._wanted(place):
                    state = "stopping"
            elif state == "open":
                state = "cancelled" if job.cancelled else "waiting"
            tasks.append(
                {
                    "index": index,
                    "state": state,
                    "task": place.task if place else None,
                    "worker": place.worker.info.name if place else None,
                    "failures": job.failures.get(index, 0),
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
            "released": self._released,
            "workers": len(self._workers),
            "answering": sum(w.answering for w in self._workers.values()),
            "places": sum(len(w.places) for w in self._workers.values()),
            "unrecorded": len(self._records),
            "book": self._job_table.dump(),
            "pool": self._pool.dump(),
        }


def _read_reply(reply):
    """Return the listed tasks by id, or None if the reply is malformed."""
    try:
        if not isinstance(reply["boot_id"], str) or not reply["boot_id"]:
            return None
        if not math.isfinite(reply["clock_s"]):
            return None
        tasks = {}
        for task in reply["tasks"]:
            if not isinstance(task["task"], str):
                return None
            if task["state"] not in (*_places.ENDED, "running"):
                return None
            if not all(
                math.isfinite(task[name]) and task[name] >= 0
                for name in ("cores", "memory_mb", "accelerators")
            ):
                return None
            tasks[task["task"]] = task
    except (KeyError, TypeError, AttributeError):
        return None
    return tasks
