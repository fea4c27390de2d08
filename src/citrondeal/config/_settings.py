"""Dataclasses of the settings, with the range and meaning of each key.

The dataclasses are the only list of keys: `_validation` validates by the
metadata of their fields, so that no second list can differ from them.
"""

import dataclasses
import math

# A request is forwarded to another gateway in one peer frame of at most
# 2 MiB, of which 64 KiB are reserved for headers and the envelope.
MAX_BODY_BYTES = 2 * 1024 * 1024 - 64 * 1024

# The clocks of two processes may run at different rates, so a claimant waits
# the lease's time to live multiplied by this factor.
CLOCK_RATE_FACTOR = 1.05

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
LOG_LEVELS = ("debug", "info", "warning", "error")


def _setting(meaning, default=dataclasses.MISSING, **limits):
    """Return the dataclass field of a setting.

    Parameters
    ----------
    meaning : str
        Description of the setting, which the documentation repeats.
    default : optional
        Default value; without it, the setting is required.
    **limits
        Restrictions of the value: ``ge`` and ``le`` (numbers), ``choices``
        (sequence of str) or ``pattern`` (regular expression).
    """
    return dataclasses.field(
        default=default, metadata={"meaning": meaning, "limits": limits}
    )


def _seconds_setting(meaning, default, low, high):
    return _setting(meaning, default, ge=low, le=high)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port.

    Examples
    --------
    >>> str(Address("10.0.0.7", 8080))
    '10.0.0.7:8080'
    """

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Section ``[process]``."""

    name: str = _setting(
        "stable name; a replacement VM takes over the name",
        pattern=NAME_PATTERN,
    )
    zone: str = _setting("availability zone", pattern=NAME_PATTERN)
    region: str = _setting("region of the zone", pattern=NAME_PATTERN)


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Section ``[listen]``."""

    http: Address = _setting("IP address and port of the HTTP server")
    peer: Address = _setting(
        "IP address and port for other daemons, which connect to exactly "
        "this address"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Section ``[platform]``."""

    log_url: str = _setting("base URL of the log service")
    vms_url: str = _setting("base URL of the VM list service")


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerLimits:
    """Section ``[limits]`` of the scheduler; sizes in bytes."""

    body_bytes: int = _setting(
        "largest accepted body", 1024 * 1024, ge=1024, le=MAX_BODY_BYTES
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Section ``[limits]`` of the gateway; sizes in bytes."""

    body_bytes: int = _setting(
        "largest accepted body", 1024 * 1024, ge=1024, le=MAX_BODY_BYTES
    )
    queue_requests: int = _setting(
        "requests in all queues together", 2000, ge=1, le=1_000_000
    )
    queue_bytes: int = _setting(
        "bodies in all queues together",
        4 * 1024 * 1024,
        ge=1024,
        le=1024**3,
    )
    answer_cache_bytes: int = _setting(
        "answers kept for resubmissions",
        2 * 1024 * 1024,
        ge=0,
        le=1024**3,
    )
    ids: int = _setting(
        "request ids remembered at once", 30_000, ge=100, le=10_000_000
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayLeases:
    """Section ``[leases]`` of the gateway; times in seconds."""

    renew_period_s: float = _seconds_setting(
        "period of the heartbeat record that renews all leases", 1.0, 0.05, 60
    )
    ttl_s: float = _seconds_setting(
        "validity of a lease after the send time of a renewal", 4.0, 0.2, 600
    )
    margin_s: float = _seconds_setting(
        "wait of a claimant beyond the end of the lease", 0.5, 0.01, 60
    )
    promise_ttl_s: float = _seconds_setting(
        "validity of a promise not to claim", 4.0, 0.2, 600
    )
    outage_limit_s: float = _seconds_setting(
        "longest validity by promises alone", 3600.0, 1, 86400
    )
    claim_stagger_s: float = _seconds_setting(
        "wait of the second-best claimant, of the third twice as long, ...",
        0.2,
        0,
        60,
    )
    rebalance_after_s: float = _seconds_setting(
        "time for which a better-placed member is seen before a holder "
        "hands a resource over to it",
        10.0,
        0.1,
        3600,
    )

    @property
    def takeover_s(self):
        """Seconds from a holder's last renewal to the first claim.

        This is the wait of the best-placed claimant; each further one also
        waits for its stagger.
        """
        return self.ttl_s * CLOCK_RATE_FACTOR + self.margin_s


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerLeases(GatewayLeases):
    """Section ``[leases]`` of the scheduler; times in seconds."""

    task_ttl_s: float = _seconds_setting(
        "lease of a running task, renewed at each exchange", 30.0, 1, 3600
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Workers:
    """Section ``[workers]``; times in seconds."""

    period_s: float = _seconds_setting(
        "period of the exchange with each worker", 1.0, 0.05, 60
    )
    timeout_s: float = _seconds_setting(
        "time after which an exchange has failed", 2.0, 0.05, 60
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoints:
    """Section ``[endpoints]``; times in seconds."""

    connect_timeout_s: float = _seconds_setting(
        "time to open a connection to an endpoint", 1.0, 0.01, 60
    )
    silent_after_s: float = _seconds_setting(
        "time without progress after which a connection is closed",
        10.0,
        0.1,
        3600,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Section ``[drain]``; times in seconds."""

    limit_s: float = _seconds_setting(
        "longest duration of a graceful shutdown", 30.0, 1, 3600
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Logging:
    """Section ``[logging]``."""

    level: str = _setting(
        "lowest level that is logged", "info", choices=LOG_LEVELS
    )


class _FromFile:
    """Loading of settings from a file, for all programs."""

    __slots__ = ()

    @classmethod
    def from_file(cls, path):
        """Read and validate a settings file.

        Parameters
        ----------
        path : str or os.PathLike
            INI file in UTF-8.

        Returns
        -------
        GatewayConfig or SchedulerConfig
            Instance of the class.

        Raises
        ------
        ConfigError
            With every problem found in the file.
        """
        # Imported here because _load imports this module.
        from citrondeal.config import _load

        return _load.load(cls, path)


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfig(_FromFile):
    """Settings of ``citrondeal-gateway``."""

    process: Process
    listen: Listen
    platform: Platform
    limits: GatewayLimits = dataclasses.field(default_factory=GatewayLimits)
    leases: GatewayLeases = dataclasses.field(default_factory=GatewayLeases)
    endpoints: Endpoints = dataclasses.field(default_factory=Endpoints)
    drain: Drain = dataclasses.field(default_factory=Drain)
    logging: Logging = dataclasses.field(default_factory=Logging)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerConfig(_FromFile):
    """Settings of ``citrondeal-scheduler``."""

    process: Process
    listen: Listen
    platform: Platform
    limits: SchedulerLimits = dataclasses.field(
        default_factory=SchedulerLimits
    )
    leases: SchedulerLeases = dataclasses.field(
        default_factory=SchedulerLeases
    )
    workers: Workers = dataclasses.field(default_factory=Workers)
    drain: Drain = dataclasses.field(default_factory=Drain)
    logging: Logging = dataclasses.field(default_factory=Logging)


PROGRAMS = {"gateway": GatewayConfig, "scheduler": SchedulerConfig}


def find_conflicts(config):
    """Find settings that are valid by themselves but not together.

    Parameters
    ----------
    config : GatewayConfig or SchedulerConfig
        Settings of which each is valid by itself.

    Returns
    -------
    list of (str, str, str)
        Section, key and message of each problem.
    """
    leases = config.leases
    limits = config.limits
    listen = config.listen
    checks = [
        (
            listen.http != listen.peer,
            "listen",
            "peer",
            "must differ from http",
        ),
        (
            leases.renew_period_s < leases.ttl_s / 3,
            "leases",
            "renew_period_s",
            f"must be under a third of ttl_s ({leases.ttl_s:g}), so that two "
            "lost renewals do not end a lease",
        ),
        (
            leases.renew_period_s < leases.promise_ttl_s / 3,
            "leases",
            "promise_ttl_s",
            "must be over three times renew_period_s "
            f"({leases.renew_period_s:g})",
        ),
        (
            leases.outage_limit_s >= leases.ttl_s,
            "leases",
            "outage_limit_s",
            f"must be at least ttl_s ({leases.ttl_s:g})",
        ),
        (
            leases.rebalance_after_s >= leases.ttl_s,
            "leases",
            "rebalance_after_s",
            f"must be at least ttl_s ({leases.ttl_s:g}), so that a member "
            "that fails right after its start receives nothing",
        ),
    ]
    if isinstance(config, GatewayConfig):
        checks += _gateway_checks(limits, config.endpoints)
    else:
        checks += _scheduler_checks(leases, config.workers)
    return [check[1:] for check in checks if not check[0]]


def _gateway_checks(limits, endpoints):
    return [
        (
            limits.queue_bytes >= limits.body_bytes,
            "limits",
            "queue_bytes",
            f"must be at least body_bytes ({limits.body_bytes})",
        ),
        (
            endpoints.connect_timeout_s <= endpoints.silent_after_s,
            "endpoints",
            "connect_timeout_s",
            f"must not exceed silent_after_s ({endpoints.silent_after_s:g})",
        ),
    ]


def _scheduler_checks(leases, workers):
    min_task_ttl_s = leases.ttl_s + leases.takeover_s + leases.claim_stagger_s
    exchange_s = workers.period_s + workers.timeout_s
    return [
        (
            leases.task_ttl_s > min_task_ttl_s,
            "leases",
            "task_ttl_s",
            f"must exceed {math.ceil(min_task_ttl_s * 100) / 100:g} "
            "(ttl_s plus the time of a takeover), so that the failure of a "
            "pool owner ends no task",
        ),
        (
            leases.task_ttl_s > 3 * exchange_s,
            "workers",
            "timeout_s",
            "three failed exchanges (period_s plus timeout_s) must fit in "
            f"leases.task_ttl_s ({leases.task_ttl_s:g})",
        ),
    ]
