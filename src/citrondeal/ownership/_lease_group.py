"""Lease protocol of one group of processes, without input and output.

The state is that of one process: its view of the log, its own leases and
its promises.
"""

import math

from citrondeal.ownership import _decisions
from citrondeal.ownership import _lease_table

_DUMP_LIMIT = 50


class LeaseGroup(_decisions.Decisions):
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

    @classmethod
    def from_config(cls, config, *, zone, role, process, incarnation, address):
        """Return the group of a process with the times in `config`."""
        return cls(zone, role, process, incarnation, address, config)

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
            self._note_heartbeat(key, now)
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
        self._view.on_end_read(now, complete)
        if (
            len(self._read_at)
            > len(self._table.leases) + _lease_table.RELEASED_LIMIT
        ):
            known = self._table.leases
            self._read_at = {
                k: v for k, v in self._read_at.items() if k in known
            }
            self._drains.forget_unknown(known)
        self._live_members.update(self._table.incarnations)
        return self._validity_changes(now)

    def on_read_failed(self, now):
        """Process a failed read, which interrupts the view of the log."""
        self._view.on_read_failed()
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
        request = self._peer_promises.take_request(peer, sent_at)
        if request is None or not granted:
            return []
        address, epochs = request
        # A promise extends validity but must not restore it: once validity
        # has lapsed, a claim of the peer may be on its way to the log, or
        # may have been read by processes that then claim without having
        # been asked for a promise.
        kept = self._extendable(epochs, now)
        self._peer_promises.add(peer, address, sent_at, kept)
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
        if self._sent.is_due(claims, releases, now):
            actions.append(self._make_heartbeat(claims, releases, now))
        actions += self._due_promise_requests(now)
        actions += self._due_drains()
        return actions

    def _note_heartbeat(self, key, now):
        self._live_members.on_heartbeat(key, self._table.incarnations, now)

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
        self._live_members.forget_heartbeats()
        for key in self._table.incarnations:
            self._note_heartbeat(key, now)
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

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        own = sorted(self._own_resources)
        return {
            "zone": self._zone,
            "role": self._role,
            "process": self._process,
            "incarnation": self._incarnation,
            "position": self._table.position,
            "complete": self._view.complete,
            "live_view": self._view.since is not None,
            "malformed": self._table.malformed,
            "members": list(self._live_members.names)[:_DUMP_LIMIT],
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


def _finite_or_none(time_s):
    return time_s if math.isfinite(time_s) else None
