"""Steps for attempts that fail unexpectedly, with the other parts faked."""

import types
from unittest import mock

import anyio
from behave import then

from citrondeal.gateway import _attempts
from citrondeal import routing

KEY = ("request", 1)


def _attempt(prepare_error=None, call_error=None):
    """Run one attempt and return the components that it used."""
    components = mock.Mock()
    components.client.attempt = mock.AsyncMock(side_effect=call_error)
    components.held_endpoints.valid_until.return_value = 1e9
    dispatcher = _attempts.Dispatcher(components, mock.Mock(), mock.Mock())
    dispatcher._prepare_dispatch = mock.AsyncMock(
        side_effect=prepare_error, return_value=True
    )
    dispatcher.dispatch_queued = mock.Mock()
    request = types.SimpleNamespace(
        request_id="request",
        request_class="normal",
        key=KEY,
        service="service",
        path="/",
        headers={},
        body=b"",
        queued_at=0.0,
        deadline=1e9,
        attempt_timeout_s=1.0,
        tries=0,
        idempotent=False,
        ended=anyio.Event(),
        waiters=[],
    )
    raised = None
    try:
        anyio.run(dispatcher._attempt, request, "endpoint", KEY)
    except ZeroDivisionError as exc:
        raised = exc
    return components, raised


@then("gateway an error while the request is prepared releases its slot")
def _(context):
    components, raised = _attempt(prepare_error=ZeroDivisionError)
    assert raised is not None  # the request handler ends the request
    outcome = components.table.finish.call_args.args[1]
    assert outcome is routing.Outcome.NOT_RUN, outcome
    components.held_endpoints.attempt_finished.assert_called_once()


@then("gateway an error while the endpoint is called counts as unknown")
def _(context):
    components, raised = _attempt(call_error=ZeroDivisionError)
    assert raised is None
    outcome = components.table.finish.call_args.args[1]
    assert outcome is routing.Outcome.UNKNOWN, outcome
    components.ledger.unknown.assert_called_once()
