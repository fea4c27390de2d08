"""Edit records of stream ``tree``: decoding and encoding."""

import dataclasses
import json
import re

import xxhash

EDIT_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
AUTHOR_LIMIT = 128  # characters
PATH_LIMIT = 256  # characters, more than any valid path has
BASE_LIMIT = 2**53  # largest integer that every JSON reader keeps exactly


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """One edit of one branch.

    Attributes
    ----------
    edit_id : str
        Id chosen by the client; a repeated id is a no-op.
    path : str
        Branch.
    base : int
        Version of the branch that the author has read.
    set : dict of str to object
        New values; may be empty.
    unset : tuple of str
        Keys that are inherited from now on.
    delete : bool
        Delete the node; only with empty `set` and `unset`.
    author : str
        Person or program; for the history only.
    """

    edit_id: str
    path: str
    base: int
    set: dict = dataclasses.field(default_factory=dict)
    unset: tuple = ()
    delete: bool = False
    author: str = ""

    @property
    def fingerprint(self):
        """Hash of the content, to detect two edits with one id."""
        content = [
            self.path,
            self.base,
            self.set,
            sorted(self.unset),
            self.delete,
        ]
        return xxhash.xxh64_hexdigest(canonical(content))


def canonical(value):
    """Return JSON bytes that are equal for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def edit_record(edit):
    """Return the log record of an edit.

    Parameters
    ----------
    edit : Edit
        The edit.

    Returns
    -------
    dict
        JSON-ready record of kind ``edit``.
    """
    return {
        "kind": "edit",
        "edit_id": edit.edit_id,
        "path": edit.path,
        "base": edit.base,
        "set": dict(edit.set),
        "unset": list(edit.unset),
        "delete": edit.delete,
        "author": edit.author,
    }


def decode(record):
    """Return the edit of a record.

    Parameters
    ----------
    record : object
        Decoded JSON.

    Returns
    -------
    edit : Edit or None
        None if the record is malformed.
    reason : str or None
        Why it is malformed.
    """
    if not isinstance(record, dict):
        return None, "the record is not an object"
    if record.get("kind") != "edit":
        return None, "unknown kind of record"
    edit_id = record.get("edit_id")
    if not isinstance(edit_id, str) or not EDIT_ID.fullmatch(edit_id):
        return None, "edit_id is not 1 to 128 of [A-Za-z0-9._-]"
    path = record.get("path")
    if not isinstance(path, str) or len(path) > PATH_LIMIT:
        return None, f"path is not a text of at most {PATH_LIMIT} characters"
    base = record.get("base")
    if isinstance(base, bool) or not isinstance(base, int):
        return None, "base is not a whole number"
    if not 0 <= base <= BASE_LIMIT:
        return None, f"base is not 0 to {BASE_LIMIT}"
    values = record.get("set", {})
    if not isinstance(values, dict):
        return None, "set is not an object"
    if not all(isinstance(name, str) for name in values):
        return None, "set has a key that is not a text"
    if not all(_is_scalar(value) for value in values.values()):
        return None, "a value is not true, false, a number or a text"
    unset = record.get("unset", [])
    if not isinstance(unset, list):
        return None, "unset is not a list"
    if not all(isinstance(name, str) for name in unset):
        return None, "unset is not a list of keys"
    delete = record.get("delete", False)
    if not isinstance(delete, bool):
        return None, "delete is not true or false"
    author = record.get("author", "")
    if not isinstance(author, str) or len(author) > AUTHOR_LIMIT:
        return None, f"author is not at most {AUTHOR_LIMIT} characters"
    edit = Edit(edit_id, path, base, values, tuple(unset), delete, author)
    return edit, None


def _is_scalar(value):
    if isinstance(value, int):
        # Longer integers cannot be written as JSON by Python.
        return abs(value) <= BASE_LIMIT
    return isinstance(value, (float, str))
