"""Edits of the settings tree: check, append, read back."""

import anyio
import result

from citrondeal import errors
from citrondeal.operators import api
from citrondeal.runtime import _tree
from citrondeal import tree as tree_core

# Time until the own record must be read back; the target for a change to
# be in force everywhere is 5 s.
READ_BACK_S = 5.0


class EditService:
    """Puts operators' edits into the log and waits for the verdict.

    Parameters
    ----------
    settings : citrondeal.runtime.TreeReplica
        Replica of the tree.
    log : citrondeal.logservice.LogClient
        Client of the log service.
    """

    def __init__(self, settings, log):
        self._settings = settings
        self._log = log

    async def edit(self, edit):
        """Return the verdict of the log on an edit.

        Parameters
        ----------
        edit : citrondeal.tree.Edit
            The edit with its base version.

        Returns
        -------
        result.Result
            ``Ok(tree.Outcome)`` that was read back; ``Err`` of kind
            ``unavailable`` if nothing was written, ``unknown_outcome`` if
            the record may come into force later.
        """
        if not self._settings.complete:
            message = "the settings tree is not read yet"
            return _err(errors.Kind.UNAVAILABLE, message)
        decided = api.decided_before_append(self._settings.tree, edit)
        if decided.is_err() or decided.ok_value is not None:
            return decided
        record = tree_core.edit_record(edit)
        with anyio.move_on_after(READ_BACK_S):
            appended = await self._log.append(_tree.STREAM, record)
            if appended.is_err():
                kind = appended.err_value.kind
                if kind is errors.Kind.UNAVAILABLE:
                    return appended
            return await self._read_back(edit)
        message = "the record was not read back; ask for its history"
        return _err(errors.Kind.UNKNOWN_OUTCOME, message)

    async def _read_back(self, edit):
        while True:
            outcome = self._settings.tree.outcome_of(edit)
            if outcome is not None:
                return result.Ok(outcome)
            await self._settings.wait_for_next_read()


def _err(kind, message):
    return result.Err(errors.Failure(kind, message))
