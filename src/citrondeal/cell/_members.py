"""Membership, probes of the owner, and claims of the ownership."""

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

POLL_S = 1.0  # long poll of the cell's records
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 0.5
WITNESSES = 3

_LOG = logging.getLogger(__name__)


class Members:
    """The processes of the cell and its owner, as this process sees them.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    links : citrondeal.peers.ConnectionPool
    member : Member
        This process.
    state : citrondeal.election.Election
    incarnation : str
    on_change : callable
        Called when the owner has changed.
    """

    def __init__(self, store, links, member, state, incarnation, on_change):
        self._store = store
        self._links = links
        self._member = member
        self._election = state
        self._incarnation = incarnation
        self._on_change = on_change
        self._others = {}
        self._round_trip = 0.0
        self._leaving = False
        self._follower = _follower.Follower(
            store, _records.CELL_TOPIC, self._on_records, POLL_S
        )

    @property
    def election(self):
        """State of the election."""
        return self._election

    @property
    def others(self):
        """Other members by name."""
        return self._others

    @property
    def loaded(self):
        """Whether the cell's records have been read."""
        return self._follower.loaded

    def store_age_s(self, now):
        """Return the seconds since the store last answered here."""
        return self._follower.age_s(now)

    @property
    def store_answers(self):
        """Whether the last call to the store was answered."""
        return not self._follower.failing

    async def load(self):
        """Read the cell's records, then take part in elections."""
        started = _clock.now()
        await self._follower.load()
        self._round_trip = _clock.now() - started
        self._election.join(self._delay_s(), _clock.now())

    async def run(self):
        """Follow the cell's records and probe the owner until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follower.run)
            task_group.start_soon(self._register)
            task_group.start_soon(self._probe_owner)
            task_group.start_soon(self._claim_when_due)

    async def leave(self):
        """Release the ownership and remove the member."""
        self._leaving = True
        if self._election.owned:
            await self._release()
        record = platform.Record(_records.member_key(self._member.name), b"")
        outcome = await self._store.append(_records.CELL_TOPIC, [record])
        if outcome.is_err():
            self._log(
                "leave is not recorded", reason=outcome.err_value.message
            )

    async def _release(self):
        claim = self._election.claim
        released = election.Claim(claim.epoch, "", self._incarnation, "")
        record = platform.Record(_records.OWNER_KEY, _records.encode(released))
        # Without the condition, the release of an owner that does not know
        # of the next one would hide the newer claim, and its epoch would be
        # used a second time.
        outcome = await self._store.append(
            _records.CELL_TOPIC, [record], at=self._follower.end
        )
        self._log(
            "ownership is released",
            epoch=claim.epoch,
            outcome="ok" if outcome.is_ok() else outcome.err_value.kind.value,
        )

    async def _register(self):
        record = platform.Record(
            _records.member_key(self._member.name),
            _records.encode(self._member),
        )
        while not self._leaving:
            outcome = await self._store.append(_records.CELL_TOPIC, [record])
            if outcome.is_ok():
                return
            await anyio.sleep(_follower.RETRY_S)

    def _on_records(self, records):
        for record in records:
            if record.key == _records.OWNER_KEY:
                self._on_owner(record)
                continue
            kind, name = _records.split_key(record.key)
            if kind == "member" and name != self._member.name:
                self._on_member(name, record.value)

    def _on_owner(self, record):
        claim = _records.decode_claim(record.value)
        if claim is None:
            self._log("claim is undecodable", offset=record.offset)
            return
        live = self._follower.loaded
        if self._election.on_claim(claim, _clock.now(), live):
            self._log(
                "owner has changed",
                epoch=claim.epoch,
                owner=claim.holder,
                offset=record.offset,
            )
            self._on_change()

    def _on_member(self, name, value):
        member = _records.decode_member(value) if value else None
        if member is None:
            self._others.pop(name, None)
        else:
            self._others[name] = member
        self._election.set_delay(self._delay_s())

    def _delay_s(self):
        own = self._member.cores
        strongest = max([own, *(m.cores for m in self._others.values())])
        # The incarnation is random, so it tells equal machines apart.
        spread = int(self._incarnation[:4], 16) / 65536
        return election.claim_delay_s(
            self._round_trip, strongest / own, spread
        )

    async def _probe_owner(self):
        while True:
            address = self._election.owner_address()
            if address is not None and not self._election.owned:
                await self._probe(address)
            await anyio.sleep(PROBE_PERIOD_S)

    async def _probe(self, address):
        epoch = self._election.epoch
        try:
            reply = await self._links.call(
                address, ttypes.Probe(epoch=epoch), PROBE_TIMEOUT_S
            )
        except peers.PeerError as exc:
            if exc.connection_refused:
                self._election.on_refused(epoch, _clock.now())
            return
        if isinstance(reply, ttypes.ProbeReply):
            self._election.on_probe(
                reply.epoch, reply.owner, reply.store_age_s, _clock.now()
            )

    async def _claim_when_due(self):
        while True:
            await anyio.sleep(0.05)
            now = _clock.now()
            if self._leaving or not self._election.suspects(now):
                continue
            if self.store_age_s(now) > POLL_S + 0.2:
                self._election.on_no_contact(now)
                continue
            if await self._witnessed():
                continue
            # Another process may have claimed while the witnesses answered.
            if self._election.suspects(_clock.now()):
                await self._claim()

    async def _witnessed(self):
        """Ask other members whether they hear the owner."""
        claim = self._election.claim
        if claim is None or self._election.owner_gone:
            return False
        others = [m for m in self._others.values() if m.name != claim.holder]
        deferred = False

        async def ask(address):
            nonlocal deferred
            try:
                reply = await self._links.call(
                    address, ttypes.Probe(epoch=claim.epoch), PROBE_TIMEOUT_S
                )
            except peers.PeerError:
                return
            if isinstance(reply, ttypes.ProbeReply):
                deferred |= self._election.on_witness(
                    reply.epoch, reply.owner_age_s, _clock.now()
                )

        async with anyio.create_task_group() as task_group:
            for member in others[:WITNESSES]:
                task_group.start_soon(ask, member.address)
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
        # The claim is read back from the log, also when its answer is lost.
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
