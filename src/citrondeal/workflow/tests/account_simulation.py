"""Simulation of owners with client accounts whose caps change."""

import dataclasses
import math
import random

from citrondeal import workflow
from citrondeal.workflow.tests import invariants
from citrondeal.workflow.tests import simulated_workers
from citrondeal.workflow.tests import simulation

NAMES = ("first", "second", "third")
# A start that was decided by an earlier cap may arrive this much later, and
# the caps of a superseded owner may be older by the time in which a
# configuration is in force.
CAP_COUNTS_S = simulated_workers.START_VALID_S + 1.0
FLOOD_JOBS = 3  # submitted just after each change of the owner
# Needed by a gang of five tasks of the largest size.
LARGEST_CAP = workflow.Size(45_000, 0, 5)


class Simulation(simulation.Simulation):
    """Checks that no account exceeds its cap at any start."""

    def __init__(self, seed, scheduler_class=workflow.Scheduler):
        super().__init__(seed, scheduler_class)
        self.account_random = random.Random(seed + 1)
        self.unheard_ends = set()  # tasks of runs
        self.past_caps = []  # time until which they count, and caps by name
        self.change_accounts()

    def change_accounts(self):
        """Put a new version into force: accounts leave, return and change."""
        if self.past_caps:
            until = self.now + CAP_COUNTS_S
            self.past_caps[-1] = until, self.past_caps[-1][1]
        rng = self.account_random
        ended = self.now >= self.faults_ended_at
        self.accounts = {
            name: workflow.Account(
                name,
                rng.choice((1.0, 5.0)),
                LARGEST_CAP if ended else self.draw_cap(),
            )
            for name in NAMES
            if ended or rng.random() < 0.9
        }
        # An owner that has never known an account knows no cap of it.
        caps = dict.fromkeys(NAMES, workflow.Size())
        caps.update({n: a.cap for n, a in self.accounts.items()})
        self.past_caps.append((math.inf, caps))

    def draw_cap(self):
        """Return a random cap, which may be smaller than a task."""
        rng = self.account_random
        return workflow.Size(
            rng.choice((5_000, 20_000, 20_000, 40_000)),
            rng.choice((0, 4_000)),
            rng.choice((0, 1, 2)),
        )

    def submit(self):
        """Submit a random job of a random account."""
        super().submit()
        job = next(reversed(self.jobs))
        account = self.account_random.choice(NAMES)
        self.jobs[job] = dataclasses.replace(self.jobs[job], account=account)

    def start_owner(self):
        """Start the next owner during a flood of new jobs."""
        super().start_owner()
        for _ in range(FLOOD_JOBS):
            self.submit()

    def tick(self):
        """Change the accounts now and then, sometimes twice in a row."""
        if self.account_random.random() < 0.004:
            for _ in range(self.account_random.choice((1, 1, 2))):
                self.change_accounts()
        super().tick()

    def end_faults(self):
        """End all faults, and let each job fit in the cap of its account."""
        super().end_faults()
        self.change_accounts()

    def run_owner(self, owner):
        """Let an owner plan by the newest configuration."""
        owner.scheduler.on_accounts(self.accounts, self.now)
        super().run_owner(owner)

    def on_start(self, worker, order, sent_at):
        """Check the cap of the account that a run belongs to."""
        super().on_start(worker, order, sent_at)
        account = self.jobs[order.task.job].account
        used = workflow.Size()
        for other in self.workers.values():
            for run in other.runs.values():
                if self.jobs[run.task.job].account == account:
                    used = used.plus(run.size)
        caps = [
            caps[account]
            for until, caps in self.past_caps
            if until >= self.now
        ]
        size = self.step(order.task).size
        if not any(_allows(cap, used, size) for cap in caps):
            raise invariants.InvariantViolation(
                f"{account} uses {used} with the caps {caps}"
            )

    def on_end(self, worker, run, outcome):
        """Record an end, and whether the owner may never learn of it."""
        if worker.unreachable or outcome is workflow.RunOutcome.LAPSED:
            self.unheard_ends.add(self.accounting_task(run.task))
        super().on_end(worker, run, outcome)

    def may_fail(self, job):
        """Return whether a job may have failed.

        The third crash of a task is not excused if the end of another run of
        it is not known.  Jobs wait longer here, so that more of them have one.
        """
        return super().may_fail(job) or any(
            task.job == job
            and len(self.lost_runs[task]) >= invariants.MAX_CRASHES
            for task in self.unheard_ends
        )


def _allows(cap, used, started):
    """Return whether a start does not exceed a cap."""
    return all(
        not need or not limit or total <= limit
        for need, limit, total in zip(
            dataclasses.astuple(started),
            dataclasses.astuple(cap),
            dataclasses.astuple(used),
        )
    )
