"""HTTP client of the command line, with failover between servers."""

import dataclasses
import json
import urllib.parse

import httpcore

TIMEOUTS_S = {"connect": 3.0, "read": 30.0, "write": 10.0, "pool": 3.0}

# After these statuses the request is sent to the next server.
RETRIED_STATUSES = (500, 502, 503, 504)

# Errors after which the request cannot have reached the server.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of one request to a list of servers.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no server answered.
    body : dict or list
        Decoded JSON; empty if no server answered.
    server : str
        Server that gave the answer.
    maybe_executed : bool
        A server that reported no success may still have carried out the
        request.
    failed_attempts : tuple of str
        Server and error of each attempt that gave no final answer.
    """

    status: int
    body: object
    server: str
    maybe_executed: bool
    failed_attempts: tuple = ()

    @property
    def ok(self):
        """Whether the status is a success."""
        return 200 <= self.status < 300

    def field(self, name):
        """Return a field of the body; None if there is none."""
        return self.body.get(name) if isinstance(self.body, dict) else None

    @property
    def error(self):
        """Error object of the body; empty for none."""
        found = self.field("error")
        return found if isinstance(found, dict) else {}

    @property
    def message(self):
        """Text of the error."""
        return str(self.error.get("message") or f"status {self.status}")


def send(servers, method, path, body, exchange):
    """Send one request to the servers in order until one answers finally.

    The next server is asked if a server cannot be reached, gives no
    complete answer, or answers with one of `RETRIED_STATUSES` (unavailable
    or outcome unknown).  Every server gets the same body, and so the same
    edit or job id, which keeps a repeat from being carried out twice.

    Parameters
    ----------
    servers : list of str
        Base URLs.
    method, path : str
        HTTP method and path with query.
    body : object or None
        Sent as JSON.
    exchange : callable
        Sends to one server, like `exchange` of this module.

    Returns
    -------
    Reply
        The final answer, or else the last answer that any server gave.
    """
    failed_attempts = []
    maybe_executed = False
    last = (0, {}, servers[-1])
    for server in servers:
        try:
            status, value = exchange(server, method, path, body)
        except _NETWORK_ERRORS as exc:
            maybe_executed = maybe_executed or not isinstance(
                exc, _NOT_SENT_ERRORS
            )
            failed_attempts.append(f"{server}: {_exception_text(exc)}")
            continue
        if status >= 300 and _run_field(value) != "not_run":
            # An error without the API's error body may come from a proxy,
            # which does not know whether the server ran the request.
            maybe_executed = True
        if status in RETRIED_STATUSES:
            last = (status, value, server)
            failed_attempts.append(
                f"{server}: {_error_message(value, status)}"
            )
            continue
        return Reply(
            status, value, server, maybe_executed, tuple(failed_attempts)
        )
    return Reply(*last, maybe_executed, tuple(failed_attempts))


def quote(path):
    """Return a tree path or id as part of a URL path."""
    return urllib.parse.quote(path.strip("/"))


def exchange(server, method, path, body):
    """Send one request to one server.

    Parameters
    ----------
    server : str
        Base URL.
    method, path : str
        HTTP method and path with query.
    body : object or None
        Sent as JSON.

    Returns
    -------
    status : int
        HTTP status.
    value : object
        Decoded JSON; None for an error with another body.

    Raises
    ------
    httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError
        If there is no complete answer.
    """
    headers = [("Host", urllib.parse.urlsplit(server).netloc)]
    content = None
    if body is not None:
        content = json.dumps(body).encode()
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(content))))
    elif method == "POST":
        headers.append(("Content-Length", "0"))
    with httpcore.ConnectionPool(retries=0) as pool:
        response = pool.request(
            method,
            server.rstrip("/") + path,
            headers=headers,
            content=content,
            extensions={"timeout": TIMEOUTS_S},
        )
    try:
        return response.status, json.loads(response.content)
    except ValueError:
        if 200 <= response.status < 300:
            text = f"status {response.status} without JSON"
            raise httpcore.RemoteProtocolError(text) from None
        return response.status, None


def _run_field(value):
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        return value["error"].get("run")
    return None


def _error_message(value, status):
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        return str(value["error"].get("message"))
    return f"status {status}"


def _exception_text(error):
    return f"{type(error).__name__}: {error}" if str(error) else repr(error)
