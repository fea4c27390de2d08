"""Random histories of workers that start again under their ids.

Each of them is cut off soon after, often before the owner has heard from its
new incarnation, while orders for the earlier one are still under way.
"""

from citrondeal import workflow
from citrondeal.workflow.tests import capacities
from citrondeal.workflow.tests import random_faults
from citrondeal.workflow.tests import simulation

HISTORY_S = 30.0  # with faults
SUBMIT_SHARE = 0.08  # of the ticks
RESTART_SHARE = 0.025
AGE_S = 60.0  # of the workers at the beginning
MAX_TASKS = 2
TICKETED_SHARE = 0.3  # of the jobs
MILLICORES = 200  # of a task, so that there is room on any worker
LONG_SHARE = 0.7  # of the runs
SHORT_RUN_S = (0.2, 2.0)
LONG_RUN_S = (12.0, 20.0)  # longer than the leases of a silent worker
DARK_S = (0.05, 1.0)
LATE_ENTRY_SHARE = 0.7  # of the restarts
LATE_ENTRY_S = (0.0, 2.0)
HELD_S = (0.0, 1.0)  # from the renewal that is never answered
CUT_AFTER_S = (0.0, 2.0)  # from the restart
CUT_SHARE = 0.8  # of the restarts that no other one follows
CUT_AFTER_START_S = (0.0, 0.5)
CUT_AT_START_SHARE = 0.3  # of the first starts of an incarnation
SHORT_CUT_S = (0.5, 6.0)
LONG_CUT_S = (11.0, 16.0)
NEXT_RESTART_SHARE = 0.3
NEXT_RESTART_S = (0.1, 1.5)
OWNER_ENDS_SHARE = 0.2
OWNER_ENDS_S = (0.0, 2.0)


class Simulation(simulation.Simulation):
    """Workers that start again and are cut off.

    Parameters
    ----------
    seed : int
    scheduler_class : type
    bound : bool
        As of `simulation.Simulation`.
    """

    def __init__(self, seed, scheduler_class=workflow.Scheduler, bound=True):
        super().__init__(seed, scheduler_class, bound=bound)
        self._due = []  # of time and function
        for worker in self.workers.values():
            worker.started_at -= AGE_S
            worker.born_ms -= int(AGE_S * 1000)

    def draw_run_s(self):
        """Draw how long a run takes: longer than any lease, or short."""
        is_long = self.random.random() < LONG_SHARE
        return self.random.uniform(*(LONG_RUN_S if is_long else SHORT_RUN_S))

    def new_capacity(self):
        """Return the capacity of each incarnation."""
        return capacities.FULL

    def submit(self):
        """Submit a job of one step."""
        rng = self.random
        job = f"{len(self.jobs):016x}"
        size = workflow.Size(MILLICORES, 10)
        step = workflow.Step(rng.randint(1, MAX_TASKS), size, 1.0)
        policy = workflow.Policy(
            "queue",
            "service",
            1,
            3,
            3.0,
            ticketed=rng.random() < TICKETED_SHARE,
        )
        self.jobs[job] = workflow.Submission(job, "", (step,), policy)
        self.log.append(("job", job))

    def inject_faults(self):
        """Submit a job, or let a worker start again."""
        rng = self.random
        if rng.random() < SUBMIT_SHARE:
            self.submit()
        if rng.random() < RESTART_SHARE:
            self._darken(rng.choice(list(self.workers.values())))
        for _, act in [x for x in self._due if x[0] <= self.now]:
            act()
        self._due = [x for x in self._due if x[0] > self.now]

    def on_start(self, worker, order, sent_at):
        """Begin a run, and often cut off a worker that is just back."""
        super().on_start(worker, order, sent_at)
        is_back = self.now - worker.started_at < CUT_AFTER_S[1]
        if is_back and self.random.random() < CUT_AT_START_SHARE:
            self._later(CUT_AFTER_START_S, lambda: self._cut(worker))

    def bring_back(self, worker):
        """Start a worker again under its id."""
        self.record_unanswered(worker)
        worker.restart()
        if self.now >= self.faults_ended_at:
            return
        rng = self.random
        if rng.random() < LATE_ENTRY_SHARE:
            delay_s = rng.uniform(*LATE_ENTRY_S)
            self.worker_list.delay(worker, self.now + delay_s)
        if rng.random() < NEXT_RESTART_SHARE:
            self._later(NEXT_RESTART_S, lambda: self._darken(worker))
        elif rng.random() < CUT_SHARE:
            self._later(CUT_AFTER_S, lambda: self._cut(worker))
        if rng.random() < OWNER_ENDS_SHARE:
            self._later(OWNER_ENDS_S, self._end_owner)

    def _later(self, range_s, act):
        self._due.append((self.now + self.random.uniform(*range_s), act))

    def _darken(self, worker):
        """Let a worker lose power while it holds a renewal of each owner."""
        if worker.down or worker.unreachable:
            return
        for owner in [self.owner, *self.superseded_owners]:
            if owner is not None:
                self.renewals.leave_half_open(owner, worker)
        self._later(HELD_S, lambda: self._crash(worker))

    def _crash(self, worker):
        if not worker.down:
            worker.crash(self.random.uniform(*DARK_S))

    def _cut(self, worker):
        if worker.unreachable or self.now >= self.faults_ended_at:
            return
        length_s = self.random.choice([SHORT_CUT_S, LONG_CUT_S, LONG_CUT_S])
        worker.unreachable = True
        worker.reachable_at = self.now + self.random.uniform(*length_s)

    def _end_owner(self):
        if self.owner is not None:
            random_faults.end_owner(self)


def play(seed, scheduler_class=workflow.Scheduler, bound=True):
    """Play a history, in which no invariant may be violated.

    Parameters
    ----------
    seed : int
    scheduler_class : type
    bound : bool
        As of `simulation.Simulation`.

    Raises
    ------
    InvariantViolation
    """
    Simulation(seed, scheduler_class, bound).run(HISTORY_S)
