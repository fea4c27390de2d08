"""Bound on the bytes of records that a process holds."""

# Records that wait in all committers of a process. At 90 submissions per
# second, a member holds 1 MB of usual ones for three seconds.
MAX_PENDING_BYTES = 8 * 1024 * 1024


class PendingBytes:
    """Bytes that wait for something, up to a limit.

    Parameters
    ----------
    limit : int
    """

    def __init__(self, limit=MAX_PENDING_BYTES):
        self._limit = limit
        self._used = 0

    def take(self, size):
        """Add to the bytes that wait; return whether the limit allows it."""
        if self._used + size > self._limit:
            return False
        self._used += size
        return True

    def give_back(self, size):
        """Subtract bytes that no longer wait."""
        self._used -= size
