"""Steps for cells of real processes."""

from concurrent import futures
import os
import signal
import subprocess
import sys
import tempfile
import time
import uuid

from behave import given
from behave import then
from behave import when

from citrondeal.cell.tests import processes

PARALLEL_CLIENTS = 12
REREAD_EVENT = "records were deleted before they were read"


@given("a cell of {members:d} members")
def _(context, members):
    context.cell = processes.LocalCell(members)
    context.add_cleanup(context.cell.stop)
    context.accepted = []
    context.refused = []


@given("the cell store loses {percent:d} percent of its answers")
def _(context, percent):
    context.cell.set_faults(store_lost=percent / 100)


def _submit(context, job_id, member):
    path = f"/holds/{job_id}"
    answer = context.cell.client_request(
        member, "POST", path, processes.job_body()
    )
    if answer is not None and answer[0] == 200:
        context.accepted.append(job_id)
    elif answer is not None and answer[0] in (429, 503):
        context.refused.append(job_id)


@when("cell clients submit {count:d} jobs at all members")
def _(context, count):
    for number in range(count):
        job_id = uuid.uuid4().hex[:16]
        running = [m for m in context.cell.members if m.process]
        for attempt in range(8):
            member = running[(number + attempt) % len(running)]
            _submit(context, job_id, member)
            if job_id in context.accepted:
                break
        else:
            raise AssertionError(f"{job_id} was not accepted")


@when("the cell owner is killed")
def _(context):
    owner = context.cell.wait(context.cell.owner)
    owner.end(signal.SIGKILL)


@when("the cell owner is stopped")
def _(context):
    owner = context.cell.wait(context.cell.owner)
    owner.process.send_signal(signal.SIGTERM)
    context.stopped = owner


@when("the cell store deletes records that the owner has not read")
def _(context):
    owner = context.cell.wait(context.cell.owner)
    context.starts_before = _ownership_starts(owner)
    owner.process.send_signal(signal.SIGSTOP)
    # The first record answers the read that the store holds for the owner;
    # the second is deleted unread.
    for _ in range(2):
        context.cell.append("keyed.citrondeal.cell", "member/none", b"")
        time.sleep(0.1)
    context.cell.compact_store()
    owner.process.send_signal(signal.SIGCONT)
    context.owner = owner
    context.cell.wait(lambda: REREAD_EVENT in owner.log.read_text())


def _ownership_starts(member):
    return member.log.read_text().count('"state is recovered"')


@then("the cell has had one owner since the records were deleted")
def _(context):
    starts = _ownership_starts(context.owner)
    assert starts == context.starts_before, starts


@when("the cell store takes {milliseconds:d} ms for an append")
def _(context, milliseconds):
    context.cell.set_faults(append_ms=float(milliseconds))


@when("cell clients submit {count:d} jobs, several at a time")
def _(context, count):
    with futures.ThreadPoolExecutor(PARALLEL_CLIENTS) as pool:
        for number in range(count):
            member = context.cell.members[number % len(context.cell.members)]
            pool.submit(_submit, context, uuid.uuid4().hex[:16], member)
    assert len(context.accepted) == count, (context.accepted, context.refused)


@then("cell members have appended for each other")
def _(context):
    logs = [member.log.read_text() for member in context.cell.members]
    assert any('"records are relayed"' in log for log in logs)
    assert any('"store is slow"' in log for log in logs)
    for log in logs:
        assert '"unexpected error"' not in log, log


@when("the cell store is unavailable for {seconds:d} seconds")
def _(context, seconds):
    context.cell.set_faults(store_down=1.0)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        _submit(context, uuid.uuid4().hex[:16], context.cell.members[0])
        time.sleep(0.2)
    context.cell.set_faults(store_down=0.0)


@then("the cell refused some jobs, which are unknown afterwards")
def _(context):
    assert context.refused, "no job was refused"
    time.sleep(2.0)
    for job_id in context.refused:
        if job_id in context.accepted:
            continue
        state = context.cell.wait(lambda: _state(context, job_id), 5.0)
        assert state[0] == 410, (job_id, state)


