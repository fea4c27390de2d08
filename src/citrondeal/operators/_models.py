"""Request bodies of the operators' API, decoded and validated by msgspec."""

import re
from typing import Annotated
from typing import Literal

import msgspec

from citrondeal.tree import schema

# In Python a `$` would also match before a trailing line feed.
ID_PATTERN = r"^[A-Za-z0-9._-]{1,128}\Z"
MAX_BASE = 2**53
MAX_REASONS_PER_ANSWER = 5

_Id = Annotated[str, msgspec.Meta(pattern=ID_PATTERN)]
_Path = Annotated[str, msgspec.Meta(max_length=256)]

# Matches the position that msgspec appends to its messages, such as
# "Expected `int` - at `$.set[...]`".
_POSITION_SUFFIX = re.compile(
    r"^(.*) - at `(?:key in )?\$\.?(.*)`$", re.DOTALL
)

# Fields of a job whose ranges are those of the tree's keys `job.<name>`.
_TREE_KEY_FIELDS = (
    "kind",
    "team",
    "priority",
    "tasks",
    "cores",
    "memory_mb",
    "accelerators",
    "run_time_s",
    "once",
    "max_restarts",
    "command",
)


# Unknown fields are refused: a mistyped one would be ignored silently.
class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/tree/edits``."""

    edit_id: _Id
    path: _Path
    base: Annotated[int, msgspec.Meta(ge=0, le=MAX_BASE)]
    set: dict[str, bool | int | float | str] = {}
    unset: list[str] = []
    delete: bool = False
    author: Annotated[str, msgspec.Meta(max_length=128)] = ""

    def __post_init__(self):
        self.path = schema.normalize_path(self.path)


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs``; ranges are those of the tree's keys."""

    path: _Path
    id: _Id | None = None
    kind: str | None = None
    team: str | None = None
    priority: str | None = None
    tasks: int | None = None
    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    run_time_s: float | None = None
    once: bool | None = None
    max_restarts: int | None = None
    command: str | None = None
    zone: Annotated[str, msgspec.Meta(max_length=64)] | None = None

    def __post_init__(self):
        self.path = schema.normalize_path(self.path)
        reasons = []
        if schema.kind_of(self.path) is not schema.PathKind.BATCH:
            reasons.append("path: should be /batch/<name>[/<leaf>]")
        for name in _TREE_KEY_FIELDS:
            value = getattr(self, name)
            if value is None:
                continue
            key = schema.KEYS[f"job.{name}"]
            value, reason = schema.check_value(key, value)
            if reason is not None:
                reasons.append(f"{name}: {reason}")
            setattr(self, name, value)
        if reasons:
            # msgspec converts this into a `msgspec.ValidationError`.
            raise ValueError("; ".join(reasons[:MAX_REASONS_PER_ANSWER]))


class LevelBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /debug/log-level``."""

    level: Literal["debug", "info", "warning", "error"]


def describe_decode_error(error):
    """Return the message of a `msgspec.DecodeError`, field name first.

    Examples
    --------
    >>> error = msgspec.ValidationError("Expected `int` - at `$.base`")
    >>> describe_decode_error(error)
    'base: Expected `int`'
    """
    text = str(error)
    if not isinstance(error, msgspec.ValidationError):
        return f"body: invalid JSON: {text}"
    found = _POSITION_SUFFIX.match(text)
    if found is None:
        return text
    return f"{found[2] or 'body'}: {found[1]}"
