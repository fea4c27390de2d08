"""pydantic models of the settings, built from the dataclasses.

Only `_load.load` imports this module, because pydantic is needed only while
a file is loaded.
"""

import dataclasses
import ipaddress
import typing
import urllib.parse

import pydantic

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
        model = _model_of(section.type)
        try:
            values = model.model_validate(raw[section.name])
        except pydantic.ValidationError as exc:
            problems += [
                (section.name, str(error["loc"][0]), _message(error))
                for error in exc.errors()
            ]
            continue
        sections[section.name] = section.type(
            **{name: getattr(values, name) for name in values.model_fields_set}
        )
    if problems:
        return None, problems
    return cls(**sections), []


def _model_of(section):
    fields = {}
    for field in dataclasses.fields(section):
        limits = dict(field.metadata["limits"])
        kind = field.type
        if field.type is _settings.Address:
            kind = typing.Annotated[
                _settings.Address, pydantic.BeforeValidator(_address)
            ]
        elif "enum" in limits:
            kind = typing.Literal[limits.pop("enum")]
        elif field.name.endswith("_url"):
            kind = typing.Annotated[str, pydantic.AfterValidator(_url)]
        elif field.type is float:
            limits["allow_inf_nan"] = False
        required = field.default is dataclasses.MISSING
        default = ... if required else field.default
        fields[field.name] = (kind, pydantic.Field(default, **limits))
    return pydantic.create_model(section.__name__, **fields)


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
