"""Limits on what a replica of the settings tree remembers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the remembered state; equal on all replicas of a cell.

    At 400 edits a day the defaults keep ids for two and a half days and the
    history for more than one day.

    Attributes
    ----------
    ids : int
        Number of edit ids remembered.
    history : int
        Number of accepted edits kept in the history of the whole tree.
    deleted : int
        Number of deleted paths whose last version is remembered.
    """

    ids: int = 1024
    history: int = 512
    deleted: int = 512
