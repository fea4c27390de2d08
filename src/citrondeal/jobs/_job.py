"""One job, the outcomes of its tasks, and the ids of their attempts."""

import re
import types

# Outcome of one task, one character per task in snapshots.
OPEN, FINISHED, FAILED, UNKNOWN = "ofxu"
OUTCOMES = {OPEN: "open", FINISHED: "finished", FAILED: "failed"}
OUTCOMES[UNKNOWN] = "unknown"

# The entries of jobs that have none.
EMPTY = types.MappingProxyType({})
_JOB_ID = re.compile(r"[A-Za-z0-9._-]{1,128}\Z")


def is_job_id(value):
    """Return whether the value is a well-formed id of a job."""
    return isinstance(value, str) and _JOB_ID.match(value) is not None


def task_id(job, index, attempt):
    """Return ``<job>/<index>/<attempt>``."""
    return f"{job}/{index}/{attempt}"


def parse_task_id(text):
    """Return ``(job, index, attempt)``, or None for a malformed task id."""
    if not isinstance(text, str):
        return None
    parts = text.split("/")
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    if not is_job_id(parts[0]) or len(parts[1]) > 9 or not parts[2]:
        return None
    return parts[0], int(parts[1]), parts[2]


class Job:
    """One job; only `JobTable` and `PoolOwner` change its attributes."""

    __slots__ = (
        "appended_after",
        "attempts",
        "cancelled",
        "command",
        "crashes",
        "failed_on",
        "failures",
        "finishes",
        "give_up_reason",
        "hold_reason",
        "id",
        "intents",
        "max_restarts",
        "open_tasks",
        "outcomes",
        "path",
        "tasks",
        "work",
    )

    def __init__(self, job_id, path, work, tasks, max_restarts, command):
        self.id = job_id
        self.path = path
        self.work = work
        self.tasks = tasks
        self.max_restarts = max_restarts
        self.command = command
        self.cancelled = False
        self.hold_reason = None
        # Why the first task was given up whose workers have crashed.
        self.give_up_reason = None
        self.outcomes = bytearray(OPEN.encode() * tasks)
        self.open_tasks = tasks
        self.finishes = 0
        # Most jobs have no entries here; sharing one empty mapping saves 64
        # bytes for each of the four attributes.
        self.failures = EMPTY
        # `_budget.TaskCrashes` by index.
        self.crashes = EMPTY
        self.attempts = EMPTY
        self.failed_on = ()
        self.intents = EMPTY
        # The job was appended after this time on this process's clock: the
        # send time of a read that reached the end of the stream without it.
        # None if unknown.
        self.appended_after = None

    @property
    def once(self):
        """Whether a task must not be run a second time."""
        return self.work.once

    @property
    def ended(self):
        """Whether no task of the job will be started any more."""
        return self.cancelled or not self.open_tasks

    @property
    def state(self):
        """Open, held, cancelled, finished, failed or unknown, as a str."""
        if self.cancelled:
            return "cancelled"
        if self.open_tasks:
            return "held" if self.hold_reason else "open"
        for outcome in (UNKNOWN, FAILED):
            if outcome.encode() in self.outcomes:
                return OUTCOMES[outcome]
        return "finished"

    def is_open(self, index):
        """Return whether the task with this index has no outcome yet."""
        return self.outcomes[index] == ord(OPEN)

    def open_indices(self):
        """Return the indices of the tasks without an outcome."""
        return [i for i, c in enumerate(self.outcomes) if c == ord(OPEN)]
