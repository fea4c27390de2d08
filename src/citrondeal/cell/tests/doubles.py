"""Stand-ins for what an owner of the cell is given, shared by the steps."""

import collections

import anyio


class Settings:
    """The settings that an owner reads."""

    max_lease_s = 10.0
    job_status_ttl_s = 120.0
    contact_s = 4.0
    far_factor = 2.0
    config_apply_s = 4.0
    quota_overrun = 0.1


class Metrics:
    """Metrics of which only the counters are kept.

    Attributes
    ----------
    counts : collections.Counter
        By name.
    """

    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, *args, **attributes):
        """Add to a counter."""
        self.counts[name] += amount

    def record(self, *args, **kwargs):
        """Record nothing."""


class Confirmation:
    """A confirmation of the ownership that always holds."""

    def holds(self, now):
        """Return that starts and renewals are allowed."""
        return True

    def may_answer(self, now):
        """Return that states of unfinished jobs may be reported."""
        return True

    async def run(self):
        """Wait until cancelled, since no newer owner exists."""
        await anyio.sleep_forever()
