"""Settings, places and actions of the routing core."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class Config:
    """Settings of routing.

    Parameters
    ----------
    region_price_ms : float
        Milliseconds of expected waiting for which one crossing of the link
        between regions is worth paying.
    attempt_timeout_s : float
        Seconds after the start of an attempt for which an endpoint may
        still run it when its outcome is unknown.
    zone_delay_s, region_delay_s : float
        One-way delay to a gateway of the same region and to one of another
        region, seconds; they bound which forwards a report already counts.
    report_region_s, report_across_s : float
        Minimum period of load reports within a region and across regions,
        seconds.
    report_refresh : int
        An unchanged report is repeated after this many periods, so that a
        silent peer can be told from an unchanged one.
    report_stale : int
        A report older than this many periods is not used; it exceeds
        `report_refresh`, so that one lost report changes nothing.
    report_change : float
        Relative change of a reported number that is worth a report; a
        change from or to zero always is.
    queue_price_ms : float
        Milliseconds of expected waiting that justify a forward to a peer
        that has no free slot but would give its next one to the class.
    spread : float
        Part of a peer's reported free slots that this gateway uses before
        the next report; the other gateways read the same report.
    fail_threshold : int
        Consecutive failed attempts after which an endpoint is avoided.
    probe_min_s, probe_max_s : float
        An avoided endpoint gets one probe after this time, which doubles
        with each failed probe from the minimum to the maximum, seconds.
    forward_limit : int
        Bound on requests in flight to one peer.
    blind_forwards : int
        Requests in flight to one peer without a report of free slots, for
        a gateway that holds no endpoint of the service.
    """

    region_price_ms: float = 60.0
    attempt_timeout_s: float = 30.0
    zone_delay_s: float = 0.0015
    region_delay_s: float = 0.020
    report_region_s: float = 0.25
    report_across_s: float = 2.0
    report_refresh: int = 4
    report_stale: int = 10
    report_change: float = 0.2
    queue_price_ms: float = 20.0
    spread: float = 0.5
    fail_threshold: int = 2
    probe_min_s: float = 0.5
    probe_max_s: float = 15.0
    forward_limit: int = 256
    blind_forwards: int = 4


class Outcome(enum.Enum):
    """End of an attempt at an endpoint.

    `DONE`: complete answer. `NOT_RUN`: the endpoint has certainly not run
    it. `UNKNOWN`: the endpoint may still run it.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the VM list and the lease describe it.

    Parameters
    ----------
    id : str
        Id in the VM list.
    service : str
        Service that it runs.
    slots, connections : int
        Limits of the endpoint.
    leaving : bool
        Whether it gets no new work.
    occupied_until : float
        Monotonic time, in seconds, until which attempts of the previous
        holder may run; nothing is sent to it before.
    """

    id: str
    service: str
    slots: int
    connections: int
    leaving: bool = False
    occupied_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocalEndpoint:
    """Endpoint of this gateway; `new_connection` if none is idle."""

    endpoint: str
    new_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Gateway to forward to; `other_region` if it is in another region."""

    process: str
    other_region: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Send the load of this gateway to a peer.

    `free` and `queued` are by service; `free` also has keys
    ``service/class`` for requests of a class that would start before the
    queue of other classes.
    """

    process: str
    free: dict
    queued: dict
