"""Outcomes of the records of stream ``tree``: verdicts, reasons, winners."""

import dataclasses
import enum

# Reasons are kept in memory and in snapshots for each remembered edit.
MAX_REASON_CHARS = 300


class Verdict(enum.StrEnum):
    """Decision on a record of the stream."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    IGNORED = "ignored"


class ReasonCode(enum.StrEnum):
    """Why a record got its verdict."""

    NONE = "none"
    CONFLICT = "conflict"  # another edit of this base was accepted first
    AHEAD = "ahead"  # the branch has not reached the base version
    INVALID = "invalid"  # not valid for the tree at this offset
    REPEATED = "repeated"  # an edit with this id and content was decided
    ID_REUSED = "id_reused"  # the id was used with other content
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"
    OLD = "old"  # the offset was applied before


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """Edit that produced the current version of a branch.

    Attributes
    ----------
    edit_id : str
        Empty for a branch that was never edited, or was deleted so long ago
        that the id is forgotten.
    version : int
        Version of the branch.
    author : str
        Author of the edit.
    """

    edit_id: str
    version: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Verdict on one record.

    Attributes
    ----------
    verdict : Verdict
        Decision on the record.
    code : ReasonCode
        Reason of the decision as a code.
    reason : str
        Reason as text for the operator; empty for accepted edits.
    edit_id, path : str
        Id and path of the edit; empty if the record is not an edit.
    version : int
        Version of the branch after an accepted edit, else 0.
    winner : Winner or None
        For codes ``conflict`` and ``ahead``, the edit that produced the
        current version.
    first_outcome : Outcome or None
        For code ``repeated``, the outcome of the first record of the edit.
    offset : int
        Offset of the record; -1 if the record was skipped as a snapshot or
        as applied before, and for an outcome that `Tree.check` returned.
    """

    verdict: Verdict
    code: ReasonCode = ReasonCode.NONE
    reason: str = ""
    edit_id: str = ""
    path: str = ""
    version: int = 0
    winner: Winner | None = None
    first_outcome: "Outcome | None" = None
    offset: int = -1


def rejected(edit, code, reason, winner=None):
    return Outcome(
        Verdict.REJECTED,
        code,
        reason[:MAX_REASON_CHARS],
        edit.edit_id,
        edit.path,
        winner=winner,
    )


def conflicting(edit, current, winner):
    """Return the outcome of an edit whose base is not the branch's version.

    Parameters
    ----------
    edit : Edit
        Edit to reject.
    current : int
        Version of the branch.
    winner : Winner
        Edit that produced this version.
    """
    if edit.base > current:
        code = ReasonCode.AHEAD
        reason = (
            f"{edit.path} is at version {current}; base {edit.base} has "
            "not been issued"
        )
    else:
        code = ReasonCode.CONFLICT
        reason = (
            f"{edit.path} is at version {current}, not at {edit.base}; "
            f"edit {winner.edit_id or '(forgotten)'} came first"
        )
    return rejected(edit, code, reason, winner)
