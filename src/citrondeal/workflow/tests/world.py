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
    outcome: workflow.RunOutcome
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
            f"{self.name}:1",
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
                self.end(run, workflow.RunOutcome.STOPPED)
            elif now >= self.lease:
                self.end(run, workflow.RunOutcome.LAPSED)
            elif now >= run.ends_at and self.world.gang_complete(run):
                self.end(run, run.outcome)

    def end(self, run, outcome):
        """Record an end."""
        if self.runs.pop(run.task, None) is None:
            return
        self.count += 1
        end = workflow.RunEnd(self.count, run.task, run.number, outcome, "")
        self.ends.append(end)
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.world.on_end(self, run, outcome)

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
            workflow.ReportedRun(r.task, r.number, "", 0.0)
            for r in self.runs.values()
        ]
        return workflow.Report(
            self.world.now, self.born_ms, running, list(self.ends)
        )

    def start(self, order, fence, until):
        """Carry out a start."""
        if order.born_ms != self.born_ms:
            return workflow.OrderOutcome.OTHER_INCARNATION
        if fence < self.fence:
            return workflow.OrderOutcome.FENCED
        self.fence = fence
        if self.world.now > until:
            return workflow.OrderOutcome.LATE
        self.lease = max(self.lease, until)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run:
            return workflow.OrderOutcome.OK
        if run is not None or self.barred.get(order.task, 0) >= order.run:
            return workflow.OrderOutcome.OLD
        self.world.on_start(self, order)
        return workflow.OrderOutcome.OK

    def stop(self, order, fence):
        """Carry out a stop."""
        if fence < self.fence:
            return workflow.OrderOutcome.FENCED
        self.fence = fence
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.run:
            if run.stopping_at is None:
                run.stopping_at = self.world.now + STOP_S
        self.barred[order.task] = max(
            self.barred.get(order.task, 0), order.run
        )
        return workflow.OrderOutcome.OK


