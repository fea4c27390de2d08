"""Settings, choices and actions of routing."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class Config:
    """Settings of routing.

    Parameters
    ----------
    region_price_ms : float
        Expected wait, milliseconds, above which a request may be forwarded
        to another region.  With any wait it may be forwarded there if this
        gateway holds no endpoint and no peer of its region accepts requests.
    attempt_timeout_s : float
        Seconds after the start of an attempt for which an endpoint may
        still run it when its outcome is unknown.
    zone_delay_s, region_delay_s : float
        One-way delay to a gateway of the same region and to one of another
        region, seconds.  They decide which forwards a load report includes.
    report_period_same_region_s, report_period_other_region_s : float
        Minimum period of load reports to gateways of the same region and of
        other regions, seconds.
    report_refresh_periods : int
        An unchanged report is repeated after this many periods, so that an
        unchanged peer can be told from one that has failed.
    report_stale_periods : int
        A report older than this many periods is not used.  The number
        exceeds `report_refresh_periods`, so that one lost report has no
        effect.
    report_change_fraction : float
        Relative change of a reported number that causes a report; a change
        from or to zero always does.
    queue_price_ms : float
        Expected wait, milliseconds, above which a request may be forwarded
        to a peer that has no free slot but would assign its next one to the
        class of the request.
    free_slot_fraction : float
        Part of a peer's reported free slots that this gateway uses before
        the next report, because other gateways use the same report.
    failure_threshold : int
        Consecutive failed attempts after which an endpoint is avoided.
    probe_min_s, probe_max_s : float
        Seconds after which an avoided endpoint gets one attempt as a probe.
        The time doubles with each failed probe, from the minimum to the
        maximum.
    forward_limit : int
        Bound on requests in flight to one peer.
    speculative_forward_limit : int
        Bound on requests in flight to one peer that reports no free slot,
        for a gateway that holds no endpoint of the service.
    """

    region_price_ms: float = 60.0
    attempt_timeout_s: float = 30.0
    zone_delay_s: float = 0.0015
    region_delay_s: float = 0.020
    report_period_same_region_s: float = 0.25
    report_period_other_region_s: float = 2.0
    report_refresh_periods: int = 4
    report_stale_periods: int = 10
    report_change_fraction: float = 0.2
    queue_price_ms: float = 20.0
    free_slot_fraction: float = 0.5
    failure_threshold: int = 2
    probe_min_s: float = 0.5
    probe_max_s: float = 15.0
    forward_limit: int = 256
    speculative_forward_limit: int = 4


class Outcome(enum.Enum):
    """Outcome of an attempt at an endpoint.

    `DONE`: a complete answer came. `NOT_RUN`: the endpoint has certainly not
    run the request. `UNKNOWN`: the endpoint may have run it or may still do.
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
        Whether it gets no new requests.
    occupied_until : float
        Monotonic time, in seconds, until which attempts of the previous
        holder may still run; nothing is sent to the endpoint before.
    """

    id: str
    service: str
    slots: int
    connections: int
    leaving: bool = False
    occupied_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocalEndpoint:
    """Endpoint held by this gateway; `new_connection` if none is idle."""

    endpoint: str
    new_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Gateway to forward to; `other_region` if it is in another region."""

    process: str
    other_region: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Action: send the load of this gateway to a peer.

    `free` has the free slots and `queued` the queued requests by service.
    `free` also has, under keys ``service/class``, how many more requests of
    the class would be served before the queued ones of other classes.
    """

    process: str
    free: dict
    queued: dict
