"""Steps that test the limits of one job."""

import json
import tracemalloc

from behave import then

from citrondeal.cell import main
from citrondeal.platform.tests import steps
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
    "bytes": {"steps": [{"required-label": "x" * 600}] * 450},
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
    assert _refused(workflow.Step(5_001, size))
    assert _refused(workflow.Step(2**62, size))
    assert _refused(*[step] * 501)
    assert _refused(step, workflow.Step(1, size, after=(0,) * 5_001))
    assert _refused(workflow.Step(1_001, size, gang=True))
    assert _refused(workflow.Step(1, size, label="x" * 262_144))


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
