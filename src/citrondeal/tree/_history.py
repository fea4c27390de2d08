"""History of the accepted edits of the whole settings tree."""


class History:
    """The last accepted edits, oldest first.

    Parameters
    ----------
    limit : int
        Number of edits kept.
    """

    def __init__(self, limit):
        self._limit = limit
        self._entries = []

    def __len__(self):
        return len(self._entries)

    def add(self, offset, version, edit):
        """Record that an edit was accepted as `version` of its branch."""
        self._entries.append(
            [
                offset,
                version,
                edit.edit_id,
                edit.author,
                edit.path,
                dict(edit.set),
                list(edit.unset),
                edit.delete,
            ]
        )
        del self._entries[: -self._limit]

    def of(self, path):
        """Return the accepted edits of a branch, oldest first.

        Parameters
        ----------
        path : str
            Path of the branch, which may have been deleted.

        Returns
        -------
        list of dict
            ``offset, version, edit_id, author, path, set, unset, delete``;
            only edits among the last `Limits.history` of the whole tree.
        """
        return [
            _history_dict(entry) for entry in self._entries if entry[4] == path
        ]

    def snapshot(self):
        """Return a copy of the entries, JSON-ready."""
        return [list(entry) for entry in self._entries]

    def restore(self, entries):
        """Replace the entries by those of a snapshot."""
        self._entries = [list(entry) for entry in entries]


def _history_dict(entry):
    offset, version, edit_id, author, path, values, unset, delete = entry
    return {
        "offset": offset,
        "version": version,
        "edit_id": edit_id,
        "author": author,
        "path": path,
        "set": dict(values),
        "unset": list(unset),
        "delete": delete,
    }
