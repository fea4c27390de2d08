"""Zones, daemons and VM list rows of a cell on loopback."""

import dataclasses
import subprocess

ENDPOINT_SLOTS = 8
ENDPOINT_CONNECTIONS = 64
WORKER_CORES = 32
WORKER_MEMORY_MB = 131072
WORKERS_PER_RACK = 8


@dataclasses.dataclass(frozen=True)
class Zone:
    """One availability zone of a cell and its sizes.

    Parameters
    ----------
    name, region : str
        Name of the zone and of the region that it belongs to.
    entries : int
        Entry VMs; a gateway and a scheduler run on each.
    endpoints, workers : int
        Endpoint VMs and workers.
    accelerators : int
        Accelerators of each worker.
    """

    name: str
    region: str
    entries: int
    endpoints: int
    workers: int
    accelerators: int = 0


# The sizes of the Lanework cell.
DEFAULT_ZONES = (
    Zone("bkk-a", "bkk", 2, 9, 9),
    Zone("bkk-b", "bkk", 2, 8, 8),
    Zone("cnx-a", "cnx", 2, 8, 8),
)


@dataclasses.dataclass
class Daemon:
    """One daemon of the cell.

    Parameters
    ----------
    name : str
    role : str
        ``gateway`` or ``scheduler``.
    zone : Zone
    http, peer : str
        Addresses (``host:port``) for callers and for other daemons.
    process : subprocess.Popen or None
        None while the daemon is not started.
    """

    name: str
    role: str
    zone: Zone
    http: str
    peer: str
    process: subprocess.Popen | None = None


def entry_row(daemon):
    """Return the row of a daemon in the VM list."""
    return _row(
        daemon.name,
        "entry",
        daemon.http,
        daemon.zone,
        role=daemon.role,
        peer=daemon.peer,
    )


def endpoint_row(name, address, zone, service):
    """Return the row of an endpoint in the VM list."""
    return _row(
        name,
        "endpoint",
        address,
        zone,
        service=service,
        slots=ENDPOINT_SLOTS,
        connections=ENDPOINT_CONNECTIONS,
    )


def worker_row(name, address, zone, index):
    """Return the row of the worker at an index of its zone."""
    return _row(
        name,
        "worker",
        address,
        zone,
        rack=f"{zone.name}-r{index // WORKERS_PER_RACK}",
        cores=WORKER_CORES,
        memory_mb=WORKER_MEMORY_MB,
        accelerators=zone.accelerators,
    )


def _row(name, kind, address, zone, **fields):
    return {
        "id": name,
        "kind": kind,
        "zone": zone.name,
        "region": zone.region,
        "state": "live",
        "http": address,
        **fields,
    }
