"""Loads the step definitions of every package.

behave reads steps from one folder only, while each package keeps its step
definitions beside its scenarios.
"""

import importlib
import pathlib

import citrondeal

_ROOT = pathlib.Path(citrondeal.__file__).parent

for _path in sorted(_ROOT.glob("*/tests/steps*.py")):
    importlib.import_module(
        f"citrondeal.{_path.parent.parent.name}.tests.{_path.stem}"
    )
