"""What one process believes about its group.

It is the state of a `LeaseGroup`: the lease table and the view of the log, the
leases of this process, and the promises given and received.
"""

from citrondeal.ownership import _actions
from citrondeal.ownership import _config
from citrondeal.ownership import _lease_table
from citrondeal.ownership import _log_view
from citrondeal.ownership import _members
from citrondeal.ownership import _peer_promises
from citrondeal.ownership import _sent_heartbeats


class Beliefs:
    """State of a group as seen by one process; see `LeaseGroup`."""

    def __init__(self, zone, role, process, incarnation, address, config=None):
        self._zone = zone
        self._role = role
        self._process = process
        self._incarnation = incarnation
        self._address = address
        self._config = config = config or _config.Config()
        self._table = _lease_table.LeaseTable(role)
        self._wanted_since = {}
        self._view = _log_view.LogView(config.view_gap_s)
        self._read_at = {}  # time of the last record read, by resource
        self._live_members = _members.LiveMembers(
            process, self._view, config.member_timeout_s
        )
        # Own heartbeats.  `_pending_members` are (name, address) of those
        # listed in heartbeats that were not read back.
        self._sent = _sent_heartbeats.SentHeartbeats(config.renew_period_s)
        self._pending_members = set()
        self._last_read_back_seq = None
        # Own leases.  `_reported_epochs` are those reported by `Gained`.
        self._own_resources = set()
        self._renewal_sent_at = {}
        self._usable_at = {}
        self._previous_valid_until = {}
        self._releasing = {}
        self._reported_epochs = {}
        # Promises given to peers and received from peers.
        self._promised_until = float("-inf")
        self._peer_promises = _peer_promises.PeerPromises(
            config.promise_ttl_s, config.renew_period_s
        )
        # Latest end of the validity of a holder that only an earlier log
        # names, after this log was replaced by another one.
        self._unknown_holders_until = float("-inf")
        self._replacement_count = 0

    @property
    def malformed(self):
        """Number of malformed records skipped so far."""
        return self._table.malformed

    @property
    def replacement_count(self):
        """Number of times that the log was replaced by another one."""
        return self._replacement_count

    # Queries.

    def valid_until(self, resource, now):
        """Return the time until which this process is a valid holder.

        Returns
        -------
        float or None
            Monotonic seconds; None if it is not a valid holder at `now`.
        """
        if resource not in self._own_resources or resource in self._releasing:
            return None
        if now < self._usable_at[resource]:
            return None
        start = self._renewal_sent_at.get(resource)
        if start is None:
            return None
        until = start + self._config.lease_ttl_s
        if now - start >= self._config.request_promises_after_s:
            limit = start + self._config.outage_limit_s
            until = max(
                until, min(limit, self._promised_until_by_peers(resource))
            )
        return until if now < until else None

    def holder_of(self, resource):
        """Return the holder in the log as (process, incarnation, epoch).

        Returns
        -------
        tuple or None
            None if nobody holds the resource.
        """
        lease = self._table.leases.get(resource)
        if lease is None or not lease.held:
            return None
        return lease.holder, lease.incarnation, lease.epoch

    def previous_valid_until(self, resource):
        """Return an upper bound of the end of the previous validity.

        Returns
        -------
        float or None
            Monotonic seconds, not before the end of the validity of any
            earlier holder that did not release; None if there is none, or
            if this process does not hold the resource.
        """
        if resource not in self._own_resources:
            return None
        return self._previous_valid_until.get(resource)

    def members(self, now):
        """Return the sorted names of the live members and this process."""
        return list(self._live_members.names) or [self._process]

    # Own leases.

    def _own_lease(self, resource):
        if resource not in self._own_resources or resource in self._releasing:
            return None
        return self._table.leases[resource]

    def _add_own_lease(self, resource, replaced, now, previous_until=None):
        """Add the lease of a claim of this process that is in the log.

        `replaced` is the lease before the claim, or None.
        """
        if replaced is None:
            pass
        elif replaced.held:
            previous_until = self._previous_end_bound(resource, replaced)
        elif replaced.age_s is not None:
            drift = self._config.drift
            previous_until = self._read_at[resource] - replaced.age_s / drift
        unknown_until = self._unknown_holders_bound(resource, replaced, now)
        if unknown_until is not None:
            if previous_until is not None:
                unknown_until = max(unknown_until, previous_until)
            previous_until = unknown_until
        usable = self._usable_from(now)
        if previous_until is not None:
            usable = max(usable, previous_until)
            if replaced is not None and replaced.held:
                previous_until = max(previous_until, self._promised_until)
        self._own_resources.add(resource)
        self._previous_valid_until[resource] = previous_until
        self._usable_at[resource] = usable
        self._renewal_sent_at.pop(resource, None)
        self._sent.forget(resource)
        if resource not in self._wanted_since:
            self._releasing[resource] = self._table.leases[resource].epoch

    def _unknown_holders_bound(self, resource, replaced, now):
        """Return a bound for holders that only an earlier log names.

        It is also one for a holder that released, and None if no earlier log
        was replaced in a time that still matters.
        """
        bound = self._unknown_holders_until
        if now - bound > self._config.outage_limit_s:
            return None
        if replaced is None:
            return bound
        return max(bound, self._read_at[resource])

    def _usable_from(self, now):
        # The claim may have been sent before this process gave a promise
        # that has not expired yet.
        return max(now, self._promised_until)

    def _previous_end_bound(self, resource, replaced):
        ttl = self._config.outage_limit_s
        if self._may_claim_early(replaced):
            ttl = self._config.lease_ttl_s
        return self._read_at[resource] + ttl * self._config.drift

    def _may_claim_early(self, lease):
        return lease.early_claimants.get(self._process) == self._address

    def _remove_own_lease(self, resource):
        self._own_resources.discard(resource)
        self._releasing.pop(resource, None)
        self._renewal_sent_at.pop(resource, None)
        self._usable_at.pop(resource, None)
        self._previous_valid_until.pop(resource, None)

    def _on_own_heartbeat_read(self, heartbeat, changes, now):
        self._last_read_back_seq = heartbeat.seq
        start = self._validity_start(heartbeat.seq, now)
        self._sent.on_read_back(heartbeat.seq)
        self._update_pending_members()
        if start is None:
            return
        for resource in (*changes.renewed, *changes.claimed):
            self._renewal_sent_at[resource] = start

    def _validity_start(self, seq, now):
        # Validity counts from the send time of the heartbeat, since it may
        # be read back much later.
        return self._sent.sent_at(seq)

    # Validity.

    def _validity_changes(self, now):
        """Return `Gained` and `Lost` for changes since the last call."""
        actions = []
        for resource, epoch in list(self._reported_epochs.items()):
            lease = self._own_lease(resource)
            if (
                lease is None
                or lease.epoch != epoch
                or self.valid_until(resource, now) is None
            ):
                del self._reported_epochs[resource]
                actions.append(_actions.Lost(resource, epoch))
        if len(self._reported_epochs) == len(self._own_resources):
            return actions
        for resource in sorted(
            self._own_resources - self._reported_epochs.keys()
        ):
            if self.valid_until(resource, now) is not None:
                epoch = self._table.leases[resource].epoch
                self._reported_epochs[resource] = epoch
                actions.append(_actions.Gained(resource, epoch))
        return actions

    def _promised_until_by_peers(self, resource):
        """Return the end of the validity that promises give.

        It is minus infinity if a promise that is needed is missing.
        """
        epoch = self._table.leases[resource].epoch
        peers = self._required_promisers(resource)
        return self._peer_promises.lasts_until(resource, epoch, peers)

    def _required_promisers(self, resource):
        """Return (name, address) of the processes that may claim early.

        These are the early claimants in the log as read, and the processes
        listed in heartbeats that were sent and not read back.
        """
        claimants = self._pending_members.union(
            self._table.leases[resource].early_claimants.items()
        )
        return {peer for peer in claimants if peer[0] != self._process}

    def _update_pending_members(self):
        self._pending_members = self._sent.listed_members()

    def _extendable(self, epochs, now):
        return {
            resource: epoch
            for resource, epoch in epochs.items()
            if resource in self._own_resources
            and self._table.leases[resource].epoch == epoch
            and self.valid_until(resource, now) is not None
        }

    # Another log.

    def _on_log_replaced(self, now):
        self._replacement_count += 1
        ttl = self._config.outage_limit_s
        self._unknown_holders_until = now + ttl * self._config.drift
