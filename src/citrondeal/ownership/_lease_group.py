"""Lease protocol of one group of processes, without input and output.

The state is that of one process: its view of the log, its own leases and
its promises.
"""

import dataclasses
import math

from citrondeal.ownership import _actions
from citrondeal.ownership import _lease_table
from citrondeal.ownership import _rendezvous

# Heartbeats not read back whose send times are kept.  Older ones cannot give
# validity any more, since `lease_ttl_s` has passed, but the processes listed
# in them are still asked for promises.
_PENDING_HEARTBEAT_LIMIT = 64
_DUMP_LIMIT = 50
# Longest wait between two `Drain` actions for one resource and one member,
# as a multiple of `rebalance_after_s`.
_MAX_DRAIN_WAIT_PERIODS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Times of the lease protocol in seconds.

    `drift` is the largest allowed ratio between the rates of two processes'
    clocks.  All waits for another process are multiplied by it.

    Raises
    ------
    ValueError
        If a promise can outlast the wait before a claim.
    """

    lease_ttl_s: float = 4.0
    renew_period_s: float = 1.0
    lease_margin_s: float = 0.5
    promise_ttl_s: float = 4.0
    outage_limit_s: float = 3600.0
    drift: float = 1.05
    claim_stagger_s: float = 0.5
    rebalance_after_s: float = 10.0
    # A resource is not handed over to a member that has been live for less
    # than this, because it can't use the resource well yet.
    settle_s: float = 0.0
    # Promises are requested once the last renewal that was read back was sent
    # this long ago.  One lost renewal is tolerated, and two rounds of requests
    # fit into `lease_ttl_s`.
    request_promises_after_s: float = 1.5
    # The view of the log counts as interrupted if no read reached the end of
    # the log for this long.  Heartbeats make each read return about once a
    # second.
    view_gap_s: float = 2.0
    # Shorter than the wait before a claim, so that a dead holder is no longer
    # ranked once its resources can be claimed.
    member_timeout_s: float = 4.0

    def __post_init__(self):
        wait = self.lease_ttl_s * self.drift + self.lease_margin_s
        if self.promise_ttl_s * self.drift > wait:
            # A restarted process has lost its promises; only the wait keeps
            # it from claiming while one of them lasts.
            raise ValueError(
                f"promise_ttl_s {self.promise_ttl_s} s times drift "
                f"{self.drift} exceeds the wait of {wait} s before a claim"
            )


class LeaseGroup:
    """Leases and members of one group, as seen by one process.

    All `now` arguments are seconds on this process's monotonic clock.  For
    `on_record` and `on_log_end_read` the clock is read after the response
    was received; for `tick`, before the returned records are sent.

    Parameters
    ----------
    zone, role : str
        Zone and role of the group; records of other roles are ignored.
    process, incarnation, address : str
        This process.  `incarnation` differs at each start; two processes
        that run at the same time have different addresses.
    config : Config, optional
        Times of the lease protocol.
    """

    def __init__(self, zone, role, process, incarnation, address, config=None):
        self._zone = zone
        self._role = role
        self._process = process
        self._incarnation = incarnation
        self._address = address
        self._config = config or Config()
        self._table = _lease_table.LeaseTable(role)
        self._wanted_since = {}
        # View of the log: start of the period in which reads reached its
        # end without a gap, time of the last such read, and the time at
        # which the last record of each resource was read.
        self._view_since = None
        self._log_end_read_at = None
        self._complete = False
        self._read_at = {}
        # (process, incarnation) -> times of last and first heartbeat read
        # while the member was continuously live.
        self._heartbeat_times = {}
        self._members = {}
        self._live_names = ()
        self._rankings = {}
        # Own heartbeats.  Those not read back are kept by sequence number as
        # (send time, members listed); `_evicted_members` are those listed in
        # heartbeats that were removed because of the limit.
        self._seq = 0
        self._next_heartbeat_at = None
        self._pending_heartbeats = {}
        self._evicted_members = set()
        self._evicted_seq = 0
        self._pending_members = set()
        self._last_read_back_seq = None
        self._last_listed_members = {}
        self._claims_sent = {}
        self._releases_sent = set()
        # Own leases.  `_reported_epochs` are those reported by `Gained`;
        # `_drain_requests` holds (member, time of the next request, wait).
        self._own_resources = set()
        self._renewal_sent_at = {}
        self._usable_at = {}
        self._previous_valid_until = {}
        self._releasing = {}
        self._reported_epochs = {}
        self._drain_requests = {}
        # Promises given to peers and received from peers.
        self._promised_until = float("-inf")
        # Latest end of the validity of a holder that only an earlier log
        # names, after this log was replaced by another one.
        self._unknown_holders_until = float("-inf")
        self._replacement_count = 0
        self._relayed_at = {}
        self._promise_requests = {}
        self._promises_requested_at = None
        self._granted_promises = {}

    @classmethod
    def from_config(cls, config, *, zone, role, process, incarnation, address):
        """Return the group of a process with the times in `config`."""
        return cls(zone, role, process, incarnation, address, config)

    @property
    def malformed(self):
        """Number of malformed records skipped so far."""
        return self._table.malformed

    # Events.

    def set_wanted(self, resources, now):
        """Set the resources that this process claims when they are free.

        A resource that is no longer wanted is not claimed; one that is held
        already stays so until `release`.

        Returns
        -------
        list
            Always empty; claims are made by `tick`.
        """
        self._wanted_since = {
            name: self._wanted_since.get(name, now)
            for name in sorted(resources)
        }
        return []

    def on_record(self, offset, record, now):
        """Apply one record of the stream; `now` is later than its append.

        Returns
        -------
        list
            `Gained` and `Lost` actions.
        """
        changes = self._table.apply(offset, record)
        if changes is None:
            return []
        heartbeat = changes.heartbeat
        key = (heartbeat.process, heartbeat.incarnation)
        own = key == (self._process, self._incarnation)
        if heartbeat.relay_of is None:
            self._note_heartbeat_time(key, now)
        for resource, replaced in changes.claimed.items():
            if own:
                self._add_own_lease(resource, replaced, now)
            else:
                self._remove_own_lease(resource)
            self._read_at[resource] = now
        for resource in changes.renewed:
            self._read_at[resource] = now
        for resource in changes.released:
            self._read_at[resource] = now
            if own:
                self._remove_own_lease(resource)
        if own and heartbeat.relay_of is None:
            self._on_own_heartbeat_read(heartbeat, changes, now)
        if own or changes.claimed:
            return self._validity_changes(now)
        return []

    def on_log_end_read(self, now, complete):
        """Process a read that reached the end of the log.

        Parameters
        ----------
        now : float
            Monotonic seconds, read after the response was received.
        complete : bool
            Whether the state covers the log from offset 0, or from a
            snapshot, without a gap.  If not, nothing is claimed.
        """
        gap = self._config.view_gap_s
        if self._view_since is None or now - self._log_end_read_at > gap:
            self._view_since = now
        self._log_end_read_at = now
        if (
            len(self._read_at)
            > len(self._table.leases) + _lease_table.RELEASED_LIMIT
        ):
            known = self._table.leases
            self._read_at = {
                k: v for k, v in self._read_at.items() if k in known
            }
            self._drain_requests = {
                k: v for k, v in self._drain_requests.items() if k in known
            }
        self._complete = complete
        self._update_members()
        return self._validity_changes(now)

    def on_read_failed(self, now):
        """Process a failed read, which interrupts the view of the log."""
        self._view_since = None
        return self._validity_changes(now)

    def on_promise_reply(self, peer, incarnation, granted, sent_at, now):
        """Process the reply to a `RequestPromise` action.

        Parameters
        ----------
        peer, incarnation : str
            Process that was asked, and the incarnation that replied.
        granted : bool
            Whether it granted the promise.
        sent_at : float
            `RequestPromise.sent_at`.
        """
        request = self._promise_requests.pop((peer, sent_at), None)
        if request is None or not granted:
            return []
        address, epochs = request
        # A promise extends validity but must not restore it: once validity
        # has lapsed, a claim of the peer may be on its way to the log, or
        # may have been read by processes that then claim without having
        # been asked for a promise.
        kept = self._extendable(epochs, now)
        last = self._granted_promises.get((peer, address))
        if last is None or last[0] < sent_at:
            self._granted_promises[peer, address] = (sent_at, kept)
        return self._validity_changes(now)

    def grant_promise(self, holder, incarnation, epochs, ttl_s, now):
        """Grant or refuse a promise that a peer requests.

        While a promise lasts, this process claims nothing.

        Parameters
        ----------
        holder, incarnation : str
            Process that requests the promise.
        epochs : dict
            Epochs of its resources by name.
        ttl_s : float
            Duration of the promise in seconds.
        now : float
            Monotonic seconds, read after the request was received.

        Returns
        -------
        granted : bool
            Reply to the peer.
        actions : list
            `AppendRecord` that renews the leases for the peer, if this
            process can read the log.
        """
        if not 0 < ttl_s <= self._config.promise_ttl_s:
            return False, []
        for resource, epoch in epochs.items():
            lease = self._table.leases.get(resource)
            if lease is None or lease.epoch < epoch:
                if now < self._unknown_holders_until:
                    # The holder may not know yet that the log that named it
                    # was replaced, while others may claim by the new log.
                    return False, []
                continue
            is_current = (lease.epoch, lease.holder, lease.incarnation) == (
                epoch,
                holder,
                incarnation,
            )
            if not is_current or not lease.held:
                return False, []
        until = now + ttl_s * self._config.drift
        self._promised_until = max(self._promised_until, until)
        return True, self._relay(holder, incarnation, epochs, now)

    def release(self, resource, now):
        """Release a resource; its validity ends at once.

        The release is repeated in each heartbeat until it is read back.  A
        resource that is still wanted may be claimed again after
        `claim_stagger_s`.
        """
        lease = self._own_lease(resource)
        if lease is None:
            return []
        self._releasing[resource] = lease.epoch
        return self._validity_changes(now)

    def tick(self, now):
        """Return the actions that are due.

        To be called several times a second.

        Returns
        -------
        list
            Actions; their records are to be appended at once.
        """
        actions = self._validity_changes(now)
        claims = self._due_claims(now)
        releases = self._due_releases(now)
        is_due = (
            self._next_heartbeat_at is None or now >= self._next_heartbeat_at
        )
        has_new_claim = any(
            self._claims_sent.get(name) != claim
            for name, claim in claims.items()
        )
        if is_due or has_new_claim or set(releases) - self._releases_sent:
            actions.append(self._make_heartbeat(claims, releases, now))
        actions += self._due_promise_requests(now)
        actions += self._due_drains()
        return actions

    # Snapshots.

    def snapshot(self):
        """Return the JSON-ready state of the lease table."""
        return self._table.state()

    def load(self, state, now):
        """Replace the lease table by the state of a snapshot.

        None, or a state of an earlier position, means that the log was
        replaced by another one.  A process that has not read the new log
        yet, or cannot, may hold any resource for the outage limit, so that
        nothing is claimed until then.

        Returns
        -------
        bool
            False if the state is malformed; then nothing is changed.
        list
            `Gained` and `Lost` actions; `Lost` for each lease that this
            process does not hold in the snapshot.
        """
        position = self._table.position
        epochs = {
            name: self._table.leases[name].epoch
            for name in self._own_resources
        }
        try:
            self._table.load(state)
        except ValueError:
            return False, []
        if state is None or self._table.position < position:
            self._on_log_replaced(now)
            # An older state may contain leases that were lost later.
            epochs = {}
        self._read_at = dict.fromkeys(self._table.leases, now)
        self._heartbeat_times = {}
        for key in self._table.incarnations:
            self._note_heartbeat_time(key, now)
        own_key = (self._process, self._incarnation)
        kept = {
            name: lease.epoch
            for name, lease in self._table.leases.items()
            if lease.held and (lease.holder, lease.incarnation) == own_key
        }
        for resource, epoch in epochs.items():
            if kept.get(resource) != epoch:
                self._remove_own_lease(resource)
        for resource in set(self._own_resources) - set(epochs):
            self._remove_own_lease(resource)
        for resource in sorted(set(kept) - self._own_resources):
            # This process has not read the record of its claim.
            self._add_own_lease(resource, None, now, self._usable_from(now))
        return True, self._validity_changes(now)

    def _on_log_replaced(self, now):
        self._replacement_count += 1
        ttl = self._config.outage_limit_s
        self._unknown_holders_until = now + ttl * self._config.drift

    # Queries.

    @property
    def replacement_count(self):
        """Number of times that the log was replaced by another one."""
        return self._replacement_count

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
        return list(self._live_names) or [self._process]

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        own = sorted(self._own_resources)
        return {
            "zone": self._zone,
            "role": self._role,
            "process": self._process,
            "incarnation": self._incarnation,
            "position": self._table.position,
            "complete": self._complete,
            "live_view": self._view_since is not None,
            "malformed": self._table.malformed,
            "members": list(self._live_names)[:_DUMP_LIMIT],
            "resources": len(self._table.leases),
            "held": len(own),
            "leases": {
                name: {
                    "epoch": self._table.leases[name].epoch,
                    "renewal_sent_at": self._renewal_sent_at.get(name),
                    "usable_at": self._usable_at.get(name),
                    "releasing": name in self._releasing,
                }
                for name in own[:_DUMP_LIMIT]
            },
            "promised_until": _finite_or_none(self._promised_until),
            "unknown_holders_until": _finite_or_none(
                self._unknown_holders_until
            ),
        }

    # Members.

    def _note_heartbeat_time(self, key, now):
        last, since = self._heartbeat_times.get(key, (None, now))
        if last is not None and self._observed_age_s(last, now) > (
            self._config.member_timeout_s
        ):
            since = now
        self._heartbeat_times[key] = (now, since)
        if len(self._heartbeat_times) > 2 * _lease_table.INCARNATION_LIMIT:
            known = self._table.incarnations
            self._heartbeat_times = {
                k: v for k, v in self._heartbeat_times.items() if k in known
            }

    def _observed_age_s(self, read_at, now):
        # Only time during which the log was read counts, so that an outage
        # of the log does not make members look dead.
        if self._view_since is None:
            return 0.0
        return now - max(read_at, self._view_since)

    def _live_members(self):
        """Return (incarnation, address, since, offset) of members by name.

        If several incarnations of a name are live, the one with the last
        heartbeat in the log is returned.
        """
        found = {}
        for key, (_, address, offset) in self._table.incarnations.items():
            times = self._heartbeat_times.get(key)
            if times is None:
                continue
            if self._observed_age_s(times[0], self._log_end_read_at) > (
                self._config.member_timeout_s
            ):
                continue
            name, incarnation = key
            if name not in found or offset > found[name][3]:
                found[name] = (incarnation, address, times[1], offset)
        return found

    def _update_members(self):
        self._members = self._live_members()
        names = tuple(sorted({*self._members, self._process}))
        if names != self._live_names:
            self._live_names = names
            self._rankings = {}

    def _ranking(self, resource):
        found = self._rankings.get(resource)
        if found is None:
            found = tuple(
                _rendezvous.rendezvous_order(resource, self._live_names)
            )
            self._rankings[resource] = found
        return found

    def _peers(self):
        return {
            name: member[1]
            for name, member in self._members.items()
            if name != self._process
        }

    # Own leases.

    def _own_lease(self, resource):
        if resource not in self._own_resources or resource in self._releasing:
            return None
        return self._table.leases[resource]

    def _remove_own_lease(self, resource):
        self._own_resources.discard(resource)
        self._releasing.pop(resource, None)
        self._renewal_sent_at.pop(resource, None)
        self._usable_at.pop(resource, None)
        self._previous_valid_until.pop(resource, None)

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
        self._claims_sent.pop(resource, None)
        self._releases_sent.discard(resource)
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

    def _on_own_heartbeat_read(self, heartbeat, changes, now):
        self._last_read_back_seq = heartbeat.seq
        start = self._validity_start(heartbeat.seq, now)
        for seq in [
            seq for seq in self._pending_heartbeats if seq <= heartbeat.seq
        ]:
            del self._pending_heartbeats[seq]
        if heartbeat.seq >= self._evicted_seq:
            self._evicted_members = set()
        self._update_pending_members()
        if start is None:
            return
        for resource in (*changes.renewed, *changes.claimed):
            self._renewal_sent_at[resource] = start

    def _validity_start(self, seq, now):
        # Validity counts from the send time of the heartbeat, since it may
        # be read back much later.
        sent = self._pending_heartbeats.get(seq)
        return None if sent is None else sent[0]

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

    # Own heartbeats.

    def _make_heartbeat(self, claims, releases, now):
        self._next_heartbeat_at = now + self._config.renew_period_s
        self._claims_sent = dict(claims)
        self._releases_sent = set(releases)
        listed = self._members_to_list(now)
        record = self._record(
            members=listed,
            holds={
                name: self._table.leases[name].epoch
                for name in sorted(self._own_resources)
                if name not in self._releasing
            },
            claims=claims,
            releases=releases,
        )
        self._pending_heartbeats[self._seq] = (now, listed)
        if len(self._pending_heartbeats) > _PENDING_HEARTBEAT_LIMIT:
            self._evicted_seq = min(self._pending_heartbeats)
            _, evicted = self._pending_heartbeats.pop(self._evicted_seq)
            self._evicted_members.update(evicted.items())
        self._update_pending_members()
        return _actions.AppendRecord(record)

    def _record(self, **fields):
        self._seq += 1
        return {
            "kind": "heartbeat",
            "process": self._process,
            "incarnation": self._incarnation,
            "address": self._address,
            "role": self._role,
            "seq": self._seq,
            "members": {},
            "holds": {},
            "claims": {},
            "releases": {},
            "relay_of": None,
            "relay_incarnation": None,
            **fields,
        }

    def _members_to_list(self, now):
        # While renewals are not read back, no process is added to the list:
        # its promise would be needed too.
        if self._pending_heartbeats and now - min(
            sent[0] for sent in self._pending_heartbeats.values()
        ) > (self._config.request_promises_after_s):
            return self._last_listed_members
        self._last_listed_members = self._peers()
        return self._last_listed_members

    def _relay(self, holder, incarnation, epochs, now):
        if not self._has_live_view(now):
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

    # Claims and releases.

    def _has_live_view(self, now):
        return (
            self._view_since is not None
            and now - self._log_end_read_at <= self._config.view_gap_s
        )

    def _is_promise_running(self, now):
        return now < self._promised_until

    def _may_have_unknown_holders(self, now):
        margin_s = self._config.lease_margin_s
        return now < self._unknown_holders_until + margin_s

    def _due_claims(self, now):
        if (
            not self._complete
            or not self._has_live_view(now)
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
            rank = self._ranking(resource).index(self._process)
            if now < start + rank * self._config.claim_stagger_s:
                continue
            if lease is None:
                claims[resource] = [self._table.max_forgotten_epoch + 1, -1]
            else:
                claims[resource] = [lease.epoch + 1, lease.offset]
        return claims

    def _earliest_claim_at(self, resource, lease):
        """Return the time from which the state in the log allows a claim."""
        if lease is None:
            return self._view_since
        read_at = self._read_at[resource]
        if not lease.held:
            return read_at
        config = self._config
        if self._may_claim_early(lease):
            start = max(read_at, self._view_since)
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

    # Promises from peers.

    def _promised_until_by_peers(self, resource):
        """Return the end of the validity that promises give.

        It is minus infinity if a promise that is needed is missing.
        """
        epoch = self._table.leases[resource].epoch
        end = float("inf")
        for peer in self._required_promisers(resource):
            sent_at, epochs = self._granted_promises.get(peer, (0.0, {}))
            if epochs.get(resource) != epoch:
                return float("-inf")
            end = min(end, sent_at + self._config.promise_ttl_s)
        return end

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
        self._pending_members = set(self._evicted_members)
        for _, members in self._pending_heartbeats.values():
            self._pending_members.update(members.items())

    def _extendable(self, epochs, now):
        return {
            resource: epoch
            for resource, epoch in epochs.items()
            if resource in self._own_resources
            and self._table.leases[resource].epoch == epoch
            and self.valid_until(resource, now) is not None
        }

    def _due_promise_requests(self, now):
        config = self._config
        epochs = {
            name: epoch
            for name, epoch in self._reported_epochs.items()
            if now - self._renewal_sent_at[name]
            >= config.request_promises_after_s
        }
        if not epochs:
            return []
        if self._promises_requested_at is not None and (
            now - self._promises_requested_at < config.renew_period_s
        ):
            return []
        self._promises_requested_at = now
        limit = now - config.promise_ttl_s
        self._promise_requests = {
            k: v for k, v in self._promise_requests.items() if k[1] > limit
        }
        self._granted_promises = {
            k: v for k, v in self._granted_promises.items() if v[0] > limit
        }
        peers = set()
        for resource in epochs:
            peers |= self._required_promisers(resource)
        actions = []
        for name, address in sorted(peers):
            # Requests to two processes of one name are told apart by their
            # send times.  An earlier time only shortens the promise.
            sent_at = now
            while (name, sent_at) in self._promise_requests:
                sent_at = math.nextafter(sent_at, -math.inf)
            self._promise_requests[name, sent_at] = (address, epochs)
            actions.append(
                _actions.RequestPromise(
                    name, address, epochs, config.promise_ttl_s, sent_at
                )
            )
        return actions

    def _due_drains(self):
        if self._view_since is None:
            return []
        actions = []
        stable_s = self._config.rebalance_after_s
        live_s = max(stable_s, self._config.settle_s)
        for resource in self._reported_epochs:
            best = self._ranking(resource)[0]
            if best == self._process:
                continue
            last_best, not_before, wait_s = self._drain_requests.get(
                resource, (None, -math.inf, stable_s)
            )
            if last_best != best:
                not_before, wait_s = (
                    self._members[best][2] + live_s,
                    stable_s,
                )
            if self._log_end_read_at < not_before:
                continue
            # The preferred member may not want the resource, or not claim it
            # in time, so the wait is doubled after each request.
            self._drain_requests[resource] = (
                best,
                self._log_end_read_at + wait_s,
                min(2 * wait_s, _MAX_DRAIN_WAIT_PERIODS * stable_s),
            )
            actions.append(_actions.Drain(resource, best))
        return actions


def _finite_or_none(time_s):
    return time_s if math.isfinite(time_s) else None
