"""pydantic models of the bodies that operators send."""

import typing

import pydantic

from citrondeal.tree import schema

ID_PATTERN = r"^[A-Za-z0-9._-]{1,128}$"
BASE_LIMIT = 2**53

_Value = (
    pydantic.StrictBool
    | pydantic.StrictInt
    | pydantic.StrictFloat
    | pydantic.StrictStr
)


class _Body(pydantic.BaseModel):
    """Refuses unknown fields, so that a mistyped one is not ignored."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class EditBody(_Body):
    """Body of ``POST /v1/tree/edits``."""

    edit_id: str = pydantic.Field(pattern=ID_PATTERN)
    path: str = pydantic.Field(max_length=256)
    base: int = pydantic.Field(ge=0, le=BASE_LIMIT)
    set: dict[str, _Value] = {}
    unset: list[str] = []
    delete: bool = False
    author: str = pydantic.Field(default="", max_length=128)

    @pydantic.field_validator("path")
    @classmethod
    def _normalize(cls, path):
        return schema.normalize_path(path)


class JobBody(_Body):
    """Body of ``POST /v1/jobs``; ranges are those of the tree's keys."""

    path: str = pydantic.Field(max_length=256)
    id: str | None = pydantic.Field(default=None, pattern=ID_PATTERN)
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
    zone: str | None = pydantic.Field(default=None, max_length=64)

    @pydantic.field_validator("path")
    @classmethod
    def _batch_path(cls, path):
        path = schema.normalize_path(path)
        if schema.kind_of(path) is not schema.PathKind.BATCH:
            raise ValueError("should be /batch/<name>[/<leaf>]")
        return path

    @pydantic.field_validator(
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
    @classmethod
    def _range(cls, value, info):
        if value is None:
            return None
        key = schema.KEYS[f"job.{info.field_name}"]
        value, reason = schema.check_value(key, value)
        if reason is not None:
            raise ValueError(reason)
        return value


class LevelBody(_Body):
    """Body of ``POST /debug/log-level``."""

    level: typing.Literal["debug", "info", "warning", "error"]


def reason_of(error):
    """Return one sentence for a `pydantic.ValidationError`."""
    parts = []
    for item in error.errors(include_url=False, include_context=False)[:5]:
        place = ".".join(str(part) for part in item["loc"][:2]) or "body"
        parts.append(f"{place}: {item['msg'].removeprefix('Value error, ')}")
    return "; ".join(parts)
