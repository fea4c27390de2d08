"""Paths of the settings tree, and the kinds of nodes."""

import enum
import re

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

#: Paths that group nodes but are not nodes themselves.
CONTAINERS = ("/services", "/batch", "/teams")


class PathKind(enum.StrEnum):
    """Kind of a node, which its path determines."""

    ROOT = "root"
    SERVICE = "service"
    BATCH = "batch"
    TEAM = "team"


def kind_of(path):
    """Return the kind of a path.

    Parameters
    ----------
    path : str
        Path such as ``/services/lanebook``.

    Returns
    -------
    PathKind or None
        None if no node can have this path.

    Examples
    --------
    >>> kind_of("/batch/labels/nightly")
    <PathKind.BATCH: 'batch'>
    >>> kind_of("/services") is None
    True
    """
    if path == "/":
        return PathKind.ROOT
    parts = path.split("/")
    if parts[0] or not all(NAME_PATTERN.fullmatch(part) for part in parts[1:]):
        return None
    match parts[1], len(parts):
        case "services", 3:
            return PathKind.SERVICE
        case "teams", 3:
            return PathKind.TEAM
        case "batch", 3 | 4:
            return PathKind.BATCH
    return None


def normalize_path(text):
    """Return the path with one leading and no trailing slash."""
    return "/" + text.strip("/")


def parents_of(path):
    """Return the branches that a node inherits from, nearest first.

    Examples
    --------
    >>> parents_of("/batch/labels/nightly")
    ('/batch/labels', '/')
    """
    if path == "/":
        return ()
    parts = path.split("/")
    if len(parts) == 4:
        return ("/".join(parts[:3]), "/")
    return ("/",)


def children_prefix(path):
    """Return the prefix of all paths below `path`."""
    return "/" if path == "/" else path + "/"
