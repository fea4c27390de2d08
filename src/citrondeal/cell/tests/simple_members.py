"""Members of a cell in one process, for histories of owners."""

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _members
from citrondeal.cell import _owner
from citrondeal.cell import _ownership
from citrondeal.cell import _records
from citrondeal.cell.tests import doubles
from citrondeal.cell.tests import paged_store
from citrondeal import election
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes

LEASE_S = 2.0


class _Settings(doubles.Settings):
    max_lease_s = LEASE_S


class Links:
    """Carries the probes between the members of a history."""

    def __init__(self, history):
        self._history = history

    async def call(self, address, request, timeout_s):
        """Send a probe to a member."""
        await anyio.sleep(0.005)
        member = self._history.members[address]
        if anyio.current_time() < member.hidden_until:
            raise peers.PeerError("refused", False, True)
        return member.answer_probe()


class Member:
    """One process of the cell, without its clients.

    Parameters
    ----------
    history : citrondeal.cell.tests.owner_histories.OwnerHistory
    name : str
    task_group : anyio.abc.TaskGroup
        Runs its owners.

    Attributes
    ----------
    hidden_until : float
        Until then nothing seems to listen at its address.
    """

    def __init__(self, history, name, task_group):
        self._history = history
        self.name = name
        self.address = self.name + ".test:1"
        self.hidden_until = 0.0
        self._owner_store = None
        store = self.store = paged_store.Client(history.store, self.name)
        incarnation = f"{history.rng.getrandbits(64):016x}"
        state = election.Election(self.name, incarnation, now=_clock.now())
        self.membership = _members.Membership(
            store,
            Links(history),
            _records.Member(self.name, self.address, "z", 1.0),
            state,
            incarnation,
            lambda earlier: self.ownership.on_owner_change(),
        )
        self.ownership = _ownership.Ownership(
            self.membership, self._create_owner, task_group
        )

    def _create_owner(self, epoch):
        self._owner_store = paged_store.Client(
            self._history.store, f"{self.name}/{self._history.next_number()}"
        )
        owner = _owner.Owner(
            self._owner_store,
            None,
            epoch,
            doubles.Confirmation(),
            _Settings(),
            doubles.Metrics(),
        )
        self._history.on_owner(epoch, owner)
        return owner

    def blind(self, until):
        """Let it read no claims for a time, nor, mostly, store progress."""
        self.store.blind_until = until
        if self._owner_store is not None and self._history.rng.random() < 0.7:
            self._owner_store.refused_until = until

    def answer_probe(self):
        """Return the answer to a probe."""
        now = _clock.now()
        state, is_owner = self.membership.election, self.ownership.active
        return ttypes.ProbeReply(
            epoch=state.epoch,
            owner=is_owner,
            store_age_s=self.membership.store_age_s(now),
            owner_age_s=0.0 if is_owner else state.owner_age_s(now),
            owner_address=state.owner_address(),
        )

    async def run(self):
        """Take part in the cell."""
        await self.membership.load()
        await self.membership.run()
