"""Values that go into and come out of the placement core."""

import dataclasses
import math

PRIORITIES = ("urgent", "normal", "low")  # most urgent first
# Sizes are kept as integers (cores in 1/1000), so that sums stay exact
# after any number of starts and finishes.
MILLICORES_PER_CORE = 1000


def size_of(cores, memory_mb, accelerators):
    """Return a request as exact integers, rounded up.

    Parameters
    ----------
    cores : float
        Processors.
    memory_mb : float
        Memory in MB.
    accelerators : float
        Number of accelerators.

    Returns
    -------
    tuple of int
        Cores in 1/1000, memory in MB, accelerators.
    """
    # The small constant keeps 0.1 * 1000 from being rounded up to 101.
    return (
        math.ceil(cores * MILLICORES_PER_CORE - 1e-6),
        math.ceil(memory_mb - 1e-6),
        math.ceil(accelerators - 1e-6),
    )


def capacity_of(cores, memory_mb, accelerators):
    """Return a capacity as exact integers, rounded down."""
    return (
        math.floor(cores * MILLICORES_PER_CORE + 1e-6),
        math.floor(memory_mb + 1e-6),
        math.floor(accelerators + 1e-6),
    )


def fits(size, available):
    """Return whether `size` fits into `room` in every dimension."""
    return (
        size[0] <= available[0]
        and size[1] <= available[1]
        and size[2] <= available[2]
    )


def count_fitting(size, available, limit):
    """Return how many tasks of `size` fit into `room`, at most `limit`."""
    count = limit
    for part, whole in zip(size, available, strict=True):
        if part > 0:
            count = min(count, whole // part)
    return max(count, 0)


def add(left, right):
    """Return the sum of two size vectors."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def subtract(left, right):
    """Return the difference of two size vectors."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2])


def dominant_share(size, total):
    """Return the largest share of `total` that `size` takes (0 to 1)."""
    share = 0.0
    for part, whole in zip(size, total, strict=True):
        if part > 0:
            share = max(share, part / whole if whole > 0 else 1.0)
    return share


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """What the placement core needs to know about a job.

    Parameters
    ----------
    job : str
        Job id.
    family : str
        Jobs with the same family are expected to behave alike; usually the
        path in the settings tree.
    team, priority, kind : str
        As in the job record.
    size : tuple of int
        Request of one task, see `size_of`.
    run_time_s : float or None
        Declared run time of a task in seconds; None for services.
    once : bool
        Tasks of such jobs are never chosen for preemption or probing.
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
    """The task ``(job, index)`` is allotted its size on `worker`."""

    job: str
    index: int
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """The allotment `key` on `worker` has to give way.

    `how` is ``checkpoint``, ``throttle`` or ``stop``; `on_behalf` is the
    job that needs the room.
    """

    worker: str
    key: object
    how: str
    on_behalf: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Room on `workers` is held for `job` until `until` (our clock)."""

    job: str
    workers: tuple
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Limits of a team; None means no limit.

    Parameters
    ----------
    cores, memory_mb, accelerators : float or None
        Upper bounds of what the tasks of the team are allotted together.
    weight : float
        Share of the team relative to other teams.
    """

    cores: float | None = None
    memory_mb: float | None = None
    accelerators: float | None = None
    weight: float = 1.0

    def limit(self):
        """Return the limits as a size vector with infinities."""
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
    # that spare room always goes to the most urgent queue.
    share_urgent: float = 0.5
    share_normal: float = 0.25
    share_low: float = 0.1
    # Tasks that may wait; twice the 15,000 of a day, about 10 MB.
    max_queued_tasks: int = 30_000
    # Decisions per call of `place`, so that a call stays in milliseconds.
    max_starts: int = 64
    # Waiting jobs that are tried per call without success; the next call
    # goes on with the others.
    max_tries: int = 128
    # Waiting jobs per queue that are tried behind a job that does not fit.
    scan_depth: int = 32
    # Feasible workers that are compared per decision.
    candidates: int = 12
    # Score for packing: "best" (small and even rest), "dot" (alignment of
    # request and room) or "first" (by name).
    score: str = "best"
    # Seconds that a job that does not fit waits for a reservation.  Short
    # tasks usually end within this time.
    reserve_after_s: float = 10.0
    # Longest time in seconds for which room is held for one job; the next
    # one follows, so that no job can block the pool.
    max_reservation_s: float = 600.0
    # Seconds for which a reservation is kept after the room was expected.
    reservation_slack_s: float = 60.0
    # Seconds for which a job whose reservation ended gets no new one, so
    # that others have their turn.
    reservation_cooldown_s: float = 60.0
    # Factor on the expected run time of a task that is placed on held
    # room; declared times are often too short.
    backfill_factor: float = 1.5
    # Seconds between the stages of a preemption: checkpoint, throttle,
    # stop.  Three stages have to end within the 4.2 s for urgent work.
    preemption_stage_s: float = 0.8
    # Seconds after which room held for a preemption is given up.
    preemption_timeout_s: float = 15.0
    # Tasks for which room is made in one call of `place`, and allotments
    # that are compared for it (about 2 us each).
    max_preemptions: int = 8
    max_preemption_candidates: int = 1000
    # Seconds of work that stopping one task of a service counts as.
    service_preemption_cost_s: float = 3600.0
    # Cores and memory (MB) kept free per unused accelerator; tasks without
    # accelerators do not get them.
    kept_cores_per_accelerator: float = 2.0
    kept_memory_mb_per_accelerator: float = 4096.0
    # Seconds of the first pause of a quarantined worker, and the longest.
    initial_quarantine_s: float = 30.0
    max_quarantine_s: float = 3600.0
    # Part of the workers that may be quarantined at once; if more fail,
    # the cause is hardly in the workers.
    max_quarantined_share: float = 0.2
    # Families whose usage is remembered, about 300 bytes each.
    max_families: int = 1024

    def share(self, priority):
        """Return the guaranteed share of a priority (0 to 1)."""
        return getattr(self, "share_" + priority)
