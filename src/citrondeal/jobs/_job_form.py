"""Jobs as they stand in records and in snapshots.

What other processes have written is checked here.
"""

from citrondeal.jobs import _budget
from citrondeal.jobs import _job
from citrondeal import numbers
from citrondeal import placement

KINDS = ("service", "batch", "gang")
MAX_TASKS = 10_000  # per job; keeps a snapshot record under 2 MiB
MAX_COMMAND_CHARS = 4096


def read_job(raw):
    """Return the job that a ``submit`` record defines.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    if not isinstance(raw, dict):
        raise ValueError(f"job must be an object, not {type(raw).__name__}")
    job_id = raw.get("id")
    kind = raw.get("kind", "batch")
    priority = raw.get("priority", "normal")
    once = raw.get("once", False)
    run_time = raw.get("run_time_s")
    restarts = raw.get("max_restarts")
    sizes = [
        raw.get("cores", 1),
        raw.get("memory_mb", 0),
        raw.get("accelerators", 0),
    ]
    path = raw.get("path", "")
    team = raw.get("team", "")
    command = raw.get("command", "")
    checks = (
        _job.is_job_id(job_id),
        kind in KINDS,
        priority in placement.PRIORITIES,
        isinstance(once, bool) and not (once and kind == "service"),
        run_time is None or _is_number(run_time, 0, 1e9),
        restarts is None or _is_whole_number(restarts, 0, 1_000_000),
        all(_is_number(size, 0, 1e9) for size in sizes),
        _is_whole_number(raw.get("tasks", 1), 1, MAX_TASKS),
        is_text(path) and is_text(team),
        is_text(command, MAX_COMMAND_CHARS) or _is_word_list(command),
    )
    if not all(checks):
        raise ValueError(
            "job has a field that is missing, of the wrong type or out of"
            " range; see id, kind, priority, once, run_time_s,"
            " max_restarts, cores, memory_mb, accelerators, tasks, path,"
            " team and command"
        )
    work = placement.JobSpec(
        job=job_id,
        family=path or job_id,
        team=team,
        priority=priority,
        kind=kind,
        size=placement.size_of(*sizes),
        run_time_s=None if kind == "service" else run_time,
        once=once,
    )
    tasks = int(raw.get("tasks", 1))
    return _job.Job(job_id, path, work, tasks, restarts, command)


def to_state(job):
    """Return a job for a snapshot, ready for JSON."""
    work = job.work
    return {
        "job": {
            "id": job.id,
            "path": job.path,
            "kind": work.kind,
            "team": work.team,
            "priority": work.priority,
            "tasks": job.tasks,
            "cores": work.size[0] / 1000,
            "memory_mb": work.size[1],
            "accelerators": work.size[2],
            "run_time_s": work.run_time_s,
            "once": work.once,
            "max_restarts": job.max_restarts,
            "command": job.command,
        },
        "outcomes": job.outcomes.decode(),
        "cancelled": job.cancelled,
        "hold": job.hold_reason,
        "give_up": job.give_up_reason,
        "finishes": job.finishes,
        "failures": {str(k): v for k, v in job.failures.items()},
        "crashes": _budget.to_state(job.crashes),
        "attempts": {str(k): list(v) for k, v in job.attempts.items()},
        "failed_on": list(job.failed_on),
        "intents": {str(k): v for k, v in job.intents.items()},
    }


def from_state(raw):
    """Return a job from a snapshot.

    Raises
    ------
    KeyError, TypeError, AttributeError, ValueError
        If its state is malformed.
    """
    job = read_job(raw["job"])
    job.outcomes = bytearray(raw["outcomes"].encode())
    if len(job.outcomes) != job.tasks:
        raise ValueError(
            f"snapshot of job {job.id} has {len(job.outcomes)} outcomes"
            f" for {job.tasks} tasks"
        )
    job.open_tasks = raw["outcomes"].count(_job.OPEN)
    job.cancelled = raw["cancelled"]
    job.hold_reason = raw["hold"]
    # Snapshots of earlier versions have no crashes.
    job.give_up_reason = raw.get("give_up")
    job.crashes = _budget.from_state(raw.get("crashes", {})) or _job.EMPTY
    job.finishes = raw["finishes"]
    attempts = {int(k): list(v) for k, v in raw["attempts"].items()}
    failures = {int(k): v for k, v in raw["failures"].items()}
    intents = {int(k): v for k, v in raw["intents"].items()}
    job.attempts = attempts or _job.EMPTY
    job.failures = failures or _job.EMPTY
    job.failed_on = tuple(raw["failed_on"])
    job.intents = intents or _job.EMPTY
    return job


def is_text(value, limit=256):
    """Return whether the value is a string of at most `limit` characters."""
    return isinstance(value, str) and len(value) <= limit


def _is_number(value, low, high):
    return numbers.is_finite(value) and low <= value <= high


def _is_whole_number(value, low, high):
    return _is_number(value, low, high) and value == int(value)


def _is_word_list(command):
    return (
        isinstance(command, list)
        and all(is_text(word, MAX_COMMAND_CHARS) for word in command)
        and sum(map(len, command)) <= MAX_COMMAND_CHARS
    )
