"""Steps for random histories of workers that start again."""

from behave import then

from citrondeal.workflow.tests import invariants
from citrondeal.workflow.tests import random_restarts


@then(
    "workflow {count:d} random histories of restarted workers"
    " keep all invariants"
)
def _(context, count):
    for seed in range(count):
        try:
            random_restarts.play(seed)
        except invariants.InvariantViolation as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


@then(
    "workflow {count:d} random histories of restarted workers with unbound"
    " connections break an invariant"
)
def _(context, count):
    for seed in range(count):
        try:
            random_restarts.play(seed, bound=False)
        except invariants.InvariantViolation:
            return
    raise AssertionError(f"no violation in {count} histories")
