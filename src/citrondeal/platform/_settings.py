"""Reader of the settings file that the platform provides to a process."""

import dataclasses
import os
import tomllib
from typing import Annotated

import msgspec

from citrondeal import workflow

VARIABLE = "CITRONDEAL_SETTINGS"


class SettingsError(ValueError):
    """The settings file is missing, unreadable or incomplete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process on one machine.

    Attributes
    ----------
    name, zone, region, ip : str
        Name, location and address of the machine.
    client_address, readiness_address, control_address : str
        ``host:port`` on which the process serves clients, readiness checks
        and control; empty where it does not serve them.
    first_port, last_port : int
        Range of ports for connections between the machines of the system.
    store_address : str
        ``host:port`` of the metadata store.
    ticket_address : str
        ``host:port`` of the service that grants placement tickets.
    writes_per_s, reads_per_s : float
        Store calls per second of all machines together.
    cores : float
        Number of CPU cores that the process may use.
    contact_s : float
        Time without a fault after which a machine counts as in contact, in
        seconds.
    max_lease_s : float
        Longest lease of a runner's tasks, in seconds.
    job_status_ttl_s : float
        Seconds for which clients may ask for the state of an ended job.
    shutdown_grace_s : float
        Seconds from SIGTERM to SIGKILL.
    config_apply_s : float
        Seconds after which a stored configuration has to be in force.
    strict_revoke : bool
        Whether calls with keys are refused while it is not known whether the
        configuration is the newest.
    revoke_s : float
        Seconds after which this applies.
    far_factor : float
        How many times as long tasks that ask for a single rack take on
        several.
    memory_mb : int
        Memory of the machine in megabytes; 0 if the file does not give it.
    max_descriptors : int
        File descriptors that the process may open; 0 if not given.
    quota_overrun : float
        Share by which the tasks of an account may exceed its cap.
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
    contact_s: float
    max_lease_s: float
    job_status_ttl_s: float
    shutdown_grace_s: float
    config_apply_s: float
    strict_revoke: bool
    revoke_s: float
    far_factor: float
    quota_overrun: float
    memory_mb: int = 0
    max_descriptors: int = 0


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct, rename="kebab"):
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: int = 0
    max_fds: int = 0


class _Bounds(msgspec.Struct, rename="kebab"):
    hold_max_ms: float
    contact_ms: float = 4000.0
    status_s: float = msgspec.field(default=120.0, name="status_s")
    grace_s: float = 6.0
    config_apply_ms: float = 4000.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    far_x: Annotated[float, msgspec.Meta(ge=1)] = workflow.DEFAULT_FAR_FACTOR
    quota_overrun: float = 0.1


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
        If the environment variable `VARIABLE` is not set.
    """
    try:
        return os.environ[VARIABLE]
    except KeyError:
        raise SettingsError(
            f"environment variable {VARIABLE} is not set;"
            " it must name the settings file"
        ) from None


def load(text):
    """Return the `Settings` that the text of a settings file contains.

    Unknown fields are ignored.

    Raises
    ------
    SettingsError
        If the text is not TOML, or a field is missing or has a wrong type.
    """
    try:
        content = msgspec.convert(tomllib.loads(text), _File, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise SettingsError(str(exc)) from exc
    return Settings(
        name=content.node,
        zone=content.zone,
        region=content.region,
        ip=content.ip,
        client_address=content.listen.front,
        readiness_address=content.listen.ready,
        control_address=content.listen.control,
        first_port=content.internal_port_range[0],
        last_port=content.internal_port_range[1],
        store_address=content.platform.address,
        ticket_address=content.advice,
        writes_per_s=content.platform.writes_per_s,
        reads_per_s=content.platform.reads_per_s,
        cores=content.limits.cpu_share * content.limits.cores,
        contact_s=content.bounds.contact_ms / 1000.0,
        max_lease_s=content.bounds.hold_max_ms / 1000.0,
        job_status_ttl_s=content.bounds.status_s,
        shutdown_grace_s=content.bounds.grace_s,
        config_apply_s=content.bounds.config_apply_ms / 1000.0,
        strict_revoke=content.bounds.strict_revoke,
        revoke_s=content.bounds.revoke_ms / 1000.0,
        far_factor=content.bounds.far_x,
        memory_mb=content.limits.memory_mb,
        max_descriptors=content.limits.max_fds,
        quota_overrun=content.bounds.quota_overrun,
    )


def read(file):
    """Return the `Settings` that a file contains.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            return load(stream.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot read settings {file}: {exc}") from exc
