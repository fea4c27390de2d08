"""Random histories of silent workers and changes of the owner.

Each silence is about as long as a lease and often hits the worker that has
just got a task of another silent one, as in an outage that spreads.
"""

import random

from citrondeal.workflow.tests import crash_harness

JOBS = 3
LONG_S = 300.0
HISTORY_S = 40.0
SHORT_CUT_S = (0.5, 6.0)
LONG_CUT_S = (10.0, 14.0)
STEP_S = (0.1, 2.0)


def play(seed):
    """Play a history, in which no task may start while it runs elsewhere.

    Parameters
    ----------
    seed : int

    Raises
    ------
    AssertionError
        If a task starts while a worker runs it, or does not run at the end.
    """
    rng = random.Random(seed)
    cell = crash_harness.Cell(rng.randint(3, 5))
    for number in range(JOBS):
        cell.submit(f"{number:016x}", run_s=LONG_S)
    cell.run(1.0)
    end = cell.now + HISTORY_S
    while cell.now < end:
        _disturb(cell, rng)
        cell.run(rng.uniform(*STEP_S))
    cell.store_works = True
    cell.wait_until_all_run(2 * crash_harness.LEASE_S)


def _disturb(cell, rng):
    roll = rng.random()
    if roll < 0.4:
        length_s = rng.uniform(*rng.choice([SHORT_CUT_S, LONG_CUT_S]))
        cell.silence(_choose_worker(cell, rng), length_s)
    elif roll < 0.6:
        cell.take_over()
    elif roll < 0.7:
        cell.store_works = not cell.store_works


def _choose_worker(cell, rng):
    """Return the worker of the newest start, or any of the workers."""
    if cell.starts and rng.random() < 0.5:
        return cell.starts[-1][2]
    return rng.choice(list(cell.workers))
