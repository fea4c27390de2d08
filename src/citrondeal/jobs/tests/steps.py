"""Steps for the job table and the pool owner."""

import json
import math

from behave import given
from behave import then
from behave import when

from citrondeal import jobs
from citrondeal.jobs.tests import fakes
from citrondeal.jobs.tests import machine
from citrondeal.jobs.tests import mutations
from citrondeal.jobs.tests import random_records
from citrondeal.workers import _client as workers_client

HUGE = 10**400  # more digits than a float holds
MALFORMED = [
    None,
    {"kind": "submit", "job": {"id": "a", "path": "/b", "run_time_s": HUGE}},
    {"kind": "submit"},
    {"kind": "submit", "job": {"id": "a", "cores": "many"}},
    {"kind": "cancel"},
    {"kind": "finished", "tasks": [{"task": "a/b/c", "outcome": "finished"}]},
]


def step(context):
    """Advance the virtual time by half a second."""
    context.now += 0.5
    for scheduler in context.schedulers:
        if scheduler.paused:
            continue
        scheduler.valid_until = context.now + 3.0
        scheduler.step(links_of(context), context.now)
    for worker in context.workers:
        for task in worker.running(context.now):
            context.started.add(task["task"])
    for job, fewest_running in context.fewest_running.items():
        context.fewest_running[job] = min(
            fewest_running, len(running(context, job))
        )


def links_of(context):
    return [context.links[worker.name] for worker in context.workers]


class Link:
    """Network path to a worker that can be cut, delayed or lossy."""

    def __init__(self, worker):
        self.worker = worker
        self.name = worker.name
        self.cut = False
        self.delayed = None
        self.stops_lost = False
        self.replies_lost = False

    def sync(self, request, now):
        if self.cut:
            return {}
        if self.stops_lost:
            request["stop"] = []
        if self.replies_lost and request["starts"]:
            self.worker.sync(request, now)
            self.replies_lost = False
            self.cut = True
            return {}
        if self.delayed is not None and request["starts"]:
            self.delayed.append(request)
            return {}
        return self.worker.sync(request, now)


def run(context, seconds):
    for _ in range(round(seconds * 2)):
        step(context)


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
    context.links = {worker.name: Link(worker) for worker in context.workers}
    context.started = set()
    context.fewest_running = {}
    context.schedulers = []
    add_scheduler(context, 1, -math.inf)


def add_scheduler(context, epoch, previous_until, config=None):
    scheduler = fakes.Scheduler(context.log, config=config)
    context.schedulers.insert(0, scheduler)
    scheduler.follow(context.now)
    publish(context)
    scheduler.owner.on_gained(epoch, previous_until, context.now)


def publish(context):
    infos = [worker.info() for worker in context.workers]
    for scheduler in context.schedulers:
        scheduler.owner.on_workers(infos, context.now)


@when("jobs {seconds:g} s pass")
def time_passes(context, seconds):
    run(context, seconds)


@when('jobs "{job}" with {count:d} tasks is submitted and {seconds:g} s pass')
def submit(context, job, count, seconds):
    context.log.append(fakes.submit(job, tasks=count))
    run(context, seconds)


@when(
    'jobs {kind} "{job}" with {count:d} tasks is submitted'
    " and {seconds:g} s pass"
)
def submit_kind(context, kind, job, count, seconds):
    fields = {
        "big": {"cores": 2},
        "urgent": {"priority": "urgent"},
    }.get(kind, {"kind": kind})
    context.log.append(fakes.submit(job, tasks=count, **fields))
    run(context, seconds)


@given("jobs at most {count:d} ends may be unrecorded")
def limit_unrecorded(context, count):
    context.schedulers.clear()
    config = jobs.OwnerConfig(max_unrecorded=count)
    add_scheduler(context, 1, -math.inf, config)


@given('jobs workers ignore "{orders}"')
def ignore(context, orders):
    for worker in context.workers:
        worker.ignored_orders = orders.split(",")


