"""Waiting, credit and planning time of a cell under a synthetic load.

A load like that of a large cell is scheduled in virtual time: urgent small
jobs, wide batch steps, and gangs whose tickets few workers get and expire
before a second round of calls is answered.  Prints one JSON line.

With `--accounts`, the jobs belong to client accounts, and the figures of each
account are compared with an ideal share: `bench/_accounts.py` has the cases.

Examples
--------
``python -m bench.workflow --workers 270 --load 1.3 --seed 2``

``python -m bench.workflow --load 0.8 --accounts 20 --case flood``
"""

import collections
import dataclasses
import heapq
import json
import logging
import math
import random
import time

import fire

from bench import _accounts
from bench import _job_kinds
from citrondeal import workflow

STEP_S = 0.02
CALL_OVERHEAD_S = 0.03
ORDER_DELAY_S = 0.02
TICKET_VALID_S = 1.4
LEASE_S = 10.0
DRAIN_S = 30.0  # time after the last submission for jobs to end
CORES = 32  # of each worker
MAX_STEPS = 3
LATE_FACTOR = 3  # a job is of some use until this many times its objective
LATE_SHARE = 0.2
WORKER_SPEEDS = (0.6, 1.0, 1.6)
# This share of the jobs takes so many times as long as estimated.
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
REPORT_PERIOD_S = 1.0


@dataclasses.dataclass
class _Job:
    kind: _job_kinds.Kind
    began: float
    objective_s: float
    credit: float
    run_s: list
    factor: float
    account: str = ""
    started: bool = False


@dataclasses.dataclass
class _Run:
    number: int
    began: float
    ends: float


