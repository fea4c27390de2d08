"""Decoders of what the operator and the runners write to the store."""

import dataclasses
import functools
from typing import Annotated
from typing import Literal

import msgspec

from citrondeal import workflow


class RecordError(ValueError):
    """A record cannot be used; the message says why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """One queue of the configuration.

    Attributes
    ----------
    host, prefix : str
        Select the queue for a request of a client.
    policy : workflow.Policy
    """

    host: str
    prefix: str
    policy: workflow.Policy


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
    queues : tuple of Queue
    body_limit : int
        Largest body of a client's request, in bytes.
    """

    version: int
    queues: tuple
    body_limit: int

    @functools.cached_property
    def _by_host(self):
        """Queues of each host, the longest prefix first."""
        found = {}
        for queue in self.queues:
            found.setdefault(queue.host, []).append(queue)
        for queues in found.values():
            queues.sort(key=lambda queue: -len(queue.prefix))
        return found

    def find(self, host, path):
        """Return the queue with the longest matching prefix, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


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


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 262144


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: Annotated[int, msgspec.Meta(ge=0)]
    mem_mb: Annotated[int, msgspec.Meta(ge=0)]
    gpu: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    labels: list[str]
    clock_ms: float
    born: int = 0


_CONFIG = msgspec.json.Decoder(_Config)
_ENTRY = msgspec.json.Decoder(_Entry)


def decode_catalog(data):
    """Return the `Catalog` in the operator's record.

    Raises
    ------
    RecordError
        If `data` is no configuration.
    """
    config = _decode(_CONFIG, data)
    queues = tuple(
        Queue(route.host, route.path_prefix, _policy(route))
        for route in config.routes
    )
    return Catalog(config.version, queues, config.limits.max_body_bytes)


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
    """Return the `workflow.WorkerInfo` in a runner's record.

    The labels of a runner are its kind and its rack, in this order.

    Raises
    ------
    RecordError
        If `data` describes no runner to use.
    """
    entry = _decode(_ENTRY, data)
    if ":" not in entry.address:
        raise RecordError(f"address {entry.address!r}")
    return workflow.WorkerInfo(
        worker=worker,
        address=entry.address,
        service=entry.service,
        zone=entry.zone,
        labels=tuple(entry.labels),
        rack=entry.labels[-1] if entry.labels else "",
        capacity=workflow.Size(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        draining=entry.state == "draining",
        born_ms=entry.born,
        clock_s=entry.clock_ms / 1000.0,
    )


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RecordError(str(exc)) from exc
