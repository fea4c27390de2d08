"""Steps for random histories on a faulty store."""

import anyio
from behave import then

from citrondeal.cell.tests import histories

# A history in which less happens shows nothing.
MIN_ACCEPTED = 20
MIN_ENDED = 5
MIN_OWNERS = 4


@then(
    "cell clients see no violation in the histories of seeds {first:d} to"
    " {last:d}"
)
def _(context, first, last):
    for seed in range(first, last + 1):
        history = histories.History(seed)
        anyio.run(history.run)
        assert not history.violations, (seed, history.violations)
        assert history.accepted >= MIN_ACCEPTED, (seed, history.accepted)
        assert history.ended >= MIN_ENDED, (seed, history.ended)
        assert history.counts["owners"] >= MIN_OWNERS, history.counts
