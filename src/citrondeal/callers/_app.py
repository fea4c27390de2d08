"""Parsing of callers' requests and the form of their answers."""

import dataclasses
import re


from citrondeal.callers import _ids
from citrondeal import errors
from citrondeal import web

REQUEST_CLASSES = ("urgent", "normal", "low")
DEADLINE_LIMIT_MS = 600_000  # longer requests belong into jobs

_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
_TEAM = re.compile(r"[A-Za-z0-9._-]{0,64}")
_FLAGS = {"true": True, "false": False}

# Headers of citrondeal itself; they are not passed on to endpoints as the
# caller sent them.
_OWN_HEADERS = frozenset(
    {
        "request-attempt",
        "request-class",
        "request-deadline-ms",
        "request-id",
        "request-idempotent",
        "request-not-after",
        "request-team",
    }
)


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as its caller sent it.

    Attributes
    ----------
    request_id : str
        Id from the caller, or a new one.
    attempt : int or None
        1 if the caller vouches for a first attempt, None if unknown.
    service, path : str
        Service, and the path below it with a leading slash.
    request_class : str or None
        One of `REQUEST_CLASSES`; None for the default.
    team : str
        Team or an empty string.
    idempotent : bool or None
        None for the default of the service.
    deadline_ms : int or None
        Milliseconds until the answer is of no use; None for the default.
    headers : dict of str to str
        Other headers by lower-case name.
    body : bytes
        Whole body.
    disconnected : callable
        ``await disconnected()`` returns once the caller is gone.
    """

    request_id: str
    attempt: int | None
    service: str
    path: str
    request_class: str | None
    team: str
    idempotent: bool | None
    deadline_ms: int | None
    headers: dict
    body: bytes
    disconnected: object


@dataclasses.dataclass(slots=True)
class Reply:
    """A whole answer of an endpoint."""

    status: int
    headers: dict
    body: bytes


class _Malformed(ValueError):
    """A header has an invalid value."""


def build_app(submit, body_limit):
    """Return the application for callers.

    Parameters
    ----------
    submit : callable
        ``async submit(CallerRequest)`` returns a `result.Result` of a
        `Reply` or a `errors.Failure`.
    body_limit : int
        Largest accepted body in bytes.

    Returns
    -------
    citrondeal.web.App
    """
    app = web.App(body_limit)

    async def handle(request):
        given_id = request.headers.get("request-id")
        try:
            parsed = parse(request)
        except _Malformed as exc:
            failure = errors.Failure(errors.Kind.MALFORMED, str(exc))
            return web.failure_response(failure)
        outcome = await submit(parsed)
        if outcome.is_err():
            return web.failure_response(outcome.err_value, parsed.request_id)
        reply = outcome.ok_value
        headers = dict(reply.headers)
        headers["request-id"] = given_id or parsed.request_id
        return web.Response(reply.status, reply.body, headers)

    app.add_route("POST", "/v1/services/{service}/{path*}", handle)
    return app


def parse(request):
    """Return the `CallerRequest` of a `web.Request`.

    Raises
    ------
    ValueError
        If a header has an invalid value.
    """
    headers = request.headers
    given_id = headers.get("request-id")
    if given_id is not None and not _ID.fullmatch(given_id):
        raise _Malformed("Request-Id must be 1 to 128 of [A-Za-z0-9._-]")
    attempt = _integer(headers, "request-attempt", 1, 1_000_000)
    team = headers.get("request-team", "")
    if not _TEAM.fullmatch(team):
        raise _Malformed("Request-Team must be up to 64 of [A-Za-z0-9._-]")
    request_class = headers.get("request-class")
    if request_class is not None and request_class not in REQUEST_CLASSES:
        raise _Malformed(
            f"Request-Class must be one of {', '.join(REQUEST_CLASSES)}"
        )
    idempotent = headers.get("request-idempotent")
    if idempotent is not None and idempotent not in _FLAGS:
        raise _Malformed("Request-Idempotent must be true or false")
    if attempt is None and given_id is None:
        # An id that was made here cannot have been sent before.
        attempt = 1
    return CallerRequest(
        request_id=given_id or _ids.new_request_id(),
        attempt=attempt,
        service=request.params["service"],
        path=_target(request),
        request_class=request_class,
        team=team,
        idempotent=None if idempotent is None else _FLAGS[idempotent],
        deadline_ms=_integer(
            headers, "request-deadline-ms", 1, DEADLINE_LIMIT_MS
        ),
        headers={n: v for n, v in headers.items() if n not in _OWN_HEADERS},
        body=request.body,
        disconnected=request.disconnected,
    )


def _target(request):
    query = f"?{request.raw_query}" if request.raw_query else ""
    return "/" + request.params["path"] + query


def _integer(headers, name, low, high):
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise _Malformed(f"{name} must be a whole number")
    value = int(text)
    if not low <= value <= high:
        raise _Malformed(f"{name} must be from {low} to {high}")
    return value
