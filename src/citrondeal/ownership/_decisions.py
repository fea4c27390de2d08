"""What one process decides by its beliefs.

These are its claims and releases, its heartbeats, and its requests to others.
"""

from citrondeal.ownership import _actions
from citrondeal.ownership import _beliefs
from citrondeal.ownership import _drains
from citrondeal.ownership import _lease_table
from citrondeal.ownership import _records


class Decisions(_beliefs.Beliefs):
    """Decisions of a group that are due; see `LeaseGroup`."""

    def __init__(self, *args):
        super().__init__(*args)
        self._seq = 0
        self._last_listed_members = {}
        self._drains = _drains.DrainRequests(
            self._config.rebalance_after_s, self._config.settle_s
        )
        self._relayed_at = {}  # by (process, incarnation)

    # Claims and releases.

    def _due_claims(self, now):
        if (
            not self._view.complete
            or not self._view.is_live(now)
            or self._is_promise_running(now)
            or self._may_have_unknown_holders(now)
            or self._last_read_back_seq is None
        ):
            return {}
        claims = {}
        for resource, wanted_at in self._wanted_since.items():
            if resource in self._own_resources:
                continue
            lease = self._table.leases.get(resource)
            start = max(wanted_at, self._earliest_claim_at(resource, lease))
            if now < start:
                continue
            rank = self._live_members.ranking(resource).index(self._process)
            if now < start + rank * self._config.claim_stagger_s:
                continue
            if lease is None:
                claims[resource] = [self._table.max_forgotten_epoch + 1, -1]
            else:
                claims[resource] = [lease.epoch + 1, lease.offset]
        return claims

    def _is_promise_running(self, now):
        return now < self._promised_until

    def _may_have_unknown_holders(self, now):
        margin_s = self._config.lease_margin_s
        return now < self._unknown_holders_until + margin_s

    def _earliest_claim_at(self, resource, lease):
        """Return the time from which the state in the log allows a claim."""
        if lease is None:
            return self._view.since
        read_at = self._read_at[resource]
        if not lease.held:
            return read_at
        config = self._config
        if self._may_claim_early(lease):
            start = max(read_at, self._view.since)
            return start + self._claim_wait_s(config.lease_ttl_s)
        # A claim is refused if the log has a later renewal (compare-and-set
        # on the offset), so a failed read need not restart this long wait.
        return read_at + self._claim_wait_s(config.outage_limit_s)

    def _claim_wait_s(self, ttl_s):
        return ttl_s * self._config.drift + self._config.lease_margin_s

    def _due_releases(self, now):
        releases = {}
        for resource, epoch in self._releasing.items():
            # A lease is not released before it is usable: until then an
            # earlier holder may be valid, or a promise of this process may
            # last.
            if now < self._usable_at[resource]:
                continue
            previous = self._previous_valid_until.get(resource)
            age = None if previous is None else max(0.0, now - previous)
            if age is not None and age > self._config.outage_limit_s:
                age = None
            releases[resource] = [epoch, age]
        return releases

    # Heartbeats.

    def _make_heartbeat(self, claims, releases, now):
        record = self._record(
            members=self._members_to_list(now),
            holds={
                name: self._table.leases[name].epoch
                for name in sorted(self._own_resources)
                if name not in self._releasing
            },
            claims=claims,
            releases=releases,
        )
        self._sent.add(record, now)
        self._update_pending_members()
        return _actions.AppendRecord(record)

    def _members_to_list(self, now):
        # While renewals are not read back, no process is added to the list:
        # its promise would be needed too.
        oldest = self._sent.oldest_sent_at
        limit_s = self._config.request_promises_after_s
        if oldest is not None and now - oldest > limit_s:
            return self._last_listed_members
        self._last_listed_members = self._live_members.peers
        return self._last_listed_members

    def _relay(self, holder, incarnation, epochs, now):
        if not self._view.is_live(now):
            return []
        key = (holder, incarnation)
        if now - self._relayed_at.get(key, float("-inf")) < (
            self._config.renew_period_s
        ):
            return []
        if len(self._relayed_at) > _lease_table.INCARNATION_LIMIT:
            self._relayed_at = {}
        self._relayed_at[key] = now
        record = self._record(
            holds=dict(epochs),
            relay_of=holder,
            relay_incarnation=incarnation,
        )
        return [_actions.AppendRecord(record)]

    def _record(self, **fields):
        self._seq += 1
        return _records.make(
            self._process,
            self._incarnation,
            self._address,
            self._role,
            self._seq,
            **fields,
        )

    # Requests.

    def _due_promise_requests(self, now):
        config = self._config
        epochs = {
            name: epoch
            for name, epoch in self._reported_epochs.items()
            if now - self._renewal_sent_at[name]
            >= config.request_promises_after_s
        }
        if not epochs or not self._peer_promises.is_request_due(now):
            return []
        peers = set()
        for resource in epochs:
            peers |= self._required_promisers(resource)
        return self._peer_promises.request(peers, epochs, now)

    def _due_drains(self):
        if self._view.since is None:
            return []
        members = self._live_members
        actions = []
        for resource in self._reported_epochs:
            best = members.ranking(resource)[0]
            if best != self._process and self._drains.take_due(
                resource,
                best,
                members.live_since(best),
                self._view.end_read_at,
            ):
                actions.append(_actions.Drain(resource, best))
        return actions
