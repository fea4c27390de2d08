"""Steps that run commands of the bench."""

import json
import pathlib
import shlex
import subprocess
import sys

from behave import then

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIMIT_S = 60.0


@then('the bench command "{command}" prints {lines:d} lines of figures')
def bench_prints_figures(context, command, lines):
    done = subprocess.run(
        [sys.executable, "-m", *shlex.split(command)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert done.returncode == 0, done.stderr
    figures = [json.loads(line) for line in done.stdout.splitlines()]
    assert len(figures) == lines, done.stdout
    assert all(figure["credit"] for figure in figures), figures
