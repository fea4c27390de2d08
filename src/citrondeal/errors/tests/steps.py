"""Steps for the error kinds and the error body."""

from behave import then

from citrondeal import errors


@then("errors every kind has exactly one status and execution state")
def every_kind_is_mapped(context):
    assert set(errors.ANSWERS) == set(errors.Kind)


@then('errors the body of "{kind}" says {status:d} and "{run}"')
def body_fields(context, kind, status, run):
    failure = errors.Failure(errors.Kind(kind), "queue is full", 1.5)
    body = errors.body_of(failure, "r-1")["error"]
    assert failure.status == status
    assert body["run"] == run
    assert body["request_id"] == "r-1"
    assert body["retry_after_s"] == 1.5
