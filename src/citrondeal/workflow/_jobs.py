"""Life cycle of jobs, steps and tasks."""

import dataclasses
import enum

from citrondeal.workflow import _model

STATES = _model.JobState
# Stands for the number of a run that only the worker knows.
ANY_NUMBER = 0
# A job that takes so many times its objective is of no more use to its
# client.
USELESS_FACTOR = 3


class RunState(enum.StrEnum):
    """Where a run is between its order and its end."""

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
        When the start was decided; the adoption time after a takeover.
    confirmed_at : float or None
        When the worker last answered a start or stop of it.  A report
        that was asked for later and does not list the run proves its end.
    stop_sent_at : float or None
    percent : float
    progress_at : float
        When `percent` last rose.
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


@dataclasses.dataclass(slots=True, eq=False)
class TaskState:
    """A task and its current run."""

    id: _model.TaskId
    step: object
    done: bool = False
    run: Run | None = None
    checkpoint: str = ""
    failures: set = dataclasses.field(default_factory=set)
    avoid: set = dataclasses.field(default_factory=set)


class StepState:
    """One step of a job.

    Parameters
    ----------
    job : JobRecord
    index : int
        Position in the job.
    spec : Step
    remaining_s : float
        Longest chain of estimates from its start to the end of the job.
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
        self.asked = {}  # incarnation by worker that tickets were asked for
        self.tickets = {}
        self.calls = 0  # for tickets, without an answer yet
        self.fetch_after = 0.0
        self.reserving = False

    @property
    def done(self):
        """Whether all tasks have ended well."""
        return self.done_count == len(self.tasks)

    @property
    def ready(self):
        """Whether its turn has come."""
        steps = self.job.steps
        return not self.done and all(steps[i].done for i in self.spec.after)

    def waiting(self):
        """Return the tasks that are neither done nor have a run."""
        return [t for t in self.tasks if not t.done and t.run is None]

    def counter_of(self, task):
        """Return the task under which failures of `task` are counted."""
        return self.tasks[0] if self.spec.gang else task

    def mark_done(self, task):
        """Note that a task has ended well; one end ends a whole gang."""
        for each in self.tasks if self.spec.gang else [task]:
            if not each.done:
                each.done = True
                self.done_count += 1


class JobRecord:
    """One accepted job.

    Parameters
    ----------
    submission : Submission
    offset : int
        Position of the submission in the log.
    now : float
        Seconds on the scheduler's clock at which the job was accepted.
    recovered : bool
        Whether an earlier owner may have started tasks of it.
    """

    def __init__(self, submission, offset, now, recovered=False):
        self.id = submission.job
        self.submission = submission
        self.offset = offset
        self.known_at = now
        self.recovered = recovered
        self.state = STATES.QUEUED
        self.stored_state = STATES.QUEUED
        self.ended_at = now
        self.submission_dropped = False
        remaining = _remaining_s(submission.steps)
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
        """Policy of its queue."""
        return self.submission.policy

    @property
    def ended(self):
        """Whether nothing of it may start any more."""
        return self.state in (
            STATES.COMPLETED,
            STATES.FAILED,
            STATES.CANCELLED,
        )

    @property
    def done(self):
        """Whether all steps are done."""
        return all(step.done for step in self.steps)

    @property
    def shown_state(self):
        """State for clients: an end is shown only once it is stored."""
        if self.ended and self.stored_state != self.state:
            return STATES.RUNNING
        return self.state

    def tasks(self):
        """Return all tasks of all steps."""
        return [task for step in self.steps for task in step.tasks]

    def progress(self):
        """Return what is to be stored of it."""
        if self.ended:
            return _model.Progress(self.state)
        failures = {
            f"{task.id.step}.{task.id.index}": sorted(task.failures)
            for task in self.tasks()
            if task.failures
        }
        done = tuple(_bitmap(step) for step in self.steps)
        return _model.Progress(self.state, done, failures)

    def restore(self, progress):
        """Take over the stored progress."""
        self.state = progress.state
        self.stored_state = progress.state
        for step, bits in zip(self.steps, progress.done):
            value = int.from_bytes(bits, "little")
            for task in step.tasks:
                if value >> task.id.index & 1 and not task.done:
                    task.done = True
                    step.done_count += 1
        for key, runs in progress.failures.items():
            step, _, index = key.partition(".")
            self.steps[int(step)].tasks[int(index)].failures.update(runs)


def _bitmap(step):
    value = sum(1 << task.id.index for task in step.tasks if task.done)
    return value.to_bytes((len(step.tasks) + 7) // 8, "little")


def _remaining_s(steps):
    """Return for each step the longest chain of estimates from it on."""
    remaining = [step.estimate_s for step in steps]
    for index in reversed(range(len(steps))):
        for before in steps[index].after:
            remaining[before] = max(
                remaining[before],
                steps[before].estimate_s + remaining[index],
            )
    return remaining
