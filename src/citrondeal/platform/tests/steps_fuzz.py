"""Property-based tests of the decoders at the border of the platform."""

import json
import struct

import anyio
from behave import then
import hypothesis
from hypothesis import strategies
import result

from citrondeal import errors
from citrondeal import platform
from citrondeal.platform import _ingress
from citrondeal import web
from citrondeal import workflow

_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, max_examples=300, deadline=None
)
HUGE = 10**400  # more digits than a float holds
TASK = "00000000000000aa.0.0.1"

_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.sampled_from(
        [HUGE, -HUGE, 1e300, 0.5, "", TASK, "a.b", "done", "lapsed"]
    )
    | strategies.text(max_size=8)
)
_ROWS = strategies.lists(_SCALARS, max_size=6)
_VALUES = _SCALARS | _ROWS | strategies.lists(_ROWS, max_size=3)


class _FixedAnswer:
    """Stands for `web.Client`; answers each request with the same body."""

    def __init__(self, body):
        self.body = body

    async def request(self, *args, **kwargs):
        return result.Ok(web.Reply(200, self.body))


def _renew(body):
    client = platform.RunnerClient("w", "127.0.0.1:1", int)
    client._renewal_client = _FixedAnswer(body)
    return anyio.run(
        client.renew_leases, platform.LeaseRenewal(1, 0, None, 0.0)
    )


def _report(**fields):
    value = {"clock-ms": 5, "running": [], "ended": [], "born": 7, **fields}
    return json.dumps(value).encode()


@then("platform reports of runners with a malformed row are refused")
def _(context):
    running = [TASK, 3, "", 41]
    end = [1, TASK, 3, "done", ""]
    assert _renew(_report(running=[running], ended=[end])).is_ok()
    assert _renew(_report(running=[[*running, 12]])).is_ok()
    for row in ([], [TASK], [5, 3, "", 0], [TASK, HUGE, "", 0]):
        assert _renew(_report(running=[running, row])).is_err(), row
    for row in ([], [1, None, 3, "done", ""], [1, TASK, 3, "odd", ""]):
        assert _renew(_report(ended=[end, row])).is_err(), row


@then("platform a runner may name the processor time of a task")
def _(context):
    running = [TASK, 3, "", 41]
    for last, usage in (
        ([], None),
        ([930], 930.0),
        ([0], 0.0),
        ([None], None),
        (["x"], None),
        ([-1], None),
        ([HUGE], None),
        ([True], None),
        ([7.5, "more"], 7.5),
    ):
        report = _renew(_report(running=[[*running, *last]])).ok_value
        assert report.running[0].usage == usage, last


@then("platform no answer of a runner raises an error")
def _(context):
    bodies = strategies.binary(max_size=80) | strategies.fixed_dictionaries(
        {}, optional=dict.fromkeys(("clock-ms", "running", "born"), _VALUES)
    ).map(lambda fields: _report(**fields))

    @_SETTINGS
    @hypothesis.given(bodies)
    def check(body):
        outcome = _renew(body)
        if outcome.is_ok():
            report = outcome.ok_value
            assert all(isinstance(r.number, int) for r in report.running)

    check()


@then("platform no answer of the ticket service raises an error")
def _(context):
    bodies = strategies.binary(max_size=80) | strategies.fixed_dictionaries(
        {"good": _VALUES, "valid-ms": _SCALARS}
    ).map(lambda value: json.dumps(value).encode())

    @_SETTINGS
    @hypothesis.given(bodies)
    def check(body):
        client = platform.TicketClient("127.0.0.1:1")
        client._client = _FixedAnswer(body)
        outcome = anyio.run(client.fetch, "step", ["w"], 1.0)
        assert outcome.is_ok() or outcome.err_value.message

    check()


@then("platform no answer of the store raises an error")
def _(context):
    records = strategies.lists(strategies.binary(max_size=20), max_size=4).map(
        lambda contents: (
            struct.pack(">QQ", 9, 0)
            + b"".join(struct.pack(">I", len(c)) + c for c in contents)
        )
    )
    pages = strategies.fixed_dictionaries(
        {"items": _VALUES, "more": strategies.booleans(), "end": _SCALARS}
    ).map(lambda value: json.dumps(value).encode())
    cut = strategies.builds(
        lambda body, size: body[:size], records, strategies.integers(0, 60)
    )

    @_SETTINGS
    @hypothesis.given(strategies.binary(max_size=60) | records | cut | pages)
    def check(body):
        store = platform.StoreClient("127.0.0.1:1")
        store._client = _FixedAnswer(body)
        for call in (store.read, store.read_newest_page):
            arguments = ["topic", 0, 0.0] if call == store.read else ["topic"]
            outcome = anyio.run(call, *arguments)
            if outcome.is_ok():
                for record in outcome.ok_value.records:
                    assert isinstance(record.key, str), record

    check()


@then("platform a batch that is cut off is refused")
def _(context):
    content = struct.pack(">I", 9) + b"\x03keyvalue"[:4]
    store = platform.StoreClient("127.0.0.1:1")
    store._client = _FixedAnswer(struct.pack(">QQ", 1, 0) + content)
    outcome = anyio.run(store.read, "topic", 0, 0.0)
    assert outcome.err_value.kind is errors.Kind.UNAVAILABLE, outcome


class _Request:
    def __init__(self, deadline):
        self.headers = {"x-deadline-ms": deadline}


@then("platform malformed deadlines count as missing")
def _(context):
    for text in ("", "\xb2", "9" * 5000, "-1", "1e3", " 5"):
        deadline_s = _ingress._parse_deadline_s(_Request(text))
        expected = _ingress.DEFAULT_DEADLINE_S - _ingress.ANSWER_MARGIN_S
        assert deadline_s == expected, (text, deadline_s)


@then("platform stored submissions that cannot be scheduled are refused")
def _(context):
    policy = workflow.Policy("q", "s")
    size = workflow.Size(1000, 10)
    good = workflow.Step(2, size)
    for bad in (
        workflow.Step(0, size),
        workflow.Step(1, size, after=(1,)),
        workflow.Step(1, size, after=(-1,)),
        workflow.Step(1, workflow.Size(-1, 10)),
        workflow.Step(1, size, spread=-1),
    ):
        submission = workflow.Submission("a", "", (good, bad), policy)
        try:
            workflow.decode_submission(workflow.encode(submission))
        except workflow.RecordError:
            continue
        raise AssertionError(bad)
    submission = workflow.Submission("a", "", (good,), policy)
    data = workflow.encode(submission)
    assert workflow.decode_submission(data) == submission
