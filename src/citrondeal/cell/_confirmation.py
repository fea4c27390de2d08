"""Asks other members about the epoch of an owner that misses the store."""

import logging

import anyio

from citrondeal.cell import _clock
from citrondeal import election
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import telemetry

CHECK_PERIOD_S = 0.3
# A longer gap between two checks shows a suspension.
PAUSE_CHECK_PERIOD_S = 0.1
ASK_TIMEOUT_S = 0.5
# Members asked in each zone; one of them may be cut off from the others.
MEMBERS_PER_ZONE = 3

_LOG = logging.getLogger(__name__)


class OwnerConfirmation:
    """Keeps the `election.Confirmation` of one epoch up to date.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    members : citrondeal.cell._members.Membership
    links : citrondeal.peers.ConnectionPool
    own_zone : str
    """

    def __init__(self, epoch, members, links, own_zone):
        self._epoch = epoch
        self._members = members
        self._links = links
        self._own_zone = own_zone
        self._state = election.Confirmation(epoch, _clock.now())
        self._held = True

    @property
    def superseded(self):
        """Whether a member has told of a later claim."""
        return self._state.superseded

    def holds(self, now):
        """Return whether the owner may start tasks and renew leases."""
        self._state.on_store_read(self._members.store_confirmed_at)
        held = self._state.holds(self._zones(), now)
        self._log_transition(held)
        return held

    def may_answer(self, now):
        """Return whether the owner may report states of unfinished jobs."""
        # The first event after a suspension may be a query.
        self._on_running(now)
        self._state.on_store_read(self._members.store_confirmed_at)
        return self._state.may_answer(self._zones(), now)

    def _zones(self):
        """Return the zones whose members confirm the epoch."""
        zones = {m.zone for m in self._members.others.values()}
        # A cell with all members in one zone is confirmed by that zone.
        return (zones - {self._own_zone}) or zones

    def _on_running(self, now):
        if not self._state.on_running(now):
            return
        self._members.read_claims_now()
        telemetry.event(
            _LOG,
            logging.WARNING,
            "owner may have been suspended; answers about unfinished jobs"
            " wait for a confirmation",
            epoch=self._epoch,
        )

    def _log_transition(self, held):
        if held == self._held:
            return
        self._held = held
        telemetry.event(
            _LOG,
            logging.INFO if held else logging.WARNING,
            "ownership is confirmed again"
            if held
            else "ownership is not confirmed, starts and renewals pause",
            epoch=self._epoch,
        )

    async def run(self):
        """Ask members while the store confirms nothing, until superseded."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._watch_pauses)
            while not self._state.superseded:
                await anyio.sleep(CHECK_PERIOD_S)
                self._state.on_store_read(self._members.store_confirmed_at)
                if self._state.must_ask_members(_clock.now()):
                    await self._ask_members()
            task_group.cancel_scope.cancel()

    async def _watch_pauses(self):
        while True:
            self._on_running(_clock.now())
            await anyio.sleep(PAUSE_CHECK_PERIOD_S)

    async def _ask_members(self):
        started = _clock.now()
        by_zone = {}
        for member in self._members.others.values():
            by_zone.setdefault(member.zone, []).append(member)
        async with anyio.create_task_group() as task_group:
            for members in by_zone.values():
                for member in members[:MEMBERS_PER_ZONE]:
                    task_group.start_soon(self._ask, member)
        self._state.on_members_asked(self._zones(), started)

    async def _ask(self, member):
        sent_at = _clock.now()
        probe = ttypes.Probe(epoch=self._epoch)
        try:
            reply = await self._links.call(
                member.address, probe, ASK_TIMEOUT_S
            )
        except peers.PeerError:
            return  # no confirmation, which `holds` notices
        if isinstance(reply, ttypes.ProbeReply):
            self._state.on_member_epoch(member.zone, reply.epoch, sent_at)

    def on_announcement(self, epoch):
        """Record the epoch that a probe of another member names."""
        self._state.on_epoch(epoch)
