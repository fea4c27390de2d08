"""Simulation of workers and owners in virtual time, with random faults.

Orders may get lost or be carried out late.  The simulation checks the
scheduler's invariants at each start and at the end.
"""

import collections
import math
import random

from citrondeal import workflow
from citrondeal.workflow.tests import capacities
from citrondeal.workflow.tests import final_checks
from citrondeal.workflow.tests import invariants
from citrondeal.workflow.tests import odd_entries
from citrondeal.workflow.tests import random_faults
from citrondeal.workflow.tests import random_jobs
from citrondeal.workflow.tests import simulated_late_calls
from citrondeal.workflow.tests import simulated_orders
from citrondeal.workflow.tests import simulated_owner
from citrondeal.workflow.tests import simulated_renewals
from citrondeal.workflow.tests import simulated_workers

TICK_S = 0.05
GANG_WAIT_LIMIT_S = 3.0
WORKERS_PERIOD_S = 0.4  # between two reads of the list of workers
# Orders arrive at once unless they are delayed.
CAPACITIES_VALID_S = capacities.CONTACT_S - 0.5
# Orders that were delayed and leases that nobody renews are over by then.
CALM_AFTER_S = simulated_orders.MAX_DELAY_S + simulated_renewals.LEASE_S
# The jobs that are left have so many times as long as the faults went on,
# since their number grows with that time.
END_FACTOR = 4.0
CALM_JOBS = 5  # submitted once the effects of all faults are over
# Share of the jobs of which one task crashes each worker that starts it.
DEADLY_SHARE = 0.06


