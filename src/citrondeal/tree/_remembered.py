"""Decided edits that a replica remembers, to recognize repeated records."""

import dataclasses

from citrondeal.tree import _outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class RememberedEdit:
    """Decided edit, kept to recognize further records with its id."""

    fingerprint: str
    base: int
    outcome: _outcomes.Outcome


class RememberedEdits:
    """The last decided edits, oldest first.

    Parameters
    ----------
    limit : int
        Number of edits remembered.
    """

    def __init__(self, limit):
        self._limit = limit
        self._edits = {}

    def __contains__(self, edit_id):
        return edit_id in self._edits

    def __len__(self):
        return len(self._edits)

    def outcome_of(self, edit):
        """Return the outcome of the first record of an edit.

        Parameters
        ----------
        edit : Edit
            Looked up by id and content; the author is ignored.

        Returns
        -------
        Outcome or None
            None if the edit was not decided or its id is forgotten.
        """
        fingerprint = edit.fingerprint
        for key in (edit.edit_id, _reused_id_key(edit.edit_id, fingerprint)):
            known = self._edits.get(key)
            if known is not None and known.fingerprint == fingerprint:
                return known.outcome
        return None

    def add(self, edit, outcome):
        """Remember an edit and return those that are forgotten for it."""
        key = edit.edit_id
        if outcome.code is _outcomes.ReasonCode.ID_REUSED:
            key = _reused_id_key(key, edit.fingerprint)
        self._edits[key] = RememberedEdit(edit.fingerprint, edit.base, outcome)
        forgotten = []
        while len(self._edits) > self._limit:
            oldest = next(iter(self._edits))
            forgotten.append(self._edits.pop(oldest))
        return forgotten

    def items(self):
        """Return pairs of key and `RememberedEdit`, oldest first."""
        return self._edits.items()

    def restore(self, edits):
        """Replace the edits by those of a snapshot."""
        self._edits = edits


def _reused_id_key(edit_id, fingerprint):
    """Return the key of an edit whose id was used with other content.

    Ids contain no slash, so the key differs from every id.
    """
    return f"{edit_id}/{fingerprint}"
