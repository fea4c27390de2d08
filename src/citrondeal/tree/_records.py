"""Encodes and decodes the edit records of stream ``tree``."""

import dataclasses
import json
import re

import xxhash

EDIT_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
MAX_AUTHOR_CHARS = 128
MAX_PATH_CHARS = 256  # longer than any valid path
# JSON readers that use double precision keep integers exactly up to here.
MAX_SAFE_INTEGER = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """One edit of one branch.

    Attributes
    ----------
    edit_id : str
        Id chosen by the client; a repeated id has no effect.
    path : str
        Path of the branch.
    base : int
        Version of the branch that the author has read.
    set : dict of str to object
        New values by key; may be empty.
    unset : tuple of str
        Keys whose values are removed, so that they are inherited.
    delete : bool
        Whether to delete the node; requires empty `set` and `unset`.
    author : str
        Person or program; used for display only.
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
        """Hash of the content, to detect two edits that use one id."""
        content = [
            self.path,
            self.base,
            self.set,
            sorted(self.unset),
            self.delete,
        ]
        return xxhash.xxh64_hexdigest(canonical(content))


def canonical(value):
    """Return JSON bytes that do not depend on the order of keys."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def edit_record(edit):
    """Return the log record of an edit.

    Parameters
    ----------
    edit : Edit
        Edit to encode.

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
    """Decode a log record into an edit.

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
        return None, "the record is not a JSON object"
    if record.get("kind") != "edit":
        return None, "kind is not edit"
    edit_id = record.get("edit_id")
    if not isinstance(edit_id, str) or not EDIT_ID_PATTERN.fullmatch(edit_id):
        return None, "edit_id is not 1 to 128 of [A-Za-z0-9._-]"
    path = record.get("path")
    if not isinstance(path, str) or len(path) > MAX_PATH_CHARS:
        return (
            None,
            f"path is not a string of at most {MAX_PATH_CHARS} characters",
        )
    base = record.get("base")
    if isinstance(base, bool) or not isinstance(base, int):
        return None, "base is not an integer"
    if not 0 <= base <= MAX_SAFE_INTEGER:
        return None, f"base is not in the range 0 to {MAX_SAFE_INTEGER}"
    values = record.get("set", {})
    if not isinstance(values, dict):
        return None, "set is not a JSON object"
    if not all(isinstance(name, str) for name in values):
        return None, "set has a key that is not a string"
    if not all(_is_scalar(value) for value in values.values()):
        return (
            None,
            "set has a value that is not a boolean, a string, a float or a "
            "safe integer",
        )
    unset = record.get("unset", [])
    if not isinstance(unset, list):
        return None, "unset is not a list"
    if not all(isinstance(name, str) for name in unset):
        return None, "unset is not a list of strings"
    delete = record.get("delete", False)
    if not isinstance(delete, bool):
        return None, "delete is not true or false"
    author = record.get("author", "")
    if not isinstance(author, str) or len(author) > MAX_AUTHOR_CHARS:
        return (
            None,
            f"author is not a string of at most {MAX_AUTHOR_CHARS} characters",
        )
    edit = Edit(edit_id, path, base, values, tuple(unset), delete, author)
    return edit, None


def _is_scalar(value):
    if isinstance(value, int):
        # Python refuses to write integers of several thousand digits as
        # JSON, so an edit with one could not be hashed or stored.
        return abs(value) <= MAX_SAFE_INTEGER
    return isinstance(value, (float, str))