class Simulation:
    """Workers, a sequence of owners, and checks of the invariants.

    Parameters
    ----------
    seed : int
        Seed of the random jobs, faults and times.
    scheduler_class : type
        `workflow.Scheduler`, or a subclass with a fault.
    late_starts_reach_unheard : bool
        See `simulated_late_calls.LateCalls`.
    bound : bool
        Whether each connection is bound to one incarnation of a worker, so
        that a start for an earlier one is not carried out.
    """

    def __init__(
        self,
        seed,
        scheduler_class=workflow.Scheduler,
        late_starts_reach_unheard=False,
        bound=True,
    ):
        self.random = random.Random(seed)
        # Its own generator keeps the other draws of a seed.
        self.deadly_random = random.Random(~seed)
        self.scheduler_class = scheduler_class
        self.bound = bound
        self.now = 100.0
        self.faults_ended_at = math.inf
        self.workers = {
            f"w{i}": simulated_workers.SimulatedWorker(self, f"w{i}")
            for i in range(self.random.randint(2, 5))
        }
        self.worker_list = capacities.WorkerList(self.random)
        self.odd_writer = odd_entries.OddWriter(seed)
        self.renewals = simulated_renewals.Renewals(self, seed)
        self.log = []
        self.stored_jobs = {}
        self.stored_workers = {}
        self.orders = simulated_orders.Orders(self)
        self.late_calls = simulated_late_calls.LateCalls(
            self, seed, late_starts_reach_unheard
        )
        self.epoch = 0
        self.owner = None
        self.superseded_owners = []
        self.dropped = set()
        self.next_unreachable_until = {}
        self.owner_starts_at = self.now
        self.store_down_until = 0.0
        self.done = collections.Counter()
        self.acknowledged_done = set()
        self.acknowledged_failures = collections.Counter()
        self.failed_runs = {}
        self.cancelled_at = {}
        self.jobs = {}
        self.always_failing = set()
        self.replaced = {}  # workers that came back under another id
        self.deadly = {}  # job -> step and index of its deadly task
        self.crashed_runs = collections.defaultdict(set)
        self.lost_runs = collections.defaultdict(set)
        self.lost_alone = set()
        self.recovered = set()  # jobs that a later owner has taken over
        self.started_runs = collections.defaultdict(set)
        self.last_started_at = {}
        self.failed_numbers = collections.defaultdict(set)

    # Checks of the runs

    def submission(self, job):
        """Return the submission of a job."""
        return self.jobs[job]

    def step(self, task):
        """Return the specification of a task's step."""
        return self.jobs[task.job].steps[task.step]

    def gang_complete(self, run):
        """Return whether all members of the gang run; true without a gang."""
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

    def on_start(self, worker, order, sent_at):
        """Check the invariants of a start, and begin the run."""
        task = order.task
        step = self.step(task)
        for other in self.workers.values():
            if task in other.runs:
                raise invariants.InvariantViolation(
                    f"{task} starts on {worker.name} and runs on {other.name}"
                )
        if task in self.acknowledged_done:
            raise invariants.InvariantViolation(
                f"{task} starts after its success was acknowledged"
            )
        limit = self.jobs[task.job].policy.max_attempts
        if self.acknowledged_failures[self.accounting_task(task)] >= limit:
            raise invariants.InvariantViolation(
                f"{task} starts after {limit} failures"
            )
        for dependency in step.after:
            for index in range(self.jobs[task.job].steps[dependency].tasks):
                task_id = workflow.TaskId(task.job, 0, dependency, index)
                if not self.done[task_id]:
                    raise invariants.InvariantViolation(
                        f"{task} starts before {task_id} is done"
                    )
        used = workflow.Size()
        for run in worker.runs.values():
            used = used.plus(run.size)
        # An owner cannot know the capacity of an incarnation that began after
        # it has sent the start.
        known = order.born_ms == worker.born_ms
        used = used.plus(step.size)
        if known and not worker.capacity.allows(used, sent_at):
            raise invariants.InvariantViolation(
                f"{task} exceeds the capacity of {worker.name}"
            )
        spread = sum(
            1
            for run in worker.runs
            if (run.job, run.step) == (task.job, task.step)
        )
        if step.spread and spread >= step.spread:
            raise invariants.InvariantViolation(
                f"{task} exceeds the spread {step.spread} on {worker.name}"
            )
        self.check_crashes(task, order.run)
        self.last_started_at[task] = self.now
        fails = task.job in self.always_failing or self.random.random() < 0.03
        worker.runs[task] = simulated_workers.SimulatedRun(
            task,
            order.run,
            step.size,
            self.now,
            self.now + self.draw_run_s(),
            workflow.RunOutcome.FAILED if fails else workflow.RunOutcome.DONE,
        )
        run = worker.runs[task]
        if self.deadly.get(task.job, (None,))[0] == task.step and step.gang:
            run.ends_at = math.inf
        if self.is_deadly(task):
            run.ends_at = math.inf
            run.crashes_at = self.now + self.deadly_random.uniform(0.1, 2.0)

    def draw_run_s(self):
        """Draw how long a run takes."""
        return self.random.uniform(0.2, 3.0)

    def is_deadly(self, task):
        """Return whether a task crashes each worker that starts it."""
        return self.deadly.get(task.job) == (task.step, task.index)

    def check_crashes(self, task, number):
        """Check that a task which crashes its workers is given up in time."""
        crashed, started = self.crashed_runs[task], self.started_runs[task]
        started.add(number)
        if len(crashed) < invariants.MAX_CRASHES or not self.is_deadly(task):
            return
        third = sorted(crashed)[invariants.MAX_CRASHES - 1]
        late = [run for run in started if run > third]
        if len(late) > invariants.LATE_STARTS:
            raise invariants.InvariantViolation(
                f"{task} starts {len(late)} times after"
                f" {invariants.MAX_CRASHES} crashes"
            )

    def record_crash(self, worker):
        """Record what a crash of a worker ended.

        An end that the owner has not acknowledged is lost with the worker, so
        the owner may take its run for one that has crashed.
        """
        lost = {
            (self.accounting_task(end.task), end.run)
            for end in worker.unacknowledged_ends
        }
        for run in worker.runs.values():
            self.crashed_runs[run.task].add(run.number)
            lost.add((self.accounting_task(run.task), run.number))
        self.record_unanswered(worker)
        for task, number in lost:
            self.lost_runs[task].add(number)
            if len({other for other, _ in lost}) == 1:
                self.lost_alone.add(task)

    def record_unanswered(self, worker):
        """Record the starts without an answer as lost with their worker.

        An owner cannot know whether they took effect before the crash.
        """
        for task, number in worker.unanswered:
            self.lost_runs[task].add(number)
        worker.unanswered = set()

    def break_gangs(self, runs):
        """End the gangs of which a crash has ended a member."""
        for run in runs:
            if not self.step(run.task).gang:
                continue
            for worker in self.workers.values():
                for member in list(worker.runs.values()):
                    same = member.task.step == run.task.step
                    same = same and member.task.job == run.task.job
                    if same and member.number == run.number:
                        worker.end(member, workflow.RunOutcome.BROKEN)

    def new_capacity(self):
        """Return the capacity of a new incarnation, full after all faults."""
        if self.now >= self.faults_ended_at:
            return capacities.FULL
        return capacities.choose(self.random)

    def bring_back(self, worker):
        """Start a crashed worker again, under its id or a new one."""
        self.record_unanswered(worker)
        if worker.removed or self.deadly_random.random() < 0.7:
            worker.restart()
            return
        del self.workers[worker.name]
        name = f"{worker.name}+"
        self.workers[name] = simulated_workers.SimulatedWorker(
            self, name, worker.address
        )
        self.replaced[worker.name] = worker

    def accounting_task(self, task):
        return task._replace(index=0) if self.step(task).gang else task

    def on_end(self, worker, run, outcome):
        """Record an end, and end the other members of a gang."""
        if outcome is workflow.RunOutcome.DONE:
            self.done[run.task] += 1
        elif outcome is workflow.RunOutcome.FAILED:
            task = self.accounting_task(run.task)
            self.failed_numbers[task].add(run.number)
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

    def on_acknowledged(self, worker, end):
        """Record that the owner has acknowledged an end."""
        if end.outcome is workflow.RunOutcome.DONE:
            self.acknowledged_done.add(end.task)
            self.check_not_repeated(worker, end)
        elif end.outcome is workflow.RunOutcome.FAILED:
            failure = (self.accounting_task(end.task), end.run)
            if failure not in self.failed_runs:
                self.failed_runs[failure] = True
                self.acknowledged_failures[failure[0]] += 1

    def check_not_repeated(self, worker, end):
        """Check that a task was not started again after its success.

        A success is lost, and may be repeated, if the lease has lapsed before
        it was acknowledged.
        """
        ended_at = worker.ended_at[end.number]
        started_at = self.last_started_at[end.task]
        if ended_at < started_at and worker.lapsed_at < ended_at:
            raise invariants.InvariantViolation(
                f"{end.task} started again after its success on {worker.name}"
            )

    def check_gangs(self):
        """End, or report, a member that waits too long for the others."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                waited = self.now - run.started_at
                if waited > GANG_WAIT_LIMIT_S and not self.gang_complete(run):
                    if run.started_at > self.faults_ended_at + CALM_AFTER_S:
                        raise invariants.InvariantViolation(
                            f"{run.task} runs without the rest of its gang"
                        )
                    worker.end(run, workflow.RunOutcome.ALONE)
                    return

    # Course of time

    def submit(self):
        """Submit a random job."""
        rng = self.random
        job = f"{len(self.jobs):016x}"
        self.jobs[job] = submission = random_jobs.draw(rng, job)
        if rng.random() < 0.08:
            self.always_failing.add(job)
        elif self.deadly_random.random() < DEADLY_SHARE:
            step = self.deadly_random.randrange(len(submission.steps))
            tasks = submission.steps[step].tasks
            index = self.deadly_random.randrange(tasks)
            self.deadly[job] = (step, index)
        self.log.append(("job", job))
        if rng.random() < 0.2:
            # Clients may send a job again after it was accepted.
            again = rng.choice(list(self.jobs))
            self.log.append(("job", again))
        if rng.random() < 0.1:
            self.log.append(("cancel", job))
            self.cancelled_at[job] = self.now

    def start_owner(self):
        """Start the next owner, which recovers the stored state."""
        self.epoch += 1
        self.log.append(("barrier", self.epoch))
        config = workflow.Config(
            simulated_renewals.LEASE_S, capacities_valid_s=CAPACITIES_VALID_S
        )
        scheduler = self.scheduler_class(config, self.epoch)
        self.owner = simulated_owner.Owner(
            scheduler, self.epoch, len(self.log)
        )
        self.owner.unreachable_until = self.next_unreachable_until
        self.next_unreachable_until = {}
        if self.epoch > 1:
            self.recovered.update(self.jobs)
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

    def run(self, seconds):
        """Run with faults, and then without until all jobs have ended."""
        end = self.now + seconds
        while self.now < end:
            self.inject_faults()
            self.tick()
        self.end_faults()
        while self.now < self.faults_ended_at + CALM_AFTER_S:
            self.tick()
        for _ in range(CALM_JOBS):
            self.submit()
        limit = self.now + END_FACTOR * seconds
        while self.now < limit:
            self.tick()
            if self.all_jobs_ended():
                final_checks.check(self)
                return
        waiting = sorted(self.owner.scheduler.active)
        raise invariants.InvariantViolation(
            f"{len(waiting)} jobs do not end, such as {waiting[:5]}"
        )

    def inject_faults(self):
        """Submit a job or inject a fault, both at random."""
        random_faults.inject(self)

    def all_jobs_ended(self):
        """Return whether the owner knows all jobs and all have ended."""
        owner = self.owner
        if owner is None or owner.position < len(self.log):
            return False
        return not owner.scheduler.active

    def end_faults(self):
        """End all faults; their effects are over some time later."""
        self.faults_ended_at = self.now
        for worker in self.workers.values():
            worker.unreachable = worker.removed
            worker.capacity.change(capacities.FULL, self.now)
        self.store_down_until = 0.0

    def may_fail(self, job):
        """Return whether a job may be shown as failed."""
        return final_checks.may_fail(self, job)

    def tick(self):
        """Advance the time by `TICK_S`."""
        self.now += TICK_S
        self.late_calls.tick(self.now)
        for worker in list(self.workers.values()):
            worker.tick(self.now)
        self.worker_list.tick(
            self.workers.values(),
            self.now >= self.store_down_until,
            self.now < self.faults_ended_at,
            self.now,
        )
        if self.store_down_until <= self.now < self.faults_ended_at:
            for info in self.odd_writer.entries(self.workers.values()):
                self.worker_list.add(info)
        self.check_gangs()
        if self.owner is None and self.now >= self.owner_starts_at:
            self.start_owner()
        elif self.owner is not None:
            self.run_owner(self.owner)
        for owner in self.superseded_owners:
            self.run_owner(owner)
        self.superseded_owners = [
            z
            for z in self.superseded_owners
            if z.ends_at > self.now and not z.scheduler.superseded
        ]

    def run_owner(self, owner):
        """Let an owner read, store, renew leases and plan."""
        scheduler = owner.scheduler
        if self.now >= self.store_down_until and self.random.random() < 0.5:
            owner.read_log(self.log, self.jobs, self.now)
            if owner.epoch == self.epoch:
                taken = scheduler.take_changes()
                self.stored_jobs.update(taken[0])
                self.stored_workers.update(taken[1])
                scheduler.on_stored(*taken)
                self.dropped.update(scheduler.take_droppable())
        self.read_workers(owner)
        workers = list(self.workers.values())
        self.random.shuffle(workers)
        for worker in workers:
            if self.random.random() < 0.5:
                self.renewals.renew(owner, worker)
        for action in scheduler.plan(self.now):
            self.orders.deliver(owner, action)

    def read_workers(self, owner):
        """Let an owner read the list of workers, if it is due."""
        if self.now < max(owner.workers_due_at, self.store_down_until):
            return
        owner.workers_due_at = self.now + WORKERS_PERIOD_S
        for name, info in self.worker_list.read(owner.workers_position):
            if info is None:
                owner.scheduler.on_worker_unlisted(name, self.now)
            else:
                owner.scheduler.on_worker(info, self.now)
        owner.workers_position = self.worker_list.end
        owner.scheduler.on_workers_read(self.now)
