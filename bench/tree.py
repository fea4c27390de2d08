"""Costs of the settings tree and of loading settings, as JSON.

The tree has the target size: 35 teams, 300 services and batch families,
and 3,000 leaves.  Times are CPU times of this process.

Usage: ``python -m bench.tree``
"""

import json
import os
import pathlib
import random
import statistics
import subprocess
import sys
import time

from citrondeal import tree as tree_package

TEAMS = 35
SERVICES = 100
FAMILIES = 200
LEAVES = 3000
EDITS = 5000
ROUNDS = 5
SEED = 1

_RSS = """
import pathlib, sys
def rss():
    text = pathlib.Path("/proc/self/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])
"""
_LOAD = (
    "from citrondeal import config\n"
    "config.GatewayConfig.from_file(config.sample_path('gateway'))\n"
)
_PROGRAMS = {
    "bare interpreter": "",
    "citrondeal.config imported": "import citrondeal.config",
    "file loaded": _LOAD,
    "citrondeal.tree imported": "import citrondeal.tree",
    "citrondeal.operators.api imported": "import citrondeal.operators.api",
}


def resident_kb(code):
    """Return the resident memory in KB of a new process after `code`."""
    program = f"{_RSS}\n{code}\nprint(rss())"
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        check=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    return int(done.stdout)


def first_edits():
    """Return the edits that build the tree, as ``(path, values)``."""
    edits = [(f"/teams/t{n}", {"quota.cores": 100 + n}) for n in range(TEAMS)]
    edits += [
        (f"/services/s{n}", {"request.deadline_ms": 20_000, "share.low": 0.2})
        for n in range(SERVICES)
    ]
    edits += [
        (f"/batch/f{n}", {"job.team": f"t{n % TEAMS}", "job.cores": 2})
        for n in range(FAMILIES)
    ]
    edits += [
        (
            f"/batch/f{n % FAMILIES}/l{n}",
            {"job.memory_mb": 2048, "job.command": f"run-step --part {n}"},
        )
        for n in range(LEAVES)
    ]
    return edits


def build():
    """Return a tree of the target size."""
    tree = tree_package.Tree()
    for offset, (path, values) in enumerate(first_edits()):
        edit = tree_package.Edit(f"first-{offset}", path, 0, values)
        outcome = tree.apply(offset, tree_package.edit_record(edit))
        assert outcome.verdict is tree_package.Verdict.ACCEPTED, outcome
    return tree


def _cpu(function, count):
    """Return the least CPU time in microseconds of `count` calls each."""
    times = []
    for _ in range(ROUNDS):
        start = time.process_time()
        for _ in range(count):
            function()
        times.append((time.process_time() - start) / count * 1e6)
    return round(min(times), 2)


def _edit_times(tree, make):
    """Return CPU microseconds per accepted edit made by `make`."""
    spent = []
    for number in range(EDITS // 10 if make is _root_edit else EDITS):
        path, values = make(number)
        base = tree.branch_version(path)
        edit = tree_package.Edit(
            f"{make.__name__}{number}", path, base, values
        )
        record = tree_package.edit_record(edit)
        start = time.process_time_ns()
        outcome = tree.apply(tree.position + 1, record)
        spent.append((time.process_time_ns() - start) / 1000)
        assert outcome.verdict is tree_package.Verdict.ACCEPTED, outcome
    return {
        "mean_us": round(statistics.fmean(spent), 1),
        "max_us": round(max(spent), 1),
    }


def _leaf_edit(number):
    leaf = random.Random(number).randrange(LEAVES)
    values = {"job.memory_mb": 1000 + number % 1000}
    return f"/batch/f{leaf % FAMILIES}/l{leaf}", values


def _root_edit(number):
    # A related key, so that every node below is validated.
    return "/", {"request.deadline_ms": 30_000 + number, "job.once": False}


def measure():
    """Return all figures as a JSON-ready dict."""
    before = _own_resident_kb()
    tree = build()
    after = _own_resident_kb()
    figures = {
        "branches": len(tree.paths()),
        "tree_resident_kb": after - before,
        "edit_of_a_leaf": _edit_times(tree, _leaf_edit),
        "edit_of_the_root": _edit_times(tree, _root_edit),
        "resolve_us": _cpu(lambda: tree.resolve("/batch/f7/l7"), 2000),
        "values_cached_us": _cpu(lambda: tree.values("/services/s7"), 20000),
        "tree_resident_kb_after_edits": _own_resident_kb() - before,
    }
    state = tree.snapshot()
    text = json.dumps(tree.snapshot_record(), separators=(",", ":"))
    figures |= {
        "snapshot_bytes": len(text),
        "snapshot_ms": round(_cpu(tree.snapshot, 3) / 1000, 2),
        "restore_ms": round(
            _cpu(lambda: tree_package.Tree.from_snapshot(state), 3) / 1000, 2
        ),
        "digest_ms": round(_cpu(tree.digest, 3) / 1000, 2),
        "resident_kb": {
            name: resident_kb(code) for name, code in _PROGRAMS.items()
        },
    }
    return figures


def _own_resident_kb():
    text = pathlib.Path("/proc/self/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
