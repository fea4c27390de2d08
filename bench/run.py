"""Runs the benches one after another and writes their results as JSON.

Each bench is its own process, so that one does not disturb the memory and
the caches of the next.  `bench.ownership` takes three minutes and is run by
itself.
"""

import json
import os
import pathlib
import subprocess
import sys
import time

import fire

REPORTS = pathlib.Path("reports")
LIMIT_S = 180  # for one bench

BENCHES = {
    "requests": ["bench.requests", "{seed}"],
    "placement": ["bench.placement", "{seed}"],
    "dedup": ["bench.dedup"],
    "tree": ["bench.tree"],
    "control": ["bench.control", "--quick"],
}


def run(seed=1, only=None):
    """Run the benches and print what each of them prints.

    Parameters
    ----------
    seed : int
        Seed of the benches that take one.
    only : str, optional
        Run only this bench.

    Returns
    -------
    int
        Number of benches that failed.
    """
    REPORTS.mkdir(exist_ok=True)
    summary = {"seed": seed, "date": time.strftime("%Y-%m-%d"), "benches": {}}
    failed = 0
    for name in [only] if only else list(BENCHES):
        module, *arguments = BENCHES[name]
        command = [sys.executable, "-m", module]
        command += [a.format(seed=seed) for a in arguments]
        print(f"== {name}: python {' '.join(command[1:])}", flush=True)
        started = time.monotonic()
        path = REPORTS / f"{name}.txt"
        with path.open("w") as report:
            status = subprocess.run(
                command,
                stdout=report,
                timeout=LIMIT_S,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            ).returncode
        print(path.read_text())
        failed += status != 0
        summary["benches"][name] = {
            "status": status,
            "seconds": round(time.monotonic() - started, 1),
            "output": str(path),
        }
    text = json.dumps(summary, indent=2)
    (REPORTS / "summary.json").write_text(text + "\n")
    print(text)
    return failed


def main():
    """Run the benches that the command line names."""
    failed = fire.Fire(run, serialize=lambda result: None)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
