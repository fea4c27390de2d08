"""Steps that check that the steps of all packages are loaded."""

import pathlib
import sys

from behave import then

import citrondeal


@then("package steps are loaded for every package with scenarios")
def steps_are_loaded(context):
    root = pathlib.Path(citrondeal.__file__).parent
    for feature in root.glob("*/tests/*.feature"):
        name = feature.parent.parent.name
        prefix = f"citrondeal.{name}.tests.steps"
        assert any(module.startswith(prefix) for module in sys.modules), name
