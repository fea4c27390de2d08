"""Decoders of the records that the operator and the runners store."""

import dataclasses
import functools
import re
from typing import Annotated
from typing import Literal

import msgspec

from citrondeal.platform import _keys
from citrondeal import workflow

# An owner stores the entry of each worker in use, under a key with its id. A
# key has at most 255 bytes, and a record 262,144.
MAX_WORKER_ID_BYTES = 128
MAX_WORKER_BYTES = 16 * 1024
MAX_PORT = 65535
MAX_HOST_BYTES = 253  # of a name in DNS
# Larger integers are not exchanged exactly in JSON.
MAX_INTEGER = 2**53 - 1

_Quantity = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Clock = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_INTEGER))]

# Labels of a name in DNS, or an IPv4 address. Other hosts cannot be encoded.
_LABEL = r"[A-Za-z0-9_-]{1,63}"
_ADDRESS_PATTERN = re.compile(rf"({_LABEL}(?:\.{_LABEL})*):([0-9]{{1,5}})")
# An id is sent in a header, so it has neither spaces nor control characters.
_WORKER_ID_PATTERN = re.compile(rf"[!-~]{{1,{MAX_WORKER_ID_BYTES}}}")


class RecordError(ValueError):
    """A record is malformed; the message says why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """One queue of the configuration.

    Attributes
    ----------
    host, prefix : str
        Requests to this host whose paths begin with the prefix belong to
        the queue.
    policy : workflow.Policy
    public : bool
        Whether calls need no key of a client account.
    """

    host: str
    prefix: str
    policy: workflow.Policy
    public: bool = False


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
    queues : tuple of Queue
    body_limit : int
        Largest body of a client's request, in bytes.
    header_limit : int
        Largest size of the request line and the headers, in bytes.
    header_timeout_s, idle_timeout_s : float
        Time for the headers of a request, and between two requests.
    accounts : dict of str to workflow.Account
        Client accounts by name; empty if calls need no keys.
    keys : KeyTable
        Keys of these accounts.
    """

    version: int
    queues: tuple
    body_limit: int
    accounts: dict = dataclasses.field(default_factory=dict)
    keys: _keys.KeyTable = dataclasses.field(
        default_factory=_keys.KeyTable, repr=False
    )
    header_limit: int = 16_384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    @functools.cached_property
    def _by_host(self):
        """Queues of each host, the longest prefix first."""
        found = {}
        for queue in self.queues:
            found.setdefault(queue.host, []).append(queue)
        for queues in found.values():
            queues.sort(key=lambda queue: -len(queue.prefix))
        return found

    @functools.cached_property
    def services(self):
        """Service of each queue, by the name of the queue."""
        return {q.policy.queue: q.policy.service for q in self.queues}

    def authenticate(self, key):
        """Return the name of the client account of a key, or None."""
        return self.keys.find(key) if self.accounts else None

    def find(self, host, path):
        """Return the queue with the longest matching prefix, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


# Larger numbers could not be stored, and would end each owner that tries.
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Advice(msgspec.Struct, rename="kebab"):
    decide_ms: float = 0.0
    each_ms: float = 0.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: _Advice | None = None
    public: bool = False


class _Cap(msgspec.Struct, rename="kebab"):
    cpu: _Number = 0
    mem_mb: _Number = 0
    gpu: _Number = 0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    key_digests: list[str] = []
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


# Limits of 0 or less would close every connection; the configuration that
# contains one stays in force without it.
class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 262144
    max_header_bytes: int = 16384
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0

    def __post_init__(self):
        for field in msgspec.structs.fields(self):
            if getattr(self, field.name) <= 0:
                setattr(self, field.name, field.default)


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: _Quantity
    mem_mb: _Quantity
    gpu: _Quantity = 0


class _Runner(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    labels: list[str]
    clock_ms: Clock
    born: _Quantity = 0


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_RUNNER_DECODER = msgspec.json.Decoder(_Runner)


def decode_catalog(data):
    """Return the `Catalog` that the operator's record contains.

    Raises
    ------
    RecordError
        If `data` is not a valid configuration.
    """
    config = _decode(_CONFIG_DECODER, data)
    queues = tuple(
        Queue(route.host, route.path_prefix, _policy(route), route.public)
        for route in config.routes
    )
    accounts = {tenant.name: _account(tenant) for tenant in config.tenants}
    keys = _keys.KeyTable(
        (tenant.name, key_digest)
        for tenant in config.tenants
        for key_digest in (
            *tenant.key_digests,
            *map(_keys.digest, tenant.api_keys),
        )
    )
    limits = config.limits
    return Catalog(
        config.version,
        queues,
        limits.max_body_bytes,
        accounts,
        keys,
        limits.max_header_bytes,
        limits.header_timeout_ms / 1000.0,
        limits.idle_timeout_ms / 1000.0,
    )


def _account(tenant):
    cap = workflow.Size(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu)
    return workflow.Account(tenant.name, tenant.weight, cap)


def _policy(route):
    advice = route.advice or _Advice()
    return workflow.Policy(
        queue=route.name,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_s=route.target_latency_ms / 1000.0,
        ticketed=route.advice is not None,
        ticket_base_s=advice.decide_ms / 1000.0,
        ticket_each_s=advice.each_ms / 1000.0,
    )


def decode_worker(worker, data):
    """Return the `workflow.WorkerInfo` that a runner's record contains.

    The labels of a runner are its kind and its rack, in this order.

    Raises
    ------
    RecordError
        If `data` is not a valid description of a runner, or if it is too
        large to be stored.
    """
    if not _WORKER_ID_PATTERN.fullmatch(worker):
        raise RecordError(f"id {worker!r:.80} cannot be used")
    if len(data) > MAX_WORKER_BYTES:
        raise RecordError(f"entry is longer than {MAX_WORKER_BYTES} bytes")
    runner = _decode(_RUNNER_DECODER, data)
    if not _is_address(runner.address):
        raise RecordError(f"address {runner.address!r:.80} is not host:port")
    return workflow.WorkerInfo(
        worker=worker,
        address=runner.address,
        service=runner.service,
        zone=runner.zone,
        labels=tuple(runner.labels),
        rack=runner.labels[-1] if runner.labels else "",
        capacity=workflow.Size(
            runner.capacity.cpu, runner.capacity.mem_mb, runner.capacity.gpu
        ),
        draining=runner.state == "draining",
        born_ms=runner.born,
        clock_s=runner.clock_ms / 1000.0,
    )


def _is_address(text):
    """Return whether a text is ``host:port`` of a server to connect to."""
    match = _ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        return False
    host, port = match.groups()
    return len(host) <= MAX_HOST_BYTES and 1 <= int(port) <= MAX_PORT


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise RecordError(str(exc)) from exc
