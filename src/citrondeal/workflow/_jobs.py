"""State and life cycle of jobs, steps, tasks and runs."""

import dataclasses
import enum
import math

from citrondeal.workflow import _kinds
from citrondeal.workflow import _limits
from citrondeal.workflow import _model
from citrondeal.workflow import _record_size
from citrondeal.workflow import _waits

STATES = _model.JobState
FINAL_STATES = (STATES.COMPLETED, STATES.FAILED, STATES.CANCELLED)
# Number of a run whose actual number only its worker knows.
UNKNOWN_RUN_NUMBER = 0
# Stands for a run that may have ended by a crash which no owner has seen.
UNSEEN_RUN_NUMBER = -1
# The result of a job is of no more use to its client after this many times its
# time objective.
USELESS_FACTOR = 3


class RunState(enum.StrEnum):
    """Phase of a run between its order and its end."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a worker.

    Attributes
    ----------
    task : TaskState
    number : int
    worker : str
    state : RunState
    ordered_at : float
        When the start was decided, or when this owner took the run over.
    confirmed_at : float or None
        When the worker last confirmed its start or stop, or reported it for
        the first time; None while an order is unconfirmed.  A report that
        was requested later and does not list the run proves its end.
    stop_sent_at : float or None
        When the stop was last sent.
    percent : float
        Progress, from 0 to 100.
    progress_at : float
        When `percent` last rose.
    stored_number : int
        Its number in the stored record of the worker, if `number` is
        unknown.
    isolated : bool
        Whether no other task is placed on its worker while it runs.
    unanswered : bool
        Whether its start got no answer and no report has listed it.
    open_until : float or None
        Until when a later incarnation of its worker may carry out its start,
        infinite until the start is answered; None if none may.
    alive_at : float
        Latest time at which it is known not to have ended.
    missing_at : float or None
        When a report that may omit ends first did not list it as running.
    born_ms : int
        Incarnation of the worker that has listed it in a report; 0 if none
        has, so that a later one may have carried out its start.
    crash : object
        Crash of the worker that has ended it unless the next incarnation
        lists it; None if there is none.
    watch : Watch or None
        Progress in its reports so far.
    """

    task: object
    number: int
    worker: str
    state: RunState
    ordered_at: float
    confirmed_at: float | None = None
    stop_sent_at: float | None = None
    percent: float = 0.0
    progress_at: float = 0.0
    stored_number: int = UNKNOWN_RUN_NUMBER
    isolated: bool = False
    unanswered: bool = False
    open_until: float | None = None
    alive_at: float = -math.inf
    missing_at: float | None = None
    born_ms: int = 0
    crash: object = None
    watch: object = None

    @property
    def arrival_unknown(self):
        """Whether it is not known that its start arrived at the worker."""
        return self.unanswered or self.state is RunState.STARTING

    @property
    def last_known_number(self):
        """Its number, or the stored one if it is unknown."""
        return self.number or self.stored_number


@dataclasses.dataclass(slots=True, eq=False)
class TaskState:
    """State of a task.

    Attributes
    ----------
    id : TaskId
    step : StepState
    done : bool
    run : Run or None
        The current run.
    checkpoint : str
        Checkpoint from which the next run resumes; empty if there is none.
    failures : set of int
        Numbers of the failed runs.
    avoid : set of str
        Ids of the workers on which a run failed.
    crashes : set of int
        Numbers of the runs that ended by a crash of their worker, without
        those in `excused`.
    outage_crashes : set of int
        Those of `crashes` that this owner saw in an outage of many workers.
    stored_crashes : frozenset of int
        Those of `crashes` and `excused` that are stored for the next owner.
    excused : set of int
        Numbers of such runs that are not counted, and `UNSEEN_RUN_NUMBER` if
        there may be one more.
    open_starts : dict of int to dict of str to Place
        By run number and worker; see `OpenStart`.
    isolation_wanted_at : float or None
        Since when it waits for a worker that runs nothing else.
    """

    id: _model.TaskId
    step: object
    done: bool = False
    run: Run | None = None
    checkpoint: str = ""
    failures: set = dataclasses.field(default_factory=set)
    avoid: set = dataclasses.field(default_factory=set)
    crashes: set = dataclasses.field(default_factory=set)
    outage_crashes: set = dataclasses.field(default_factory=set)
    stored_crashes: frozenset = frozenset()
    excused: set = dataclasses.field(default_factory=set)
    open_starts: dict = dataclasses.field(default_factory=dict)
    isolation_wanted_at: float | None = None


