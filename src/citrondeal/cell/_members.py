"""Membership of the cell, probes of the owner, and claims of the ownership."""

import logging

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _follower
from citrondeal.cell import _records
from citrondeal import election
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry

LONG_POLL_S = 1.0
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 0.5
WITNESS_COUNT = 3  # members asked about the owner before a claim

_LOG = logging.getLogger(__name__)


class Membership:
    """The members of the cell and its owner, as this process knows them.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    links : citrondeal.peers.ConnectionPool
    member : Member
        This process.
    election_state : citrondeal.election.Election
    incarnation : str
        Random hexadecimal id of this start of the process.
    on_owner_change : callable
        ``on_owner_change(earlier_address)`` is called when the owner has
        changed, with the address of the earlier one or None.
    """

    def __init__(
        self,
        store,
        links,
        member,
        election_state,
        incarnation,
        on_owner_change,
    ):
        self._store = store
        self._links = links
        self._member = member
        self._election = election_state
        self._incarnation = incarnation
        self._on_owner_change = on_owner_change
        self._others = {}
        self._named_owner = (0, None)  # epoch and address
        self._next_named_by = 0
        self._round_trip_s = 0.0
        self._leaving = False
        self._follower = _follower.Follower(
            store, _records.CELL_TOPIC, self._on_records, LONG_POLL_S
        )

    @property
    def election(self):
        """The `election.Election` of this process."""
        return self._election

    @property
    def is_owner(self):
        """Whether this process is the newest owner that is known."""
        return (
            self._election.is_owner
            and self._named_owner[0] <= self._election.epoch
        )

    @property
    def owner_address(self):
        """Address of the newest owner that is known, or None.

        A member that the store rejects does not read the claims, so it goes
        by what others say; in the election only claims that were read count.
        """
        epoch, address = self._named_owner
        if epoch > self._election.epoch:
            return address
        return self._election.owner_address()

    @property
    def others(self):
        """The other `Member` values by name."""
        return self._others

    @property
    def loaded(self):
        """Whether the records of members and claims have been read once."""
        return self._follower.loaded

    @property
    def round_trip_s(self):
        """Seconds of the shortest call to the store; 0.0 before the first."""
        return self._round_trip_s

    def store_age_s(self, now):
        """Return the seconds since the store last answered this process."""
        return self._follower.age_s(now)

    @property
    def store_confirmed_at(self):
        """When the last read of claims that was answered was sent."""
        return self._follower.confirmed_at

    def read_claims_now(self):
        """Read the newest claims without waiting for the read under way."""
        self._follower.read_now()

    @property
    def store_answers(self):
        """Whether the last read of the cell's records was answered."""
        return not self._follower.failing

    async def load(self):
        """Read the records of members and claims, then join the election."""
        await self._follower.load()
        # Time that passed while the store did not answer does not count.
        self._round_trip_s = _clock.now() - self._follower.confirmed_at
        self._election.join(self._claim_delay(), _clock.now())

    async def run(self):
        """Follow members and claims, and probe the owner, until cancelled."""
        async with anyio.create_task_group() as task_group:
            for activity, function in (
                ("records of the cell", self._follower.run),
                ("registration", self._register),
                ("probes of the owner", self._probe_owner),
                ("claims", self._claim_when_due),
            ):
                task_group.start_soon(
                    telemetry.keep_running, _LOG, activity, function
                )

    async def leave(self):
        """Release the ownership, if held, and remove this member's record."""
        self._leaving = True
        if self._election.is_owner:
            await self._release()
        record = platform.Record(_records.member_key(self._member.name), b"")
        outcome = await self._store.append(_records.CELL_TOPIC, [record])
        if outcome.is_err():
            self._log(
                "departure of the member is not recorded",
                reason=outcome.err_value.message,
            )

    def owns(self, epoch):
        """Return whether the newest claim is the own one of this epoch."""
        return self._election.is_owner and self._election.epoch == epoch

    async def give_up_ownership(self, epoch):
        """Release the ownership of an epoch, until another claim is known."""
        while self.owns(epoch):
            # A release that cannot be read back would only load the store.
            if self.store_answers:
                await self._release()
            await anyio.sleep(_follower.RETRY_DELAY_S)

    async def _release(self):
        claim = self._election.claim
        released = election.Claim(claim.epoch, "", self._incarnation, "")
        record = platform.Record(_records.OWNER_KEY, _records.encode(released))
        # The release counts only if the log still ends where this process
        # has read it. Otherwise an owner that has not seen its successor's
        # claim would hide it, and the successor's epoch would be used twice.
        outcome = await self._store.append(
            _records.CELL_TOPIC, [record], at=self._follower.end
        )
        self._log(
            "ownership is released",
            epoch=claim.epoch,
            outcome="ok" if outcome.is_ok() else outcome.err_value.kind.value,
        )

    async def _register(self):
        # All members choose the writers of a slow store by the same records.
        # So the value stays, although later calls may be shorter.
        self._member.store_ms = round(self._round_trip_s * 1000.0, 1)
        record = platform.Record(
            _records.member_key(self._member.name),
            _records.encode(self._member),
        )
        while not self._leaving:
            sent_at = _clock.now()
            outcome = await self._store.append(_records.CELL_TOPIC, [record])
            if outcome.is_ok():
                self._on_round_trip(_clock.now() - sent_at)
                return
            await anyio.sleep(_follower.RETRY_DELAY_S)

    def _on_round_trip(self, seconds):
        """Count the shortest call, since a single one may be delayed."""
        if seconds < self._round_trip_s:
            self._round_trip_s = seconds
            self._election.set_delay(self._claim_delay())

    def _on_records(self, records):
        for record in records:
            with telemetry.contain(_LOG, "cell record", key=record.key):
                self._on_record(record)

    def _on_record(self, record):
        if record.key == _records.OWNER_KEY:
            self._on_owner_record(record)
            return
        kind, name = _records.split_key(record.key)
        if kind == "member" and name != self._member.name:
            self._on_member_record(name, record.value)

    def _on_owner_record(self, record):
        claim = _records.decode_claim(record.value)
        if claim is None:
            self._log("claim is undecodable", offset=record.offset)
            return
        if claim == self._election.claim:
            self._log(
                "claim is delivered again",
                epoch=claim.epoch,
                offset=record.offset,
            )
        live = self._follower.loaded
        earlier_address = self._election.owner_address()
        if self._election.on_claim(claim, _clock.now(), live):
            self._log(
                "owner has changed",
                epoch=claim.epoch,
                owner=claim.holder,
                offset=record.offset,
            )
            self._on_owner_change(earlier_address)

    def _on_member_record(self, name, value):
        member = _records.decode_member(value) if value else None
        if member is None:
            self._others.pop(name, None)
        else:
            self._others[name] = member
        self._election.set_delay(self._claim_delay())

    def _claim_delay(self):
        own_cores = self._member.cores
        max_cores = max([own_cores, *(m.cores for m in self._others.values())])
        # The incarnation is random, so equal machines get different delays.
        spread = int(self._incarnation[:4], 16) / 65536
        return election.claim_delay(
            self._round_trip_s, max_cores / own_cores, spread
        )

    async def _probe_owner(self):
        while True:
            address = self._election.owner_address()
            if address is not None and not self._election.is_owner:
                await self._probe(address)
            if not self.store_answers:
                await self._ask_for_owner()
            await anyio.sleep(PROBE_PERIOD_S)

    async def _ask_for_owner(self):
        """Ask one other member, in turn, who the owner is."""
        others = sorted(self._others.values(), key=lambda m: m.name)
        if not others:
            return
        member = others[self._next_named_by % len(others)]
        self._next_named_by += 1
        try:
            # The epoch 0 announces no claim.
            reply = await self._links.call(
                member.address, ttypes.Probe(epoch=0), PROBE_TIMEOUT_S
            )
        except peers.PeerError:
            return
        if isinstance(reply, ttypes.ProbeReply):
            self._on_named_owner(reply)

    def _on_named_owner(self, reply):
        epoch = max(self._named_owner[0], self._election.epoch)
        if reply.owner_address and reply.epoch > epoch:
            self._named_owner = (reply.epoch, reply.owner_address)
            self._log(
                "newer owner is named by another member", epoch=reply.epoch
            )

    async def _probe(self, address):
        epoch = self._election.epoch
        try:
            reply = await self._links.call(
                address, ttypes.Probe(epoch=epoch), PROBE_TIMEOUT_S
            )
        except peers.PeerError as exc:
            if exc.connection_refused:
                self._election.on_connection_refused(epoch, _clock.now())
            return
        if isinstance(reply, ttypes.ProbeReply):
            self._election.on_probe(
                reply.epoch, reply.owner, reply.store_age_s, _clock.now()
            )

    async def _claim_when_due(self):
        while True:
            await anyio.sleep(0.05)
            now = _clock.now()
            if self._leaving or not self._election.is_claim_due(now):
                continue
            if self.store_age_s(now) > LONG_POLL_S + 0.2:
                self._election.on_store_unreachable(now)
                continue
            if await self._is_deferred():
                continue
            # Another process may have claimed while the witnesses were asked.
            if self._election.is_claim_due(_clock.now()):
                await self._claim()

    async def _is_deferred(self):
        """Ask witnesses; return whether one that hears the owner objects."""
        claim = self._election.claim
        if claim is None or self._election.owner_gone:
            return False
        others = [m for m in self._others.values() if m.name != claim.holder]
        deferred = False

        async def probe_witness(address):
            nonlocal deferred
            try:
                reply = await self._links.call(
                    address, ttypes.Probe(epoch=claim.epoch), PROBE_TIMEOUT_S
                )
            except peers.PeerError:
                return
            if isinstance(reply, ttypes.ProbeReply):
                deferred |= self._election.on_witness_reply(
                    reply.epoch, reply.owner_age_s, _clock.now()
                )

        async with anyio.create_task_group() as task_group:
            for member in others[:WITNESS_COUNT]:
                task_group.start_soon(probe_witness, member.address)
        return deferred

    async def _claim(self):
        claim = election.Claim(
            self._election.epoch + 1,
            self._member.name,
            self._incarnation,
            self._member.address,
        )
        record = platform.Record(_records.OWNER_KEY, _records.encode(claim))
        self._log(
            "ownership is claimed",
            epoch=claim.epoch,
            owner_age_s=round(self._election.owner_age_s(_clock.now()), 3),
            at=self._follower.end,
        )
        # Whether the claim succeeded is read back from the log, since the
        # answer to the append may be lost.
        outcome = await self._store.append(
            _records.CELL_TOPIC, [record], at=self._follower.end
        )
        self._election.on_claim_failed(_clock.now())
        if outcome.is_err():
            self._log(
                "claim is not confirmed",
                epoch=claim.epoch,
                reason=outcome.err_value.message,
            )

    def _log(self, message, **fields):
        telemetry.event(_LOG, logging.INFO, message, **fields)
