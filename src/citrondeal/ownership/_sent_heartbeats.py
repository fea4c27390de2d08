"""Heartbeats that this process has sent."""

# Heartbeats not read back whose send times are kept.  Older ones cannot give
# validity any more, since `lease_ttl_s` has passed, but the processes listed
# in them are still asked for promises.
_PENDING_LIMIT = 64


class SentHeartbeats:
    """Heartbeats not read back yet, and what the last one sent contained.

    Parameters
    ----------
    period_s : float
        Seconds between two heartbeats without news.
    """

    def __init__(self, period_s):
        self._period_s = period_s
        self._next_at = None
        self._claims = {}
        self._releases = set()
        # By sequence number: (send time, members listed).  `_evicted` are the
        # members listed in heartbeats that were removed because of the limit.
        self._pending = {}
        self._evicted = set()
        self._evicted_seq = 0

    @property
    def oldest_sent_at(self):
        """Earliest send time of those not read back; None without them."""
        return min((sent[0] for sent in self._pending.values()), default=None)

    def is_due(self, claims, releases, now):
        """Return whether to send one, by the period or because of news."""
        if self._next_at is None or now >= self._next_at:
            return True
        if set(releases) - self._releases:
            return True
        return any(
            self._claims.get(name) != claim for name, claim in claims.items()
        )

    def sent_at(self, seq):
        """Return the send time of one not read back, or None if unknown."""
        sent = self._pending.get(seq)
        return None if sent is None else sent[0]

    def listed_members(self):
        """Return (name, address) of all listed in those not read back."""
        listed = set(self._evicted)
        for _, members in self._pending.values():
            listed.update(members.items())
        return listed

    def add(self, record, now):
        """Add a heartbeat record that is sent at `now`."""
        self._next_at = now + self._period_s
        self._claims = dict(record["claims"])
        self._releases = set(record["releases"])
        self._pending[record["seq"]] = (now, record["members"])
        if len(self._pending) > _PENDING_LIMIT:
            self._evicted_seq = min(self._pending)
            _, evicted = self._pending.pop(self._evicted_seq)
            self._evicted.update(evicted.items())

    def on_read_back(self, seq):
        """Remove those that the log contains or will never contain."""
        for earlier in [s for s in self._pending if s <= seq]:
            del self._pending[earlier]
        if seq >= self._evicted_seq:
            self._evicted = set()

    def forget(self, resource):
        """Forget that a claim or a release of a resource was sent."""
        self._claims.pop(resource, None)
        self._releases.discard(resource)