class StepState:
    """State of one step of a job.

    Parameters
    ----------
    job : JobRecord
    index : int
        Position in the job.
    spec : Step
    remaining_s : float
        Estimated seconds from its start to the end of the job: the longest
        chain of dependent steps.

    Attributes
    ----------
    wants_fast : bool
        Whether its tasks go to fast workers first.
    ends_by : float
        Time by which its tasks end if they start now; infinite if unknown.
    kind : str
        Kind of its tasks, see `_kinds`.
    partner_costs : dict of str to float
        Costs of a place beside tasks of other kinds.
    wait : StepWait
    """

    def __init__(self, job, index, spec, remaining_s):
        self.job = job
        self.id = _model.StepId(job.id, 0, index)
        self.spec = spec
        self.remaining_s = remaining_s
        self.tasks = [
            TaskState(_model.TaskId(job.id, 0, index, i), self)
            for i in range(spec.tasks)
        ]
        self.done_count = 0
        self.asked_incarnations = {}  # by id of a worker asked about
        self.tickets = {}
        self.open_calls = 0  # requests for tickets without an answer
        self.open_renewals = set()  # tuples of the ids that each one names
        self.ask_again_at = 0.0
        self.reserving = False
        self.ends_by = math.inf
        self.wants_fast = False
        # Until when tasks are only placed in a single rack, see `_racks`.
        self.rack_wait_until = None
        self.on_several_racks = False
        self.kind = _kinds.kind_of(job.policy.queue, spec.image)
        self.partner_costs = {}
        self.wait = _waits.StepWait()

    @property
    def done(self):
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def ready(self):
        """Whether it is not done, and all steps that it depends on are."""
        steps = self.job.steps
        return not self.done and all(steps[i].done for i in self.spec.after)

    def waiting(self):
        """Return the tasks that are neither done nor have a run."""
        return [t for t in self.tasks if not t.done and t.run is None]

    def accounting_task(self, task):
        """Return the task that holds failures and checkpoint of `task`.

        A gang fails and resumes as a whole, so its first task holds them.
        """
        return self.tasks[0] if self.spec.gang else task

    def mark_done(self, task):
        """Mark a task as done, or all tasks of a gang."""
        for member in self.tasks if self.spec.gang else [task]:
            if not member.done:
                member.done = True
                self.done_count += 1