@dataclasses.dataclass(eq=False)
class Owner:
    """One owner and how far it has read the log."""

    scheduler: workflow.Scheduler
    epoch: int
    position: int
    # Until when an owner goes on that does not know of the next one.
    ends_at: float = float("inf")
    # Until when a worker cannot be reached from it, by worker.
    cut_until: dict = dataclasses.field(default_factory=dict)


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
        self.zombies = []
        self.dropped = set()
        self.next_cuts = {}
        self.owner_starts_at = self.now
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
            workflow.RunOutcome.FAILED if fails else workflow.RunOutcome.DONE,
        )

    def _counter(self, task):
        return task._replace(index=0) if self.step(task).gang else task

    def on_end(self, worker, run, outcome):
        """Note an end; the other members of a gang break."""
        if outcome is workflow.RunOutcome.DONE:
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
            if outcome is workflow.RunOutcome.DONE:
                other.end(member, outcome)
            elif outcome is not workflow.RunOutcome.BROKEN:
                other.end(member, workflow.RunOutcome.BROKEN)

    def on_noted(self, worker, end):
        """Note that the owner has acknowledged an end."""
        if end.outcome is workflow.RunOutcome.DONE:
            self.noted_done.add(end.task)
        elif end.outcome is workflow.RunOutcome.FAILED:
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
                    worker.end(run, workflow.RunOutcome.ALONE)
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
        if choose.random() < 0.2:
            # Clients may send a job again after it was accepted.
            again = choose.choice(list(self.jobs))
            self.log.append(("job", again))
        if choose.random() < 0.1:
            self.log.append(("cancel", job))
            self.cancelled_at[job] = self.now

    def start_owner(self):
        """Let the next owner recover."""
        self.epoch += 1
        self.log.append(("barrier", self.epoch))
        config = workflow.Config(LEASE_S)
        scheduler = self.scheduler_class(config, self.epoch)
        self.owner = Owner(scheduler, self.epoch, len(self.log))
        self.owner.cut_until = self.next_cuts
        self.next_cuts = {}
        for kind, job in dict.fromkeys(self.log):
            if kind == "job" and job not in self.dropped:
                scheduler.on_submission(self.jobs[job], 0, self.now, True)
            elif kind == "cancel":
                scheduler.on_cancel(job, self.now)
        for job, progress in self.stored_jobs.items():
            if job in scheduler.jobs:
                scheduler.restore(job, progress, self.now)
            else:
                scheduler.restore_ended_job(job, progress, self.now)
        stored = [s for s in self.stored_workers.values() if s is not None]
        scheduler.recover_workers(stored, self.now)

    def read_log(self, owner):
        """Let an owner read the log."""
        for offset in range(owner.position, len(self.log)):
            kind, value = self.log[offset]
            if kind == "job":
                owner.scheduler.on_submission(
                    self.jobs[value], offset, self.now
                )
            elif kind == "cancel":
                owner.scheduler.on_cancel(value, self.now)
            else:
                owner.scheduler.on_barrier(value)
        owner.position = len(self.log)

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
            if self.idle():
                self.check_end()
                return
        waiting = sorted(self.owner.scheduler.active)
        raise Broken(f"jobs do not end: {waiting[:5]}")

    def idle(self):
        """Return whether the owner knows of no job that has not ended."""
        owner = self.owner
        if owner is None or owner.position < len(self.log):
            return False
        return not owner.scheduler.active

    def calm_down(self):
        """End all faults."""
        for worker in self.workers.values():
            worker.cut = worker.gone
        self.store_down_until = 0.0

    def check_end(self):
        """Check the final state of each job."""
        for job in self.jobs:
            state = self.owner.scheduler.jobs[job].state
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
            if choose.random() < 0.5:
                self.split()
            self.owner = None
            self.owner_starts_at = self.now + OWNER_GAP_S
        elif roll < 0.013:
            self.lose(worker)
        elif roll < 0.017:
            self.store_down_until = self.now + choose.uniform(0.2, 4.0)

    def split(self):
        """Let the owner go on with some workers that the next cannot reach."""
        owner = self.owner
        owner.ends_at = self.now + self.random.uniform(1.0, 4.0)
        self.zombies.append(owner)
        healed_at = self.now + OWNER_GAP_S + self.random.uniform(0.0, 2.0)
        for name in self.workers:
            if self.random.random() < 0.5:
                owner.cut_until[name] = owner.ends_at
            else:
                self.next_cuts[name] = healed_at

    def lose(self, worker):
        """Let a worker vanish for good, unless it is one of the last two."""
        left = [w for w in self.workers.values() if not w.gone]
        if len(left) > 2:
            worker.gone = worker.cut = True

    def tick(self):
        """Advance the time by one step."""
        self.now += STEP_S
        for _, call in [x for x in self.late if x[0] <= self.now]:
            call()
        self.late = [x for x in self.late if x[0] > self.now]
        for worker in self.workers.values():
            worker.tick(self.now)
        self.check_gangs()
        if self.owner is None and self.now >= self.owner_starts_at:
            self.start_owner()
        elif self.owner is not None:
            self.act(self.owner)
        for zombie in self.zombies:
            self.act(zombie)
        self.zombies = [
            z
            for z in self.zombies
            if z.ends_at > self.now and not z.scheduler.superseded
        ]

    def act(self, owner):
        """Let an owner hear, decide and store."""
        scheduler = owner.scheduler
        if self.now >= self.store_down_until and self.random.random() < 0.5:
            self.read_log(owner)
            if owner.epoch == self.epoch:
                taken = scheduler.take_changes()
                self.stored_jobs.update(taken[0])
                self.stored_workers.update(taken[1])
                scheduler.on_stored(*taken)
                self.dropped.update(scheduler.take_droppable())
        workers = list(self.workers.values())
        self.random.shuffle(workers)
        for worker in workers:
            if self.random.random() < 0.5:
                self.hear(owner, worker)
        for action in scheduler.plan(self.now):
            self.carry_out(owner, action)

    def hear(self, owner, worker):
        """Let an owner renew the leases of a worker."""
        scheduler = owner.scheduler
        if worker.gone:
            scheduler.on_worker_unlisted(worker.name, self.now)
        else:
            scheduler.on_worker(worker.info(), self.now)
        state = scheduler.workers.get(worker.name)
        cut = worker.cut or self.now < owner.cut_until.get(worker.name, 0.0)
        if cut or self.random.random() < 0.05:
            if cut and state is not None:
                scheduler.on_renewal_failed(worker.name, "cut", self.now)
            return
        state.extend_lease(self.now, LEASE_S)
        report = worker.hold(
            owner.epoch, state.acknowledged, self.now + LEASE_S
        )
        if report is None:
            scheduler.on_newer_owner()
            return
        scheduler.on_report(worker.name, report, self.now, self.now + 0.01)

    def carry_out(self, owner, action):
        """Pass an order on; it may get lost or come late."""
        scheduler, epoch = owner.scheduler, owner.epoch
        if isinstance(action, workflow.FetchTickets):
            granted = {w: "t" for w in action.workers}
            scheduler.on_tickets(
                action.step, action.workers, granted, self.now + 2.5, self.now
            )
            return
        worker = self.workers[action.worker]
        until = self.now + 2.5
        is_start = isinstance(action, workflow.Start)

        def order():
            if is_start:
                return worker.start(action, epoch, until)
            return worker.stop(action, epoch)

        roll = self.random.random()
        outcome = workflow.OrderOutcome.UNKNOWN
        if worker.cut or self.now < owner.cut_until.get(worker.name, 0.0):
            pass
        elif roll < 0.03 and not self.calm:
            delay = self.random.uniform(0.5, 8.0)
            self.late.append((self.now + delay, order))
        elif roll < 0.05:
            order()
        else:
            outcome = order()
        report = scheduler.on_started if is_start else scheduler.on_stopped
        report(action.task, action.run, action.worker, outcome, self.now)
