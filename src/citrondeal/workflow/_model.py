"""Data types of jobs and workers."""

import dataclasses
import enum
import typing


class TaskId(typing.NamedTuple):
    """Identity of a task.

    Attributes
    ----------
    job : str
        Id of the job.
    occurrence : int
        0 unless the job recurs.
    step : int
        Index of the step in the job.
    index : int
        Index of the task in the step.
    """

    job: str
    occurrence: int
    step: int
    index: int


class StepId(typing.NamedTuple):
    """Identity of a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Amounts of resources, such as the need of a task.

    Attributes
    ----------
    millicores : int
        Thousandths of a core.
    memory_mb : int
    accelerators : int
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available):
        """Return whether no resource exceeds that of `available`."""
        return (
            self.millicores <= available.millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def count_in(self, available):
        """Return how many times this size fits into `available`."""
        count = 0
        for need, free in (
            (self.millicores, available.millicores),
            (self.memory_mb, available.memory_mb),
            (self.accelerators, available.accelerators),
        ):
            if free < need:
                return 0
            if need:
                count = min(count or free // need, free // need)
        return count

    def minimum(self, other):
        """Return the smaller amount of each resource."""
        return Size(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def maximum(self, other):
        """Return the larger amount of each resource."""
        return Size(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def plus(self, other):
        """Return the sum of both sizes."""
        return Size(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other):
        """Return the difference of both sizes."""
        return Size(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: a number of tasks with the same requirements.

    Attributes
    ----------
    tasks : int
        Number of tasks.
    size : Size
        Resources that each task needs.
    estimate_s : float
        Estimated run time of a task.
    after : tuple of int
        Indices of the steps whose tasks must all be done first.
    gang : bool
        Whether the tasks make progress only while all of them run.
    same_rack : bool
        Whether all tasks are to run on workers of one rack, since they are
        slow on several.
    label : str
        Label that the worker must have; empty for any.
    rack : str
        Rack of the data, which is preferred; empty for none.
    spread : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether copies of a task may run at the same time.
    saves : bool
        Whether a task can resume from its checkpoint.
    image : str
        Program of the tasks; empty if unknown.
    """

    tasks: int
    size: Size
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    spread: int = 0
    speculative: bool = False
    saves: bool = False
    image: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Configuration of the queue at the time when the job was accepted.

    Attributes
    ----------
    queue : str
        Name of the queue.
    service : str
        Name of the service whose workers run its jobs.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Number of failed runs of a task after which its job fails.
    stretch, target_s : float
        The time objective of a job, from its acceptance to its end, is
        `stretch` times its longest chain of estimates plus `target_s`.
    ticketed : bool
        Whether each start needs a placement ticket.
    ticket_base_s, ticket_each_s : float
        Expected time of a ticket call, and its increase with each worker
        that the call names.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    ticketed: bool = False
    ticket_base_s: float = 0.0
    ticket_each_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """An accepted job in its stored form.

    Attributes
    ----------
    job : str
        Id of the job, chosen by the client.
    spec : str
        Description of the work, passed to the workers unchanged.
    steps : tuple of Step
    policy : Policy
    submitted_unix : float
        Unix time of the acceptance in seconds.
    account : str
        Client account that submitted the job; empty if there is none.
    """

    job: str
    spec: str
    steps: tuple[Step, ...]
    policy: Policy
    submitted_unix: float = 0.0
    account: str = ""


class JobState(enum.StrEnum):
    """State of a job as clients see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """One incarnation of a worker.

    Attributes
    ----------
    address : str
    born_ms : int
        Identifies the incarnation, see `WorkerInfo`.
    """

    address: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenStart:
    """A start of which it is not known how its run ended.

    Attributes
    ----------
    number : int
        Number of the run.
    places : dict of str to Place
        By id of the workers, one for each member of a gang's run.
    """

    number: int
    places: dict[str, Place]


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Stored progress of a job.

    Attributes
    ----------
    state : JobState
    done : tuple of bytes
        For each step, a bit map in little-endian order; the bit of a task
        that is done is set.
    failures : dict of str to list of int
        Numbers of the failed runs by ``step.index`` of the task; those of a
        gang are listed under its task 0.
    crashes : dict of str to list of int
        Numbers of the runs that ended by a crash of their worker, by the same
        keys.
    excused_crashes : dict of str to list of int
        Numbers of such runs that do not count, by the same keys; -1 stands
        for a run whose crash may not have been seen.
    open_starts : dict of str to list of OpenStart
        By the same keys.
    has_unseen : bool
        Whether any task may have had a crash that was not seen.
    has_unrecorded : bool
        Whether starts of tasks with crashes were not recorded, because they
        did not fit. Their crashes are not seen if their owner ends before.
    account : str
        Client account that submitted the job; empty if there is none.
    """

    state: JobState
    done: tuple[bytes, ...] = ()
    failures: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    crashes: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    excused_crashes: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )
    open_starts: dict[str, list[OpenStart]] = dataclasses.field(
        default_factory=dict
    )
    has_unseen: bool = False
    has_unrecorded: bool = False
    account: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Entry of a worker in the list of workers, written by the worker.

    Attributes
    ----------
    worker, address, service, zone : str
    labels : tuple of str
    rack : str
    capacity : Size
    draining : bool
        Whether the worker is about to leave and gets no new tasks.
    born_ms : int
        Unix time of its start in milliseconds; identifies the incarnation
        of the worker.
    clock_s : float
        Time on the worker's clock when it wrote the entry.
    """

    worker: str
    address: str
    service: str
    zone: str
    labels: tuple[str, ...] = ()
    rack: str = ""
    capacity: Size = Size()
    draining: bool = False
    born_ms: int = 0
    clock_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Witness:
    """A worker whose clock shows whether the leases on another one are over.

    Attributes
    ----------
    born_ms : int
        Its incarnation, since the clock of each one begins anew.
    clock_s : float
        Time on its clock by which they are over.
    """

    born_ms: int
    clock_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoredWorker:
    """Stored record of a worker, for the next owner.

    Attributes
    ----------
    info : WorkerInfo
    runs : tuple of TaskId, or None
        Tasks that may run on the worker; None if it answered the owner that
        stored the record, so that any task may have been started there.
    numbers : tuple of int
        Number of the run of each task in `runs`; may be missing.
    unseen_ms : int
        Unix time in milliseconds by which it had crashed without an owner that
        knew its runs; 0 if that did not happen.
    witnesses : dict of str to Witness
        By worker; empty while leases may still be renewed, or if no witness
        was known.
    """

    info: WorkerInfo
    runs: tuple[TaskId, ...] | None = None
    numbers: tuple[int, ...] = ()
    unseen_ms: int = 0
    witnesses: dict[str, Witness] = dataclasses.field(default_factory=dict)
