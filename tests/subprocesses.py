"""The environment of child processes."""

import os
import pathlib


def environment():
    """Return the environment in which child processes find the packages."""
    root = pathlib.Path(__file__).resolve().parent.parent
    paths = [str(root / "src"), str(root)]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
