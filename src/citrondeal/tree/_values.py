"""Values of the keys of the settings tree: conversion and validation."""

import math

from citrondeal.tree import _keys
from citrondeal.tree import _paths

MAX_TEXT_CHARS = 4096

# The binary values of decimal shares such as 0.7, 0.2 and 0.1 do not add up
# to exactly 1.
SHARE_TOLERANCE = 1e-9

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
    if key.type is _keys.ValueType.BOOL:
        is_valid = isinstance(value, bool)
        return (value, None) if is_valid else (None, "must be true or false")
    if key.type is _keys.ValueType.CHOICE:
        if isinstance(value, str) and value in key.choices:
            return value, None
        return None, "must be one of " + ", ".join(key.choices)
    if key.type is _keys.ValueType.NAME:
        if isinstance(value, str) and (
            not value or _paths.NAME_PATTERN.fullmatch(value)
        ):
            return value, None
        return None, "must be a name of at most 64 of [A-Za-z0-9._-], or empty"
    if key.type is _keys.ValueType.TEXT:
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
    if key.type is _keys.ValueType.INT:
        allowed = f"{key.low} to {key.high}{unit}"
        if isinstance(value, bool) or not isinstance(value, int):
            return None, f"must be a whole number, {allowed}"
    elif isinstance(value, bool) or not isinstance(value, (int, float)):
        return None, f"must be a number, {allowed}"
    # The comparison is false for NaN.  It precedes the conversion, which
    # raises OverflowError for integers beyond the range of floats.
    if not key.low <= value <= key.high:
        return None, f"must be {allowed}"
    return (float(value) if key.type is _keys.ValueType.FLOAT else value), None


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
    key = _keys.KEYS.get(name)
    if key is None or isinstance(key.default, str):
        return text
    if key.type is _keys.ValueType.BOOL:
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
