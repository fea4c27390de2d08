"""The platform's settings file of a process."""

import dataclasses
import os
import tomllib

import msgspec

VARIABLE = "CITRONDEAL_SETTINGS"


class SettingsError(ValueError):
    """The settings file is missing, unreadable or incomplete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a process learns at its start.

    Attributes
    ----------
    name, zone, region, ip : str
        Identity and place of the machine.
    client_address, readiness_address, control_address : str
        ``host:port`` for clients, for readiness checks and for control;
        empty where the process does not serve them.
    first_port, last_port : int
        Ports between the machines of the system.
    store_address : str
        ``host:port`` of the metadata store.
    ticket_address : str
        ``host:port`` of the service that grants placement tickets.
    writes_per_s, reads_per_s : float
        Store calls a second of all machines together.
    cores : float
        Processor that the process may use.
    max_lease_s : float
        Longest lease of a runner's tasks.
    job_status_ttl_s : float
        How long clients may ask for the state of an ended job.
    shutdown_grace_s : float
        From SIGTERM to SIGKILL.
    """

    name: str
    zone: str
    region: str
    ip: str
    client_address: str
    readiness_address: str
    control_address: str
    first_port: int
    last_port: int
    store_address: str
    ticket_address: str
    writes_per_s: float
    reads_per_s: float
    cores: float
    max_lease_s: float
    job_status_ttl_s: float
    shutdown_grace_s: float


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct, rename="kebab"):
    cpu_share: float = 1.0
    cores: float = 1.0


class _Bounds(msgspec.Struct, rename="kebab"):
    hold_max_ms: float
    status_s: float = msgspec.field(default=120.0, name="status_s")
    grace_s: float = 6.0


class _Store(msgspec.Struct, rename="kebab"):
    address: str
    writes_per_s: float
    reads_per_s: float


class _File(msgspec.Struct, rename="kebab"):
    node: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds
    region: str = ""
    advice: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)


def path():
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment does not name one.
    """
    try:
        return os.environ[VARIABLE]
    except KeyError:
        raise SettingsError(f"{VARIABLE} is not set") from None


def load(text):
    """Return the `Settings` in the text of a settings file.

    Unknown fields are ignored.

    Raises
    ------
    SettingsError
        If the text is no TOML, or a field is missing or has a wrong type.
    """
    try:
        raw = msgspec.convert(tomllib.loads(text), _File, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise SettingsError(str(exc)) from exc
    return Settings(
        name=raw.node,
        zone=raw.zone,
        region=raw.region,
        ip=raw.ip,
        client_address=raw.listen.front,
        readiness_address=raw.listen.ready,
        control_address=raw.listen.control,
        first_port=raw.internal_port_range[0],
        last_port=raw.internal_port_range[1],
        store_address=raw.platform.address,
        ticket_address=raw.advice,
        writes_per_s=raw.platform.writes_per_s,
        reads_per_s=raw.platform.reads_per_s,
        cores=raw.limits.cpu_share * raw.limits.cores,
        max_lease_s=raw.bounds.hold_max_ms / 1000.0,
        job_status_ttl_s=raw.bounds.status_s,
        shutdown_grace_s=raw.bounds.grace_s,
    )


def read(file):
    """Return the `Settings` in a file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            return load(stream.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{file}: {exc}") from exc
