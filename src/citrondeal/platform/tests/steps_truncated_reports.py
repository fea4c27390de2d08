"""Steps for reports that cannot list all ends of runs."""

import collections
import dataclasses
import json

from behave import given
from behave import then
from behave import when

from citrondeal.platform import _names
from citrondeal.platform import _runners
from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses

CAPACITY = workflow.Size(1_000_000, 100_000)
TASK_CORES = 0.5
GANG_SIZE = 4
LISTED_ENDS = 500
REPORTS = 12


class _Runner:
    """A runner whose answers to renewals are encoded as on the platform."""

    def __init__(self):
        self.born = 1
        self.running = {}  # task -> run
        self.ended = []
        self._end_count = 0

    def end_all(self):
        """Let all tasks that run succeed."""
        for task, run in self.running.items():
            self._end_count += 1
            name = _names.task_name(task)
            self.ended.append([self._end_count, name, run, "done", ""])
        self.running = {}

    def restart(self):
        """Begin a new incarnation, which knows nothing."""
        self.born += 1
        self.running, self.ended, self._end_count = {}, [], 0

    def report(self, acknowledged):
        """Return the decoded answer to a renewal."""
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        running = [
            [_names.task_name(task), run, "", 0]
            for task, run in self.running.items()
        ]
        body = json.dumps(
            {
                "clock-ms": 1000,
                "born": self.born,
                "running": running,
                "ended": self.ended[:LISTED_ENDS],
            }
        )
        return _runners._build_report(
            _runners._RENEWAL_REPLY_DECODER.decode(body)
        )


class _Owner:
    """The owner of a cell with one runner, and what it has started."""

    def __init__(self, tasks, gang):
        self.harness = harnesses.Harness()
        self.info = dataclasses.replace(
            self.harness.infos["w0"], capacity=CAPACITY
        )
        self.scheduler.on_worker(self.info, self.harness.now)
        self.runner = _Runner()
        self.starts = collections.Counter()
        self.harness.submit("1" * 16, TASK_CORES, tasks=tasks)
        if gang:
            self.harness.submit("2" * 16, TASK_CORES, tasks=gang, gang=True)
        self.plan()
        self.report()
        assert len(self.runner.running) == tasks + gang

    @property
    def scheduler(self):
        return self.harness.scheduler

    @property
    def worker(self):
        return self.scheduler.workers["w0"]

    def report(self):
        """Let the runner answer a renewal."""
        self.harness.now += 0.05
        now = self.harness.now
        report = self.runner.report(self.worker.acknowledgement)
        self.scheduler.on_report("w0", report, now - 0.01, now)

    def plan(self):
        """Let the runner carry out all orders."""
        self.harness.now += 0.05
        for action in self.scheduler.plan(self.harness.now):
            outcome = workflow.OrderOutcome.OK
            arguments = (action.task, action.run, "w0", outcome)
            if isinstance(action, workflow.Start):
                self.starts[action.task] += 1
                self.runner.running[action.task] = action.run
                self.scheduler.on_started(*arguments, self.harness.now)
            else:
                self.scheduler.on_stopped(*arguments, self.harness.now)

    def run(self, store_works):
        """Let reports, plans and writes follow each other for a while."""
        for _ in range(REPORTS):
            self.report()
            if store_works:
                self.harness.store()
            self.plan()

    def take_over(self):
        """Replace the owner by one that has read the submissions only."""
        jobs = list(self.scheduler.jobs.values())
        now = self.harness.now
        later = workflow.Scheduler(workflow.Config(harnesses.LEASE_S), 2)
        for job in jobs:
            later.on_submission(job.submission, 0, now, recovered=True)
        later.recover_workers([workflow.StoredWorker(self.info)], now)
        later.on_worker(self.info, now)
        self.harness.scheduler = later


@given("a platform runner with {count:d} tasks")
def _(context, count):
    context.owner = _Owner(count, 0)


@given("a platform runner with {count:d} tasks and a gang of {size:d}")
def _(context, count, size):
    context.owner = _Owner(count, size)


@when("all platform tasks end while the store is away")
def _(context):
    context.owner.runner.end_all()


@when("a platform owner that knows nothing of the runs takes over")
def _(context):
    context.owner.take_over()


@when("the platform job is cancelled")
def _(context):
    owner = context.owner
    owner.run(store_works=False)
    owner.scheduler.on_cancel("1" * 16, owner.harness.now)


@when("the platform runner starts again")
def _(context):
    owner = context.owner
    owner.run(store_works=False)
    owner.runner.restart()
    info = dataclasses.replace(owner.info, born_ms=owner.runner.born)
    owner.scheduler.on_worker(info, owner.harness.now)


@then("platform no task starts again while the store is away")
def _(context):
    owner = context.owner
    owner.run(store_works=False)
    twice = [task for task, count in owner.starts.items() if count > 1]
    assert not twice, len(twice)


@then("platform all tasks have run once when the store is back")
def _(context):
    owner = context.owner
    owner.run(store_works=True)
    assert set(owner.starts.values()) == {1}, owner.starts.most_common(3)
    states = {job.state for job in owner.scheduler.jobs.values()}
    assert states == {workflow.JobState.COMPLETED}, states
    assert not owner.worker.runs


@then("platform all resources are free when the store is back")
def _(context):
    owner = context.owner
    owner.run(store_works=True)
    assert not owner.worker.runs, len(owner.worker.runs)
    assert set(owner.starts.values()) == {1}


@then("platform the tasks without a known end start again, the others do not")
def _(context):
    owner = context.owner
    owner.run(store_works=True)
    counts = collections.Counter(owner.starts.values())
    assert counts == {1: LISTED_ENDS, 2: 100}, counts