class Cell:
    """A scheduler with workers and a ticket service in virtual time.

    Parameters
    ----------
    workers, members : int
        `members` ticket calls are made at the same time.
    load : float
        Factor of the rates of all kinds.
    seed : int
    accounts : _accounts.Accounts or None
        Client accounts of the jobs.
    """

    def __init__(self, workers, members, load, seed, accounts=None):
        self._random = self._load_random = random.Random(seed)
        if accounts is not None:
            # The load must not depend on the order of the starts.
            self._load_random = random.Random(f"load {seed}")
        self._load = load * workers / _job_kinds.WORKERS_OF_LOAD
        self._members = members
        self._accounts = accounts
        scheduler_class = workflow.Scheduler
        if accounts is not None:
            scheduler_class = accounts.scheduler_class
        self._scheduler = scheduler_class(workflow.Config(LEASE_S), 1)
        self._now = 100.0
        self._jobs = {}
        self._waiting_calls = []
        self._open_calls = []
        self._orders = []
        self._count = 0
        self._speeds = {}
        self._running = {}
        self._ends = {}
        self._reported_at = {}
        self._end_counts = collections.Counter()
        self.owed = collections.Counter()
        self.earned = collections.Counter()
        self.pass_times_s = []
        self.paces = {}
        self.starts = 0
        self.ticket_calls = 0
        if accounts is not None:
            self._scheduler.on_accounts(accounts.by_name, self._now)
        for index in range(workers):
            self._add_worker(f"w{index:04d}", index)
        self._scheduler.on_stored(*self._scheduler.take_changes())

    def _add_worker(self, name, index):
        size = workflow.Size(CORES * 1000, 64_000)
        info = workflow.WorkerInfo(
            name, f"{name}:1", "service", "zone", capacity=size, born_ms=1
        )
        self._speeds[name] = WORKER_SPEEDS[index % len(WORKER_SPEEDS)]
        self._running[name] = {}
        self._ends[name] = []
        # Workers report at different times.
        phase_s = REPORT_PERIOD_S * self._random.random()
        self._scheduler.on_worker(info, self._now)
        self._report(name)
        self._reported_at[name] = self._now - phase_s

    def run(self, seconds):
        """Submit jobs for `seconds`, and run until they have ended."""
        first = self._now
        last = self._now + seconds
        while self._now < last + DRAIN_S and (self._now < last or self._jobs):
            self._now += STEP_S
            if self._now < last:
                self._submit_jobs(self._now - first)
            self._plan()
            self._answer_calls()
            self._start_tasks()
            self._end_tasks()
            self._scheduler.on_stored(*self._scheduler.take_changes())
            self._settle_jobs()
            if self._accounts is not None:
                self._accounts.on_step(self._scheduler)

    def _draw(self, mean, spread, maximum):
        value = self._load_random.lognormvariate(
            math.log(mean) - spread * spread / 2, spread
        )
        return min(max(value, mean / 20), maximum)

    def _submit_jobs(self, elapsed_s):
        for kind in _job_kinds.KINDS:
            expected = kind.rate * self._load * STEP_S
            if self._accounts is None:
                self._submit_some(kind, expected, "")
                continue
            factors = self._accounts.rates(kind, elapsed_s)
            for account, factor in factors.items():
                self._submit_some(kind, expected * factor, account)

    def _submit_some(self, kind, expected, account):
        count = int(expected)
        count += self._load_random.random() < expected - count
        for _ in range(count):
            self._submit(kind, account)

    def _submit(self, kind, account):
        rng = self._load_random
        self._count += 1
        job_id = f"{self._count:016x}"
        gang = rng.random() < kind.gang_share
        steps = []
        run_s = []
        work = 0.0
        for index in range(min(MAX_STEPS, max(1, round(kind.steps)))):
            tasks = max(1, round(self._draw(*kind.width)))
            cores = self._draw(*kind.cores)
            memory_mb = self._draw(*kind.memory_gb) * 1000
            run_s.append(self._draw(*kind.run_s))
            error = rng.uniform(1.0, kind.estimate_factor)
            error = error if rng.random() < 0.5 else 1 / error
            size = workflow.Size(int(cores * 1000), int(memory_mb))
            after = (index - 1,) if index else ()
            step = workflow.Step(
                tasks, size, run_s[-1] * error, after=after, gang=gang
            )
            steps.append(step)
            work += tasks * cores * run_s[-1]
        policy = workflow.Policy(
            kind.name,
            "service",
            kind.priority,
            3,
            kind.stretch,
            kind.target_s,
            ticketed=True,
            ticket_base_s=kind.ticket_base_s,
            ticket_each_s=kind.ticket_each_s,
        )
        call_s = kind.ticket_base_s + 30 * kind.ticket_each_s
        chain_s = sum(run_s) + call_s * len(run_s)
        credit = kind.credit * min(4.0, 0.3 + 0.7 * work / kind.mean_work)
        objective_s = kind.stretch * chain_s + kind.target_s
        factor = LONG_FACTOR if rng.random() < LONG_SHARE else 1.0
        job = _Job(
            kind, self._now, objective_s, credit, run_s, factor, account
        )
        self._jobs[job_id] = job
        self.owed[kind.name] += credit
        if self._accounts is not None:
            self._accounts.on_submitted(job, work)
        submission = workflow.Submission(
            job_id, "", tuple(steps), policy, account=account
        )
        self._scheduler.on_submission(submission, 0, self._now)

    def _plan(self):
        started = time.process_time()
        actions = self._scheduler.plan(self._now)
        self.pass_times_s.append(time.process_time() - started)
        for action in actions:
            if isinstance(action, workflow.FetchTickets):
                self._count += 1
                order = (not action.renewal, action.urgency)
                entry = (order, self._count, action)
                heapq.heappush(self._waiting_calls, entry)
            elif isinstance(action, workflow.Start):
                self.starts += 1
                self._orders.append((self._now + ORDER_DELAY_S, action))
            else:
                self._running[action.worker].pop(action.task, None)
                self._scheduler.on_stopped(
                    action.task,
                    action.run,
                    action.worker,
                    workflow.OrderOutcome.OK,
                    self._now,
                )

    def _answer_calls(self):
        while self._waiting_calls and len(self._open_calls) < self._members:
            _, _, call = heapq.heappop(self._waiting_calls)
            self.ticket_calls += 1
            due = self._now + call.expected_s + CALL_OVERHEAD_S
            self._open_calls.append((due, call))
        due_calls = [
            call for due, call in self._open_calls if due <= self._now
        ]
        self._open_calls = [c for c in self._open_calls if c[0] > self._now]
        for call in due_calls:
            granted = {w: "t" for w in call.workers if self._allowed(call, w)}
            self._scheduler.on_tickets(
                call.step,
                call.workers,
                granted,
                self._now + TICKET_VALID_S,
                self._now,
            )

    def _allowed(self, call, worker):
        """Return whether a worker may run a step, which never changes."""
        job = self._jobs.get(call.step.job)
        draw = random.Random(f"{call.step.job}.{call.step.step}.{worker}")
        return job is not None and draw.random() < job.kind.allowed_share

    def _start_tasks(self):
        due = [order for at, order in self._orders if at <= self._now]
        self._orders = [o for o in self._orders if o[0] > self._now]
        # The slowest worker sets the pace of a gang, whose starts are sent
        # together and have one number.
        paces = {}
        for order in due:
            key = order.task.job, order.run
            speed = self._speeds[order.worker]
            paces[key] = min(paces.get(key, speed), speed)
        for order in due:
            job = self._jobs[order.task.job]
            if self._accounts is not None:
                self._accounts.on_started(job, self._now)
            run_s = job.run_s[order.task.step] * job.factor
            # The same for each order of starts, so that runs are comparable.
            run_s *= random.Random(f"{order.task}").uniform(0.85, 1.15)
            pace = paces[order.task.job, order.run]
            ends = self._now + run_s / pace
            self._count_pace(job.kind.name, pace, self._speeds[order.worker])
            run = _Run(order.run, self._now, ends)
            self._running[order.worker][order.task] = run
            self._scheduler.on_started(
                order.task,
                order.run,
                order.worker,
                workflow.OrderOutcome.OK,
                self._now,
            )

    def _count_pace(self, name, pace, speed):
        count, paces, speeds = self.paces.get(name, (0, 0.0, 0.0))
        self.paces[name] = (count + 1, paces + pace, speeds + speed)

    def _end_tasks(self):
        for name, runs in self._running.items():
            done = [t for t, run in runs.items() if run.ends <= self._now]
            if not done:
                if self._now - self._reported_at[name] >= REPORT_PERIOD_S:
                    self._report(name)
                continue
            self._ends[name] = []
            for task in done:
                self._end_counts[name] += 1
                end = workflow.RunEnd(
                    self._end_counts[name],
                    task,
                    runs.pop(task).number,
                    workflow.RunOutcome.DONE,
                    "",
                )
                self._ends[name].append(end)
            self._report(name)

    def _report(self, name):
        self._reported_at[name] = self._now
        running = [
            workflow.ReportedRun(task, run.number, "", self._percent(run))
            for task, run in self._running[name].items()
        ]
        report = workflow.Report(self._now, 1, running, self._ends[name])
        self._scheduler.on_report(name, report, self._now, self._now)

    def _percent(self, run):
        share = (self._now - run.began) / (run.ends - run.began)
        return min(99.0, 100.0 * share)

    def _settle_jobs(self):
        for job_id, job in list(self._jobs.items()):
            if not self._scheduler.jobs[job_id].ended:
                continue
            took_s = self._now - job.began
            share = 1.0 if took_s <= job.objective_s else LATE_SHARE
            if took_s > LATE_FACTOR * job.objective_s:
                share = 0.0
            self.earned[job.kind.name] += share * job.credit
            if self._accounts is not None:
                self._accounts.earned[job.account] += share * job.credit
            del self._jobs[job_id]


