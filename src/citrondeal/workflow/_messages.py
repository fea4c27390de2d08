"""Reports of workers, and the orders that the scheduler gives."""

import dataclasses
import enum

from citrondeal.workflow import _model


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run that a worker lists in its report.

    Attributes
    ----------
    task : TaskId
    number : int
        Number of the run.
    checkpoint : str
        Newest checkpoint; empty if there is none.
    percent : float
        Progress, from 0 to 100.
    usage : float or None
        Thousandths of a core in use lately; None if unknown.
    """

    task: _model.TaskId
    number: int
    checkpoint: str
    percent: float
    usage: float | None = None


class RunOutcome(enum.StrEnum):
    """How a run ended.

    A run has LAPSED if its lease was not renewed in time. A member of a gang
    is BROKEN if another member ended without success, and ALONE if the other
    members did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, which a worker lists until it is acknowledged.

    Attributes
    ----------
    number : int
        Number of this end; a worker counts its ends from 1.
    task : TaskId
    run : int
        Number of the run.
    outcome : RunOutcome
    checkpoint : str
        Newest checkpoint; empty if there is none.
    """

    number: int
    task: _model.TaskId
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Answer of a worker to the renewal of its leases.

    Attributes
    ----------
    clock_s : float
        Time on the worker's clock.
    born_ms : int
        Incarnation of the worker; 0 if unknown.
    running : list of ReportedRun
    ended : list of RunEnd
    truncated : bool
        Whether there may be more ends than `ended` lists. A run that the
        report does not list may then have ended with any outcome.
    """

    clock_s: float
    born_ms: int
    running: list
    ended: list
    truncated: bool = False


class OrderOutcome(enum.StrEnum):
    """Outcome of an order to a worker."""

    OK = "ok"
    FENCED = "fenced"  # the worker knows a newer owner
    OLD = "old"  # the worker has had a newer run of the task
    LATE = "late"  # the order arrived after its time limit
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    OTHER_INCARNATION = "other_incarnation"  # the order was not sent to it
    REFUSED = "refused"  # the order was not carried out
    UNKNOWN = "unknown"  # it may have been, or may still be carried out


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Order to a worker to start a task.

    Attributes
    ----------
    worker : str
    task : TaskId
    run : int
    spec : str
    checkpoint : str
        Where the run resumes; empty for the beginning.
    ticket : str
        Empty if the queue needs none.
    born_ms : int
        Incarnation of the worker for which it was decided.
    valid_until : float
        Scheduler time after which the worker is to reject it.
    """

    worker: str
    task: _model.TaskId
    run: int
    spec: str
    checkpoint: str
    ticket: str
    born_ms: int
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Order to a worker to stop a run."""

    worker: str
    task: _model.TaskId
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchTickets:
    """Request to the ticket service: which workers may run a step?

    Attributes
    ----------
    step : StepId
    workers : tuple of str
    expected_s : float
        Expected time of the call.
    urgency : tuple
        Sort key of the step when the call was decided; the lowest one is the
        most urgent. See `_precedence.urgency`.
    renewal : bool
        Whether tickets are renewed, with resources reserved until the
        answer.
    """

    step: _model.StepId
    workers: tuple[str, ...]
    expected_s: float
    urgency: tuple
    renewal: bool = False
