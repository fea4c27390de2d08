"""Steps for scripted histories with crashes of workers."""

import math

from behave import given
from behave import then
from behave import when
import msgspec

from citrondeal import workflow
from citrondeal.workflow.tests import crash_harness

STATES = workflow.JobState
DRAIN_S = 1.0
# Largest record of the store.
RECORD_BYTES = 262_144
PROGRESS_TICKS = 150
ORDINALS = ("first", "second", "third")
RUN_S = 100.0  # longer than all power failures take
AWAY_S = 3.0  # shortest time of a worker after a power failure
NOTICED_S = 1.0  # after which an owner has stored which workers are silent
RUN_AGAIN_S = 60.0  # within which all lost tasks have to run again


@given("a workflow cell of {count:d} workers")
def _(context, count):
    context.cell = crash_harness.Cell(count)


@given("a workflow backlog that fills all workers")
def _(context):
    context.cell.submit("backlog", tasks=400, run_s=3.0, cores=2)
    context.cell.run(1.0)


@when("a workflow job with a deadly task arrives, {how}")
def _(context, how):
    if how == "alone":
        context.cell.submit("deadly", run_s=60.0, deadly=(0,))
    else:
        context.cell.submit(
            "deadly", tasks=6, run_s=60.0, gang=True, deadly=(1, 4)
        )
    context.cell.tick()


@when("the workflow cell runs for {seconds:d} seconds")
def _(context, seconds):
    context.cell.run(seconds)


@then('the workflow job "{job}" is failed after {count:d} starts')
def _(context, job, count):
    cell = context.cell
    cell.run(60.0)
    assert cell.start_count(job) == count, cell.start_count(job)
    assert cell.state(job) is STATES.FAILED, cell.state(job)
    client_state = cell.scheduler.job_state(job)
    assert client_state is STATES.FAILED, client_state


@then('the workflow job "{job}" is failed after at most {count:d} starts')
def _(context, job, count):
    cell = context.cell
    assert 3 <= cell.start_count(job) <= count, cell.start_count(job)
    assert cell.state(job) is STATES.FAILED, cell.state(job)


@then("the workflow operators see the task given up")
def _(context):
    dump = context.cell.scheduler.dump()["crashes"]
    assert dump["tasks_given_up"] == 1, dump
    assert dump["worker_crashes"] >= 3, dump
    [entry] = dump["given_up"]
    assert entry["task"].startswith("deadly."), dump
    assert len(entry["crashed_runs"]) == 3, dump
    assert not dump["suspects"], dump


@when("workflow jobs run beside it on the same worker")
def _(context):
    cell = context.cell
    for number in range(3):
        cell.submit(f"beside{number}", run_s=1.5)
    cell.tick()
    workers = {w for _, _, w in cell.starts}
    assert len(workers) == 1, cell.starts


@then("all other workflow jobs are completed")
def _(context):
    cell = context.cell
    states = {
        job: cell.state(job) for job in cell.submissions if job != "deadly"
    }
    assert set(states.values()) == {STATES.COMPLETED}, states


@when("a workflow job has crashed two of its workers")
def _(context):
    cell = context.cell
    cell.submit("deadly", run_s=60.0, deadly=(0,))
    # It needs room on a cell whose backlog is endless.
    cell.scheduler.jobs["deadly"].due_at = cell.now + 0.1
    limit = cell.now + 60.0
    while cell.now < limit:
        cell.tick()
        suspects = cell.scheduler.dump()["crashes"]["suspects"]
        if [s for s in suspects if s["task"].startswith("deadly.")]:
            return
    raise AssertionError(cell.starts[-5:])


@then(
    "it starts again within {seconds:d} seconds, and no task starts beside it"
)
def _(context, seconds):
    cell = context.cell
    count = cell.start_count("deadly")
    limit = cell.now + seconds
    while cell.start_count("deadly") == count:
        assert cell.now < limit, "it does not start"
        cell.tick()
    worker = cell.worker_of("deadly")
    before = set(cell.workers[worker].runs)
    for _ in range(4):
        cell.tick()
        assert set(cell.workers[worker].runs) <= before, cell.workers[worker]


@when("the worker of a workflow job {does} four times")
def _(context, does):
    cell = context.cell
    cell.submit("job", run_s=7.0)
    cell.tick()
    for _ in range(4):
        name = cell.worker_of("job")
        if does == "is drained":
            cell.drain(name)
            cell.run(DRAIN_S)
            cell.leave(name, DRAIN_S, new_id=True)
            cell.run(2 * DRAIN_S)
        else:
            seconds = float(does.split()[-2])
            cell.silence(name, seconds)
            if seconds > crash_harness.LEASE_S:
                # The worker ends its runs when their leases have lapsed.
                cell.run(seconds - 1.0)
                cell.workers[name].runs = {}
            cell.run(seconds)


@then("no workflow crash is counted")
def _(context):
    dump = context.cell.scheduler.dump()["crashes"]
    assert dump["worker_crashes"] == 0, dump
    for job in context.cell.scheduler.jobs.values():
        assert not any(task.crashes for task in job.tasks()), job.id


