"""Whether, and since when, the log is read up to its end."""


class LogView:
    """Period in which reads reached the end of the log without a gap.

    Parameters
    ----------
    gap_s : float
        Longest time in seconds between two such reads.
    """

    def __init__(self, gap_s):
        self._gap_s = gap_s
        self._since = None
        self._end_read_at = None
        self._complete = False

    @property
    def since(self):
        """Start of the period; None after a failed read."""
        return self._since

    @property
    def end_read_at(self):
        """Time of the last read that reached the end; None before it."""
        return self._end_read_at

    @property
    def complete(self):
        """Whether the log was read without gaps from its start."""
        return self._complete

    def is_live(self, now):
        """Return whether the period lasts."""
        return (
            self._since is not None and now - self._end_read_at <= self._gap_s
        )

    def observed_age_s(self, read_at, now):
        """Return the seconds since `read_at` in which the log was read.

        An outage of the log does not make members look dead.
        """
        if self._since is None:
            return 0.0
        return now - max(read_at, self._since)

    def on_end_read(self, now, complete):
        """Note a read that reached the end; see `LeaseGroup`."""
        if self._since is None or now - self._end_read_at > self._gap_s:
            self._since = now
        self._end_read_at = now
        self._complete = complete

    def on_read_failed(self):
        """Note a failed read, which ends the period."""
        self._since = None
