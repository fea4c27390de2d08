"""Edits of the settings tree, from the operators' API to the log."""

import anyio
import result

from citrondeal import errors
from citrondeal.operators import api
from citrondeal.runtime import _tree
from citrondeal import tree as settings_tree

# Limit for the append and the read-back together. It equals the target time
# for a change to take effect in all processes.
READ_BACK_TIMEOUT_S = 5.0


class EditService:
    """Appends edits to the log and reads their outcome back.

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
        """Apply an edit and return its outcome.

        Parameters
        ----------
        edit : citrondeal.tree.Edit
            The edit, with the version that it is based on.

        Returns
        -------
        result.Result
            ``Ok(tree.Outcome)`` if the outcome was read back or is known
            without an append; ``Err`` of kind ``unavailable`` if nothing
            was written, ``unknown_outcome`` if the record may still take
            effect later.
        """
        if not self._settings.loaded:
            message = "this server has not read the settings tree yet"
            return _failure(errors.Kind.UNAVAILABLE, message)
        decided = api.decided_before_append(self._settings.tree, edit)
        if decided.is_err() or decided.ok_value is not None:
            return decided
        record = settings_tree.edit_record(edit)
        with anyio.move_on_after(READ_BACK_TIMEOUT_S):
            appended = await self._log.append(_tree.STREAM, record)
            if appended.is_err():
                kind = appended.err_value.kind
                if kind is errors.Kind.UNAVAILABLE:
                    return appended
            return await self._read_back(edit)
        message = (
            f"edit {edit.edit_id!r} of {edit.path!r} was not read back "
            f"within {READ_BACK_TIMEOUT_S} s and may still take effect; see "
            "the history of the path"
        )
        return _failure(errors.Kind.UNKNOWN_OUTCOME, message)

    async def _read_back(self, edit):
        while True:
            outcome = self._settings.tree.outcome_of(edit)
            if outcome is not None:
                return result.Ok(outcome)
            await self._settings.wait_for_next_read()


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))
