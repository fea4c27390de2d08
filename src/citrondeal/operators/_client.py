"""Requests of the command line to a list of servers."""

import dataclasses
import json
import urllib.parse

import httpcore

TIMEOUTS = {"connect": 3.0, "read": 30.0, "write": 10.0, "pool": 3.0}  # s

RETRIED = (500, 502, 503, 504)  # the next server is asked

# The request cannot have reached the server.
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_NETWORK = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer of the servers to one request.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no server answered.
    body : dict or list
        Decoded JSON; empty if no server answered.
    server : str
        Server that gave the answer.
    unknown : bool
        An earlier server, or this one, may have carried out the request.
    notes : tuple of str
        What happened at each server before.
    """

    status: int
    body: object
    server: str
    unknown: bool
    notes: tuple = ()

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
    """Send one request to the servers in order until one decides it.

    The next server is asked if a server cannot be reached, gives no
    complete answer, or answers that it is unavailable or does not know the
    outcome.  The body is the same at each, and so is the id in it.

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
        Of the last server asked.
    """
    notes = []
    unknown = False
    last = (0, {}, servers[-1])
    for server in servers:
        try:
            status, value = exchange(server, method, path, body)
        except _NETWORK as exc:
            unknown = unknown or not isinstance(exc, _NOT_SENT)
            notes.append(f"{server}: {_text_of(exc)}")
            continue
        if status >= 300 and _run_of(value) != "not_run":
            # An answer without the public error body may come from
            # something between this program and the server.
            unknown = True
        if status in RETRIED:
            last = (status, value, server)
            notes.append(f"{server}: {_message_of(value, status)}")
            continue
        return Reply(status, value, server, unknown, tuple(notes))
    return Reply(*last, unknown, tuple(notes))


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
            extensions={"timeout": TIMEOUTS},
        )
    try:
        return response.status, json.loads(response.content)
    except ValueError:
        if 200 <= response.status < 300:
            text = f"status {response.status} without JSON"
            raise httpcore.RemoteProtocolError(text) from None
        return response.status, None


def _run_of(value):
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        return value["error"].get("run")
    return None


def _message_of(value, status):
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        return str(value["error"].get("message"))
    return f"status {status}"


def _text_of(error):
    return f"{type(error).__name__}: {error}" if str(error) else repr(error)
