"""Validation of the settings with pydantic's core.

The schemas are built from the dataclasses.  They are given to `pydantic_core`
directly: defining a model class loads another 12 MB into a daemon, and
memory does not come back when the modules are dropped (bench/tree.py).
Only `_load.load` imports this module, after a file has been parsed.
"""

import dataclasses
import ipaddress
import urllib.parse

import pydantic_core
from pydantic_core import core_schema

from citrondeal.config import _settings


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
        validator = pydantic_core.SchemaValidator(_schema_of(section.type))
        try:
            values = validator.validate_python(raw[section.name])
        except pydantic_core.ValidationError as exc:
            problems += [
                (section.name, str(error["loc"][0]), _message(error))
                for error in exc.errors()
            ]
            continue
        sections[section.name] = section.type(**values)
    if problems:
        return None, problems
    return cls(**sections), []


def _schema_of(section):
    fields = {}
    for field in dataclasses.fields(section):
        fields[field.name] = core_schema.typed_dict_field(
            _value_schema(field, field.metadata["limits"]),
            required=field.default is dataclasses.MISSING,
        )
    return core_schema.typed_dict_schema(fields, extra_behavior="forbid")


def _value_schema(field, limits):
    if field.type is _settings.Address:
        return core_schema.no_info_plain_validator_function(_address)
    if field.type is float:
        return core_schema.float_schema(allow_inf_nan=False, **limits)
    if field.type is int:
        return core_schema.int_schema(**limits)
    if "choices" in limits:
        return core_schema.literal_schema(list(limits["choices"]))
    if field.name.endswith("_url"):
        return core_schema.no_info_after_validator_function(
            _url, core_schema.str_schema()
        )
    return core_schema.str_schema(**limits)


def _message(error):
    if error["type"] == "missing":
        return "is required"
    text = error["msg"].removeprefix("Value error, ")
    return f"{text[0].lower()}{text[1:]}, not {error['input']!r}"


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
