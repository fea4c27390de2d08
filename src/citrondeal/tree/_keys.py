"""All keys of the settings tree: types, units, ranges and defaults.

A key has one type, one unit, one range and one default.  Which keys a path
accepts follows from the kind of the path: the root accepts all of them, and
a node below it accepts those that apply to its kind.

All replicas must use the same keys: an edit of a key that only some of them
know would be accepted by some and rejected by others.
"""

import dataclasses
import enum

from citrondeal.tree import _paths

MS_PER_DAY = 86_400_000


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
    service = (_paths.PathKind.SERVICE,)
    batch = (_paths.PathKind.BATCH,)
    team = (_paths.PathKind.TEAM,)
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
        if kind is _paths.PathKind.ROOT or kind in key.kinds
    }
    for kind in _paths.PathKind
}


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
