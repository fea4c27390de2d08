"""Validation of the settings from the metadata of their dataclasses.

The checks are plain functions: the validators of common libraries load
several MB into a daemon, which needs them for this one file
(docs/settings.md has figures).
"""

import dataclasses
import ipaddress
import math
import re
import urllib.parse

from citrondeal.config import _settings

# ASCII digits, with single underscores between them; a whole number may be
# written with a zero fraction.
_INTEGER = re.compile(r"([+-]?[0-9]+(?:_[0-9]+)*)(?:\.0+)?")


def build(cls, raw):
    """Validate text values and return the dataclass.

    Parameters
    ----------
    cls : type
        Dataclass of a program's settings.
    raw : dict of str to dict of str to str
        Known keys by section.

    Returns
    -------
    config : instance of `cls` or None
        None if there are problems.
    problems : list of (str, str, str)
        Section, key and message.
    """
    problems = []
    sections = {}
    for section in dataclasses.fields(cls):
        values, found = _section(section.type, raw[section.name])
        problems += [(section.name, *problem) for problem in found]
        if not found:
            sections[section.name] = section.type(**values)
    if problems:
        return None, problems
    return cls(**sections), []


def _section(cls, raw):
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
            values[field.name] = _value(field, text)
        except ValueError as exc:
            problems.append((field.name, f"{exc}, not {text!r}"))
    return values, problems


def _value(field, text):
    limits = field.metadata["limits"]
    if field.type is _settings.Address:
        return _address(text)
    if field.type is float:
        return _in_range(_float(text), **limits)
    if field.type is int:
        return _in_range(_integer(text), **limits)
    if "choices" in limits:
        return _choice(text, **limits)
    if field.name.endswith("_url"):
        return _url(text)
    return _text(text, **limits)


def _float(text):
    try:
        # float() would also read digits of other scripts.
        value = float(text if text.isascii() else "")
    except ValueError:
        raise ValueError("should be a valid number") from None
    if not math.isfinite(value):
        raise ValueError("should be a finite number")
    return value


def _integer(text):
    found = _INTEGER.fullmatch(text.strip())
    if found is None:
        raise ValueError("should be a valid integer")
    try:
        return int(found[1])
    except ValueError:
        # Python converts at most 4300 digits.
        raise ValueError("should be a valid integer") from None


def _in_range(value, ge=-math.inf, le=math.inf):
    if value < ge:
        raise ValueError(f"should be greater than or equal to {ge}")
    if value > le:
        raise ValueError(f"should be less than or equal to {le}")
    return value


def _choice(text, choices):
    if text not in choices:
        *first, last = map(repr, choices)
        raise ValueError(f"should be {', '.join(first)} or {last}")
    return text


def _text(text, pattern=""):
    # fullmatch, since `$` would also match before a trailing line feed.
    if pattern and not re.fullmatch(pattern, text):
        raise ValueError(f"should match pattern {pattern!r}")
    return text


def _address(text):
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


def _url(text):
    parts = urllib.parse.urlsplit(text)
    try:
        port = parts.port
    except ValueError:
        port = 0
    extra = parts.query or parts.fragment or parts.username
    if parts.scheme != "http" or not parts.hostname or port == 0 or extra:
        raise ValueError("should be a URL such as http://10.0.0.5:8400")
    return text.rstrip("/")
