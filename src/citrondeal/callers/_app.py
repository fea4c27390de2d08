"""Parsing of callers' requests and formatting of their answers."""

import dataclasses
import re
import string
import urllib.parse

from citrondeal.callers import _ids
from citrondeal import errors
from citrondeal import web

REQUEST_CLASSES = ("urgent", "normal", "low")
# Requests that take longer should be submitted as jobs.
MAX_DEADLINE_MS = 600_000

_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
_TEAM = re.compile(r"[A-Za-z0-9._-]{0,64}")
_BOOLEANS = {"true": True, "false": False}

# What stays as it is in the path and in the query of a URL, beside letters and
# digits.
_PATH_CHARS = "/:@!$&'()*+,;=-._~"
_QUERY_CHARS = string.punctuation
# Headers that control how citrondeal handles a request. They are removed
# here; what an endpoint needs of them, the gateway sets on each attempt.
_CONTROL_HEADERS = frozenset(
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
        Id that the caller sent, or a new one.
    attempt : int or None
        Attempt number that the caller sent; 1 if the id was created here,
        None if the caller sent an id but no attempt number, so that the
        request may be a repeat.
    service, path : str
        Service, and the path below it with a leading slash and the query.
    request_class : str or None
        One of `REQUEST_CLASSES`; None if the caller sent none.
    team : str
        Name of the team; empty if the caller sent none.
    idempotent : bool or None
        Whether the request may run more than once; None for the default
        of the service.
    deadline_ms : int or None
        Milliseconds after which the caller no longer uses an answer; None
        for the default of the service.
    headers : dict of str to str
        Headers to pass on, by lower-case name.
    body : bytes
        Whole body.
    disconnected : callable
        ``await disconnected()`` returns once the caller has closed the
        connection.
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
    """Status, headers and whole body of an endpoint's answer."""

    status: int
    headers: dict
    body: bytes


class _Malformed(ValueError):
    """A header of a caller's request has an invalid value."""


def build_app(submit, body_limit):
    """Return the application for callers.

    Parameters
    ----------
    submit : callable
        ``async submit(CallerRequest)`` returns a `result.Result` of a
        `Reply` or an `errors.Failure`.
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
    if given_id is not None and not _REQUEST_ID.fullmatch(given_id):
        raise _Malformed(
            f"Request-Id is {given_id!r:.200}, expected 1 to 128 characters of"
            " [A-Za-z0-9._-]"
        )
    attempt = _parse_integer(headers, "request-attempt", 1, 1_000_000)
    team = headers.get("request-team", "")
    if not _TEAM.fullmatch(team):
        raise _Malformed(
            f"Request-Team is {team!r:.200}, expected up to 64 characters of"
            " [A-Za-z0-9._-]"
        )
    request_class = headers.get("request-class")
    if request_class is not None and request_class not in REQUEST_CLASSES:
        raise _Malformed(
            f"Request-Class is {request_class!r:.200}, expected one of"
            f" {', '.join(REQUEST_CLASSES)}"
        )
    idempotent = headers.get("request-idempotent")
    if idempotent is not None and idempotent not in _BOOLEANS:
        raise _Malformed(
            f"Request-Idempotent is {idempotent!r:.200}, expected true or"
            " false"
        )
    if attempt is None and given_id is None:
        # The id is created here, so no earlier attempt can have used it.
        attempt = 1
    return CallerRequest(
        request_id=given_id or _ids.new_request_id(),
        attempt=attempt,
        service=request.params["service"],
        path=_path_with_query(request),
        request_class=request_class,
        team=team,
        idempotent=None if idempotent is None else _BOOLEANS[idempotent],
        deadline_ms=_parse_integer(
            headers, "request-deadline-ms", 1, MAX_DEADLINE_MS
        ),
        headers={
            name: value
            for name, value in headers.items()
            if name not in _CONTROL_HEADERS
        },
        body=request.body,
        disconnected=request.disconnected,
    )


def _path_with_query(request):
    # The server has decoded the path, but not the query.
    path = urllib.parse.quote(request.params["path"], safe=_PATH_CHARS)
    query = ""
    if request.raw_query:
        query = "?" + urllib.parse.quote(
            request.raw_query, safe=_QUERY_CHARS, encoding="latin-1"
        )
    return "/" + path + query


def _parse_integer(headers, name, low, high):
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise _Malformed(
            f"{name} is {text!r:.200}, expected a whole number from {low} to"
            f" {high}"
        )
    value = int(text)
    if not low <= value <= high:
        raise _Malformed(
            f"{name} is {value}, expected a whole number from {low} to {high}"
        )
    return value
