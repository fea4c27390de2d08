"""Settings of the pool owner, and its state per worker and assignment."""

import dataclasses
import math

# Phases of an assignment.  INTENT waits until the intent record has been
# read from the log, READY waits for the next exchange with the worker, SENT
# waits until the worker lists the task.
INTENT, READY, SENT, RUNNING = "intent", "ready", "sent", "running"
# States in which a worker lists a task that has ended.
ENDED_STATES = ("finished", "failed", "checkpointed", "expired")


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerConfig:
    """Settings of a `PoolOwner`; all times in seconds.

    Parameters
    ----------
    task_ttl_s : float
        Duration of a renewed task lease.  It exceeds the validity of an
        ownership plus the time of a takeover, so that the failure of an
        owner ends no healthy task.
    lease_margin_s : float
        Added to the end of every lease before its task counts as ended,
        besides what `max_clock_drift` takes.
    max_clock_drift : float
        Share by which a worker's clock may be slow.
    renew_after_s : float
        Age of a lease at which it is renewed; with an idle worker that is
        in every second exchange.  At least 15 s of a lease are left when
        its owner fails; a takeover takes about 6 s.
    first_renewal_s : float
        Age at which a new task is renewed for the first time.  Its first
        lease ends with the validity of the owner that starts it; a task
        that has not been renewed when this owner fails is lost.
    list_lag_s : float
        Time within which all schedulers read a change of the VM list.
    unlisted_hold_s : float
        Time for which an owner that cannot read the VM list, and so works
        with an old one, may still renew tasks on a worker that has left
        the list.
    min_lease_s : float
        No start is sent when less of the owner's validity is left, since
        the first renewal has to follow within this time.
    poll_s, idle_poll_s : float
        Period of the exchanges with a busy worker, and with the others.
        The reply lists every task (about 115 bytes each); one exchange per
        second with each of 203 workers is about 340 KB/s.
    busy_s : float
        Time after a start, stop or end for which a worker counts as busy;
        most faulty tasks fail within it.
    clock_age_s : float
        Greatest age of the reading of the worker's clock on which a start
        may be based, since the drift between the clocks adds up.
    append_retry_s : float
        Time after which a record that has not been read from the log is
        appended again.
    batch_tasks : int
        Entries per ``finished`` record, about 100 bytes each.
    restart_pause_s, restart_limit_s : float
        First and longest pause before a failed task is started again; the
        pause doubles with each failure.
    refused_pause_s : float
        Shortest pause before a task that was not started, or a gang that
        was stopped, is queued again.
    checkpoint_limit_s : float
        Time for a task to checkpoint before it is stopped.
    move_share : float
        Part of a service's tasks that may be interrupted at once when
        workers leave; one task always may.
    place_rounds : int
        Calls of `placement.Pool.place` per tick (64 starts, a few
        milliseconds each), so that a tick does not delay the event loop.
    max_unrecorded : int
        Number of ended tasks whose end is not in the log (about 500 bytes
        each, also on the workers) at which no further task is started;
        reached only in a long outage of the log.
    """

    task_ttl_s: float = 30.0
    lease_margin_s: float = 0.5
    max_clock_drift: float = 0.02
    renew_after_s: float = 9.0
    first_renewal_s: float = 0.25
    list_lag_s: float = 3.0
    unlisted_hold_s: float = 600.0
    min_lease_s: float = 1.0
    poll_s: float = 1.0
    idle_poll_s: float = 5.0
    busy_s: float = 5.0
    clock_age_s: float = 5.0
    append_retry_s: float = 3.0
    batch_tasks: int = 200
    restart_pause_s: float = 1.0
    restart_limit_s: float = 60.0
    refused_pause_s: float = 1.0
    checkpoint_limit_s: float = 10.0
    move_share: float = 0.25
    place_rounds: int = 4
    max_unrecorded: int = 10_000

    @property
    def lease_wait_s(self):
        """Seconds after the end of a lease when its task has surely ended.

        A lease is counted on the clock of its worker, from the last reading
        of this clock on.
        """
        counted_s = self.task_ttl_s + self.idle_poll_s
        drift = self.max_clock_drift
        return self.lease_margin_s + counted_s * drift / (1.0 - drift)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """One worker of the VM list.

    Parameters
    ----------
    name : str
        Id of the VM.
    rack : str
        Rack of the VM.
    cores, memory_mb, accelerators : float
        Capacity.
    leaving : bool
        Whether the VM is about to be taken away.
    """

    name: str
    rack: str = ""
    cores: float = 0
    memory_mb: float = 0
    accelerators: float = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecord:
    """Action of the owner: append `record` to the zone's stream."""

    record: dict


class Assignment:
    """An attempt of a task that runs, or may run, on a worker."""

    __slots__ = (
        "allotment_key",
        "boot_id",
        "job",
        "lease_end",
        "listed_at",
        "phase",
        "renewed_at",
        "size",
        "start_unanswered_until",
        "stop_order",
        "stop_requested_at",
        "task",
        "task_key",
        "throttled",
        "worker",
    )

    def __init__(
        self, task, job, task_key, worker, allotment_key, size, phase
    ):
        self.task = task
        self.job = job
        # (job id, index); None for a second attempt of the same task, which
        # is stopped, and for a task whose id is malformed.
        self.task_key = task_key
        self.worker = worker
        self.allotment_key = allotment_key
        self.size = size
        self.phase = phase
        self.boot_id = None
        # Latest end, on this process's clock, of any lease that the task
        # may hold.
        self.lease_end = -math.inf
        # A start whose reply was lost may still arrive until then.
        self.start_unanswered_until = -math.inf
        self.renewed_at = -math.inf
        # When the worker first listed the task.
        self.listed_at = math.inf
        # None or the order that each request to the worker repeats:
        # "checkpoint", "throttle" or "stop".
        self.stop_order = None
        self.stop_requested_at = 0.0
        self.throttled = False

    @property
    def may_have_run(self):
        """Whether the task has run, or its start may have arrived."""
        return self.phase == RUNNING or (
            self.phase == SENT and self.start_unanswered_until > -math.inf
        )


class Worker:
    """State of one worker and of the exchanges with it."""

    __slots__ = (
        "acks",
        "answering",
        "assignments",
        "boot_id",
        "busy_until",
        "clock_read_at",
        "clock_s",
        "drained",
        "info",
        "last_request_at",
        "list_request_sent_at",
        "pending_request_at",
        "pending_starts",
        "task_list_read",
        "unlisted",
    )

    def __init__(self, info):
        self.info = info
        self.unlisted = False
        self.boot_id = None
        # Whether the worker was about to leave since its last answer.
        self.drained = info.leaving
        self.clock_s = 0.0
        self.clock_read_at = 0.0
        self.task_list_read = False
        # Send time of the last request that was answered with a task list.
        self.list_request_sent_at = -math.inf
        self.answering = False
        self.assignments = {}
        self.acks = set()
        self.pending_request_at = None
        self.pending_starts = ()
        self.last_request_at = -math.inf
        self.busy_until = -math.inf
