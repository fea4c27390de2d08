"""Checks of an edit that depend on neither the state nor the values."""

from citrondeal.tree import schema

_INVALID_PATH_REASON = (
    "is not /, /services/<name>, /batch/<name>[/<leaf>] or /teams/<name>"
)


def invalid_path(edit):
    """Return why the path, or its deletion, is not valid; else None."""
    if schema.kind_of(edit.path) is None:
        return f"{edit.path} {_INVALID_PATH_REASON}"
    if edit.delete:
        if edit.set or edit.unset:
            return f"{edit.path}: delete excludes set and unset"
        if edit.path == "/":
            return "/ cannot be deleted"
    return None


def invalid_names(edit):
    """Return why the path does not accept a key of the edit; else None.

    Parameters
    ----------
    edit : Edit
        Edit with a valid path.
    """
    kind = schema.kind_of(edit.path)
    keys = schema.keys_of(kind)
    for name in sorted({*edit.set, *edit.unset}):
        if name not in schema.KEYS:
            return f"{edit.path}: {name} is not a known key"
        if name not in keys:
            return f"{edit.path}: {name} does not apply to a {kind} node"
        if name in edit.set and name in edit.unset:
            return f"{edit.path}: {name} is both set and unset"
    return None
