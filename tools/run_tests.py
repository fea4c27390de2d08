"""Runs the format check, the linter and behave, and counts the results.

Scenarios listed in ``KNOWN-RED.txt`` run like all others and are printed,
but do not fail the run.  A listed scenario that passes or is absent is
reported too, so that stale entries are noticed.
"""

import json
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
BIN_FOLDER = pathlib.Path(sys.executable).parent


def known_failures():
    """Return the scenario names listed as known failures.

    Returns
    -------
    set of str
        The text behind ``test:`` on each such line of the file.
    """
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = re.findall(
        r"(?m)^test:\s*(.+?)\s*$", KNOWN_FAILURES_PATH.read_text()
    )
    return set(lines)


def run_check(name, command):
    """Run a command and return ``(name, passed)`` by its exit status."""
    code = subprocess.run(command, cwd=ROOT).returncode
    return name, code == 0


def run_behave():
    """Run all scenarios and return a list of ``(name, passed)``."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [
            str(BIN_FOLDER / "behave"),
            "--no-skipped",
            "-f",
            "progress",
            "-f",
            "json",
            "-o",
            "/dev/stdout",
            "-o",
            str(report),
        ]
        code = subprocess.run(command, cwd=ROOT).returncode
        text = report.read_text() if report.exists() else ""
    try:
        features = json.loads(text)
    except ValueError:
        return [("behave report", False)]
    results = [
        (f"{feature['name']}: {element['name']}", element["status"])
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    outcomes = [(name, status == "passed") for name, status in results]
    if code != 0 and all(passed for _, passed in outcomes):
        outcomes.append(("behave exit status", False))
    return outcomes


def main():
    """Run everything and print ``N passed, N failed`` as the last line."""
    outcomes = [
        run_check(
            "ruff format", [str(BIN_FOLDER / "ruff"), "format", "--check", "."]
        ),
        run_check("flake8", [str(BIN_FOLDER / "flake8"), "."]),
    ]
    scenarios = run_behave()
    if not scenarios:
        scenarios = [("behave found no scenario", False)]
    outcomes += scenarios
    known = known_failures()
    failed = [name for name, passed in outcomes if not passed]
    passed = len(outcomes) - len(failed)
    for name in failed:
        label = "known red" if name in known else "FAILED"
        print(f"{label}: {name}")
    for name in sorted(known - set(failed)):
        print(f"listed in KNOWN-RED.txt but passed or absent: {name}")
    unexpected = [name for name in failed if name not in known]
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
