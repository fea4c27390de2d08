"""Steps that test the limits of one job."""

import json
import tracemalloc

import anyio
from behave import then

from citrondeal.cell import _records
from citrondeal.cell import main
from citrondeal import platform
from citrondeal.platform import _store
from citrondeal.platform.tests import steps
from citrondeal.platform.tests import steps_fuzz
from citrondeal import workflow

PATH = "/a/" + "0" * 16
MAX_DECODE_BYTES = 40e6
# Bodies that an owner could not hold, each with the text of its refusal.
BODIES = {
    "tasks": {"steps": [{"count": 5_000}, {"count": 1}]},
    "500": {"steps": [{}] * 501},
    "dependencies": {
        "steps": [{}, {"after": [0] * 2_500}, {"after": [0] * 2_501}]
    },
    "gang": {"steps": [{"count": 1_001, "gang": True}]},
    # Within the limit of a body, as larger ones get 413.
    "bytes": {"steps": [{"required-label": "x" * 1000}] * 250},
}
BODIES_AT_LIMIT = (
    {"steps": [{"count": 5_000}]},
    {"steps": [{"count": 10, "after": []}] * 500},
    {"steps": [{}, {"after": [0] * 5_000}]},
    {"steps": [{"count": 1_000, "gang": True}]},
    {"steps": [{"required-label": "x" * 500}] * 300},
)


def _post(job):
    api = steps._Api(steps._catalog())
    body = json.dumps({"spec": "text", **job}).encode()
    status, _, answer = steps._post(api, PATH, body)
    return status, answer, api.submissions


@then("platform jobs beyond a limit get 400 with the limit")
def _(context):
    for text, job in BODIES.items():
        status, answer, submissions = _post(job)
        assert status == 400 and not submissions, (text, status)
        assert text in answer.decode(), (text, answer)


@then("platform jobs at a limit are accepted")
def _(context):
    for job in BODIES_AT_LIMIT:
        status, answer, submissions = _post(job)
        assert status == 200, (status, answer)
        [(submission, _)] = submissions
        data = workflow.encode(submission)
        assert workflow.decode_submission(data) == submission


def _refused(*steps):
    policy = workflow.Policy("q", "s")
    submission = workflow.Submission("a", "", steps, policy)
    try:
        workflow.decode_submission(workflow.encode(submission))
    except workflow.RecordError:
        return True
    return False


@then("platform stored submissions beyond a limit are refused")
def _(context):
    size = workflow.Size(1000, 10)
    step = workflow.Step(1, size)
    assert not _refused(step)
    assert _refused(workflow.Step(50_001, size))
    assert _refused(workflow.Step(2**62, size))
    assert _refused(*[step] * 5_001)
    assert _refused(step, workflow.Step(1, size, after=(0,) * 50_001))
    assert _refused(workflow.Step(10_001, size, gang=True))
    assert _refused(workflow.Step(1, size, label="x" * 262_144))


@then("platform stored submissions that earlier versions accepted are known")
def _(context):
    size = workflow.Size(1000, 10)
    assert not _refused(*[workflow.Step(10_000, size)] * 5)
    assert not _refused(workflow.Step(10_000, size, gang=True))


@then("platform the largest body takes less than 40 MB to decode")
def _(context):
    start, end = b'{"spec":"","steps":[', b"{}]}"
    count = (main.MAX_BODY_BYTES - len(start) - len(end)) // 3
    body = start + b"{}," * count + end
    tracemalloc.start()
    try:
        status, _, _ = steps._post(steps._Api(steps._catalog()), PATH, body)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert status == 400, status
    assert peak < MAX_DECODE_BYTES, peak


def _store_worker(worker, record):
    """Do what an owner does with the entry of a worker."""
    info = platform.decode_worker(worker, json.dumps(record).encode())
    platform.RunnerClient(worker, info.address, int)
    stored = workflow.encode(workflow.StoredWorker(info))
    key = _records.worker_key(worker)
    data = _store._encode_record(platform.Record(key, stored))
    assert len(data) <= 262_144, len(data)
    workflow.decode_worker(stored)


def _is_skipped(worker, record):
    try:
        _store_worker(worker, record)
    except platform.RecordError:
        return True
    return False


@then("platform each entry of a worker is skipped or can be stored")
def _(context):
    good = steps.WORKER_RECORD
    assert not _is_skipped("i-1", good)
    assert not _is_skipped("i" * 128, good)
    assert _is_skipped("i" * 250, good)
    assert _is_skipped("i-1", {**good, "labels": ["x" * 300_000]})
    for huge in (2**63, 2**64, 10**30, -(10**30)):
        assert _is_skipped("i-1", {**good, "born": huge}), huge
        for name in ("cpu", "mem-mb", "gpu"):
            capacity = {**good["capacity"], name: huge}
            record = {**good, "capacity": capacity}
            assert _is_skipped("i-1", record), (name, huge)


@then("platform an entry with an address that names no server is skipped")
def _(context):
    for address in (
        "a:",
        "a:b",
        ":1",
        "a:1:",
        "a:99999",
        "a: 1",
        "a:\u0661",
        "a:0",
        "a:65536",
        "a..b:1",
        ".a:1",
        "a\x00b:1",
        "a b:1",
        "\u03b1\u03b2:1",
        "\u00e9" * 64 + ":1",
        "a" * 64 + ":1",
        "a." * 127 + "a:1",
        "[::1]:1",
    ):
        record = {**steps.WORKER_RECORD, "address": address}
        assert _is_skipped("i-1", record), address


@then("platform an entry with an id that no header can hold is skipped")
def _(context):
    for worker in (
        "",
        "a b",
        "a\r\nX: 1",
        "\u00e9",
        "\u03b1",
        "a\x00",
        "\x7f",
    ):
        assert _is_skipped(worker, steps.WORKER_RECORD), worker


@then("platform an entry with numbers that JSON does not keep is skipped")
def _(context):
    good = steps.WORKER_RECORD
    for huge in (2**53, 2**63 - 1, -1):
        for fields in (
            {"born": huge},
            {"clock-ms": huge},
            {"capacity": {**good["capacity"], "cpu": huge}},
        ):
            assert _is_skipped("i-1", {**good, **fields}), fields
    assert _is_skipped("i-1", {**good, "clock-ms": 1e308})
    assert not _is_skipped("i-1", {**good, "born": 2**53 - 1})


@then("platform reports with numbers that cannot be stored are refused")
def _(context):
    task = steps_fuzz.TASK
    assert steps_fuzz._renew(
        steps_fuzz._report(**{"clock-ms": 1e308})
    ).is_err()
    for huge in (2**63, 10**30, -(10**30)):
        for fields in (
            {"born": huge},
            {"running": [[task, huge, "", 0]]},
            {"ended": [[1, task, huge, "failed", ""]]},
            {"ended": [[huge, task, 1, "failed", ""]]},
        ):
            assert steps_fuzz._renew(steps_fuzz._report(**fields)).is_err()


@then("platform a report of {count:d} ends may omit others")
def _(context, count):
    for listed in (count - 1, count):
        ends = [[n, "a.0.0.0", n, "done", ""] for n in range(1, listed + 1)]
        body = json.dumps({"clock-ms": 0, "ended": ends}).encode()
        client = platform.RunnerClient("w", "127.0.0.1:1", int)
        client._renewal_client = steps_fuzz._FixedAnswer(body)
        renewal = platform.LeaseRenewal(1, 0, None, 0.0)
        report = anyio.run(client.renew_leases, renewal).unwrap()
        assert report.truncated is (listed == count), listed
