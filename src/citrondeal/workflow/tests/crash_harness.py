"""Harness for scripted histories with crashes of workers."""

import dataclasses
import math

from citrondeal import workflow

TICK_S = 0.1
LEASE_S = 10.0
START_LEASE_S = 2.5
CRASH_AFTER_S = 0.5  # from the start of a task that crashes its worker
DOWN_S = 2.0


@dataclasses.dataclass(eq=False)
class Worker:
    """A worker that starts what it is told."""

    info: workflow.WorkerInfo
    runs: dict = dataclasses.field(default_factory=dict)
    ends: list = dataclasses.field(default_factory=list)
    lease_ends_at: float = 0.0
    silent_until: float = 0.0
    back_as: workflow.WorkerInfo | None = None
    listed: bool = True


class Cell:
    """One owner at a time, its stored records, and workers.

    Parameters
    ----------
    workers : int
        Number of workers, named ``w0`` and so on.
    cores : int
        Of each worker.
    """

    def __init__(self, workers=4, cores=8):
        self.now = 100.0
        self.workers = {}
        self.submissions = {}
        self.durations = {}
        self.deadly = set()
        self.stored_jobs = {}
        self.stored_workers = {}
        self.store_works = True
        self.clock_jumps = {}  # by worker, in seconds
        self.starts = []  # (task, run, worker)
        self.crashes = 0
        # The owner ends at each later crash, before it can see it.
        self.owner_ends_after = math.inf
        self.epoch = 0
        for number in range(workers):
            name = f"w{number}"
            info = workflow.WorkerInfo(
                name,
                f"{name}:1",
                "service",
                "zone",
                capacity=workflow.Size(cores * 1000, 10000),
                born_ms=1,
            )
            self.workers[name] = Worker(info)
        self.take_over()
        self.run(1.0)

    def submit(self, job, tasks=1, run_s=1.0, cores=2, gang=False, deadly=()):
        """Submit a job of one step; `deadly` has indices of its tasks."""
        size = workflow.Size(cores * 1000, 10)
        step = workflow.Step(tasks, size, run_s, gang=gang)
        policy = workflow.Policy("queue", "service", 1, 3, 10.0)
        submission = workflow.Submission(job, "", (step,), policy)
        self.submissions[job] = submission
        self.durations[job] = run_s
        self.deadly |= {workflow.TaskId(job, 0, 0, i) for i in deadly}
        self.scheduler.on_submission(submission, 0, self.now)

    def take_over(self):
        """Let the next owner recover what is stored."""
        self.epoch += 1
        self.scheduler = workflow.Scheduler(
            workflow.Config(LEASE_S), self.epoch
        )
        for submission in self.submissions.values():
            self.scheduler.on_submission(submission, 0, self.now, True)
        for job, data in self.stored_jobs.items():
            progress = workflow.decode_progress(data)
            self.scheduler.restore(job, progress, self.now)
        stored = [
            workflow.decode_worker(data)
            for data in self.stored_workers.values()
        ]
        self.scheduler.recover_workers(stored, self.now)

    def crash(self, name, new_id=False, down_s=DOWN_S):
        """Crash a worker, which is back some time later."""
        self.crashes += 1
        self.leave(name, down_s, new_id)
        if self.crashes > self.owner_ends_after:
            self.take_over()

    def leave(self, name, away_s, new_id=False):
        """Let a worker lose its runs and come back as a new incarnation."""
        worker = self.workers[name]
        worker.runs, worker.ends = {}, []
        worker.silent_until = self.now + away_s
        worker.back_as = dataclasses.replace(
            worker.info,
            worker=f"{name}+" if new_id else name,
            born_ms=int(worker.silent_until * 1000),
            draining=False,
        )

    def silence(self, name, seconds):
        """Cut a worker off; its runs go on until their leases lapse."""
        self.workers[name].silent_until = self.now + seconds

    def lose(self, name):
        """Remove a worker for good, without notice."""
        worker = self.workers[name]
        worker.runs, worker.ends = {}, []
        worker.silent_until = math.inf
        worker.listed = False

    def drain(self, name):
        """Let a worker announce that it leaves."""
        worker = self.workers[name]
        worker.info = dataclasses.replace(worker.info, draining=True)

    def admit(self, name):
        """Let a worker that drained get tasks again."""
        worker = self.workers[name]
        worker.info = dataclasses.replace(worker.info, draining=False)

    def run(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self.tick()

    def wait_until_all_run(self, limit_s):
        """Advance the time until all tasks of all jobs run."""
        limit = self.now + limit_s
        tasks = {t.id for j in self.scheduler.jobs.values() for t in j.tasks()}
        while True:
            running = {t for w in self.workers.values() for t in w.runs}
            if running == tasks:
                return
            waiting = sorted(tasks - running)
            assert self.now < limit, f"do not run: {waiting}"
            self.tick()

    def tick(self):
        """Advance the time by `TICK_S`."""
        self.now += TICK_S
        for name in list(self.workers):
            self._work(name)
        for name in list(self.workers):
            self._report(name)
        for action in self.scheduler.plan(self.now):
            self._deliver(action)
        if self.store_works:
            self.store()

    def store(self):
        """Store the changes of the owner."""
        jobs, workers, ends = self.scheduler.take_changes()
        for records, stored in (
            (jobs, self.stored_jobs),
            (workers, self.stored_workers),
        ):
            for key, value in records.items():
                stored.pop(key, None)
                if value is not None:
                    stored[key] = workflow.encode(value)
        self.scheduler.on_stored(jobs, workers, ends)

    def state(self, job):
        """Return the state of a job as the owner decided it."""
        return self.scheduler.jobs[job].state

    def start_count(self, job):
        """Return how many runs of a job were started."""
        return len({run for task, run, _ in self.starts if task.job == job})

    def worker_of(self, job):
        """Return the worker of the newest start of a job."""
        return [w for task, _, w in self.starts if task.job == job][-1]

    def _work(self, name):
        worker = self.workers[name]
        if self.now >= worker.lease_ends_at:
            for task in list(worker.runs):
                self._end(worker, task, workflow.RunOutcome.LAPSED)
        if self.now < worker.silent_until:
            return
        if worker.back_as is not None:
            del self.workers[name]
            self.workers[worker.back_as.worker] = Worker(worker.back_as)
            return
        for task, (number, started_at) in list(worker.runs.items()):
            age_s = self.now - started_at
            if task in self.deadly and age_s >= CRASH_AFTER_S:
                self._break_gang(task, number, name)
                self.crash(name)
                return
            whole = not self._is_incomplete(task, number)
            if age_s >= self.durations[task.job] and whole:
                self._end(worker, task, workflow.RunOutcome.DONE)

    def _is_incomplete(self, task, number):
        step = self.submissions[task.job].steps[0]
        if not step.gang:
            return False
        deadly = any(t.job == task.job for t in self.deadly)
        return deadly or len(self._members(task, number)) < step.tasks

    def _members(self, task, number):
        return [
            (worker, other)
            for worker in self.workers.values()
            for other, (run, _) in worker.runs.items()
            if other.job == task.job and run == number
        ]

    def _break_gang(self, task, number, name):
        if not self.submissions[task.job].steps[0].gang:
            return
        for worker, other in self._members(task, number):
            if worker is not self.workers[name]:
                self._end(worker, other, workflow.RunOutcome.BROKEN)

    def _end(self, worker, task, outcome):
        number, _ = worker.runs.pop(task)
        end_number = len(worker.ends) + 1
        worker.ends.append(
            workflow.RunEnd(end_number, task, number, outcome, "")
        )

    def _report(self, name):
        worker = self.workers[name]
        if worker.listed:
            self.scheduler.on_worker(worker.info, self.now)
        else:
            self.scheduler.on_worker_unlisted(name, self.now)
        if name not in self.scheduler.workers:
            return
        if self.now < worker.silent_until:
            self.scheduler.on_renewal_failed(name, "timeout", self.now)
            return
        if self.scheduler.workers[name].may_renew:
            self.scheduler.workers[name].extend_lease(self.now, LEASE_S)
            worker.lease_ends_at = self.now + LEASE_S
        running = [
            workflow.ReportedRun(task, number, "", 0.0)
            for task, (number, _) in worker.runs.items()
        ]
        self.scheduler.on_report(
            name,
            workflow.Report(
                self.now + self.clock_jumps.get(name, 0.0),
                worker.info.born_ms,
                running,
                list(worker.ends),
            ),
            self.now,
            self.now + 0.01,
        )

    def _start(self, worker, start):
        places = [w for w in self.workers.values() if start.task in w.runs]
        assert not places, f"{start} although {places} run it"
        worker.runs[start.task] = (start.run, self.now)
        worker.lease_ends_at = max(
            worker.lease_ends_at, self.now + START_LEASE_S
        )
        self.starts.append((start.task, start.run, start.worker))

    def _deliver(self, action):
        worker = self.workers.get(action.worker)
        outcome = workflow.OrderOutcome.UNKNOWN
        if isinstance(action, workflow.Stop):
            if worker is not None and self.now >= worker.silent_until:
                outcome = workflow.OrderOutcome.OK
                if action.task in worker.runs:
                    self._end(worker, action.task, workflow.RunOutcome.STOPPED)
            callback = self.scheduler.on_stopped
        else:
            if worker is not None and self.now >= worker.silent_until:
                outcome = workflow.OrderOutcome.OK
                self._start(worker, action)
            callback = self.scheduler.on_started
        callback(action.task, action.run, action.worker, outcome, self.now)
