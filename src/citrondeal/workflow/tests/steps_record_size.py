"""Steps for the size of a job's stored progress."""

import logging
import logging.handlers
import sys

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow import _events
from citrondeal.workflow import _limits

LEASE_S = 10.0
# Run numbers of this epoch take nine bytes, the most of any number.
EPOCH = 10**13
# The names of the workers are longer than those of the platform.
WORKER = "worker-" + 60 * "x"
TASKS = _limits.MAX_TASKS
LEADING_STEPS = 100  # of one task each, so that all other keys are long
REPORT_ENDS = 250  # ends in one report
MAX_ATTEMPTS = 100
TOO_LARGE = "job has too many failed and crashed runs to store"


class WideJob:
    """The widest job on one worker, and the size of its progress.

    Attributes
    ----------
    largest_bytes : int
        Largest size of the progress after any event.
    rounds : int
        Kinds of events that have begun.
    """

    def __init__(self):
        counts = [1] * LEADING_STEPS + [TASKS - LEADING_STEPS]
        size = workflow.Size(1, 1)
        steps = tuple(workflow.Step(count, size, 1.0) for count in counts)
        _limits.check_steps(steps)
        policy = workflow.Policy(
            "queue", "service", 1, MAX_ATTEMPTS, stretch=1e6
        )
        self.submission = workflow.Submission("wide", "", steps, policy)
        self.scheduler = self.new_owner(EPOCH)
        self.job = self.scheduler.jobs["wide"]
        self.now = 100.0
        self.born_ms = 2**40
        self.next_run = EPOCH * 100_000
        self.largest_bytes = 0
        self.rounds = 0
        self.report([], [])

    def new_owner(self, epoch):
        """Return an owner that knows the job."""
        scheduler = workflow.Scheduler(workflow.Config(LEASE_S), epoch)
        scheduler.on_submission(self.submission, 0, 100.0, True)
        return scheduler

    def play(self, event):
        """Let an event happen to all tasks."""
        if self.job.ended:
            return
        if event.startswith("failure"):
            self.fail()
        elif event.startswith("crash"):
            self.crash()
        else:
            self.lapse()

    def fail(self):
        """Let one run of each task fail."""
        runs = self.take_runs()
        for first in range(0, TASKS, REPORT_ENDS):
            ends = [
                workflow.RunEnd(
                    first + i + 1, t, n, workflow.RunOutcome.FAILED, ""
                )
                for i, (t, n) in enumerate(runs[first : first + REPORT_ENDS])
            ]
            self.report([], ends)
        self.restart_worker()

    def crash(self):
        """Let the worker crash while it runs all tasks."""
        self.run_all()
        self.restart_worker()

    def lapse(self):
        """Let the leases of all tasks lapse, and the worker never return."""
        self.run_all()
        self.scheduler.on_renewal_failed(self.worker_id, "cut", self.now)
        self.now += 2 * LEASE_S
        self.scheduler.plan(self.now)
        self.measure()
        self.born_ms += 1

    def run_all(self):
        """Let the worker report that it runs all tasks."""
        running = [
            workflow.ReportedRun(t, n, "", 0.0) for t, n in self.take_runs()
        ]
        self.report(running, [])
        assert len(self.scheduler.workers[self.worker_id].runs) == TASKS

    def take_runs(self):
        """Return each task with a new run number."""
        first = self.next_run
        self.next_run += TASKS
        return [(t.id, first + i) for i, t in enumerate(self.job.tasks())]

    def restart_worker(self):
        """Let the worker begin a new incarnation."""
        self.born_ms += 1
        self.report([], [])

    @property
    def worker_id(self):
        """Id of the worker, another one after each lapse."""
        return f"{WORKER}{self.rounds}"

    def report(self, running, ends):
        """Let the worker report, and measure the progress."""
        self.now += 1.0
        name = self.worker_id
        info = workflow.WorkerInfo(
            name,
            f"{name}:1",
            "service",
            "zone",
            born_ms=self.born_ms,
        )
        self.scheduler.on_worker(info, self.now)
        self.scheduler.workers[name].extend_lease(self.now, LEASE_S)
        report = workflow.Report(self.now, self.born_ms, running, ends)
        self.scheduler.on_report(name, report, self.now, self.now)
        self.measure()

    def measure(self):
        """Compare the size of the progress with the one that is counted."""
        size = len(workflow.encode(self.job.progress()))
        self.largest_bytes = max(self.largest_bytes, size)
        assert self.job.ended or size <= self.job.record_bytes, (
            size,
            self.job.record_bytes,
        )


@given("the widest workflow job that is accepted, with the largest numbers")
def _(context):
    context.wide = WideJob()


@when("all its tasks have {history}")
def _(context, history):
    handler = logging.handlers.BufferingHandler(sys.maxsize)
    logger = logging.getLogger(_events.__name__)
    logger.addHandler(handler)
    logger.setLevel(logging.WARNING)
    try:
        _play(context.wide, history)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(logging.NOTSET)
    context.messages = [record.getMessage() for record in handler.buffer]


def _play(wide, history):
    for part in history.split(", "):
        count, event = part.split()
        wide.rounds += 1
        for _ in range(int(count)):
            wide.play(event)


@then("its progress has always fitted in a record")
def _(context):
    largest = context.wide.largest_bytes
    assert largest <= _limits.MAX_RECORD_BYTES, largest


@then("the workflow job has {end}")
def _(context, end):
    wide = context.wide
    if end == "not ended":
        assert not wide.job.ended, (wide.job.state, wide.largest_bytes)
        return
    assert wide.job.state is workflow.JobState.FAILED, wide.job.state
    assert TOO_LARGE in context.messages, context.messages[-3:]


@then("the next owner knows the same size of the progress")
def _(context):
    wide = context.wide
    data = workflow.encode(wide.job.progress())
    scheduler = wide.new_owner(EPOCH + 1)
    scheduler.restore("wide", workflow.decode_progress(data), wide.now)
    restored = scheduler.jobs["wide"].record_bytes
    assert restored == wide.job.record_bytes, restored
    assert len(data) <= restored, (len(data), restored)
