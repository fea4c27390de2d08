"""Runs the owner of the cell while this process holds the ownership."""

import logging

import anyio

from citrondeal import telemetry

_LOG = logging.getLogger(__name__)


class Ownership:
    """Starts an owner for each claim of this process, and ends it.

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

    def on_owner_change(self):
        """End the owner of the earlier claim; start one if this one is own."""
        self.cancel()
        if self._members.election.is_owner:
            epoch = self._members.election.epoch
            self._task_group.start_soon(self._run, epoch)

    def cancel(self):
        """End the owner, if one runs."""
        if self._scope is not None:
            self._scope.cancel()

    async def _run(self, epoch):
        owner = self._create_owner(epoch)
        failed = True
        with anyio.CancelScope() as scope:
            self._owner, self._scope = owner, scope
            with telemetry.contain(_LOG, "ownership", epoch=epoch):
                await owner.run()
                failed = False
        failed = failed and not scope.cancelled_caught
        if self._owner is owner:
            self._owner, self._scope = None, None
        claim = self._members.election.claim
        telemetry.event(
            _LOG,
            logging.INFO,
            "ownership has ended",
            epoch=epoch,
            failed=failed,
            newest_epoch=claim.epoch,
            holder=claim.holder,
        )
        if failed:
            # Another member recovers from what is stored.
            await self._members.give_up_ownership(epoch)