@when('jobs "{job}" that must run once is submitted and {seconds:g} s pass')
def submit_once(context, job, seconds):
    context.log.append(fakes.submit(job, once=True))
    run(context, seconds)


@when('jobs "{job}" is cancelled and {seconds:g} s pass')
def cancel(context, job, seconds):
    context.log.append({"kind": "cancel", "job": job})
    run(context, seconds)


@when('jobs an intent "{task}" is appended')
def append_intent(context, task):
    context.log.append({"kind": "intent", "task": task, "worker": "w9"})


@then('jobs task "{task}" runs')
def task_runs(context, task):
    assert task in running(context, task.split("/")[0])


@when("jobs {count:d} malformed records are appended")
def malformed(context, count):
    assert count == len(MALFORMED)
    context.log.records.extend(MALFORMED)


@when('jobs requests to "{name}" are delayed')
def delay(context, name):
    run(context, 1)
    context.links[name].delayed = []


@when('jobs requests to "{name}" are cut after {seconds:g} s')
def cut(context, name, seconds):
    context.links[name].stops_lost = True
    run(context, seconds)
    context.links[name].cut = True


@when('jobs replies of "{name}" to starts are lost')
def lose_replies(context, name):
    context.links[name].replies_lost = True


@when("jobs delayed requests arrive")
def arrive(context):
    for link in context.links.values():
        for request in link.delayed or ():
            link.worker.sync(request, context.now)
        link.delayed = None


@when('jobs the worker of "{job}" does not answer for {seconds:g} s')
def cut_worker(context, job, seconds):
    for worker in context.workers:
        if any(t["job"] == job for t in worker.running(context.now)):
            context.links[worker.name].cut = True
    run(context, seconds)


@when("jobs every worker restarts and {seconds:g} s pass")
def restart_workers(context, seconds):
    for worker in context.workers:
        worker.reboot()
        context.links[worker.name].cut = False
    run(context, seconds)


@when("jobs another scheduler takes over and {seconds:g} s pass")
def take_over(context, seconds):
    old = context.schedulers[0]
    old.paused = True
    context.now = old.valid_until + 0.5
    add_scheduler(context, len(context.schedulers) + 1, old.valid_until)
    run(context, seconds)


@when("jobs the log cannot be read")
def log_unread(context):
    scheduler = context.schedulers[0]
    scheduler.owner.on_lost(context.now)
    scheduler.owner.on_gained(2, context.now, context.now)
    scheduler.follow = lambda now: None


@when("jobs the log can be read")
def log_read(context):
    del context.schedulers[0].follow


@when('jobs worker "{name}" runs {count:d} unknown tasks')
def unknown_tasks(context, name, count):
    worker = context.links[name].worker
    for index in range(count):
        task = f"orphan/{index}/0.1"
        worker.tasks[task] = {
            "task": task,
            "job": "orphan",
            "state": "running",
            "cores": 1,
            "memory_mb": 10,
            "accelerators": 0,
        }
        worker.lease_ends[task] = worker.clock(context.now + 30)


@when('jobs worker "{name}" is leaving and {seconds:g} s pass')
def leaving(context, name, seconds):
    context.links[name].worker.leaving = True
    publish(context)
    context.fewest_running = {"s": math.inf}
    run(context, seconds)


@when('jobs every task ends as "{state}" and {seconds:g} s pass')
def end_all(context, state, seconds):
    for worker in context.workers:
        for task in worker.running(context.now):
            worker.end(task["task"], state)
    run(context, seconds)


@when('jobs one task of "{job}" ends as "{state}" and {seconds:g} s pass')
def end_one(context, job, state, seconds):
    task = running(context, job)[0]
    for worker in context.workers:
        if task in worker.tasks:
            worker.end(task, state)
    run(context, seconds)


@when("jobs appends are lost")
def lose_appends(context):
    context.log.down = True


@when("jobs appends work again and {seconds:g} s pass")
def keep_appends(context, seconds):
    context.log.down = False
    run(context, seconds)