@then('the workflow job "{job}" is completed at the end')
def _(context, job):
    context.cell.run(60.0)
    state = context.cell.state(job)
    assert state is STATES.COMPLETED, state


@when("{count:d} power failures hit a workflow cell with {jobs:d} jobs")
def _(context, count, jobs):
    cell = context.cell
    for number in range(jobs):
        cell.submit(f"job{number:02d}", run_s=3.0)
    for _ in range(count):
        cell.run(2.0)
        for number, name in enumerate(list(cell.workers)):
            cell.crash(name, down_s=2.0 + 0.2 * number)
        cell.run(4.0)


@when(
    "a workflow job runs elsewhere when the crash of its lapsed run is counted"
)
def _(context):
    cell = context.cell
    cell.submit("job", run_s=60.0)
    cell.run(1.0)
    name = cell.worker_of("job")
    cell.crash(name, down_s=15.0)
    cell.run(18.0)
    assert cell.worker_of("job") != name, cell.starts
    [task] = cell.scheduler.jobs["job"].tasks()
    assert len(task.crashes) == 1, task.crashes


@when("its second worker crashes and the owner is replaced")
def _(context):
    cell = context.cell
    cell.crash(cell.worker_of("job"))
    cell.take_over()
    cell.run(5.0)


@then("two workflow crashes are counted for the job")
def _(context):
    [task] = context.cell.scheduler.jobs["job"].tasks()
    assert len(task.crashes) == 2, (task.crashes, context.cell.starts)


@when(
    "the workers of a workflow job fall silent one after the other,"
    " {count:d} times"
)
def _(context, count):
    cell = context.cell
    cell.submit("job", run_s=60.0)
    for _ in range(count):
        cell.run(1.0)
        name = cell.worker_of("job")
        cell.silence(name, 1000.0)
        cell.run(crash_harness.LEASE_S + 1.0)
        # The worker ends its runs when their leases have lapsed.
        cell.workers[name].runs = {}


@then("the workflow job has {count:d} recorded starts and no excuse left")
def _(context, count):
    cell = context.cell
    cell.store()
    progress = workflow.decode_progress(cell.stored_jobs["job"])
    assert len(progress.open_starts["0.0"]) == count, progress
    assert progress.excused_crashes == {"0.0": [-1]}, progress


@given("{jobs:d} running workflow jobs of {cores:d} cores")
def _(context, jobs, cores):
    for number in range(jobs):
        context.cell.submit(f"job{number:02d}", run_s=RUN_S, cores=cores)
    context.cell.run(1.0)


@when("{count:d} power failures hit all of them, with a new owner {when}")
def _(context, count, when):
    cell = context.cell
    for ordinal in ORDINALS[:count]:
        cell.run(AWAY_S)
        cell.wait_until_all_run(RUN_AGAIN_S)
        for number, name in enumerate(list(cell.workers)):
            cell.leave(name, AWAY_S + 0.2 * number)
        if ordinal in when and when.startswith("after"):
            cell.run(NOTICED_S)
        if ordinal in when:
            cell.take_over()
    cell.run(2 * RUN_S)


@when("a workflow job with a deadly task crashes two workers unseen")
def _(context):
    cell = context.cell
    cell.submit("deadly", run_s=60.0, deadly=(0,))
    cell.owner_ends_after = 0
    _run_until_crashes(cell, 2)
    cell.owner_ends_after = math.inf


@when("the owner counts its next crash and is replaced")
def _(context):
    cell = context.cell
    _run_until_crashes(cell, 3)
    cell.run(4.0)
    [task] = cell.scheduler.jobs["deadly"].tasks()
    assert len(task.crashes) == 1, (task.crashes, cell.starts)
    cell.take_over()


@when("the owner starts it once more and is replaced")
def _(context):
    cell = context.cell
    limit = cell.now + 10.0
    while cell.start_count("deadly") < 3:
        assert cell.now < limit, cell.starts
        cell.tick()
    [task] = cell.scheduler.jobs["deadly"].tasks()
    assert not task.crashes, task.crashes
    cell.run(0.3)
    cell.take_over()


@when("all other workers crash together with its fifth")
def _(context):
    cell = context.cell
    _run_until_crashes(cell, 5)
    for name in list(cell.workers):
        cell.leave(name, crash_harness.DOWN_S)
    cell.run(4.0)


def _run_until_crashes(cell, count):
    limit = cell.now + 60.0
    while cell.crashes < count:
        assert cell.now < limit, cell.starts
        cell.tick()


@when("the worker of a workflow job crashes for {seconds:d} seconds, {how}")
def _(context, seconds, how):
    cell = context.cell
    cell.submit("job", run_s=60.0)
    cell.run(1.0)
    name = cell.worker_of("job")
    cell.crash(name, new_id=how == "under a new id", down_s=seconds)
    cell.workers[name].listed = how == "with its entry kept"
    cell.run(seconds + 2.0)


