"""Steps that pass deeply nested values to the decoders of a cell."""

import anyio
from behave import then

from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import platform
from citrondeal.platform.tests import steps
from citrondeal.platform.tests import steps_fuzz
from citrondeal import workflow

DEPTH = 100_000
DEEP_JSON = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
DEEP_MSGPACK = b"\x81\xa1x" + b"\x91" * DEPTH + b"\xc0"


def _is_refused(decode, data, error):
    try:
        decode(data)
    except error:
        return True
    return False


@then("platform deeply nested records are refused")
def _(context):
    for decode in (
        platform.decode_catalog,
        lambda data: platform.decode_worker("i-1", data),
    ):
        assert _is_refused(decode, DEEP_JSON, platform.RecordError)
    for decode in (
        workflow.decode_submission,
        workflow.decode_progress,
        workflow.decode_worker,
    ):
        assert _is_refused(decode, DEEP_MSGPACK, workflow.RecordError)
    assert _records.decode_claim(DEEP_MSGPACK) is None
    assert _records.decode_member(DEEP_MSGPACK) is None


@then("platform deeply nested answers are refused")
def _(context):
    assert steps_fuzz._renew(DEEP_JSON).is_err()
    tickets = platform.TicketClient("127.0.0.1:1")
    tickets._client = steps_fuzz._FixedAnswer(DEEP_JSON)
    assert anyio.run(tickets.fetch, "step", ["w"], 1.0).is_err()
    store = platform.StoreClient("127.0.0.1:1")
    store._client = steps_fuzz._FixedAnswer(DEEP_JSON)
    outcome = anyio.run(store.read_newest_page, "topic")
    assert outcome.err_value.kind is errors.Kind.UNKNOWN_OUTCOME, outcome


@then("platform a deeply nested body gets 400")
def _(context):
    api = steps._Api(steps._catalog())
    status, _, _ = steps._post(api, "/a/" + "0" * 16, DEEP_JSON)
    assert status == 400, status
