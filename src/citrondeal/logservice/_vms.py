"""The platform's lagging list of live and leaving VMs."""

import dataclasses
import json
import logging
from typing import Annotated
from typing import Literal

import msgspec
import msgspec.structs
import result

from citrondeal import errors
from citrondeal.logservice import _http
from citrondeal import telemetry

TIMEOUT = 2.0  # seconds for one read of the list

_Count = Annotated[int, msgspec.Meta(ge=0)]

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One row of the list.

    Attributes
    ----------
    id, kind, role, zone, region, rack, state : str
        Identity and place; `kind` is ``endpoint``, ``worker`` or
        ``entry``, `state` is ``live`` or ``leaving``.
    http, peer : str
        ``host:port`` for HTTP and for messages between daemons.
    service : str
        Service that an endpoint runs.
    slots, connections : int
        Concurrent requests and connections that an endpoint takes.
    cores, memory_mb, accelerators : float, int, int
        Capacity of a worker.
    """

    id: str
    kind: str
    zone: str
    region: str
    state: str = "live"
    role: str = ""
    rack: str = ""
    http: str = ""
    peer: str = ""
    service: str = ""
    slots: int = 0
    connections: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class _VmModel(msgspec.Struct):
    """Validates a row as the platform sends it; other fields are ignored."""

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    kind: Literal["endpoint", "worker", "entry"]
    zone: str
    region: str
    state: Literal["live", "leaving"] = "live"
    role: str = ""
    rack: str = ""
    http: str = ""
    peer: str = ""
    service: str = ""
    slots: _Count = 0
    connections: _Count = 0
    cores: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_mb: _Count = 0
    accelerators: _Count = 0


def parse_rows(rows):
    """Return the valid rows as `Vm` and the number of rejected ones."""
    vms = []
    rejected = 0
    for row in rows:
        try:
            model = msgspec.convert(row, _VmModel)
        except msgspec.ValidationError:
            rejected += 1
            continue
        vms.append(Vm(**msgspec.structs.asdict(model)))
    return vms, rejected


class Directory:
    """The last list received, indexed by what the daemons ask for."""

    def __init__(self):
        self._vms = {}
        self._updated_at = None

    @property
    def updated_at(self):
        """Monotonic seconds of the last list, or None before the first."""
        return self._updated_at

    def update(self, vms, now):
        """Replace the list.

        Returns
        -------
        bool
            Whether anything differs from the list before.
        """
        fresh = {vm.id: vm for vm in vms}
        changed = fresh != self._vms
        self._vms = fresh
        self._updated_at = now
        return changed

    def mark_unchanged(self, now):
        """Note that the list was still current at `now`."""
        self._updated_at = now

    def get(self, vm_id):
        """Return the VM with this id, or None."""
        return self._vms.get(vm_id)

    def select(self, kind, zone=None, role=None):
        """Return the VMs of a kind, optionally of one zone and role."""
        return [
            vm
            for vm in self._vms.values()
            if vm.kind == kind
            and (zone is None or vm.zone == zone)
            and (role is None or vm.role == role)
        ]

    def dump(self):
        """Return a JSON-ready summary for the state dump."""
        states = {}
        for vm in self._vms.values():
            key = f"{vm.kind}/{vm.zone}/{vm.state}"
            states[key] = states.get(key, 0) + 1
        return {"updated_at": self._updated_at, "counts": states}


class VmClient:
    """Reads the list; an unchanged list costs an empty answer.

    Parameters
    ----------
    base_url : str
        ``http://host:port`` of the service.
    """

    def __init__(self, base_url):
        self._http_client = _http.HttpClient(base_url, connections=1)
        self._etag = None

    @classmethod
    def from_config(cls, config):
        """Build from the ``[platform]`` settings of a daemon."""
        return cls(config.platform.vms_url)

    @property
    def traffic(self):
        """Bytes sent and received so far, with HTTP headers."""
        return self._http_client.traffic

    async def read(self):
        """Read the list once.

        Returns
        -------
        result.Result
            ``Ok(list of Vm)``, ``Ok(None)`` if unchanged since the last
            read, or ``Err`` of kind ``unavailable``.
        """
        headers = [("if-none-match", self._etag)] if self._etag else []
        outcome = await self._http_client.request(
            "GET", "/v1/vms", headers=headers, timeout_s=TIMEOUT
        )
        if outcome.is_err():
            return _unavailable(outcome.err_value.message)
        response = outcome.ok_value
        if response.status == 304:
            return result.Ok(None)
        if response.status != 200:
            return _unavailable(f"VM list answered {response.status}")
        try:
            vms, rejected = parse_rows(json.loads(response.content)["vms"])
        except (ValueError, KeyError, TypeError):
            return _unavailable("undecodable VM list")
        if rejected:
            telemetry.event(
                _LOG,
                logging.WARNING,
                "skipped invalid rows of the VM list",
                rows=rejected,
            )
        self._etag = _header(response, b"etag")
        return result.Ok(vms)

    async def aclose(self):
        """Close the connection."""
        await self._http_client.aclose()


def _header(response, name):
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def _unavailable(message):
    return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))
