"""Which members to query for the configuration, and in which order."""

import math

# A member that did not answer is not preferred again for this long.
PAUSE_S = 3.0
# Members of the own zone, and of one other zone each, that are queried one
# after the other if the reader has no fresh configuration.
MAX_NEAR_MEMBERS = 4
MAX_REMOTE_MEMBERS = 3


class Readers:
    """The reader of a zone, and the members that may replace it.

    The reader is the member of the zone with most cores that answers. It
    reads the store, and the others query it.

    Parameters
    ----------
    member : Member
        This process.
    others : callable
        Returns a dict of the other `Member` values by name.
    """

    def __init__(self, member, others):
        self._member = member
        self._others = others
        self._failed_at = {}  # time by member, until it answers again

    def on_failed(self, name, now):
        """Record that a member has not answered a query."""
        self._failed_at[name] = now

    def on_answered(self, name):
        """Record that a member has answered a query."""
        self._failed_at.pop(name, None)

    def reader(self, now):
        """Return the member to query, or None if this one is the reader."""
        zone = [m for m in self._others().values() if self._is_near(m)]
        for member in sorted([self._member, *zone], key=_strongest_first):
            if member.name == self._member.name:
                return None
            if not self._has_failed(member, now):
                return member
        return None

    def substitutes(self, now):
        """Return the members to query if the reader does not answer.

        They are members of the own zone, then one of each other zone. A cut
        may separate some of them, so those that have not answered come last.
        """

        def order(member):
            return (self._has_failed(member, now), _strongest_first(member))

        others = sorted(self._others().values(), key=order)
        near = [m for m in others if self._is_near(m)]
        remote = {}
        for member in others:
            if not self._is_near(member):
                remote.setdefault(member.zone, member)
        return (
            near[:MAX_NEAR_MEMBERS]
            + list(remote.values())[:MAX_REMOTE_MEMBERS]
        )

    def _is_near(self, member):
        return member.zone == self._member.zone

    def _has_failed(self, member, now):
        """Return whether a member has recently not answered."""
        failed_at = self._failed_at.get(member.name, -math.inf)
        return now - failed_at < PAUSE_S


def _strongest_first(member):
    return (-member.cores, member.name)
