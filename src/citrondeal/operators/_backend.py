"""Interface between the operators' application and the daemon serving it."""

import collections.abc
import dataclasses

_Call = collections.abc.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """Validated submission of a job; None takes the value from the tree.

    Attributes
    ----------
    path : str
        Node of the tree below ``/batch``.
    id : str
        Id of the job; generated if the caller gave none.
    kind : {"service", "batch", "gang"} or None
    team : str or None
    priority : {"urgent", "normal", "low"} or None
    tasks : int or None
    cores : float or None
        Processors for each task.
    memory_mb : int or None
        Memory for each task in MB.
    accelerators : int or None
        Accelerators for each task.
    run_time_s : float or None
        Declared run time of each task in seconds.
    once : bool or None
        Whether a task whose outcome is unknown must not be run again.
    max_restarts : int or None
        Maximum number of restarts of each task after a failure.
    command : str or None
        Command that a worker runs.
    zone : str or None
        Availability zone of the job; None for the zone of the scheduler.
    """

    path: str
    id: str
    kind: str | None = None
    team: str | None = None
    priority: str | None = None
    tasks: int | None = None
    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    run_time_s: float | None = None
    once: bool | None = None
    max_restarts: int | None = None
    command: str | None = None
    zone: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobQuery:
    """Page of the job list that a client asks for.

    Attributes
    ----------
    limit : int
        Maximum number of jobs to return.
    after : str
        Only jobs that the backend lists after this id; empty for all.
    """

    limit: int = 100
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Probes:
    """Health, debugging and shutdown callables that every daemon offers.

    The fields are those of the same names in `Backend`.
    """

    live: _Call
    ready: _Call
    metrics: _Call
    dump: _Call
    drain: _Call


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """Async callables of a daemon; each returns a `result.Result`.

    The error type is `citrondeal.errors.Failure` throughout.

    Attributes
    ----------
    tree : callable
        ``tree(below)`` returns a JSON-ready dict of all branches at and
        below a path, see `tree.Tree.listing`.
    node : callable
        ``node(path)`` returns a JSON-ready dict, see `tree.Tree.describe`.
    history : callable
        ``history(path)`` returns a JSON-ready list of edits.
    edit : callable
        ``edit(tree.Edit)`` returns the `tree.Outcome` that was read back
        from the log; a failure of kind ``unknown_outcome`` if none was.
    submit : callable
        ``submit(JobRequest)`` returns a dict after the record is in the
        log.
    jobs : callable
        ``jobs(JobQuery)`` returns ``{"jobs": [...]}``.
    job : callable
        ``job(id)`` returns a dict with at least ``id, path, state``.
    cancel : callable
        ``cancel(id)`` returns a dict.
    live, ready : callable
        Return a dict, or a failure of kind ``unavailable``.
    metrics : callable
        Returns the text of ``/metrics``, which is JSON.
    dump : callable
        Returns the state dump.
    drain : callable
        Starts a graceful shutdown and returns a dict at once.
    """

    tree: _Call
    node: _Call
    history: _Call
    edit: _Call
    submit: _Call
    jobs: _Call
    job: _Call
    cancel: _Call
    live: _Call
    ready: _Call
    metrics: _Call
    dump: _Call
    drain: _Call
