"""One process's view of the leases and members of its group."""

import dataclasses
import math

from citrondeal.ownership import _actions
from citrondeal.ownership import _lease_table
from citrondeal.ownership import _rendezvous

# Renewals whose send time is kept; older ones cannot give validity, since
# LEASE_TTL has passed, but the processes they list are still asked.
_SENT_LIMIT = 64
_DUMP_LIMIT = 50
# Longest wait between two requests to drain one resource for one member, as
# a multiple of `rebalance_after_s`.
_DRAIN_WAITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Settings of a group; all times in seconds.

    `drift` is the largest ratio of the rates of two processes' clocks.  All
    waits for another process are multiplied by it.
    """

    lease_ttl_s: float = 4.0
    renew_period_s: float = 1.0
    lease_margin_s: float = 0.5
    promise_ttl_s: float = 4.0
    outage_limit_s: float = 3600.0
    drift: float = 1.05
    claim_stagger_s: float = 0.5
    rebalance_after_s: float = 10.0
    # Renewals not read back for this long lead to requests for promises:
    # one lost renewal is tolerated, and two rounds fit into LEASE_TTL.
    ask_after_s: float = 1.5
    # A view of the log is interrupted if its end was not reached for this
    # long.  Heartbeats make each read return about once a second.
    view_gap_s: float = 2.0
    # Shorter than the wait before a claim, so that a dead holder no longer
    # counts as preferred when its resources can be claimed.
    member_timeout_s: float = 4.0

    def __post_init__(self):
        wait = self.lease_ttl_s * self.drift + self.lease_margin_s
        if self.promise_ttl_s * self.drift > wait:
            # A restarted process has forgotten its promises; only its wait
            # keeps it from claiming while one is running.
            raise ValueError("promise_ttl_s exceeds the wait before a claim")


class LeaseGroup:
    """Leases and members of one group as one process sees them.

    All `now` arguments are seconds on this process's monotonic clock.  With
    a record or an end of the log, `now` is read after the response has been
    received; with `tick`, before the returned records are sent.

    Parameters
    ----------
    zone, role : str
        The group; records of other roles are ignored.
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
        self._wanted = {}
        # View of the log.
        self._view_since = None
        self._last_tail = None
        self._complete = False
        self._read_at = {}
        # (process, incarnation) -> times of last and first heartbeat read
        # while the member was continuously live.
        self._alive = {}
        self._members = {}
        self._live_names = ()
        self._orders = {}
        # Own records.
        self._seq = 0
        self._next_beat = None
        self._sent = {}
        self._lingering = set()
        self._lingering_seq = 0
        self._listed = set()
        self._last_read_back = None
        self._last_listed = {}
        self._claims_sent = {}
        self._releases_sent = set()
        # Own leases.
        self._mine = set()
        self._lease_from = {}
        self._usable_at = {}
        self._previous = {}
        self._releasing = {}
        self._reported = {}
        self._drained = {}
        # Promises given to others and got from others.
        self._promised_until = float("-inf")
        self._relayed_at = {}
        self._asks = {}
        self._asked_at = None
        self._grants = {}

    @classmethod
    def from_config(cls, config, *, zone, role, process, incarnation, address):
        """Return a group with the times of `config`."""
        return cls(zone, role, process, incarnation, address, config)

    @property
    def malformed(self):
        """Number of malformed records skipped so far."""
        return self._table.malformed

    # Events.

    def set_wanted(self, resources, now):
        """Set the resources that this group is responsible for.

        A resource that is no longer wanted is not claimed any more; one
        that is held stays so until `release`.

        Returns
        -------
        list
            Always empty; claims are made by `tick`.
        """
        self._wanted = {
            name: self._wanted.get(name, now) for name in sorted(resources)
        }
        return []

    def on_record(self, offset, record, now):
        """Apply one record of the stream; `now` is later than its append.

        Returns
        -------
        list
            `Gained` and `Lost`.
        """
        outcome = self._table.apply(offset, record)
        if outcome is None:
            return []
        beat = outcome.beat
        key = (beat.process, beat.incarnation)
        own = key == (self._process, self._incarnation)
        if beat.relay_of is None:
            self._note_alive(key, now)
        for resource, before in outcome.claimed.items():
            if own:
                self._note_gain(resource, before, now)
            else:
                self._drop(resource)
            self._read_at[resource] = now
        for resource in outcome.renewed:
            self._read_at[resource] = now
        for resource in outcome.released:
            self._read_at[resource] = now
            if own:
                self._drop(resource)
        if own and beat.relay_of is None:
            self._note_read_back(beat, outcome, now)
        if own or outcome.claimed:
            return self._review(now)
        return []

    def on_log_end_read(self, now, complete):
        """Note that a read reached the end of the log.

        Parameters
        ----------
        now : float
            Seconds, read after the response was received.
        complete : bool
            Whether the state covers the log from offset 0, or from a
            snapshot without a gap.  Without it nothing is claimed.
        """
        gap = self._config.view_gap_s
        if self._view_since is None or now - self._last_tail > gap:
            self._view_since = now
        self._last_tail = now
        if (
            len(self._read_at)
            > len(self._table.leases) + _lease_table.FREE_LIMIT
        ):
            known = self._table.leases
            self._read_at = {
                k: v for k, v in self._read_at.items() if k in known
            }
            self._drained = {
                k: v for k, v in self._drained.items() if k in known
            }
        self._complete = complete
        self._update_members()
        return self._review(now)

    def on_read_failed(self, now):
        """Note that a read failed, which restarts the wait for claims."""
        self._view_since = None
        return self._review(now)

    def on_promise_reply(self, peer, incarnation, granted, sent_at, now):
        """Note the reply to an `RequestPromise`.

        Parameters
        ----------
        peer, incarnation : str
            Process that was asked, and the incarnation that replied.
        granted : bool
            Whether it promised.
        sent_at : float
            `RequestPromise.sent_at`.
        """
        ask = self._asks.pop((peer, sent_at), None)
        if ask is None or not granted:
            return []
        address, epochs = ask
        # A promise extends validity, but never restores it: after a lapse
        # the peer's claim may be on its way to the log, or may have been
        # read by others who then claim without being asked.
        kept = self._extendable(epochs, now)
        last = self._grants.get((peer, address))
        if last is None or last[0] < sent_at:
            self._grants[peer, address] = (sent_at, kept)
        return self._review(now)

    def grant_promise(self, holder, incarnation, epochs, ttl_s, now):
        """Decide on a peer's request for a promise.

        Parameters
        ----------
        holder, incarnation : str
            The process that asks.
        epochs : dict
            Its resources with their epochs.
        ttl_s : float
            Duration of the promise in seconds.
        now : float
            Seconds, read after the request was received.

        Returns
        -------
        granted : bool
            The answer to the peer.
        actions : list
            `AppendRecord` with the relayed renewal, if the log can be read.
        """
        if not 0 < ttl_s <= self._config.promise_ttl_s:
            return False, []
        for resource, epoch in epochs.items():
            lease = self._table.leases.get(resource)
            if lease is None or lease.epoch < epoch:
                continue
            same = (lease.epoch, lease.holder, lease.incarnation) == (
                epoch,
                holder,
                incarnation,
            )
            if not same or not lease.held:
                return False, []
        until = now + ttl_s * self._config.drift
        self._promised_until = max(self._promised_until, until)
        return True, self._relay(holder, incarnation, epochs, now)

    def release(self, resource, now):
        """Give up a resource; its validity ends at once.

        The release is repeated with each heartbeat until it is read back.
        A wanted resource may be claimed again after the stagger.
        """
        lease = self._own_lease(resource)
        if lease is None:
            return []
        self._releasing[resource] = lease.epoch
        return self._review(now)

    def tick(self, now):
        """Return what is due; to be called several times a second.

        Returns
        -------
        list
            Actions; records in it are to be appended at once.
        """
        actions = self._review(now)
        claims = self._due_claims(now)
        releases = self._due_releases(now)
        due = self._next_beat is None or now >= self._next_beat
        fresh = any(
            self._claims_sent.get(name) != claim
            for name, claim in claims.items()
        )
        if due or fresh or set(releases) - self._releases_sent:
            actions.append(self._heartbeat(claims, releases, now))
        actions += self._due_asks(now)
        actions += self._due_drains()
        return actions

    # Snapshots.

    def snapshot(self):
        """Return the JSON-ready state of the fold."""
        return self._table.state()

    def load(self, state, now):
        """Replace the fold by the state of a snapshot.

        Returns
        -------
        bool
            False if the state is malformed; nothing is changed then.
        list
            `Lost` for leases that the snapshot gives to others.
        """
        position = self._table.position
        epochs = {name: self._table.leases[name].epoch for name in self._mine}
        try:
            self._table.load(state)
        except ValueError:
            return False, []
        if self._table.position < position:
            # An older state may show leases that were lost since.
            epochs = {}
        self._read_at = dict.fromkeys(self._table.leases, now)
        self._alive = {}
        for key in self._table.incarnations:
            self._note_alive(key, now)
        me = (self._process, self._incarnation)
        kept = {
            name: lease.epoch
            for name, lease in self._table.leases.items()
            if lease.held and (lease.holder, lease.incarnation) == me
        }
        for resource, epoch in epochs.items():
            if kept.get(resource) != epoch:
                self._drop(resource)
        for resource in set(self._mine) - set(epochs):
            self._drop(resource)
        for resource in sorted(set(kept) - self._mine):
            # The record of the claim was never read by this process.
            self._note_gain(resource, None, now, self._usable_from(now))
        return True, self._review(now)

    # Queries.

    def valid_until(self, resource, now):
        """Return the end of this process's validity in seconds.

        Returns
        -------
        float or None
            None if this process is not a valid holder at `now`.
        """
        if resource not in self._mine or resource in self._releasing:
            return None
        if now < self._usable_at[resource]:
            return None
        start = self._lease_from.get(resource)
        if start is None:
            return None
        until = start + self._config.lease_ttl_s
        if now - start >= self._config.ask_after_s:
            limit = start + self._config.outage_limit_s
            until = max(until, min(limit, self._promise_end(resource)))
        return until if now < until else None

    def holder_of(self, resource):
        """Return ``(process, incarnation, epoch)`` by the log, or None."""
        lease = self._table.leases.get(resource)
        if lease is None or not lease.held:
            return None
        return lease.holder, lease.incarnation, lease.epoch

    def previous_valid_until(self, resource):
        """Return a bound of the end of the previous holder's validity.

        Returns
        -------
        float or None
            Seconds on this process's clock, not earlier than the end of
            validity of any earlier holder that did not release; None if
            there is none, or if this process does not hold the resource.
        """
        if resource not in self._mine:
            return None
        return self._previous.get(resource)

    def members(self, now):
        """Return the sorted names of the live members, with this one."""
        return list(self._live_names) or [self._process]

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        mine = sorted(self._mine)
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
            "held": len(mine),
            "leases": {
                name: {
                    "epoch": self._table.leases[name].epoch,
                    "renewal_sent_at": self._lease_from.get(name),
                    "usable_at": self._usable_at.get(name),
                    "releasing": name in self._releasing,
                }
                for name in mine[:_DUMP_LIMIT]
            },
            "promised_until": (
                self._promised_until
                if self._promised_until > float("-inf")
                else None
            ),
        }

    # Members.

    def _note_alive(self, key, now):
        last, since = self._alive.get(key, (None, now))
        if last is not None and self._age(last, now) > (
            self._config.member_timeout_s
        ):
            since = now
        self._alive[key] = (now, since)
        if len(self._alive) > 2 * _lease_table.INCARNATION_LIMIT:
            known = self._table.incarnations
            self._alive = {k: v for k, v in self._alive.items() if k in known}

    def _age(self, read_at, now):
        # Only time during which the log was read counts: an outage makes no
        # member old.
        if self._view_since is None:
            return 0.0
        return now - max(read_at, self._view_since)

    def _live(self):
        """Return name -> (incarnation, address, since) of live members."""
        found = {}
        for key, (_, address, offset) in self._table.incarnations.items():
            seen = self._alive.get(key)
            if seen is None:
                continue
            if self._age(seen[0], self._last_tail) > (
                self._config.member_timeout_s
            ):
                continue
            name, incarnation = key
            if name not in found or offset > found[name][3]:
                found[name] = (incarnation, address, seen[1], offset)
        return found

    def _update_members(self):
        self._members = self._live()
        names = tuple(sorted({*self._members, self._process}))
        if names != self._live_names:
            self._live_names = names
            self._orders = {}

    def _order(self, resource):
        found = self._orders.get(resource)
        if found is None:
            found = tuple(
                _rendezvous.rendezvous_order(resource, self._live_names)
            )
            self._orders[resource] = found
        return found

    def _peers(self):
        return {
            name: member[1]
            for name, member in self._members.items()
            if name != self._process
        }

    # Own leases.

    def _own_lease(self, resource):
        if resource not in self._mine or resource in self._releasing:
            return None
        return self._table.leases[resource]

    def _drop(self, resource):
        self._mine.discard(resource)
        self._releasing.pop(resource, None)
        self._lease_from.pop(resource, None)
        self._usable_at.pop(resource, None)
        self._previous.pop(resource, None)

    def _note_gain(self, resource, before, now, previous=None):
        """Note that a claim of this process was read back."""
        if before is None:
            pass
        elif before.held:
            previous = self._end_of_previous(resource, before)
        elif before.age_s is not None:
            drift = self._config.drift
            previous = self._read_at[resource] - before.age_s / drift
        usable = self._usable_from(now)
        if previous is not None:
            usable = max(usable, previous)
            if before is not None and before.held:
                previous = max(previous, self._promised_until)
        self._mine.add(resource)
        self._previous[resource] = previous
        self._usable_at[resource] = usable
        self._lease_from.pop(resource, None)
        self._claims_sent.pop(resource, None)
        self._releases_sent.discard(resource)
        if resource not in self._wanted:
            self._releasing[resource] = self._table.leases[resource].epoch

    def _usable_from(self, now):
        # The claim may have been sent before a promise that is running now.
        return max(now, self._promised_until)

    def _end_of_previous(self, resource, before):
        ttl = self._config.outage_limit_s
        if self._is_heir(before):
            ttl = self._config.lease_ttl_s
        return self._read_at[resource] + ttl * self._config.drift

    def _is_heir(self, lease):
        return lease.heirs.get(self._process) == self._address

    def _note_read_back(self, beat, outcome, now):
        self._last_read_back = beat.seq
        start = self._lease_start(beat.seq, now)
        for seq in [seq for seq in self._sent if seq <= beat.seq]:
            del self._sent[seq]
        if beat.seq >= self._lingering_seq:
            self._lingering = set()
        self._update_listed()
        if start is None:
            return
        for resource in (*outcome.renewed, *outcome.claimed):
            self._lease_from[resource] = start

    def _lease_start(self, seq, now):
        # Validity counts from the send time: the read may come much later.
        sent = self._sent.get(seq)
        return None if sent is None else sent[0]

    def _review(self, now):
        """Return `Gained` and `Lost` since the last review."""
        actions = []
        for resource, epoch in list(self._reported.items()):
            lease = self._own_lease(resource)
            if (
                lease is None
                or lease.epoch != epoch
                or self.valid_until(resource, now) is None
            ):
                del self._reported[resource]
                actions.append(_actions.Lost(resource, epoch))
        if len(self._reported) == len(self._mine):
            return actions
        for resource in sorted(self._mine - self._reported.keys()):
            if self.valid_until(resource, now) is not None:
                epoch = self._table.leases[resource].epoch
                self._reported[resource] = epoch
                actions.append(_actions.Gained(resource, epoch))
        return actions

    # Own records.

    def _heartbeat(self, claims, releases, now):
        self._next_beat = now + self._config.renew_period_s
        self._claims_sent = dict(claims)
        self._releases_sent = set(releases)
        listed = self._listing(now)
        record = self._record(
            members=listed,
            holds={
                name: self._table.leases[name].epoch
                for name in sorted(self._mine)
                if name not in self._releasing
            },
            claims=claims,
            releases=releases,
        )
        self._sent[self._seq] = (now, listed)
        if len(self._sent) > _SENT_LIMIT:
            self._lingering_seq = min(self._sent)
            _, old = self._sent.pop(self._lingering_seq)
            self._lingering.update(old.items())
        self._update_listed()
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

    def _listing(self, now):
        # While renewals are not read back, a new name in the list would be
        # one more process whose promise is needed.
        if self._sent and now - min(s[0] for s in self._sent.values()) > (
            self._config.ask_after_s
        ):
            return self._last_listed
        self._last_listed = self._peers()
        return self._last_listed

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
            and now - self._last_tail <= self._config.view_gap_s
        )

    def _is_promise_running(self, now):
        return now < self._promised_until

    def _due_claims(self, now):
        if (
            not self._complete
            or not self._has_live_view(now)
            or self._is_promise_running(now)
            or self._last_read_back is None
        ):
            return {}
        claims = {}
        for resource, wanted_at in self._wanted.items():
            if resource in self._mine:
                continue
            lease = self._table.leases.get(resource)
            start = max(wanted_at, self._claim_from(resource, lease))
            if now < start:
                continue
            rank = self._order(resource).index(self._process)
            if now < start + rank * self._config.claim_stagger_s:
                continue
            if lease is None:
                claims[resource] = [self._table.floor + 1, -1]
            else:
                claims[resource] = [lease.epoch + 1, lease.offset]
        return claims

    def _claim_from(self, resource, lease):
        """Return the time from which the log allows a claim."""
        if lease is None:
            return self._view_since
        read_at = self._read_at[resource]
        if not lease.held:
            return read_at
        config = self._config
        if self._is_heir(lease):
            start = max(read_at, self._view_since)
            return start + self._wait(config.lease_ttl_s)
        # The compare-and-set shows that the log has no later renewal, so
        # one failed read need not restart this long wait.
        return read_at + self._wait(config.outage_limit_s)

    def _wait(self, ttl_s):
        return ttl_s * self._config.drift + self._config.lease_margin_s

    def _due_releases(self, now):
        releases = {}
        for resource, epoch in self._releasing.items():
            # A claim that is not usable yet must not free the resource.
            if now < self._usable_at[resource]:
                continue
            previous = self._previous.get(resource)
            age = None if previous is None else max(0.0, now - previous)
            if age is not None and age > self._config.outage_limit_s:
                age = None
            releases[resource] = [epoch, age]
        return releases

    # Promises from others.

    def _promise_end(self, resource):
        """Return the end of validity by promises, or minus infinity."""
        epoch = self._table.leases[resource].epoch
        end = float("inf")
        for peer in self._asked(resource):
            sent_at, epochs = self._grants.get(peer, (0.0, {}))
            if epochs.get(resource) != epoch:
                return float("-inf")
            end = min(end, sent_at + self._config.promise_ttl_s)
        return end

    def _asked(self, resource):
        """Return the (name, address) pairs that may claim early.

        These are the heirs by the log as read, and the processes listed in
        renewals that were sent but may not have been read back.
        """
        asked = self._listed.union(self._table.leases[resource].heirs.items())
        return {peer for peer in asked if peer[0] != self._process}

    def _update_listed(self):
        self._listed = set(self._lingering)
        for _, members in self._sent.values():
            self._listed.update(members.items())

    def _extendable(self, epochs, now):
        return {
            resource: epoch
            for resource, epoch in epochs.items()
            if resource in self._mine
            and self._table.leases[resource].epoch == epoch
            and self.valid_until(resource, now) is not None
        }

    def _due_asks(self, now):
        config = self._config
        epochs = {
            name: epoch
            for name, epoch in self._reported.items()
            if now - self._lease_from[name] >= config.ask_after_s
        }
        if not epochs:
            return []
        if self._asked_at is not None and (
            now - self._asked_at < config.renew_period_s
        ):
            return []
        self._asked_at = now
        limit = now - config.promise_ttl_s
        self._asks = {k: v for k, v in self._asks.items() if k[1] > limit}
        self._grants = {k: v for k, v in self._grants.items() if v[0] > limit}
        peers = set()
        for resource in epochs:
            peers |= self._asked(resource)
        actions = []
        for name, address in sorted(peers):
            # Two processes of one name are told apart by their send times;
            # an earlier one is on the safe side.
            sent_at = now
            while (name, sent_at) in self._asks:
                sent_at = math.nextafter(sent_at, -math.inf)
            self._asks[name, sent_at] = (address, epochs)
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
        for resource in self._reported:
            best = self._order(resource)[0]
            if best == self._process:
                continue
            last, after, wait = self._drained.get(
                resource, (None, -math.inf, stable_s)
            )
            if last != best:
                after, wait = self._members[best][2] + stable_s, stable_s
            if self._last_tail < after:
                continue
            # The better member may not want the resource, or not claim it
            # in time; the waits between attempts are doubled.
            self._drained[resource] = (
                best,
                self._last_tail + wait,
                min(2 * wait, _DRAIN_WAITS * stable_s),
            )
            actions.append(_actions.Drain(resource, best))
        return actions
