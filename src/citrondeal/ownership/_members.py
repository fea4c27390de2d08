"""Live members of a group, by the heartbeats in the log."""

import dataclasses

from citrondeal.ownership import _lease_table
from citrondeal.ownership import _rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    """Live member; `offset` is that of its last heartbeat in the log."""

    address: str
    live_since: float
    offset: int


class LiveMembers:
    """Live members of a group, and their order for each resource.

    Parameters
    ----------
    process : str
        This process, which counts as a member from the first update on.
    view : citrondeal.ownership._log_view.LogView
    timeout_s : float
        Seconds without a heartbeat after which a member counts as dead.
    """

    def __init__(self, process, view, timeout_s):
        self._process = process
        self._view = view
        self._timeout_s = timeout_s
        # (process, incarnation) -> times of last and first heartbeat read
        # while the member was continuously live.
        self._heartbeat_times = {}
        self._members = {}
        self._names = ()
        self._rankings = {}

    @property
    def names(self):
        """Sorted names with this process; empty before the first update."""
        return self._names

    @property
    def peers(self):
        """Addresses of the other live members by name."""
        return {
            name: member.address
            for name, member in self._members.items()
            if name != self._process
        }

    def live_since(self, name):
        """Return the time since which a peer has been continuously live."""
        return self._members[name].live_since

    def ranking(self, resource):
        """Return the names in the order in which they are to hold it."""
        found = self._rankings.get(resource)
        if found is None:
            found = tuple(_rendezvous.rendezvous_order(resource, self._names))
            self._rankings[resource] = found
        return found

    def on_heartbeat(self, key, known, now):
        """Note that a heartbeat was read.

        Parameters
        ----------
        key : tuple
            Process and incarnation.
        known : container
            Keys that are kept when there are too many.
        now : float
        """
        last, since = self._heartbeat_times.get(key, (None, now))
        if last is not None and self._is_dead(last, now):
            since = now
        self._heartbeat_times[key] = (now, since)
        if len(self._heartbeat_times) > 2 * _lease_table.INCARNATION_LIMIT:
            self._heartbeat_times = {
                k: v for k, v in self._heartbeat_times.items() if k in known
            }

    def forget_heartbeats(self):
        """Forget all heartbeats, because the lease table was replaced."""
        self._heartbeat_times = {}

    def update(self, incarnations):
        """Find the live members anew at the end of the log.

        Parameters
        ----------
        incarnations : dict
            `LeaseTable.incarnations`.
        """
        self._members = self._live_members(incarnations)
        names = tuple(sorted({*self._members, self._process}))
        if names != self._names:
            self._names = names
            self._rankings = {}

    def _live_members(self, incarnations):
        """Return a `_Member` by name.

        If several incarnations of a name are live, the one with the last
        heartbeat in the log is returned.
        """
        found = {}
        for key, (_, address, offset) in incarnations.items():
            times = self._heartbeat_times.get(key)
            if times is None or self._is_dead(
                times[0], self._view.end_read_at
            ):
                continue
            name, _ = key
            if name not in found or offset > found[name].offset:
                found[name] = _Member(address, times[1], offset)
        return found

    def _is_dead(self, heartbeat_at, now):
        return self._view.observed_age_s(heartbeat_at, now) > self._timeout_s
