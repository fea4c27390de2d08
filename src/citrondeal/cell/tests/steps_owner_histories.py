"""Steps for random histories of owners that follow each other."""

from behave import then

from citrondeal.cell.tests import owner_histories
from citrondeal.cell.tests import owner_mutants

# One history in seven shows a mutant that is hard to find.
MAX_MUTANT_HISTORIES = 60
# Histories in which less happens show nothing.
MIN_COUNTS = {
    "recovered owners": 10,
    "completed": 200,
    "sent again after its end": 5,
    "deleted unread": 10,
    "slow page": 50,
    "claim late": 3,
    "progress late": 3,
    "deletion late": 1,
}


@then(
    "cell no invariant is broken in the histories of owners of seeds {first:d}"
    " to {last:d}"
)
def _(context, first, last):
    violations, counts = owner_histories.run(range(first, last + 1))
    assert not violations, violations
    missing = {k: counts[k] for k, v in MIN_COUNTS.items() if counts[k] < v}
    assert not missing, missing


@then(
    'cell invariant "{invariant}" is broken with "{mutant}" in a history of'
    " owners"
)
def _(context, invariant, mutant):
    with getattr(owner_mutants, mutant.replace(" ", "_"))():
        for seed in range(1, MAX_MUTANT_HISTORIES + 1):
            violations, _ = owner_histories.run([seed])
            found = violations.get(seed, [])
            if any(text.startswith(invariant) for text in found):
                return
    raise AssertionError(f"{MAX_MUTANT_HISTORIES} histories show nothing")
