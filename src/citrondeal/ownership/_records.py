"""Validation of heartbeat records."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One valid heartbeat record."""

    process: str
    incarnation: str
    address: str
    role: str
    seq: int
    members: dict
    holds: dict
    claims: dict
    releases: dict
    relay_of: str | None
    relay_incarnation: str | None


def parse(record):
    """Return the heartbeat in `record`, or None if it is malformed.

    The verdict depends on the record only, so that every replica skips the
    same records.
    """
    if type(record) is not dict or record.get("kind") != "heartbeat":
        return None
    get = record.get
    names = (get("process"), get("incarnation"), get("address"), get("role"))
    for name in names:
        if type(name) is not str or not name:
            return None
    relay = (get("relay_of"), get("relay_incarnation"))
    if relay != (None, None):
        if type(relay[0]) is not str or type(relay[1]) is not str:
            return None
    if not _count(get("seq")):
        return None
    maps = [get(key) for key in ("members", "holds", "claims", "releases")]
    for value, valid in zip(maps, (_address, _count, _claim, _release)):
        if type(value) is not dict:
            return None
        for key, item in value.items():
            if type(key) is not str or not valid(item):
                return None
    return Heartbeat(*names, get("seq"), *maps, *relay)


def _address(value):
    return type(value) is str


def _count(value):
    return type(value) is int and value >= 0


def _claim(value):
    return (
        type(value) in (list, tuple)
        and len(value) == 2
        and _count(value[0])
        and type(value[1]) is int
        and value[1] >= -1
    )


def _release(value):
    return (
        type(value) in (list, tuple)
        and len(value) == 2
        and _count(value[0])
        and (value[1] is None or _seconds(value[1]))
    )


def _seconds(value):
    return type(value) in (int, float) and math.isfinite(value) and value >= 0