def _state(context, job_id):
    running = [m for m in context.cell.members if m.process]
    answer = context.cell.client_request(running[0], "GET", f"/holds/{job_id}")
    return answer if answer and answer[0] != 503 else None


@then("the cell completes all jobs within {seconds:d} seconds")
def _(context, seconds):
    waiting = set(context.accepted)

    def all_completed():
        for job_id in list(waiting):
            state = _state(context, job_id)
            if state and state[1] and state[1]["state"] == "completed":
                waiting.discard(job_id)
        return not waiting

    context.cell.wait(all_completed, seconds)


@then(
    "the cell ran no task twice, after its end or beyond its worker's capacity"
)
def _(context):
    counts = context.cell.counts()
    wrong = {k: counts[k] for k in ("doubles", "after_end", "over")}
    wrong = {name: count for name, count in wrong.items() if count}
    assert counts["starts"] > 0 and not wrong, counts


@then("the cell answers 410 for a job that nobody submitted")
def _(context):
    state = context.cell.wait(lambda: _state(context, "0" * 16))
    assert state[0] == 410, state


@then("the cell answers 404 for a queue that does not exist")
def _(context):
    member = context.cell.members[0]
    answer = context.cell.client_request(member, "POST", "/no/" + "0" * 16, {})
    assert answer[0] == 404, answer


@then("the cell answers 400 for bodies that are not valid jobs")
def _(context):
    member = context.cell.members[0]
    path = "/holds/" + "0" * 16
    for body in ([], {}, {"spec": 1, "steps": []}, {"spec": "", "steps": []}):
        answer = context.cell.client_request(member, "POST", path, body)
        assert answer[0] == 400, (body, answer)


@then("the cell has another owner within {seconds:d} seconds")
def _(context, seconds):
    def other():
        owner = context.cell.owner()
        return owner is not None and owner is not context.stopped

    context.cell.wait(other, seconds)


@then("the cell owner that was stopped exited with status 0")
def _(context):
    assert context.stopped.process.wait(20) == 0
    context.stopped.process = None


@then("the cell program exits with status 2 and names the missing setting")
def _(context):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write('node = "a"\nip = "127.0.0.1"\n')
        file.flush()
        environment = {**os.environ, "CITRONDEAL_SETTINGS": file.name}
        done = subprocess.run(
            [sys.executable, "-m", "citrondeal.cell.main"],
            capture_output=True,
            text=True,
            timeout=60,
            env=environment,
        )
    assert done.returncode == 2, done
    assert "zone" in done.stderr, done.stderr


@then("cell jobs sent again while the store is unavailable are accepted")
def _(context):
    context.cell.set_faults(store_down=1.0)
    for number, job_id in enumerate(context.accepted[:3]):
        member = context.cell.members[number]
        answer = context.cell.client_request(
            member, "POST", f"/holds/{job_id}", processes.job_body()
        )
        assert answer[0] == 200, (job_id, answer)
    context.cell.set_faults(store_down=0.0)


@then(
    "a cell soak test with seed {seed} finds no violation in {limit} seconds"
)
def _(context, seed, limit):
    _run_soak(seed, limit)


@then(
    "a cell soak test with takeovers and seed {seed} finds no violation in"
    " {limit} seconds"
)
def _(context, seed, limit):
    _run_soak(seed, limit, "--takeovers")


@then(
    "a cell soak test with odd entries and seed {seed} finds no violation in"
    " {limit} seconds"
)
def _(context, seed, limit):
    _run_soak(seed, limit, "--odd_entries")


def _run_soak(seed, limit, *options):
    done = subprocess.run(
        [sys.executable, "-m", "tools.soak"]
        + [f"--first={seed}", f"--seconds={limit}", *options],
        capture_output=True,
        text=True,
        timeout=180,
    )
    assert done.returncode == 0, done.stdout + done.stderr
