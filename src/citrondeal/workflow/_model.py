"""Types of jobs with steps, of workers, and of the scheduler's actions."""

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
    """Resources of a task or a worker.

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

    def fits(self, room):
        """Return whether this size fits into `room`."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def count_in(self, room):
        """Return how many of this size fit into `room`."""
        count = 0
        for need, free in (
            (self.millicores, room.millicores),
            (self.memory_mb, room.memory_mb),
            (self.accelerators, room.accelerators),
        ):
            if free < need:
                return 0
            if need:
                count = min(count or free // need, free // need)
        return count

    def least(self, other):
        """Return the smaller amount of each resource."""
        return Size(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def most(self, other):
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
    """Tasks of a job that are alike.

    Attributes
    ----------
    tasks : int
        Number of tasks.
    size : Size
        Need of each task.
    estimate_s : float
        Rough run time of a task.
    after : tuple of int
        Steps whose tasks must all be done first.
    gang : bool
        The tasks work only while all of them run.
    same_rack : bool
        The tasks are slow when they run on more than one rack.
    label : str
        Label that the worker must have; empty for any.
    rack : str
        Rack of the data; empty for none.
    spread : int
        Most tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Copies of a task may run at the same time.
    saves : bool
        A task can resume from its checkpoint.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What the configuration said of the queue when the job came.

    Attributes
    ----------
    queue, service : str
        Name of the queue and of the service whose workers run it.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs after which a task counts as failed.
    stretch, target_s : float
        The objective is `stretch` times the longest chain of estimates
        plus `target_s`.
    ticketed : bool
        Each start needs a placement ticket.
    ticket_base_s, ticket_each_s : float
        Time of a ticket call, and its increase with each worker asked for.
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
    """An accepted job as it is stored.

    Attributes
    ----------
    job : str
        Id that the client chose.
    spec : str
        Passed to the workers unchanged.
    steps : tuple of Step
    policy : Policy
    submitted_unix : float
        Unix seconds of its acceptance.
    """

    job: str
    spec: str
    steps: tuple[Step, ...]
    policy: Policy
    submitted_unix: float = 0.0


class JobState(enum.StrEnum):
    """State of a job as clients see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Stored progress of a job.

    Attributes
    ----------
    state : JobState
    done : tuple of bytes
        For each step, a bit map of the tasks that have ended well.
    failures : dict of str to list of int
        Run numbers that failed, by ``step.index``; a gang counts under
        its task 0.
    """

    state: JobState
    done: tuple[bytes, ...] = ()
    failures: dict[str, list[int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """What a worker says of itself in the list of workers.

    Attributes
    ----------
    worker, address, service, zone : str
    labels : tuple of str
    rack : str
    capacity : Size
    draining : bool
        It will leave and gets no new tasks.
    born_ms : int
        Unix milliseconds of its start; tells one incarnation of a worker
        from the next.
    clock_s : float
        Its clock when it wrote the entry.
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
class StoredWorker:
    """What the next owner has to know of a worker.

    Attributes
    ----------
    info : WorkerInfo
    runs : tuple of TaskId, or None
        Tasks that may run there; None if any task may, as long as the
        worker answers.
    """

    info: WorkerInfo
    runs: tuple[TaskId, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run that a worker lists.

    Attributes
    ----------
    task : TaskId
    number : int
    checkpoint : str
    percent : float
    """

    task: TaskId
    number: int
    checkpoint: str
    percent: float


class RunOutcome(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run that a worker lists until it is acknowledged."""

    number: int
    task: TaskId
    run: int
    how: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Answer of a worker to a lease renewal.

    Attributes
    ----------
    clock_s : float
        The worker's clock.
    born_ms : int
    running : list of ReportedRun
    ended : list of End
    """

    clock_s: float
    born_ms: int
    running: list
    ended: list


class OrderOutcome(enum.StrEnum):
    """What became of an order to a worker."""

    OK = "ok"
    FENCED = "fenced"  # the worker knows a newer owner
    OLD = "old"  # a newer run of the task was there
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    OTHER_INCARNATION = "other_incarnation"
    REFUSED = "refused"  # nothing was done
    UNKNOWN = "unknown"  # may have been done, or may be done later


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Order a worker to start a task."""

    worker: str
    task: TaskId
    run: int
    spec: str
    checkpoint: str
    ticket: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Order a worker to stop a run."""

    worker: str
    task: TaskId
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchTickets:
    """Ask the ticket service which workers may run a step.

    Attributes
    ----------
    step : StepId
    workers : tuple of str
    expected_s : float
        How long the service takes.
    priority : int
        Of the job's queue; 0 comes first.
    due_at : float
        When the job should be completed.
    renewal : bool
        Room is held until the answer.
    """

    step: StepId
    workers: tuple[str, ...]
    expected_s: float
    priority: int
    due_at: float
    renewal: bool = False
