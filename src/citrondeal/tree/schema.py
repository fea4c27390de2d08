"""All keys of the settings tree: types, units, ranges and defaults.

A key has one type, one unit, one range and one default.  Which keys a path
accepts follows from the kind of the path: the root accepts all of them, and
a node below it accepts those that apply to its kind.

All replicas must use the same keys: an edit of a key that only some of them
know would be accepted by some and rejected by others.
"""

import dataclasses
import enum
import math
import re

__all__ = [
    "CONTAINERS",
    "KEYS",
    "Key",
    "PathKind",
    "ValueType",
    "children_prefix",
    "check_value",
    "keys_of",
    "kind_of",
    "normalize_path",
    "parents_of",
    "parse_value",
    "violation_of",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MAX_TEXT_CHARS = 4096

# The binary values of decimal shares such as 0.7, 0.2 and 0.1 do not add up
# to exactly 1.
SHARE_TOLERANCE = 1e-9

MS_PER_DAY = 86_400_000

#: Paths that group nodes but are not nodes themselves.
CONTAINERS = ("/services", "/batch", "/teams")


class PathKind(enum.StrEnum):
    """Kind of a node, which its path determines."""

    ROOT = "root"
    SERVICE = "service"
    BATCH = "batch"
    TEAM = "team"


class ValueType(enum.StrEnum):
    """Type of the values of a key."""

    BOOL = "bool"
    INT = "int"
    FLOAT = "float"
    TEXT = "text"
    NAME = "name"
    CHOICE = "choice"


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """One key of the tree.

    Attributes
    ----------
    name : str
        Name, with the unit where it has one.
    type : ValueType
        Type of the value.
    default : bool, int, float or str
        Value where no branch sets the key.
    unit : str
        Unit of the value; empty for none.
    meaning : str
        Short description for operators.
    low, high : int or float or None
        Inclusive range of numbers.
    choices : tuple of str
        Allowed values of a key of type choice.
    kinds : tuple of PathKind
        Kinds of paths, besides the root, that accept the key.
    """

    name: str
    type: ValueType
    default: object
    unit: str
    meaning: str
    low: float | None = None
    high: float | None = None
    choices: tuple = ()
    kinds: tuple = ()


def _keys():
    service = (PathKind.SERVICE,)
    batch = (PathKind.BATCH,)
    team = (PathKind.TEAM,)
    boolean, integer, real = ValueType.BOOL, ValueType.INT, ValueType.FLOAT
    text, choice = ValueType.TEXT, ValueType.CHOICE
    name = ValueType.NAME
    return (
        Key(
            "request.idempotent",
            boolean,
            False,
            "",
            "requests may run more than once",
            kinds=service,
        ),
        Key(
            "request.deadline_ms",
            integer,
            30_000,
            "ms",
            "time for a request that states no deadline",
            1,
            MS_PER_DAY,
            kinds=service,
        ),
        Key(
            "request.attempt_timeout_ms",
            integer,
            10_000,
            "ms",
            "time for one attempt at an endpoint; at most the deadline",
            1,
            MS_PER_DAY,
            kinds=service,
        ),
        Key(
            "queue.max_requests",
            integer,
            1000,
            "requests",
            "length of the queue of the service in each gateway",
            1,
            1_000_000,
            kinds=service,
        ),
        Key(
            "queue.max_bytes",
            integer,
            2 * 1024 * 1024,
            "bytes",
            "bodies in the queue of the service in each gateway",
            1024,
            1024**3,
            kinds=service,
        ),
        Key(
            "share.urgent",
            real,
            0.5,
            "share",
            "guaranteed share of the slots for urgent requests",
            0,
            1,
            kinds=service,
        ),
        Key(
            "share.normal",
            real,
            0.3,
            "share",
            "guaranteed share of the slots for normal requests",
            0,
            1,
            kinds=service,
        ),
        Key(
            "share.low",
            real,
            0.1,
            "share",
            "guaranteed share of the slots for low requests",
            0,
            1,
            kinds=service,
        ),
        Key(
            "reserve.slots_share",
            real,
            0.15,
            "share",
            "share of the slots kept free for urgent requests",
            0,
            1,
            kinds=service,
        ),
        Key(
            "retry.budget",
            real,
            0.1,
            "share",
            "retries allowed for each success",
            0,
            1,
            kinds=service,
        ),
        Key(
            "region.price_ms",
            real,
            60.0,
            "ms",
            "waiting time for which one crossing of the link between "
            "regions is worth paying",
            0,
            MS_PER_DAY,
            kinds=service,
        ),
        Key(
            "team.default",
            name,
            "",
            "",
            "team of requests that name none; empty for no team",
            kinds=service,
        ),
        Key(
            "job.kind",
            choice,
            "batch",
            "",
            "service (runs until cancelled), batch, or gang (all tasks at "
            "once)",
            choices=("service", "batch", "gang"),
            kinds=batch,
        ),
        Key(
            "job.priority",
            choice,
            "normal",
            "",
            "order in the queue and of preemption",
            choices=("urgent", "normal", "low"),
            kinds=batch,
        ),
        Key(
            "job.team",
            name,
            "",
            "",
            "team whose quota counts; empty for no team",
            kinds=batch,
        ),
        Key(
            "job.tasks",
            integer,
            1,
            "tasks",
            "number of tasks",
            1,
            10_000,
            kinds=batch,
        ),
        Key(
            "job.cores",
            real,
            1.0,
            "cores",
            "processors for each task",
            0.01,
            1024,
            kinds=batch,
        ),
        Key(
            "job.memory_mb",
            integer,
            1024,
            "MB",
            "memory for each task",
            1,
            64 * 1024 * 1024,
            kinds=batch,
        ),
        Key(
            "job.accelerators",
            integer,
            0,
            "accelerators",
            "accelerators for each task",
            0,
            64,
            kinds=batch,
        ),
        Key(
            "job.run_time_s",
            real,
            600.0,
            "s",
            "declared run time of each task",
            0.001,
            31_536_000,
            kinds=batch,
        ),
        Key(
            "job.once",
            boolean,
            False,
            "",
            "a task whose outcome is unknown is not run again",
            kinds=batch,
        ),
        Key(
            "job.max_restarts",
            integer,
            3,
            "restarts",
            "restarts of each task after a failure",
            0,
            1000,
            kinds=batch,
        ),
        Key(
            "job.command",
            text,
            "",
            "",
            "command that a worker runs for each task",
            kinds=batch,
        ),
        Key(
            "quota.cores",
            real,
            1_000_000.0,
            "cores",
            "processors that the team's tasks may hold together",
            0,
            1_000_000,
            kinds=team,
        ),
        Key(
            "quota.memory_mb",
            integer,
            2**40,
            "MB",
            "memory that the team's tasks may hold together",
            0,
            2**40,
            kinds=team,
        ),
        Key(
            "quota.accelerators",
            integer,
            1_000_000,
            "accelerators",
            "accelerators that the team's tasks may hold together",
            0,
            1_000_000,
            kinds=team,
        ),
        Key(
            "weight",
            real,
            1.0,
            "",
            "relative share of the team when teams compete",
            0.001,
            1000,
            kinds=team,
        ),
        Key(
            "log.level",
            choice,
            "info",
            "",
            "lowest level that the daemons log; accepted at the root only",
            choices=("debug", "info", "warning", "error"),
        ),
    )


KEYS = {key.name: key for key in _keys()}

_KEYS_BY_KIND = {
    kind: {
        name: key
        for name, key in KEYS.items()
        if kind is PathKind.ROOT or kind in key.kinds
    }
    for kind in PathKind
}

_SHARE_KEYS = ("share.urgent", "share.normal", "share.low")

#: Keys whose values restrict each other, see `violation_of`.  A change of
#: one of them on a node can make a node below it invalid.
INTERDEPENDENT_KEYS = frozenset(
    _SHARE_KEYS
    + (
        "request.deadline_ms",
        "request.attempt_timeout_ms",
        "job.kind",
        "job.once",
    )
)


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


def keys_of(kind):
    """Return the keys that a kind of path accepts.

    Parameters
    ----------
    kind : PathKind
        Kind of the path.

    Returns
    -------
    dict of str to Key
        Shared by all callers, which must not modify it.
    """
    return _KEYS_BY_KIND[kind]


def check_value(key, value):
    """Validate one value.

    Parameters
    ----------
    key : Key
        Key that is set.
    value : object
        Value as decoded from JSON.

    Returns
    -------
    value : bool, int, float or str
        Value converted to the type of the key; None if it is not valid.
    reason : str or None
        Why it is not valid.
    """
    if key.type is ValueType.BOOL:
        is_valid = isinstance(value, bool)
        return (value, None) if is_valid else (None, "must be true or false")
    if key.type is ValueType.CHOICE:
        if isinstance(value, str) and value in key.choices:
            return value, None
        return None, "must be one of " + ", ".join(key.choices)
    if key.type is ValueType.NAME:
        if isinstance(value, str) and (
            not value or NAME_PATTERN.fullmatch(value)
        ):
            return value, None
        return None, "must be a name of at most 64 of [A-Za-z0-9._-], or empty"
    if key.type is ValueType.TEXT:
        if isinstance(value, str) and len(value) <= MAX_TEXT_CHARS:
            # Control characters must not reach an operator's terminal, and
            # lone surrogates cannot be encoded as UTF-8.
            if value.isprintable():
                return value, None
        return (
            None,
            f"must be printable, at most {MAX_TEXT_CHARS} characters",
        )
    return _check_number(key, value)


def _check_number(key, value):
    unit = f" {key.unit}" if key.unit else ""
    allowed = f"{key.low:g} to {key.high:g}{unit}"
    if key.type is ValueType.INT:
        allowed = f"{key.low} to {key.high}{unit}"
        if isinstance(value, bool) or not isinstance(value, int):
            return None, f"must be a whole number, {allowed}"
    elif isinstance(value, bool) or not isinstance(value, (int, float)):
        return None, f"must be a number, {allowed}"
    # The comparison is false for NaN.  It precedes the conversion, which
    # raises OverflowError for integers beyond the range of floats.
    if not key.low <= value <= key.high:
        return None, f"must be {allowed}"
    return (float(value) if key.type is ValueType.FLOAT else value), None


def parse_value(name, text):
    """Return the JSON value that a command-line text stands for.

    Parameters
    ----------
    name : str
        Name of the key.  The text of an unknown key is returned unchanged,
        so that the edit is sent and its rejection names the key.
    text : str
        Value as the operator typed it.

    Returns
    -------
    bool, int, float or str
        Not checked against the range of the key.
    """
    key = KEYS.get(name)
    if key is None or isinstance(key.default, str):
        return text
    if key.type is ValueType.BOOL:
        return {"true": True, "false": False}.get(text.lower(), text)
    for convert in (int, float):
        try:
            return convert(text)
        except ValueError:
            continue
    return text


def violation_of(values):
    """Check the constraints between the keys of one node.

    Parameters
    ----------
    values : callable
        ``values(name)`` returns the effective value of a key, or None if
        the kind of the node does not accept it.

    Returns
    -------
    str or None
        Which constraint is violated; None if the values are valid.
    """
    shares = [values(name) for name in _SHARE_KEYS]
    if None not in shares and math.fsum(shares) > 1 + SHARE_TOLERANCE:
        return f"{' + '.join(_SHARE_KEYS)} is {math.fsum(shares):g}, over 1"
    deadline = values("request.deadline_ms")
    attempt = values("request.attempt_timeout_ms")
    if deadline is not None and attempt > deadline:
        return (
            f"request.attempt_timeout_ms ({attempt}) exceeds "
            f"request.deadline_ms ({deadline})"
        )
    if values("job.kind") == "service" and values("job.once"):
        return "job.once does not apply to job.kind service"
    return None
