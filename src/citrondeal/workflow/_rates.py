"""Rates at which client accounts submit jobs, against their shares."""

# A bucket holds the jobs of this time, so that a burst within a second does
# not exceed a rate for each second.
BURST_S = 1.0


class AccountRates:
    """Token buckets that tell which jobs exceed the rate of their account.

    The weight of an account is the number of its jobs for each second that
    the cell owes it.  Jobs beyond that are accepted and run when others leave
    room, so an account that floods delays only its jobs beyond its rate.
    """

    def __init__(self):
        self._buckets = {}  # (tokens, time of the last job) by account

    def is_excess(self, account, submitted_at):
        """Count a job; return whether it exceeds the rate of its account.

        Parameters
        ----------
        account : Account
        submitted_at : float
            When the job was accepted. Jobs that are read late, or by a new
            owner, count at this time.
        """
        size = max(1.0, account.weight * BURST_S)
        tokens, last_at = self._buckets.get(account.name, (size, submitted_at))
        elapsed_s = max(0.0, submitted_at - last_at)
        tokens = min(size, tokens + elapsed_s * account.weight)
        last_at = max(last_at, submitted_at)
        excess = tokens < 1.0
        self._buckets[account.name] = (
            tokens if excess else tokens - 1.0,
            last_at,
        )
        return excess

    def keep_only(self, accounts):
        """Forget the accounts that are not among `accounts`, by name."""
        for name in self._buckets.keys() - accounts.keys():
            del self._buckets[name]
