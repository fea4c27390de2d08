"""Runs the owner of the cell while this process holds the ownership."""

import logging

import anyio
import anyio.lowlevel

from citrondeal import telemetry

# An owner that learns of a newer one ends by itself, mostly before its process
# has read the newer claim. Reading it takes one call to the store.
CLAIM_WAIT_S = 0.5
CLAIM_POLL_S = 0.05

_LOG = logging.getLogger(__name__)


class Ownership:
    """Starts an owner for each claim of this process, and ends it.

    If an owner ends although its claim is the newest, the ownership is
    released. Members that probe this process would otherwise take it for the
    owner, while nothing answers queries.

    Parameters
    ----------
    members : citrondeal.cell._members.Membership
    create_owner : callable
        ``create_owner(epoch)`` returns an object like
        `citrondeal.cell._owner.Owner`.
    task_group : anyio.abc.TaskGroup
        Runs the owners.
    """

    def __init__(self, members, create_owner, task_group):
        self._members = members
        self._create_owner = create_owner
        self._task_group = task_group
        self._owner = None
        self._scope = None

    @property
    def owner(self):
        """The owner that runs, or None."""
        return self._owner

    @property
    def active(self):
        """Whether an owner runs, or is about to, under the newest claim."""
        return self._members.election.is_owner and self._scope is not None

    def on_owner_change(self):
        """End the owner of the earlier claim; start one if this one is own."""
        self.cancel()
        election = self._members.election
        if election.is_owner:
            # Made here, so that a claim that is read before the owner starts
            # cancels it too.
            self._scope = anyio.CancelScope()
            self._task_group.start_soon(self._run, election.epoch, self._scope)

    def cancel(self):
        """End the owner, if one runs."""
        if self._scope is not None:
            self._scope.cancel()
        self._owner = self._scope = None

    async def _run(self, epoch, scope):
        failed = True
        with scope:
            # Not started if the scope has been cancelled already.
            await anyio.lowlevel.checkpoint()
            with telemetry.contain(_LOG, "ownership", epoch=epoch):
                owner = self._owner = self._create_owner(epoch)
                await owner.run()
                failed = False
        ended_by_itself = not scope.cancelled_caught
        if self._scope is scope:
            self._owner = self._scope = None
        claim = self._members.election.claim
        telemetry.event(
            _LOG,
            logging.INFO,
            "ownership has ended",
            epoch=epoch,
            failed=failed and ended_by_itself,
            newest_epoch=claim.epoch,
            holder=claim.holder,
        )
        if ended_by_itself:
            if not failed:
                await self._wait_for_newer_claim(epoch)
            # Another member recovers from what is stored.
            await self._members.give_up_ownership(epoch)

    async def _wait_for_newer_claim(self, epoch):
        """Wait for the claim of the newer owner, and warn if none comes."""
        with anyio.move_on_after(CLAIM_WAIT_S):
            while self._members.owns(epoch):
                await anyio.sleep(CLAIM_POLL_S)
            return
        telemetry.event(
            _LOG,
            logging.WARNING,
            "owner has ended and no newer claim has been read",
            epoch=epoch,
        )
