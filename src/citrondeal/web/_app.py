"""ASGI application that routes HTTP requests to coroutines."""

import dataclasses
import json
import logging
import urllib.parse

from citrondeal import errors
from citrondeal import telemetry
from citrondeal.web import _limits

DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024
# A body of unknown length; most are shorter.
MIN_RESERVATION_BYTES = 4096
# Under this name a server with limits gives the connection of a request.
PROTOCOL_EXTENSION = "citrondeal.protocol"

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Request:
    """One HTTP request with its whole body.

    Attributes
    ----------
    method, path : str
        Method and undecoded path without the query.
    headers : dict of str to str
        Header values by lower-case name.
    query : dict of str to str
        Last value of each query parameter.
    raw_query : str
        Undecoded query without the question mark.
    body : bytes
        Whole body.
    params : dict of str to str
        Values of the placeholders in the pattern of the route.
    client : tuple of (str, int) or None
        Host and port of the client, if the server gives them.
    disconnected : callable
        ``await disconnected()`` returns once the client has closed the
        connection.
    body_limit : int
        Largest body in bytes; ``prepare`` of the route may lower it.
    prepared : object
        What ``prepare`` of the route has returned.
    reserve : callable or None
        ``reserve(size)`` tells whether the request may hold `size` bytes of
        memory more until its response; None if the server has no limits.
    """

    method: str
    path: str
    headers: dict
    query: dict
    body: bytes
    params: dict
    raw_query: str = ""
    client: tuple | None = None
    disconnected: object = None
    body_limit: int = DEFAULT_BODY_LIMIT_BYTES
    prepared: object = None
    reserve: object = None


@dataclasses.dataclass(slots=True)
class Response:
    """Status, body and additional headers of an answer."""

    status: int
    body: bytes = b""
    headers: dict = dataclasses.field(default_factory=dict)


class _TooLarge(Exception):
    """The body of a request exceeds the limit."""


class _Disconnected(Exception):
    """The client closed the connection before the body was complete."""


def json_response(value, status=200):
    """Return a `Response` whose body is `value` encoded as JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Response(status, body, {"content-type": "application/json"})


def failure_response(failure, request_id=None):
    """Return the error response for an `errors.Failure`.

    Parameters
    ----------
    failure : citrondeal.errors.Failure
        Failure to report; it gives status and body.
    request_id : str, optional
        Id of the request, repeated in the body and in ``Request-Id``.

    Returns
    -------
    Response
        With ``Retry-After`` in whole seconds, at least 1, if the failure
        has a retry time.
    """
    response = json_response(
        errors.body_of(failure, request_id), failure.status
    )
    if request_id is not None:
        response.headers["request-id"] = request_id
    if failure.retry_after_s is not None:
        seconds = max(1, round(failure.retry_after_s))
        response.headers["retry-after"] = str(seconds)
    return response


class App:
    """ASGI application that passes each request to the handler of its route.

    Parameters
    ----------
    body_limit : int
        Largest accepted body in bytes; larger ones are answered with 413.

    Examples
    --------
    >>> app = App()
    >>> app.add_route("GET", "/v1/jobs/{id}", show_job)  # doctest: +SKIP
    """

    def __init__(self, body_limit=DEFAULT_BODY_LIMIT_BYTES):
        self._routes = []
        self._body_limit = body_limit
        self._active = 0
        self._keep_alive_disabled = False

    @property
    def active(self):
        """Number of requests being handled."""
        return self._active

    def disable_keep_alive(self):
        """Send ``Connection: close`` with every response from now on.

        A client that sent a request on a kept connection just as the server
        closes it would see the request cut off.
        """
        self._keep_alive_disabled = True

    def add_route(self, method, pattern, handler, prepare=None):
        """Add a route.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        pattern : str
            Path in which ``{name}`` matches one segment that isn't empty; a
            final ``{name*}`` matches the rest of the path, which may be
            empty.
        handler : callable
            ``async handler(request)`` returns a `Response`.
        prepare : callable, optional
            ``prepare(request)`` is called before the body is read. If it
            returns a `Response`, that is the answer.
        """
        segments = pattern.strip("/").split("/")
        self._routes.append((method, segments, handler, prepare))

    async def __call__(self, scope, receive, send):
        """Handle one ASGI scope; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        self._active += 1
        protocol = scope.get("extensions", {}).get(PROTOCOL_EXTENSION)
        try:
            response = await self._respond(scope, receive, protocol)
            if self._keep_alive_disabled:
                response.headers["connection"] = "close"
            await _send_response(response, send)
        except _Disconnected:
            return
        finally:
            self._active -= 1
            if protocol is not None:
                protocol.release()

    async def _respond(self, scope, receive, protocol):
        route, params, methods = self._find_route(
            scope["method"], scope["path"]
        )
        if route is None:
            return _no_route_response(methods)
        handler, prepare = route
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        raw_query = scope["query_string"].decode("latin-1")
        query = urllib.parse.parse_qs(raw_query)
        request = Request(
            scope["method"],
            scope["path"],
            headers,
            {name: values[-1] for name, values in query.items()},
            b"",
            params,
            raw_query,
            scope.get("client"),
            _make_disconnect_waiter(receive),
            self._body_limit,
        )
        try:
            if prepare is not None:
                request.prepared = prepare(request)
                if isinstance(request.prepared, Response):
                    return request.prepared
            request.body = await _read_body(request, receive, protocol)
            if protocol is not None:
                request.reserve = protocol.reserve
            return await handler(request)
        except _Disconnected:
            raise
        except _TooLarge:
            limit = request.body_limit
            message = f"the body exceeds the limit of {limit} bytes"
            return failure_response(
                errors.Failure(errors.Kind.TOO_LARGE, message),
                headers.get("request-id"),
            )
        except Exception as exc:
            telemetry.event(
                _LOG,
                logging.ERROR,
                "request handler failed",
                path=request.path,
                reason=repr(exc),
            )
            _LOG.warning("traceback of the failed handler", exc_info=True)
            failure = errors.Failure(errors.Kind.INTERNAL, "internal error")
            return failure_response(failure, headers.get("request-id"))

    def _find_route(self, method, path):
        segments = path.strip("/").split("/")
        methods = []
        for route_method, pattern, handler, prepare in self._routes:
            params = _match_segments(pattern, segments)
            if params is None:
                continue
            if route_method == method:
                return (handler, prepare), params, methods
            methods.append(route_method)
        return None, {}, methods


