"""Heartbeat records: their contents and validation."""

import dataclasses

from citrondeal import numbers


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One valid heartbeat record.

    `holds` maps resources to epochs, `claims` to pairs of the new epoch and
    the offset of the last change of the lease (-1 if there is none), and
    `releases` to pairs of the epoch and an age in seconds or None.  With
    `relay_of` the record renews `holds` for that process.
    """

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

    The result depends on the record only, so that every replica skips the
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
    if not _is_count(get("seq")):
        return None
    maps = [get(key) for key in ("members", "holds", "claims", "releases")]
    for value, is_valid in zip(
        maps, (_is_address, _is_count, _is_claim, _is_release)
    ):
        if type(value) is not dict:
            return None
        for key, item in value.items():
            if type(key) is not str or not is_valid(item):
                return None
    return Heartbeat(*names, get("seq"), *maps, *relay)


def make(process, incarnation, address, role, seq, **fields):
    """Return a heartbeat record to append.

    Parameters
    ----------
    process, incarnation, address, role : str
    seq : int
    **fields
        Other fields of `Heartbeat`; those left out are empty.
    """
    return {
        "kind": "heartbeat",
        "process": process,
        "incarnation": incarnation,
        "address": address,
        "role": role,
        "seq": seq,
        "members": {},
        "holds": {},
        "claims": {},
        "releases": {},
        "relay_of": None,
        "relay_incarnation": None,
        **fields,
    }


def _is_address(value):
    return type(value) is str


def _is_count(value):
    return type(value) is int and value >= 0


def _is_claim(value):
    return (
        type(value) in (list, tuple)
        and len(value) == 2
        and _is_count(value[0])
        and type(value[1]) is int
        and value[1] >= -1
    )


def _is_release(value):
    return (
        type(value) in (list, tuple)
        and len(value) == 2
        and _is_count(value[0])
        and (value[1] is None or _is_duration(value[1]))
    )


def _is_duration(value):
    return numbers.is_finite(value) and value >= 0
