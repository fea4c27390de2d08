"""Client of the platform's VM list, and the last list read.

The list lags behind the VMs.
"""

import dataclasses
import json
import logging
import math
from typing import Annotated
from typing import Literal

import msgspec
import msgspec.structs
import result

from citrondeal import errors
from citrondeal.logservice import _http
from citrondeal import telemetry

READ_TIMEOUT_S = 2.0
# Age of a list that may deny a VM. It is read each second; the rest is for
# slow calls and a busy process.
MAX_LIST_AGE_S = 2.5

# Larger numbers of slots, summed, do not fit into a message between daemons.
MAX_SLOTS = 1_000_000
# Larger integers are not exchanged exactly in JSON.
MAX_INTEGER = 2**53 - 1

# An id is a part of messages and of names, so it has neither spaces nor
# characters without a form in UTF-8.
_Id = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}\Z")]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Cores = Annotated[float, msgspec.Meta(ge=0, le=float(MAX_INTEGER))]

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One row of the VM list.

    Attributes
    ----------
    id, kind, role, zone, region, rack, state : str
        Identity and location; `kind` is ``endpoint``, ``worker`` or
        ``entry``, `state` is ``live`` or ``leaving``.
    http, peer : str
        ``host:port`` for HTTP and for messages between daemons.
    service : str
        Service that an endpoint runs.
    slots, connections : int
        Most concurrent requests and connections that an endpoint accepts.
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


class _VmRow(msgspec.Struct):
    """A row as the platform sends it, for validation.

    Unknown fields are ignored.
    """

    id: _Id
    kind: Literal["endpoint", "worker", "entry"]
    zone: str
    region: str
    state: Literal["live", "leaving"] = "live"
    role: str = ""
    rack: str = ""
    http: str = ""
    peer: str = ""
    service: str = ""
    slots: _Slots = 0
    connections: _Slots = 0
    cores: _Cores = 0.0
    memory_mb: _Count = 0
    accelerators: _Count = 0


def parse_rows(rows):
    """Return the valid rows as list of `Vm` and the number of invalid ones."""
    vms = []
    invalid = 0
    for row in rows:
        try:
            model = msgspec.convert(row, _VmRow)
        except msgspec.ValidationError:
            invalid += 1
            continue
        vms.append(Vm(**msgspec.structs.asdict(model)))
    return vms, invalid


class Directory:
    """The last VM list received, with look-ups by id, kind, zone and role."""

    def __init__(self):
        self._vms = {}
        self._updated_at = None
        self._requested_at = -math.inf

    @property
    def updated_at(self):
        """Monotonic seconds at which the list was last known to be current.

        None before the first list.
        """
        return self._updated_at

    def update(self, vms, now):
        """Replace the list.

        Parameters
        ----------
        vms : iterable of Vm
            All rows of the new list.
        now : float
            Time of the list in monotonic seconds.

        Returns
        -------
        bool
            Whether the new list differs from the previous one.
        """
        new_vms = {vm.id: vm for vm in vms}
        changed = new_vms != self._vms
        self._vms = new_vms
        self._updated_at = now
        return changed

    def mark_unchanged(self, now):
        """Record that the list was still current at `now`."""
        self._updated_at = now

    def mark_requested(self, requested_at):
        """Record when the last read that was answered was sent.

        Parameters
        ----------
        requested_at : float
            `lifecycle.boot_time_s` before the read.
        """
        self._requested_at = requested_at

    def may_deny(self, now):
        """Whether what the list lacks may be answered as unknown.

        Parameters
        ----------
        now : float
            Current `lifecycle.boot_time_s`.
        """
        return now - self._requested_at <= MAX_LIST_AGE_S

    def get(self, vm_id):
        """Return the VM with this id, or None."""
        return self._vms.get(vm_id)

    def select(self, kind, zone=None, role=None):
        """Return the VMs of a kind, optionally only of one zone or role."""
        return [
            vm
            for vm in self._vms.values()
            if vm.kind == kind
            and (zone is None or vm.zone == zone)
            and (role is None or vm.role == role)
        ]

    def dump(self):
        """Return a summary for the state dump, ready for JSON."""
        counts = {}
        for vm in self._vms.values():
            key = f"{vm.kind}/{vm.zone}/{vm.state}"
            counts[key] = counts.get(key, 0) + 1
        return {"updated_at": self._updated_at, "counts": counts}


class VmClient:
    """Reads the VM list; the answer is empty while the list is unchanged.

    Parameters
    ----------
    base_url : str
        ``http://host:port`` of the VM list service.
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
            ``Ok(list of Vm)`` without invalid rows, ``Ok(None)`` if the
            list is unchanged since the last read, or ``Err`` of kind
            ``unavailable``.
        """
        headers = [("if-none-match", self._etag)] if self._etag else []
        outcome = await self._http_client.request(
            "GET", "/v1/vms", headers=headers, timeout_s=READ_TIMEOUT_S
        )
        if outcome.is_err():
            return _unavailable(outcome.err_value.message)
        response = outcome.ok_value
        if response.status == 304:
            return result.Ok(None)
        if response.status != 200:
            return _unavailable(
                f"VM list service answered with status {response.status},"
                " expected 200 or 304"
            )
        try:
            vms, invalid = parse_rows(json.loads(response.content)["vms"])
        except (ValueError, KeyError, RecursionError, TypeError):
            return _unavailable(
                "answer of the VM list service cannot be decoded"
            )
        if invalid:
            telemetry.event(
                _LOG,
                logging.WARNING,
                "skipped invalid rows of the VM list",
                rows=invalid,
            )
        self._etag = _header_value(response, b"etag")
        return result.Ok(vms)

    async def aclose(self):
        """Close the connection."""
        await self._http_client.aclose()


def _header_value(response, name):
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def _unavailable(message):
    return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))
