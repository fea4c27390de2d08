"""Runs the randomized state-machine tests with many seeds.

Examples
--------
``python -m tools.run_faults --seeds 20 --first 100``
"""

import sys
import time
import traceback

import fire

from citrondeal.dedup.tests import machine as dedup_machine
from citrondeal.jobs.tests import machine as jobs_machine
from citrondeal.ownership.tests import machine as ownership_machine

# Name to a function that takes a seed and raises AssertionError on a failure.
MACHINES = {
    "ownership": lambda seed: ownership_machine.run(
        ownership_machine.Machine, examples=60, steps=30, seed=seed
    ),
    "ownership-forgetting": lambda seed: ownership_machine.run(
        ownership_machine.ForgettingMachine, examples=60, steps=30, seed=seed
    ),
    "jobs": lambda seed: jobs_machine.run(seed, max_examples=100),
    "dedup": lambda seed: dedup_machine.run(seed, max_examples=200),
    "dedup-quiet": lambda seed: dedup_machine.run(
        seed, max_examples=100, machine=dedup_machine.DelaysOnly
    ),
}


def run(seeds=10, first=1, machine=None):
    """Run each state machine with `seeds` seeds from `first` on.

    Parameters
    ----------
    seeds, first : int
        Number of seeds, and the first of them.
    machine : str, optional
        Name of the only machine to run (a key of `MACHINES`).

    Returns
    -------
    int
        Number of failing runs.
    """
    failed = 0
    names = [machine] if machine else list(MACHINES)
    for name in names:
        started = time.monotonic()
        for seed in range(first, first + seeds):
            try:
                MACHINES[name](seed)
            except Exception:
                failed += 1
                traceback.print_exc()
                print(
                    f"FAILED: {name} with seed {seed}; repeat with: "
                    "PYTHONPATH=src:. PYTHONHASHSEED=0 python -m "
                    f"tools.run_faults --seeds 1 --first {seed} "
                    f"--machine {name}",
                    flush=True,
                )
        duration_s = time.monotonic() - started
        print(f"{name}: {seeds} seeds in {duration_s:.1f} s", flush=True)
    print(f"{len(names) * seeds - failed} passed, {failed} failed")
    return failed


def main():
    """Run as the command line says; exit with 1 if a run failed."""
    failed = fire.Fire(run, serialize=lambda result: None)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
