"""Validation of the settings by the metadata of their dataclasses.

The checks are plain functions, because a validation library would load 5 to
17 MB into each daemon, which would use it for its settings file only.
"""

import dataclasses
import ipaddress
import math
import re
import urllib.parse

from citrondeal.config import _settings

# ASCII digits, optionally with single underscores between them; the fraction
# may only be zero.
_INTEGER_PATTERN = re.compile(r"([+-]?[0-9]+(?:_[0-9]+)*)(?:\.0+)?")


def build(cls, raw):
    """Validate the text values of a file and build the settings from them.

    Parameters
    ----------
    cls : type
        Dataclass of a program's settings.
    raw : dict of str to dict of str to str
        Text of each known key, by section and key.

    Returns
    -------
    config : instance of `cls` or None
        None if there are problems.
    problems : list of (str, str, str)
        Section, key and message of each problem.
    """
    problems = []
    sections = {}
    for section in dataclasses.fields(cls):
        values, found = _parse_section(section.type, raw[section.name])
        problems += [(section.name, *problem) for problem in found]
        if not found:
            sections[section.name] = section.type(**values)
    if problems:
        return None, problems
    return cls(**sections), []


def _parse_section(cls, raw):
    """Return the values of one section and the problems found in it."""
    values = {}
    problems = []
    for field in dataclasses.fields(cls):
        if field.name not in raw:
            if field.default is dataclasses.MISSING:
                problems.append((field.name, "is required"))
            continue
        text = raw[field.name]
        try:
            values[field.name] = _parse_value(field, text)
        except ValueError as exc:
            problems.append((field.name, f"{exc}, not {text!r}"))
    return values, problems


def _parse_value(field, text):
    limits = field.metadata["limits"]
    if field.type is _settings.Address:
        return _parse_address(text)
    if field.type is float:
        return _check_range(_parse_float(text), **limits)
    if field.type is int:
        return _check_range(_parse_integer(text), **limits)
    if "choices" in limits:
        return _check_choice(text, **limits)
    if field.name.endswith("_url"):
        return _parse_url(text)
    return _check_pattern(text, **limits)


def _parse_float(text):
    try:
        # float() would also accept digits of other scripts.
        value = float(text if text.isascii() else "")
    except ValueError:
        raise ValueError("should be a valid number") from None
    if not math.isfinite(value):
        raise ValueError("should be a finite number")
    return value


def _parse_integer(text):
    found = _INTEGER_PATTERN.fullmatch(text.strip())
    if found is None:
        raise ValueError("should be a valid integer")
    try:
        return int(found[1])
    except ValueError:
        # int() accepts at most 4300 digits by default.
        raise ValueError("should be a valid integer") from None


def _check_range(value, ge=-math.inf, le=math.inf):
    if value < ge:
        raise ValueError(f"should be greater than or equal to {ge}")
    if value > le:
        raise ValueError(f"should be less than or equal to {le}")
    return value


def _check_choice(text, choices):
    if text not in choices:
        *first, last = map(repr, choices)
        raise ValueError(f"should be {', '.join(first)} or {last}")
    return text


def _check_pattern(text, pattern=""):
    # fullmatch, because `$` also matches before a trailing line feed.
    if pattern and not re.fullmatch(pattern, text):
        raise ValueError(f"should match pattern {pattern!r}")
    return text


def _parse_address(text):
    host, separator, port = str(text).rpartition(":")
    if not separator or not port.isdecimal() or not port.isascii():
        raise ValueError("should be <IP address>:<port>")
    if not 1 <= int(port) <= 65535:
        raise ValueError("the port should be 1 to 65535")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("should be <IP address>:<port>") from None
    if address.is_unspecified:
        # Other processes connect to the address given here.
        raise ValueError("should be an address that others can connect to")
    return _settings.Address(str(address), int(port))


def _parse_url(text):
    parts = urllib.parse.urlsplit(text)
    try:
        port = parts.port
    except ValueError:
        port = 0
    unsupported_part = parts.query or parts.fragment or parts.username
    if (
        parts.scheme != "http"
        or not parts.hostname
        or port == 0
        or unsupported_part
    ):
        raise ValueError("should be a URL such as http://10.0.0.5:8400")
    return text.rstrip("/")
