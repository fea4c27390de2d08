"""Settings, workers and places of the pool owner."""

import dataclasses
import math

# Phases of a place.  INTENT waits for the read-back of the intent record,
# READY waits for the next exchange with the worker, SENT waits for the
# worker to list the task.
INTENT, READY, SENT, RUNNING = "intent", "ready", "sent", "running"
ENDED_STATES = ("finished", "failed", "checkpointed", "expired")


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerConfig:
    """Settings of the owner's view; all times in seconds.

    Parameters
    ----------
    task_ttl_s : float
        Length of a renewed task lease.  Longer than the validity of an
        owner plus a takeover, so that the failure of an owner ends no
        healthy task.
    lease_margin_s : float
        Added to every lease end before its task counts as ended; covers
        the difference in rate between two clocks.
    renew_after_s : float
        Age of a lease at which it is renewed, in every second exchange
        with a quiet worker.  At least 15 s of a lease are left when its
        owner fails; a takeover takes about 6 s.
    first_renewal_s : float
        Age at which a new task is renewed for the first time.  Its first
        lease ends with our validity; a task that is not renewed yet when
        its owner fails is lost.
    list_lag_s : float
        Time within which all schedulers read a change of the list of VMs.
    unlisted_hold_s : float
        Time for which a worker that has left the list may still be renewed
        by an owner that keeps an old list because it cannot read a new one.
    min_lease_s : float
        No start is sent with less of our own validity left; the first
        renewal has to follow within this time.
    poll_s, idle_poll_s : float
        Period of the exchanges with a worker on which something happens,
        and with the others.  The reply lists every task (about 115 bytes
        each), so that one exchange per second with each of 203 workers is
        about 340 KB/s.
    busy_s : float
        Time after a start, stop or end for which a worker counts as one
        on which something happens; most faulty tasks fail within it.
    clock_age_s : float
        No start is sent on an older reading of the worker's clock, since
        the difference in rate adds up.
    append_retry_s : float
        A record that is not read back is appended again after this time.
    batch_tasks : int
        Entries per ``finished`` record, about 100 bytes each.
    restart_pause_s, restart_limit_s : float
        First and longest pause before a failed task is started again.
    refused_pause_s : float
        Pause after a worker did not accept a start.
    checkpoint_limit_s : float
        Time for a checkpoint on a leaving worker before it is stopped.
    move_share : float
        Part of a service's tasks that may be on the move at once.
    place_rounds : int
        Calls of `placement.Pool.place` per tick (64 starts, a few
        milliseconds each), so that a tick does not delay the event loop.
    max_unrecorded : int
        Ended tasks without a record (about 500 bytes each, also on the
        workers) at which no further task is started; reached only if the
        log is down for long.
    """

    task_ttl_s: float = 30.0
    lease_margin_s: float = 0.5
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
    """`record` is to be appended to the zone's stream."""

    record: dict


class Assignment:
    """A task that runs, or may run, on a worker."""

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
        # (job id, index); None for a second place of the same task.
        self.task_key = task_key
        self.worker = worker
        self.allotment_key = allotment_key
        self.size = size
        self.phase = phase
        self.boot_id = None
        # Latest end, on our clock, of any lease that the task may hold.
        self.lease_end = -math.inf
        # Until then a start whose reply was lost may still arrive.
        self.start_unanswered_until = -math.inf
        self.renewed_at = -math.inf
        self.listed_at = math.inf
        self.stop_order = None
        self.stop_requested_at = 0.0
        self.throttled = False


class Worker:
    """What is known about one worker."""

    __slots__ = (
        "acks",
        "answering",
        "assignments",
        "boot_id",
        "busy_until",
        "clock_read_at",
        "clock_s",
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
        self.clock_s = 0.0
        self.clock_read_at = 0.0
        self.task_list_read = False
        # Send time of the last request that was answered with a list.
        self.list_request_sent_at = -math.inf
        self.answering = False
        self.assignments = {}
        self.acks = set()
        self.pending_request_at = None
        self.pending_starts = ()
        self.last_request_at = -math.inf
        self.busy_until = -math.inf