class JobRecord:
    """State of one accepted job.

    Parameters
    ----------
    submission : Submission
    offset : int
        Position of the submission in the log.
    now : float
        Seconds on the scheduler's clock at which the job was accepted.
    recovered : bool
        Whether an earlier owner may have started tasks of it.

    Attributes
    ----------
    service : str
        Service whose workers run its tasks.
    record_bytes : int
        Largest size that its stored progress can have.
    has_unrecorded : bool
        See `Progress`.
    has_unseen : bool
        Whether any task may have had a crash that no owner has seen.
    excess : bool
        Whether it exceeds the rate of its account, see `AccountRates`.
    """

    def __init__(self, submission, offset, now, recovered=False):
        self.id = submission.job
        self.submission = submission
        self.service = submission.policy.service
        self.offset = offset
        self.accepted_at = now
        self.recovered = recovered
        self.state = STATES.QUEUED
        self.stored_state = STATES.QUEUED
        self.ended_at = now
        self.submission_dropped = False
        self.excess = False
        self.has_unseen = False
        self.has_unrecorded = False
        self.record_bytes = _record_size.empty_progress(submission)
        remaining = _longest_chains_s(submission.steps)
        self.steps = [
            StepState(self, i, spec, remaining[i])
            for i, spec in enumerate(submission.steps)
        ]
        policy = submission.policy
        longest = max(remaining, default=0.0)
        objective_s = policy.stretch * longest + policy.target_s
        self.due_at = now + objective_s
        self.useless_at = now + USELESS_FACTOR * objective_s

    @property
    def policy(self):
        """Configuration of its queue when the job was accepted."""
        return self.submission.policy

    @property
    def ended(self):
        """Whether it is in a final state, so that no task may start."""
        return self.state in FINAL_STATES

    @property
    def done(self):
        """Whether all steps are done."""
        return all(step.done for step in self.steps)

    @property
    def client_state(self):
        """State for clients, which see the end only once it is stored."""
        if self.ended and self.stored_state != self.state:
            return STATES.RUNNING
        return self.state

    def tasks(self):
        """Return all tasks of all steps."""
        return [task for step in self.steps for task in step.tasks]

    def has_room(self, size):
        """Return whether so many bytes more fit in its stored progress."""
        return self.record_bytes + size <= _limits.MAX_RECORD_BYTES

    def add_run(self, numbers, task, number):
        """Add a run to the failed or crashed runs of a task.

        Parameters
        ----------
        numbers : set of int
            `failures`, `crashes` or `excused` of the task.
        task : TaskState
        number : int

        Returns
        -------
        bool
            False if it would not fit in the stored progress.
        """
        size = _added_bytes(numbers, task, number)
        if not self.has_room(size):
            return False
        self.record_bytes += size
        numbers.add(number)
        return True

    def add_unseen(self, task):
        """Record that a crash of a task may have been seen by no owner."""
        if not self.add_run(task.excused, task, UNSEEN_RUN_NUMBER):
            self.has_unseen = True

    def restore_runs(self, numbers, task, stored):
        """Take over stored runs, which have fitted in a record."""
        for number in stored:
            self.record_bytes += _added_bytes(numbers, task, number)
            numbers.add(number)

    def progress(self):
        """Return its `Progress` to be stored."""
        if self.ended:
            return _model.Progress(self.state, account=self.submission.account)
        tasks = {
            task_key(task): task
            for task in self.tasks()
            if task.failures
            or task.crashes
            or task.excused
            or task.open_starts
        }
        return _model.Progress(
            self.state,
            tuple(_bitmap(step) for step in self.steps),
            {k: sorted(t.failures) for k, t in tasks.items() if t.failures},
            {k: sorted(t.crashes) for k, t in tasks.items() if t.crashes},
            {k: sorted(t.excused) for k, t in tasks.items() if t.excused},
            {k: _open_starts(t) for k, t in tasks.items() if t.open_starts},
            self.has_unseen,
            self.has_unrecorded,
            self.submission.account,
        )

    def restore(self, progress):
        """Take over the stored progress."""
        self.state = progress.state
        self.stored_state = progress.state
        self.has_unseen = progress.has_unseen
        self.has_unrecorded = progress.has_unrecorded
        for step, bits in zip(self.steps, progress.done):
            value = int.from_bytes(bits, "little")
            for task in step.tasks:
                if value >> task.id.index & 1 and not task.done:
                    task.done = True
                    step.done_count += 1
        for key, runs in progress.failures.items():
            task = self.task_of_key(key)
            self.restore_runs(task.failures, task, runs)

    def task_of_key(self, key):
        """Return the task of a key of its progress, see `task_key`.

        Raises
        ------
        IndexError, ValueError
            If there is no such task.
        """
        step, _, index = key.partition(".")
        return self.steps[int(step)].tasks[int(index)]


def task_key(task):
    """Return the key of a task in the progress of its job."""
    return f"{task.id.step}.{task.id.index}"


def _added_bytes(numbers, task, number):
    if number in numbers:
        return 0
    size = _record_size.number(number)
    return size if numbers else size + _record_size.entry(task_key(task))


def _open_starts(task):
    return [
        _model.OpenStart(number, dict(places))
        for number, places in sorted(task.open_starts.items())
    ]


def _bitmap(step):
    value = sum(1 << task.id.index for task in step.tasks if task.done)
    return value.to_bytes((len(step.tasks) + 7) // 8, "little")


def _longest_chains_s(steps):
    """Return for each step the longest chain of estimates that it begins."""
    remaining = [step.estimate_s for step in steps]
    for index in reversed(range(len(steps))):
        for predecessor in steps[index].after:
            remaining[predecessor] = max(
                remaining[predecessor],
                steps[predecessor].estimate_s + remaining[index],
            )
    return remaining