async def _read_body(request, receive, protocol):
    """Read the body; its bytes are reserved before they are kept."""
    declared = request.headers.get("content-length", "0")
    # The parser of the server rejects lengths that are no digits or too long.
    reserved = int(declared) if declared.isdecimal() else 0
    if reserved > request.body_limit:
        raise _TooLarge
    if reserved and protocol is not None:
        _reserve(protocol, reserved)
    body = b""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise _Disconnected
        chunk = event.get("body", b"")
        size = len(body) + len(chunk)
        if size > request.body_limit:
            raise _TooLarge
        if size > reserved and protocol is not None:
            # The length is unknown, so the reservation doubles.
            step = max(size - reserved, reserved, MIN_RESERVATION_BYTES)
            _reserve(protocol, step)
            reserved += step
        more = event.get("more_body", False)
        if not more and not body:
            return chunk
        # One array, since each of many small chunks would take more
        # memory than its bytes.
        body = body or bytearray()
        body += chunk
        if not more:
            return bytes(body)


def _reserve(protocol, size):
    if not protocol.reserve(size):
        protocol.refuse(_limits.Refusal.BODY_BUDGET)
        raise _Disconnected


def _make_disconnect_waiter(receive):
    async def disconnected():
        while (await receive())["type"] != "http.disconnect":
            pass

    return disconnected


def _match_segments(pattern, segments):
    params = {}
    for index, expected in enumerate(pattern):
        if expected.endswith("*}"):
            params[expected[1:-2]] = "/".join(segments[index:])
            return params
        if index >= len(segments):
            return None
        if expected.startswith("{"):
            if not segments[index]:
                return None
            params[expected[1:-1]] = segments[index]
        elif expected != segments[index]:
            return None
    return params if len(pattern) == len(segments) else None


def _no_route_response(methods):
    if methods:
        return Response(405, b"", {"allow": ", ".join(sorted(set(methods)))})
    failure = errors.Failure(errors.Kind.UNKNOWN_PATH, "no such path")
    return failure_response(failure)


async def _send_response(response, send):
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    headers.append((b"content-length", str(len(response.body)).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})
