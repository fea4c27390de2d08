"""Credit of a cell under overload, for several orders of the ready steps.

Each order gets the same jobs: two synthetic loads with bursts of each kind of
work.  Prints one JSON line for each order.

Examples
--------
``python -m bench.orders --load scarce --factor 1.3 --seed 2``
"""

import json
import logging
import random

import fire

from bench import _job_kinds
from bench import workflow as bench
from citrondeal import workflow
from citrondeal.workflow import _precedence

WORKERS = 176
MEMBERS = 29
SECONDS = 34.0
# Kind, factor of its rate, and the seconds between which it applies.
BURSTS = (("batch", 2.4, 2, 8), ("urgent", 2.2, 7, 11), ("gangs", 1.7, 19, 23))
# A task of the long kind takes this many times its estimate.
LONG_FACTOR = 7.0


class _Load:
    """Kinds of work and workers of one load.

    Parameters
    ----------
    rates : tuple of float
        Jobs a second of gangs, batch and urgent work.
    cores, memory_gb, run_s : tuple of tuple
        See `bench.Kind`, for the three kinds.
    worker : workflow.Size
    speeds : tuple of float
    long_share : float
        Share of the steps that take `LONG_FACTOR` times as long.
    """

    def __init__(
        self, rates, cores, memory_gb, run_s, worker, speeds, long_share=0.0
    ):
        self.worker = worker
        self.speeds = speeds
        self.long_share = long_share
        tickets = ((0.54, 0.0077), (0.08, 0.0011), (0.012, 0.0002))
        values = zip(_job_kinds.KINDS, rates, cores, memory_gb, run_s, tickets)
        self.kinds = tuple(
            bench.dataclasses.replace(
                kind,
                rate=rate,
                cores=cores,
                memory_gb=memory,
                run_s=run,
                ticket_base_s=ticket[0],
                ticket_each_s=ticket[1],
            )
            for kind, rate, cores, memory, run, ticket in values
        )


LOADS = {
    # Few large tasks fit on a worker.
    "scarce": _Load(
        (1.29, 7.28, 30.0),
        ((18.0, 0.4, 30.0), (6.9, 0.45, 21.0), (9.9, 0.45, 30.0)),
        ((33.0, 0.5, 65.0), (7.1, 0.6, 21.0), (10.0, 0.6, 30.0)),
        ((6.2, 0.5, 16.0), (2.2, 0.5, 5.4), (1.0, 0.5, 2.5)),
        workflow.Size(64_000, 131_072),
        (0.8, 1.0, 1.25),
    ),
    # Work and workers of very different speed.
    "uneven": _Load(
        (1.66, 4.35, 48.5),
        ((4.5, 0.4, 7.5), (1.7, 0.45, 5.0), (2.5, 0.45, 7.5)),
        ((8.0, 0.5, 16.0), (2.0, 0.6, 5.0), (2.5, 0.6, 7.5)),
        ((5.3, 0.5, 16.0), (2.3, 0.5, 5.4), (0.68, 0.5, 2.5)),
        workflow.Size(16_000, 32_768),
        (0.6, 1.0, 1.6),
        long_share=0.03,
    ),
}


class _Cell(bench.Cell):
    """A cell whose jobs do not depend on the order of their steps."""

    def __init__(self, load, factor, seed):
        self._kind_load = load
        self._submissions = random.Random(seed)
        super().__init__(WORKERS, MEMBERS, factor, seed)
        self._load = factor
        self._load_random = self._submissions

    def _add_worker(self, name, index):
        super()._add_worker(name, index)
        self._speeds[name] = self._submissions.choice(self._kind_load.speeds)
        info = workflow.WorkerInfo(
            name,
            f"{name}:1",
            "service",
            "zone",
            capacity=self._kind_load.worker,
            born_ms=1,
        )
        self._scheduler.on_worker(info, self._now)

    def _submit_jobs(self, elapsed_s):
        for kind in self._kind_load.kinds:
            burst = _burst_factor(kind.name, elapsed_s)
            rate = kind.rate * self._load * burst
            self._submit_some(kind, rate * bench.STEP_S, "")

    def _submit(self, kind, account):
        super()._submit(kind, account)
        job = next(reversed(self._jobs.values()))
        for index in range(len(job.run_s)):
            if self._submissions.random() < self._kind_load.long_share:
                job.objective_s += (LONG_FACTOR - 1) * job.run_s[index]
                job.run_s[index] *= LONG_FACTOR


def _burst_factor(name, second):
    for kind, factor, first, last in BURSTS:
        if kind == name and first <= second < last:
            return factor
    return 1.0


def _lateness(job, remaining_s, now):
    earliest_end = now + _precedence.MIN_RUN_TIME_SHARE * remaining_s
    return (earliest_end > job.due_at) + (earliest_end > job.useless_at)


def _work(job, waiting_only=False):
    """Return the estimated core-seconds of a job, or of its waiting tasks."""
    return 0.001 + sum(
        (len(step.waiting()) if waiting_only else len(step.tasks))
        * step.spec.size.millicores
        * step.spec.estimate_s
        / 1000
        for step in job.steps
    )


def _fifo(step, now):
    return (step.job.offset, step.job.accepted_at, step.id.step)


def _shortest_remaining(step, now):
    job = step.job
    return (
        _lateness(job, step.remaining_s, now),
        _work(job, waiting_only=True),
        job.id,
    )


def _least_laxity(step, now):
    job = step.job
    lateness = _lateness(job, step.remaining_s, now)
    return (lateness, job.due_at - step.remaining_s, job.id)


def _value_density(step, now):
    """Order by the credit for each core-second that a job still needs."""
    job = step.job
    lateness = _lateness(job, step.remaining_s, now)
    kind = next(k for k in _job_kinds.KINDS if k.name == job.policy.queue)
    credit = kind.credit * min(4.0, 0.3 + 0.7 * _work(job) / kind.mean_work)
    return (lateness, -credit / _work(job, waiting_only=True), job.id)


def _urgent_then_density(step, now):
    lateness, density, job = _value_density(step, now)
    return (lateness, step.job.policy.priority > 0, density, job)


ORDERS = {
    "present": _precedence.urgency,
    "fifo": _fifo,
    "shortest remaining work": _shortest_remaining,
    "least laxity": _least_laxity,
    "value density": _value_density,
    "urgent, then value density": _urgent_then_density,
}


def run(load="scarce", factor=1.0, seed=1, seconds=SECONDS):
    """Compare the orders under one load.

    Parameters
    ----------
    load : str
        ``scarce`` or ``uneven``.
    factor : float
        Factor of all rates.
    seed : int
    seconds : float
        Time in which jobs are submitted.
    """
    logging.disable(logging.CRITICAL)
    for name, order in ORDERS.items():
        _precedence.urgency = order
        cell = _Cell(LOADS[load], factor, seed)
        cell.run(seconds)
        times = cell.pass_times_s
        figures = {
            "order": name,
            "credit": {
                kind: round(cell.earned[kind] / owed, 3)
                for kind, owed in cell.owed.items()
            },
            "all": round(
                sum(cell.earned.values()) / sum(cell.owed.values()), 3
            ),
            "pass_ms_mean": round(1000 * sum(times) / len(times), 2),
        }
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    fire.Fire(run, serialize=lambda value: None)
