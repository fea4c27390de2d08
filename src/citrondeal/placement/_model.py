"""Input and output types of the placement core, and resource vectors."""

import dataclasses
import math

PRIORITIES = ("urgent", "normal", "low")  # most urgent first
# Resource vectors hold integers (cores in 1/1000), so that sums stay exact
# after any number of starts and releases.
MILLICORES_PER_CORE = 1000


def size_of(cores, memory_mb, accelerators):
    """Return the resource vector of a request, rounded up to integers.

    Parameters
    ----------
    cores : float
        Number of cores.
    memory_mb : float
        Memory in MB.
    accelerators : float
        Number of accelerators.

    Returns
    -------
    tuple of int
        Cores in 1/1000, memory in MB, accelerators.
    """
    # The small constant keeps the rounding error of a product from adding a
    # whole unit: 4.03 * 1000 is 4030.0000000000005.
    return (
        math.ceil(cores * MILLICORES_PER_CORE - 1e-6),
        math.ceil(memory_mb - 1e-6),
        math.ceil(accelerators - 1e-6),
    )


def capacity_of(cores, memory_mb, accelerators):
    """Return the resource vector of a capacity, rounded down to integers.

    Parameters
    ----------
    cores : float
        Number of cores.
    memory_mb : float
        Memory in MB.
    accelerators : float
        Number of accelerators.

    Returns
    -------
    tuple of int
        Cores in 1/1000, memory in MB, accelerators.
    """
    return (
        math.floor(cores * MILLICORES_PER_CORE + 1e-6),
        math.floor(memory_mb + 1e-6),
        math.floor(accelerators + 1e-6),
    )


def fits(size, available):
    """Return whether `size` fits into `available` in every dimension.

    A size without accelerators also fits where accelerators are held that
    are not free yet, so that their available number is negative.
    """
    return (
        size[0] <= available[0]
        and size[1] <= available[1]
        and (not size[2] or size[2] <= available[2])
    )


def count_fitting(size, available, limit):
    """Return how often `size` fits into `available`, at most `limit`."""
    count = limit
    for part, whole in zip(size, available, strict=True):
        if part > 0:
            count = min(count, whole // part)
    return max(count, 0)


def add(left, right):
    """Return the sum of two resource vectors."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def subtract(left, right):
    """Return the difference of two resource vectors."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2])


def dominant_share(size, total):
    """Return the dominant share: the largest part of `total` in `size`.

    A resource that is in `size` but not in `total` counts as 1.
    """
    share = 0.0
    for part, whole in zip(size, total, strict=True):
        if part > 0:
            share = max(share, part / whole if whole > 0 else 1.0)
    return share


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Properties of a job that the placement core needs.

    Parameters
    ----------
    job : str
        Job id.
    family : str
        Jobs of one family are expected to behave alike, so that usage, run
        times and failures are tracked per family; usually the path in the
        settings tree.
    team : str
        Team whose quota and weight apply.
    priority : str
        One of `PRIORITIES`.
    kind : str
        ``batch``, ``service`` or ``gang``.
    size : tuple of int
        Request of one task, see `size_of`.
    run_time_s : float or None
        Declared run time of a task in seconds; None for services.
    once : bool
        Whether tasks must run at most once.  They are never preempted, nor
        used to probe quarantined workers or to backfill a reservation.
    """

    job: str
    family: str = ""
    team: str = ""
    priority: str = "normal"
    kind: str = "batch"
    size: tuple = (0, 0, 0)
    run_time_s: float | None = None
    once: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The task ``(job, index)`` starts on `worker` and is allotted there."""

    job: str
    index: int
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """The task with the allotment `key` on `worker` is preempted.

    `how` is ``checkpoint``, ``throttle`` or ``stop``; `on_behalf` is the
    job that needs the resources.
    """

    worker: str
    key: object
    how: str
    on_behalf: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Resources on `workers` are held for `job` until `until`.

    `until` is a time of the monotonic clock whose values are passed as
    `now`, in seconds.
    """

    job: str
    workers: tuple
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Quota and weight of a team.

    Parameters
    ----------
    cores, memory_mb, accelerators : float or None
        Upper bounds of what the tasks of the team are allotted together;
        None means no limit.
    weight : float
        Fair share of the team relative to other teams.
    """

    cores: float | None = None
    memory_mb: float | None = None
    accelerators: float | None = None
    weight: float = 1.0

    def limit(self):
        """Return the limits as a resource vector; infinity means no limit."""
        return (
            math.inf
            if self.cores is None
            else self.cores * MILLICORES_PER_CORE,
            math.inf if self.memory_mb is None else self.memory_mb,
            math.inf if self.accelerators is None else self.accelerators,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Settings of the placement core."""

    # Guaranteed share of the pool per priority.  The sum stays below 1, so
    # that capacity above the shares always goes to the most urgent queue.
    share_urgent: float = 0.5
    share_normal: float = 0.25
    share_low: float = 0.1
    # Longest queue, in tasks; twice the 15,000 tasks of a day, about 10 MB.
    max_queued_tasks: int = 30_000
    # Starts per call of `place`, so that a call takes only milliseconds.
    max_starts: int = 64
    # Jobs per call of `place` that may be tried without success; the next
    # call continues with the others.
    max_tries: int = 128
    # Jobs per queue that are tried, from its head, so that a job that does
    # not fit does not block those behind it.
    scan_depth: int = 32
    # Feasible workers that are compared per decision.
    candidates: int = 12
    # Score for packing: "best" (small remainder, even between cores and
    # memory), "dot" (dot product of request and available resources) or
    # "first" (by name).
    score: str = "best"
    # Time that a job must have waited to get a reservation.  Short tasks
    # usually end within this time and make the reservation unnecessary.
    reserve_after_s: float = 10.0
    # Longest reservation; after it another job may get one, so that no job
    # can block the pool.
    max_reservation_s: float = 600.0
    # Time for which a reservation is kept after the resources were expected
    # to be free.
    reservation_slack_s: float = 60.0
    # Time for which a job gets no new reservation after one has expired or
    # could not be planned, so that other jobs have their turn.
    reservation_cooldown_s: float = 60.0
    # Factor on the expected run time of a task that is backfilled into a
    # reservation; declared times are often too short.
    backfill_factor: float = 1.5
    # Time between the stages of a preemption: checkpoint, throttle, stop.
    # All three have to fit into the 4.2 s in which urgent tasks must start.
    preemption_stage_s: float = 0.8
    # Time after which the resources held by a preemption are released, even
    # if the job has not started.
    preemption_timeout_s: float = 15.0
    # Tasks for which others are preempted in one call of `place`, and
    # allotments that are compared for it (about 2 us each).
    max_preemptions: int = 8
    max_preemption_candidates: int = 1000
    # Work that counts as lost if a task of a service is stopped, in seconds
    # of its run time.
    service_preemption_cost_s: float = 3600.0
    # Resources kept free per unused accelerator, so that tasks without
    # accelerators do not make it unusable.
    kept_cores_per_accelerator: float = 2.0
    kept_memory_mb_per_accelerator: float = 4096.0
    # Time until a quarantined worker is probed first; it doubles with each
    # failure up to the maximum.
    initial_quarantine_s: float = 30.0
    max_quarantine_s: float = 3600.0
    # Part of the workers that may be quarantined at once; if more fail, the
    # workers are unlikely to be the cause.
    max_quarantined_share: float = 0.2
    # Families for which estimates are kept, about 300 bytes each.
    max_families: int = 1024

    def share(self, priority):
        """Return the guaranteed share of a priority, from 0 to 1."""
        return getattr(self, "share_" + priority)