@then('jobs {count:d} tasks of "{job}" run')
def tasks_run(context, count, job):
    assert len(running(context, job)) == count, running(context, job)


@then('jobs {count:d} tasks run on "{name}"')
def tasks_run_on(context, count, name):
    tasks = context.links[name].worker.running(context.now)
    assert len(tasks) == count, tasks


@then('jobs at least {count:d} tasks of "{job}" ran all the time')
def ran_all_the_time(context, count, job):
    assert context.fewest_running[job] >= count, context.fewest_running


@then('jobs "{job}" was started {count:d} times')
def was_started(context, job, count):
    tasks = [t for t in context.started if t.split("/")[0] == job]
    assert len(tasks) == count, tasks


@then('jobs the state of "{job}" is "{state}"')
def job_state(context, job, state):
    status = context.schedulers[0].owner.status(job)
    assert status["state"] == state, status


@then('jobs the reason of "{job}" names {count:d} workers')
def reason(context, job, count):
    status = context.schedulers[0].owner.status(job)
    names = {worker.name for worker in context.workers}
    words = status["reason"].replace(",", "").split()
    assert len(names & set(words)) == count, status


@then("jobs {count:d} records were malformed")
def records_malformed(context, count):
    assert context.schedulers[0].owner.job_table.malformed == count


@then("jobs no worker lists a task")
def nothing_listed(context):
    assert not any(worker.tasks for worker in context.workers)


@then('jobs "{name}" lists {count:d} tasks')
def lists(context, name, count):
    assert len(context.links[name].worker.tasks) == count


@then("jobs pass {count:d} examples of faults with seed {seed:d}")
def faults_pass(context, count, seed):
    machine.run(seed, count)


@then('jobs with "{fault}" fail under random faults from seed {seed:d}')
def faults_found(context, fault, seed):
    # A change of the machine's rules changes what a seed generates, so that
    # a fault may be found only with one of the next seeds.
    for number in range(seed, seed + 6):
        try:
            machine.run(number, 30, mutations.MACHINES[fault])
        except AssertionError:
            return
    raise AssertionError(
        f"{fault!r} was not noticed with seeds {seed} to {seed + 5}"
    )


@then("jobs restored tables agree in {count:d} examples of seed {seed:d}")
def restored_tables_agree(context, count, seed):
    random_records.run(seed, count)


@then("jobs a job table without the job of a running task is taken over")
def replace_table(context):
    [scheduler] = context.schedulers
    owner = scheduler.owner
    [worker] = context.workers
    orphan = {
        "task": "unknown/0/x",
        "job": "unknown",
        "cores": 1,
        "memory_mb": 10,
        "accelerators": 0,
        "state": "running",
    }
    reply = worker.sync({"boot_id": ""}, context.now)
    reply["tasks"] = [orphan]
    assert owner.sync_request(worker.name, context.now, context.now + 3.0)
    owner.on_reply(worker.name, reply, context.now, context.now)
    assert ("unknown", 0) in owner._assigned
    owner.replace_job_table(jobs.JobTable(), context.now)


@then("jobs a reply with a number of too many digits is refused")
def huge_reply(context):
    [worker] = context.workers
    owner = context.schedulers[0].owner
    owner.sync_request(worker.name, context.now, context.now + 3.0)
    reply = worker.sync({"boot_id": ""}, context.now) | {"clock_s": HUGE}
    owner.on_reply(worker.name, reply, context.now, context.now)


@when(
    "jobs each worker lists its tasks with {field} {value}"
    " and {seconds:g} s pass"
)
def odd_listing(context, field, value, seconds):
    for worker in context.workers:
        for task in worker.running(context.now):
            task[field] = json.loads(value)
    run(context, seconds)


@then("jobs a deeply nested reply of a worker is refused")
def _(context):
    content = b"[" * 100_000 + b"]" * 100_000
    assert workers_client._parse_reply(content).is_err()
