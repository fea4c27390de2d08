"""Steps for tasks under which workers crash."""

import collections
import json

from behave import then
from behave import when

from citrondeal import jobs
from citrondeal.jobs.tests import steps

# Time in which a task that is not given up has started again.
RESTART_LIMIT_S = 120


def workers_of(context, job):
    """Return the workers that run a task of the job."""
    return [
        worker
        for worker in context.workers
        if any(t["job"] == job for t in worker.running(context.now))
    ]


def reset_counts(context):
    context.crashes = 0
    context.crashes_by_task = collections.Counter()


def crash_workers(context, job):
    """Restart the workers that run a task of the job, and return them."""
    crashed = workers_of(context, job)
    for worker in crashed:
        for task in worker.running(context.now):
            parts = jobs.parse_task_id(task["task"])
            context.crashes_by_task[parts[:2]] += 1
        worker.reboot()
    context.crashes += len(crashed)
    return crashed


def wait_for_start(context, job):
    """Return whether a task of the job starts in time."""
    for _ in range(RESTART_LIMIT_S * 2):
        if workers_of(context, job):
            return True
        steps.step(context)
    return False


def run_with_ends(context, task_s, crash):
    """Run for 120 s; each task ends after `task_s` seconds."""
    started_at = {}
    for _ in range(120 * 2):
        steps.step(context)
        crash()
        for worker in context.workers:
            for task in worker.running(context.now):
                name = task["task"]
                started_at.setdefault(name, context.now)
                if context.now >= started_at[name] + task_s:
                    worker.end(name, "finished")


@when('jobs each worker that runs "{job}" restarts, for {seconds:d} s')
def _(context, job, seconds):
    reset_counts(context)
    for _ in range(seconds * 2):
        steps.step(context)
        crash_workers(context, job)


@when(
    'jobs each worker that runs "{job}" restarts,'
    " and other tasks take {seconds:d} s"
)
def _(context, job, seconds):
    reset_counts(context)
    run_with_ends(context, seconds, lambda: crash_workers(context, job))


@when(
    'jobs each worker that runs "{job}" restarts,'
    " and another scheduler takes over"
)
def _(context, job):
    reset_counts(context)
    while wait_for_start(context, job) and context.crashes < 20:
        crash_workers(context, job)
        # An idle worker is asked every 5 s.
        steps.run(context, 6)
        steps.take_over(context, 3)


@when(
    'jobs each worker that runs "{job}" restarts,'
    " and another scheduler takes over at once"
)
def _(context, job):
    reset_counts(context)
    while wait_for_start(context, job) and context.crashes < 20:
        crash_workers(context, job)
        steps.take_over(context, 3)


@when(
    'jobs each worker that runs "{job}" restarts,'
    " and another scheduler with a snapshot takes over"
)
def _(context, job):
    reset_counts(context)
    while wait_for_start(context, job) and context.crashes < 20:
        crash_workers(context, job)
        # An idle worker is asked every 5 s.
        steps.run(context, 6)
        owner = context.schedulers[0].owner
        snapshot = json.loads(json.dumps(owner.job_table.snapshot()))
        steps.take_over(context, 3)
        scheduler = context.schedulers[0]
        table = jobs.JobTable.from_snapshot(snapshot)
        scheduler.owner.replace_job_table(table, context.now)


@when(
    'jobs each worker that runs "{job}" restarts and is away for {seconds:d} s'
)
def _(context, job, seconds):
    reset_counts(context)
    away_until = {}
    for _ in range(600 * 2):
        steps.step(context)
        for worker in crash_workers(context, job):
            away_until[worker.name] = context.now + seconds
        for name, link in context.links.items():
            link.cut = context.now < away_until.get(name, 0.0)


@when(
    'jobs {count:d} times the worker of "{job}" is cut off for {seconds:d} s'
)
def _(context, count, job, seconds):
    for _ in range(count):
        [worker] = workers_of(context, job)
        context.links[worker.name].cut = True
        steps.run(context, seconds)
        context.links[worker.name].cut = False
        steps.run(context, 5)


@when('jobs {count:d} times the worker of "{job}" is leaving and restarts')
def _(context, count, job):
    for _ in range(count):
        [worker] = workers_of(context, job)
        worker.leaving = True
        steps.publish(context)
        worker.reboot()
        worker.leaving = False
        steps.publish(context)
        steps.run(context, 5)


@when("jobs appends of intents are lost")
def _(context):
    context.lost_intents = []

    def append(record):
        if record["kind"] == "intent":
            context.lost_intents.append(record)
        else:
            context.log.records.append(record)

    context.log.append = append


@when("jobs lost appends of intents arrive late")
def _(context):
    del context.log.append
    assert context.lost_intents
    context.log.records.extend(context.lost_intents)
    steps.run(context, 2)


@when(
    'jobs {count:d} times the worker of "{job}" is left by its tasks'
    " and restarts"
)
def _(context, count, job):
    for _ in range(count):
        [worker] = workers_of(context, job)
        worker.leaving = True
        steps.publish(context)
        steps.run(context, 10)
        assert worker not in workers_of(context, job)
        worker.reboot()
        worker.leaving = False
        steps.publish(context)
        steps.run(context, 5)


@then('jobs at most {limit:d} workers restarted because of "{job}"')
def _(context, limit, job):
    assert 1 <= context.crashes <= limit, context.crashes


@then(
    'jobs at most {limit:d} workers restarted because of any task of "{job}"'
)
def _(context, limit, job):
    counts = [n for key, n in context.crashes_by_task.items() if key[0] == job]
    assert 1 <= max(counts) <= limit, counts


@then('jobs the reason of "{job}" has "{text}"')
def _(context, job, text):
    status = context.schedulers[0].owner.status(job)
    assert text in status["reason"], status


@then("jobs {count:d} tasks were given up")
def _(context, count):
    crashes = context.schedulers[0].owner.crashes
    assert crashes.tasks_given_up == count, crashes.dump()


@then('jobs task {index:d} of "{job}" has {count:d} crashes')
def _(context, index, job, count):
    status = context.schedulers[0].owner.status(job)
    assert status["task_states"][index]["crashes"] == count, status


@then("jobs a snapshot without crashes is read")
def _(context):
    table = context.schedulers[0].owner.job_table
    snapshot = table.snapshot()
    for job in snapshot["state"]["open"]:
        del job["crashes"], job["give_up"]
    del snapshot["state"]["starts"]
    restored = jobs.JobTable.from_snapshot(snapshot)
    assert restored.snapshot() == table.snapshot()