@then("one workflow crash is counted for the job")
def _(context):
    [task] = context.cell.scheduler.jobs["job"].tasks()
    assert len(task.crashes) == 1, task.crashes
    cell = context.cell
    cell.store()
    progress = workflow.decode_progress(cell.stored_jobs["job"])
    assert progress.crashes == {"0.0": sorted(task.crashes)}, progress


@when("the owner is replaced after each counted crash for {seconds:d} seconds")
def _(context, seconds):
    cell = context.cell
    limit, seen = cell.now + seconds, 0
    while cell.now < limit:
        cell.tick()
        count = cell.scheduler.dump()["crashes"]["worker_crashes"]
        if count > seen:
            cell.take_over()
        seen = cell.scheduler.dump()["crashes"]["worker_crashes"]


@when("the owner ends at each crash but the first, for {seconds:d} seconds")
def _(context, seconds):
    # The first run was started before any crash and so is not recorded.
    context.cell.owner_ends_after = 1
    context.cell.run(seconds)


@when("the worker of a workflow job is silent and crashes long after")
def _(context):
    cell = context.cell
    cell.submit("job", run_s=15.0)
    cell.tick()
    name = cell.worker_of("job")
    cell.silence(name, 20.0)
    cell.run(19.0)
    cell.workers[name].runs = {}
    assert cell.worker_of("job") != name, cell.starts
    cell.run(2.0)
    cell.crash(name)
    cell.run(4.0)


@then("no workflow crash is counted for the job")
def _(context):
    dump = context.cell.scheduler.dump()["crashes"]
    assert dump["worker_crashes"] == 1, dump
    [task] = context.cell.scheduler.jobs["job"].tasks()
    assert not task.crashes, task.crashes


@when("the store fails after the first crash")
def _(context):
    cell = context.cell
    while not cell.crashes:
        cell.tick()
    cell.store_works = False


@when("the owner cannot store the next start")
def _(context):
    cell = context.cell
    while not cell.scheduler.dump()["crashes"]["worker_crashes"]:
        cell.tick()
    cell.store_works = False


@then("the workflow job does not start again until the store works")
def _(context):
    cell = context.cell
    cell.run(20.0)
    assert cell.start_count("deadly") == 1, cell.starts
    assert cell.state("deadly") is not STATES.FAILED
    cell.store_works = True
    cell.run(2.0)
    assert cell.start_count("deadly") >= 2, cell.starts


@when("a workflow gang waits for the store and its worker restarts")
def _(context):
    cell = context.cell
    cell.submit("gang", tasks=2, run_s=5.0, gang=True)
    cell.tick()
    cell.crash("w0")
    while not cell.scheduler.dump()["crashes"]["worker_crashes"]:
        cell.tick()
    cell.run(0.3)
    cell.store_works = False
    cell.run(1.0)
    started = cell.start_count("gang")
    cell.crash("w0")
    cell.run(4.0)
    assert cell.start_count("gang") == started, cell.starts
    cell.store_works = True


@then("workflow progress and workers without the new fields are decoded")
def _(context):
    progress = msgspec.msgpack.encode(
        {"state": "running", "done": [b"\x00"], "failures": {"0.0": [7]}}
    )
    decoded = workflow.decode_progress(progress)
    assert decoded.failures == {"0.0": [7]} and not decoded.crashes, decoded
    info = workflow.WorkerInfo("w", "w:1", "service", "zone")
    stored = msgspec.to_builtins(workflow.StoredWorker(info, ()))
    del stored["numbers"]
    decoded = workflow.decode_worker(msgspec.msgpack.encode(stored))
    assert decoded.info == info and decoded.numbers == (), decoded


@when("all workers of a workflow job of {tasks:d} tasks crash at once")
def _(context, tasks):
    cell = context.cell
    cell.submit("wide", tasks=tasks, run_s=2.0, cores=0)
    cell.run(0.5)
    for name in list(cell.workers):
        cell.crash(name)
    context.sizes = []
    for _ in range(PROGRESS_TICKS):
        cell.tick()
        progress = cell.scheduler.jobs["wide"].progress()
        context.sizes.append(len(workflow.encode(progress)))


@when(
    "{lost:d} workers of a workflow job of {tasks:d} tasks are lost and the"
    " fifth crashes"
)
def _(context, lost, tasks):
    context.cell = cell = crash_harness.Cell(lost + 1, cores=tasks // 5)
    cell.submit("wide", tasks=tasks, run_s=8.0, cores=1)
    cell.run(3.0)
    *names, last = list(cell.workers)
    for name in names:
        cell.lose(name)
    cell.run(15.0)
    cell.crash(last)


@when("{count:d} power failures hit a workflow job of {tasks:d} tasks")
def _(context, count, tasks):
    cell = context.cell
    cell.submit("wide", tasks=tasks, run_s=300.0)
    cell.run(2.0)
    for _ in range(count):
        for name in list(cell.workers):
            cell.leave(name, 2.0)
        cell.run(30.0)


@then("no workflow task is given up")
def _(context):
    dump = context.cell.scheduler.dump()["crashes"]
    assert not dump["tasks_given_up"], dump


@then("the progress of the workflow job always fits in a record")
def _(context):
    assert max(context.sizes) <= RECORD_BYTES, max(context.sizes)
