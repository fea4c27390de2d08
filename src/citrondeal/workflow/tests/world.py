"""Simulated workers and owners in virtual time, with random faults.

The workers follow the rules of real ones: they reject orders of earlier
epochs, forget everything at a restart, let leases lapse, may carry out
orders late, and list ends until these are acknowledged.  The world checks
the scheduler's promises at each start and at the end.
"""

import collections
import dataclasses
import random

from citrondeal import workflow

STEP_S = 0.05
LEASE_S = 10.0
STOP_S = 0.2
GANG_S = 3.0
OWNER_GAP_S = 1.0  # from the end of an owner to the next one


class Broken(AssertionError):
    """A promise was broken."""


@dataclasses.dataclass(eq=False)
class Running:
    """A run on a simulated worker."""

    task: workflow.TaskId
    number: int
    size: workflow.Size
    started_at: float
    ends_at: float
    how: workflow.How
    stopping_at: float | None = None


class Worker:
    """One simulated worker."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.capacity = workflow.Size(32000, 131072, 0)
        self.cut = False
        self.gone = False
        self.start_over()

    def start_over(self):
        """Start a new incarnation."""
        self.born_ms = int(self.world.now * 1000) + 1
        self.fence = 0
        self.runs = {}
        self.barred = {}
        self.ends = []
        self.count = 0
        self.lease = self.world.now

    def info(self):
        """Return the entry in the list of workers."""
        return workflow.WorkerInfo(
            self.name,
            "127.0.0.1:1",
            "service",
            "zone",
            ("kind", "rack"),
            "rack",
            self.capacity,
            born_ms=self.born_ms,
        )

    def tick(self, now):
        """End what is over."""
        for run in list(self.runs.values()):
            if run.stopping_at is not None and now >= run.stopping_at:
                self.end(run, workflow.How.STOPPED)
            elif now >= self.lease:
                self.end(run, workflow.How.LAPSED)
            elif now >= run.ends_at and self.world.gang_complete(run):
                self.end(run, run.how)

    def end(self, run, how):
        """Record an end."""
        if self.runs.pop(run.task, None) is None:
            return
        self.count += 1
        end = workflow.End(self.count, run.task, run.number, how, "")
        self.ends.append(end)
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.world.on_end(self, run, how)

    def hold(self, fence, acknowledged, until):
        """Renew the leases; returns a `Report` or None."""
        if fence < self.fence:
            return None
        self.fence = fence
        if until is not None:
            self.lease = max(self.lease, until)
        for end in self.ends:
            if end.number <= acknowledged:
                self.world.on_noted(self, end)
        self.ends = [e for e in self.ends if e.number > acknowledged]
        running = [
            workflow.RunSeen(r.task, r.number, "", 0.0)
            for r in self.runs.values()
        ]
        return workflow.Report(
            self.world.now, self.born_ms, running, list(self.ends)
        )

    def start(self, order, fence, until):
        """Carry out a start."""
        if order.born_ms != self.born_ms:
            return workflow.Outcome.OTHER_INCARNATION
        if fence < self.fence:
            return workflow.Outcome.FENCED
        self.fence = fence
        if self.world.now > until:
            return workflow.Outcome.LATE
        self.lease = max(self.lease, until)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run:
            return workflow.Outcome.OK
        if run is not None or self.barred.get(order.task, 0) >= order.run:
            return workflow.Outcome.OLD
        self.world.on_start(self, order)
        return workflow.Outcome.OK

    def stop(self, order, fence):
        """Carry out a stop."""
        if fence < self.fence:
            return workflow.Outcome.FENCED
        self.fence = fence
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.run:
            if run.stopping_at is None:
                run.stopping_at = self.world.now + STOP_S
        self.barred[order.task] = max(
            self.barred.get(order.task, 0), order.run
        )
        return workflow.Outcome.OK


class World:
    """Workers, one owner after the other, and the checks.

    Parameters
    ----------
    seed : int
        Decides jobs, faults and times.
    scheduler_class : type
        `workflow.Scheduler`, or a version with a fault.
    """

    def __init__(self, seed, scheduler_class=workflow.Scheduler):
        self.random = random.Random(seed)
        self.scheduler_class = scheduler_class
        self.now = 100.0
        self.workers = {
            f"w{i}": Worker(self, f"w{i}")
            for i in range(self.random.randint(2, 5))
        }
        self.log = []
        self.stored_jobs = {}
        self.stored_workers = {}
        self.late = []
        self.epoch = 0
        self.owner = None
        self.owner_starts_at = self.now
        self.position = 0
        self.store_down_until = 0.0
        self.done = collections.Counter()
        self.noted_done = set()
        self.noted_failures = collections.Counter()
        self.failed_runs = {}
        self.cancelled_at = {}
        self.jobs = {}
        self.hopeless = set()
        self.calm = False

    # Facts

    def submission(self, job):
        """Return the submission of a job."""
        return self.jobs[job]

    def step(self, task):
        """Return the specification of a task's step."""
        return self.jobs[task.job].steps[task.step]

    def gang_complete(self, run):
        """Return whether all members of a gang run, or it is no gang."""
        step = self.step(run.task)
        if not step.gang:
            return True
        members = [
            r
            for w in self.workers.values()
            for r in w.runs.values()
            if r.number == run.number and r.task.job == run.task.job
        ]
        return len(members) == step.tasks

    def on_start(self, worker, order):
        """Check and begin a run."""
        task = order.task
        step = self.step(task)
        for other in self.workers.values():
            if task in other.runs:
                raise Broken(f"{task} runs twice")
        if task in self.noted_done:
            raise Broken(f"{task} starts after its end was noted")
        limit = self.jobs[task.job].policy.max_attempts
        if self.noted_failures[self._counter(task)] >= limit:
            raise Broken(f"{task} starts after {limit} failures")
        for before in step.after:
            for index in range(self.jobs[task.job].steps[before].tasks):
                key = workflow.TaskId(task.job, 0, before, index)
                if not self.done[key]:
                    raise Broken(f"{task} starts before {key} is done")
        used = workflow.Size()
        for run in worker.runs.values():
            used = used.plus(run.size)
        if not used.plus(step.size).fits(worker.capacity):
            raise Broken(f"{worker.name} is over its capacity")
        spread = sum(
            1
            for run in worker.runs
            if (run.job, run.step) == (task.job, task.step)
        )
        if step.spread and spread >= step.spread:
            raise Broken(f"{task} is one too many on {worker.name}")
        fails = task.job in self.hopeless or self.random.random() < 0.03
        worker.runs[task] = Running(
            task,
            order.run,
            step.size,
            self.now,
            self.now + self.random.uniform(0.2, 3.0),
            workflow.How.FAILED if fails else workflow.How.DONE,
        )

    def _counter(self, task):
        return task._replace(index=0) if self.step(task).gang else task

    def on_end(self, worker, run, how):
        """Note an end; the other members of a gang break."""
        if how is workflow.How.DONE:
            self.done[run.task] += 1
        if not self.step(run.task).gang:
            return
        others = [
            (w, r)
            for w in self.workers.values()
            for r in list(w.runs.values())
            if r.task.job == run.task.job
            and r.task.step == run.task.step
            and r.number == run.number
        ]
        for other, member in others:
            if how is workflow.How.DONE:
                other.end(member, how)
            elif how is not workflow.How.BROKEN:
                other.end(member, workflow.How.BROKEN)

    def on_noted(self, worker, end):
        """Note that the owner has acknowledged an end."""
        if end.how is workflow.How.DONE:
            self.noted_done.add(end.task)
        elif end.how is workflow.How.FAILED:
            key = (self._counter(end.task), end.run)
            if key not in self.failed_runs:
                self.failed_runs[key] = True
                self.noted_failures[key[0]] += 1

    def check_gangs(self):
        """Check that no member waits too long for the others."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                waited = self.now - run.started_at
                if waited > GANG_S and not self.gang_complete(run):
                    if self.calm:
                        raise Broken(f"{run.task} waits alone")
                    worker.end(run, workflow.How.ALONE)
                    return

    # Time

    def submit(self):
        """Hand in a random job."""
        choose = self.random
        job = f"{len(self.jobs):016x}"
        steps = []
        for index in range(choose.randint(1, 3)):
            after = (index - 1,) if index and choose.random() < 0.7 else ()
            steps.append(
                workflow.Step(
                    tasks=choose.randint(1, 5),
                    size=workflow.Size(choose.randint(500, 9000), 1000),
                    estimate_s=1.0,
                    after=after,
                    gang=choose.random() < 0.3,
                    spread=choose.choice([0, 0, 3]),
                )
            )
        policy = workflow.Policy(
            "queue",
            "service",
            priority=choose.randint(0, 2),
            max_attempts=choose.randint(2, 4),
            ticketed=choose.random() < 0.4,
            stretch=3.0,
        )
        self.jobs[job] = workflow.Submission(job, "", tuple(steps), policy)
        if choose.random() < 0.08:
            self.hopeless.add(job)
        self.log.append(("job", job))
        if choose.random() < 0.1:
            self.log.append(("cancel", job))
            self.cancelled_at[job] = self.now

    def start_owner(self):
        """Let the next owner recover."""
        self.epoch += 1
        self.late = [x for x in self.late if x[1] == "order"]
        barrier = len(self.log)
        self.log.append(("barrier", ""))
        config = workflow.Config(LEASE_S)
        self.owner = self.scheduler_class(
            config, self.epoch, barrier, self.now
        )
        self.owner.recover_workers(
            list(self.stored_workers.values()), self.now
        )
        self.position = 0
        self.read_log()
        for job, progress in self.stored_jobs.items():
            self.owner.restore(job, progress)

    def read_log(self):
        """Let the owner read the log."""
        for offset in range(self.position, len(self.log)):
            kind, job = self.log[offset]
            if kind == "job":
                self.owner.on_submission(self.jobs[job], offset, self.now)
            elif kind == "cancel":
                self.owner.on_cancel(job, self.now)
        self.position = len(self.log)

    def run(self, seconds):
        """Play with faults, then calmly until all jobs have ended."""
        end = self.now + seconds
        while self.now < end:
            self.faults()
            self.tick()
        self.calm_down()
        limit = self.now + 120.0
        while self.now < limit:
            self.tick()
            if self.owner is not None and not self.owner._active:
                self.check_end()
                return
        waiting = sorted(self.owner._active)
        raise Broken(f"jobs do not end: {waiting[:5]}")

    def calm_down(self):
        """End all faults."""
        for worker in self.workers.values():
            worker.cut = worker.gone
        self.store_down_until = 0.0

    def check_end(self):
        """Check the final state of each job."""
        for job in self.jobs:
            state = self.owner.jobs[job].state
            if job in self.cancelled_at:
                continue
            if state is workflow.JobState.COMPLETED:
                for number, step in enumerate(self.jobs[job].steps):
                    for index in range(step.tasks):
                        key = workflow.TaskId(job, 0, number, index)
                        if not self.done[key]:
                            raise Broken(f"{key} never ended well")
            elif state is not workflow.JobState.FAILED:
                raise Broken(f"{job} is {state}")

    def faults(self):
        """Let something go wrong now and then."""
        choose = self.random
        if choose.random() < 0.08:
            self.submit()
        worker = choose.choice(list(self.workers.values()))
        roll = choose.random()
        if roll < 0.004:
            for run in list(worker.runs.values()):
                worker.runs.pop(run.task)
            worker.start_over()
        elif roll < 0.008:
            worker.cut = worker.gone or not worker.cut
        elif roll < 0.012 and self.owner is not None:
            self.owner = None
            self.owner_starts_at = self.now + OWNER_GAP_S
        elif roll < 0.013:
            self.lose(worker)
        elif roll < 0.017:
            self.store_down_until = self.now + choose.uniform(0.2, 4.0)

    def lose(self, worker):
        """Let a worker vanish for good, unless it is one of the last two."""
        left = [w for w in self.workers.values() if not w.gone]
        if len(left) > 2:
            worker.gone = worker.cut = True

    def tick(self):
        """Advance the time by one step."""
        self.now += STEP_S
        for due, kind, call in [x for x in self.late if x[0] <= self.now]:
            call()
        self.late = [x for x in self.late if x[0] > self.now]
        for worker in self.workers.values():
            worker.tick(self.now)
        self.check_gangs()
        if self.owner is None:
            if self.now >= self.owner_starts_at:
                self.start_owner()
            return
        self.act()

    def act(self):
        """Let the owner hear, decide and store."""
        store_up = self.now >= self.store_down_until
        if store_up:
            self.read_log()
            taken = self.owner.take_stored()
            self.stored_jobs.update(taken[0])
            self.stored_workers.update(taken[1])
            self.owner.on_stored(*taken)
        for worker in self.workers.values():
            self.hear(worker)
        for action in self.owner.plan(self.now):
            self.carry_out(action)

    def hear(self, worker):
        """Let the owner renew the leases of a worker."""
        if worker.gone:
            self.owner.on_worker_unlisted(worker.name, self.now)
        else:
            self.owner.on_worker(worker.info(), self.now)
        state = self.owner.workers.get(worker.name)
        if worker.cut or self.random.random() < 0.05:
            if worker.cut and state is not None:
                self.owner.on_no_report(worker.name, "cut", self.now)
            return
        state.note_lease(self.now, LEASE_S)
        born_ms = state.info.born_ms
        report = worker.hold(
            self.epoch, state.acknowledged, self.now + LEASE_S
        )
        assert born_ms == worker.born_ms
        self.owner.on_report(worker.name, report, self.now, self.now + 0.01)

    def carry_out(self, action):
        """Pass an order on; it may get lost or come late."""
        if isinstance(action, workflow.FetchTickets):
            granted = {w: "t" for w in action.workers}
            self.owner.on_tickets(
                action.step, action.workers, granted, 2.5, self.now, self.now
            )
            return
        worker = self.workers[action.worker]
        owner, epoch = self.owner, self.epoch
        until = self.now + 2.5
        is_start = isinstance(action, workflow.Start)

        def order():
            if is_start:
                return worker.start(action, epoch, until)
            return worker.stop(action, epoch)

        roll = self.random.random()
        outcome = workflow.Outcome.UNKNOWN
        if worker.cut:
            pass
        elif roll < 0.03 and not self.calm:
            delay = self.random.uniform(0.5, 8.0)
            self.late.append((self.now + delay, "order", order))
        elif roll < 0.05:
            order()
        else:
            outcome = order()
        report = owner.on_started if is_start else owner.on_stopped
        report(action.task, action.run, action.worker, outcome, self.now)
