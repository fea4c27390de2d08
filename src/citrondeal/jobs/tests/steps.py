"""Steps for the job records and the owner's view."""

import math

from behave import given
from behave import then
from behave import when

from citrondeal.jobs.tests import fakes


def run(context, seconds):
    for _ in range(int(seconds * 2)):
        context.now += 0.5
        for scheduler in context.schedulers:
            if scheduler.valid_until is not None and not scheduler.paused:
                scheduler.valid_until = context.now + 3.0
        for scheduler in context.schedulers:
            if not scheduler.paused:
                scheduler.step(context.workers, context.now)


def running(context, job):
    return [
        task["task"]
        for worker in context.workers
        for task in worker.running(context.now)
        if task["job"] == job
    ]


@given("jobs a scheduler that owns a pool of {count:d} workers")
def one_owner(context, count):
    context.now = 100.0
    context.log = fakes.Log()
    context.workers = [
        fakes.Worker(f"w{n}", offset=50.0 * n, rack=f"r{n}")
        for n in range(count)
    ]
    scheduler = fakes.Scheduler(context.log)
    context.schedulers = [scheduler]
    scheduler.owner.on_workers([w.info() for w in context.workers], 100.0)
    scheduler.owner.on_gained(1, -math.inf, 100.0)
    scheduler.valid_until = 103.0


@when('jobs "{job}" with {count:d} tasks is submitted and {seconds:g} s pass')
def submit(context, job, count, seconds):
    context.log.append(fakes.submit(job, tasks=count))
    run(context, seconds)


@when('jobs every task ends as "{state}" and {seconds:g} s pass')
def end_all(context, state, seconds):
    for worker in context.workers:
        for task in worker.running(context.now):
            worker.end(task["task"], state)
    run(context, seconds)


@then('jobs {count:d} tasks of "{job}" run')
def tasks_run(context, count, job):
    assert len(running(context, job)) == count, running(context, job)


@then('jobs the state of "{job}" is "{state}"')
def job_state(context, job, state):
    status = context.schedulers[0].owner.status(job)
    assert status["state"] == state, status


@then("jobs no worker lists a task")
def nothing_listed(context):
    assert not any(worker.tasks for worker in context.workers)
