"""Endpoints that broke off while they ran a request, counted by request id."""

# Remembered ids; the oldest are forgotten beyond it. With the longest ids
# (128 bytes) this takes about 3 MB.
MAX_IDS = 10_000


class Breaks:
    """Counts the attempts of each id that ended with their connection.

    Parameters
    ----------
    keep_s : float
        Seconds for which the count of an id is kept after its last break.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._counts = {}  # id -> (count, time), the oldest first

    def __len__(self):
        return len(self._counts)

    def add(self, request_id, now):
        """Count one attempt."""
        count = self.count(request_id, now) + 1
        self._counts.pop(request_id, None)
        self._counts[request_id] = (count, now)
        if len(self._counts) > MAX_IDS:
            del self._counts[next(iter(self._counts))]

    def count(self, request_id, now):
        """Return the number of attempts that are still remembered."""
        count, broken_at = self._counts.get(request_id, (0, now))
        return count if now - broken_at < self._keep_s else 0