def run(
    workers=270,
    members=97,
    load=1.0,
    seed=1,
    seconds=34.0,
    accounts=0,
    case="even",
    order="shares",
):
    """Schedule one load and print the figures.

    Parameters
    ----------
    workers, members : int
    load : float
    seed : int
    seconds : float
        Time in which jobs are submitted.
    accounts : int
        Number of client accounts; 0 for jobs without any.
    case, order : str
        See `bench/_accounts.py`.
    """
    logging.disable(logging.CRITICAL)
    tenants = None
    if accounts:
        tenants = _accounts.Accounts(accounts, case, order)
    cell = Cell(workers, members, load, seed, tenants)
    cell.run(seconds)
    times = sorted(cell.pass_times_s)
    figures = {
        "workers": workers,
        "load": load,
        "seed": seed,
        "credit": {
            k: round(cell.earned[k] / v, 3) for k, v in cell.owed.items()
        },
        "all": round(sum(cell.earned.values()) / sum(cell.owed.values()), 3),
        "pace": _ratios(cell.paces, 1, 0),
        "pace_of_speed": _ratios(cell.paces, 1, 2),
        "starts": cell.starts,
        "ticket_calls": cell.ticket_calls,
        "pass_ms_mean": round(1000 * sum(times) / len(times), 2),
        "pass_ms_p99": round(1000 * times[int(0.99 * len(times))], 2),
        "pass_ms_max": round(1000 * times[-1], 2),
    }
    if tenants is not None:
        figures |= tenants.figures(workers * CORES, STEP_S)
    print(json.dumps(figures))


def _ratios(paces, above, below):
    return {k: round(v[above] / v[below], 3) for k, v in paces.items()}


if __name__ == "__main__":
    fire.Fire(run, serialize=lambda value: None)
