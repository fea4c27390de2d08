"""Sends requests to endpoints and reports how far each attempt got.

The client holds the connections of this process, by endpoint address.
"""

import dataclasses
import enum
import time

import anyio
import httpcore

# Idle connections are not reused after this time, because a device on the
# path may have dropped them without telling either end.
KEEP_ALIVE_S = 2.0
# An answer of this size and its headers fit into one frame between gateways.
MAX_ANSWER_BYTES = 1536 * 1024

_STATUSES_WITHOUT_BODY = frozenset({204, 304})

# Headers that are not passed on, because they apply to one connection or are
# set anew on each.
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        # The gateway's HTTP server adds these two to each answer.
        "date",
        "server",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Delivery(enum.Enum):
    """How far an attempt got."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    COMPLETE = "complete"
    INCOMPLETE = "incomplete"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt.

    Attributes
    ----------
    delivery : Delivery
        ``NOT_SENT``: no byte was written.  ``NOT_RUN``: the endpoint
        answered that it did not run the request.  ``COMPLETE``: the whole
        answer was received.  ``INCOMPLETE``: an answer began but was not
        received whole.  ``UNKNOWN``: bytes may have been written, and no
        answer began.
    status : int
        HTTP status of a complete answer.
    headers : dict of str to str
        End-to-end headers of a complete answer.
    body : bytes
        Body of a complete answer.
    reason : str
        Why there is no complete answer; empty if there is one.
    broke_off : bool
        Whether the connection ended after the request had started, as it
        does if the endpoint crashes.
    """

    delivery: Delivery
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    reason: str = ""
    broke_off: bool = False


class _Withdrawn(Exception):
    """`may_send` returned false right before the first byte."""


class _Progress:
    """Records whether the request and its answer have started.

    Once the request has started, the attempt can no longer be withdrawn.
    """

    def __init__(self, may_send):
        self._may_send = may_send
        self.request_started = False
        self.answer_started = False

    async def trace(self, name, info):
        """Handle a trace event of httpcore."""
        if name == "http11.send_request_headers.started":
            # The last point at which the attempt can be withdrawn.
            if not self._may_send():
                raise _Withdrawn
            self.request_started = True
        elif name == "http11.receive_response_headers.complete":
            self.answer_started = True


class Client:
    """Connections to the endpoints that this gateway holds.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds to open a connection.
    silent_after_s : float
        Seconds without a byte of the answer after which an attempt fails.
    """

    def __init__(self, connect_timeout_s=1.0, silent_after_s=10.0):
        self._connect_timeout_s = connect_timeout_s
        self._silent_after_s = silent_after_s
        self._pools = {}

    @classmethod
    def from_config(cls, config):
        """Build from the ``[endpoints]`` settings of a gateway."""
        return cls(
            config.endpoints.connect_timeout_s,
            config.endpoints.silent_after_s,
        )

    async def attempt(
        self, address, path, headers, body, timeout_s, connections, may_send
    ):
        """Send one request and read its whole answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        path : str
            Path to request, with a leading slash.
        headers : dict of str to str
            Headers by lower-case name; those that belong to one connection
            are left out.
        body : bytes
            Body of the request.
        timeout_s : float
            Seconds for the whole attempt.
        connections : int
            Most connections to this endpoint; the first attempt at it
            decides.
        may_send : callable
            Called without arguments right before the first byte; the
            attempt is ``NOT_SENT`` if it returns false.

        Returns
        -------
        Outcome
            How far the attempt got, and the answer if it is complete.
        """
        try:
            url = _url_of(address, path)
        except (TypeError, ValueError) as exc:
            # The host, the port or the path has no form in a URL.
            return Outcome(Delivery.NOT_SENT, reason=str(exc))
        progress = _Progress(may_send)
        pool = self._pool_for(address, connections)
        try:
            with anyio.fail_after(timeout_s):
                return await self._send(
                    pool, address, url, headers, body, timeout_s, progress
                )
        except _Withdrawn:
            return Outcome(
                Delivery.NOT_SENT,
                reason="the lease ended before the request was sent",
            )
        except TimeoutError:
            return _failed_outcome(
                progress,
                f"the attempt did not complete within {timeout_s:g} s",
            )
        except httpcore.TimeoutException as exc:
            return _failed_outcome(progress, str(exc) or type(exc).__name__)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
        ) as exc:
            return _failed_outcome(
                progress, str(exc) or type(exc).__name__, broke_off=True
            )

    async def _send(
        self, pool, address, url, headers, body, timeout_s, progress
    ):
        request_headers = [(b"host", address.encode("ascii"))]
        request_headers += [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
            if name not in _CONNECTION_HEADERS
        ]
        request_headers.append((b"content-length", b"%d" % len(body)))
        timeouts = {
            "connect": self._connect_timeout_s,
            "read": min(timeout_s, self._silent_after_s),
        }
        async with pool.stream(
            "POST",
            url,
            headers=request_headers,
            content=body,
            extensions={"timeout": timeouts, "trace": progress.trace},
        ) as response:
            chunks = []
            size = 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    return Outcome(
                        Delivery.INCOMPLETE,
                        reason=f"the answer exceeds {MAX_ANSWER_BYTES} bytes",
                    )
                chunks.append(chunk)
            if not _is_delimited(response):
                return Outcome(
                    Delivery.INCOMPLETE,
                    reason="the answer has neither Content-Length nor"
                    " Transfer-Encoding",
                )
            answer_headers = _end_to_end_headers(response.headers)
        if (
            response.status == 503
            and answer_headers.get("request-run") == "not_run"
        ):
            return Outcome(
                Delivery.NOT_RUN,
                reason="answered with status 503 and Request-Run: not_run",
            )
        return Outcome(
            Delivery.COMPLETE,
            response.status,
            answer_headers,
            b"".join(chunks),
        )

    def _pool_for(self, address, connections):
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEP_ALIVE_S,
            )
        return pool

    async def close_connections(self, address):
        """Close the connections to an endpoint that is no longer held."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.aclose()

    async def aclose(self):
        """Close the connections to all endpoints."""
        for address in list(self._pools):
            await self.close_connections(address)


def not_after_header(deadline_s, now):
    """Return the value of ``Request-Not-After`` for a deadline.

    Parameters
    ----------
    deadline_s, now : float
        Deadline and present time in monotonic seconds.

    Returns
    -------
    str
        Deadline as Unix time in seconds, with three decimals.
    """
    return f"{time.time() + deadline_s - now:.3f}"


def _url_of(address, path):
    # Parsing the path as well would drop a part after a semicolon.
    server = httpcore.URL(f"http://{address}")
    return httpcore.URL(
        scheme=server.scheme,
        host=server.host,
        port=server.port,
        target=path.encode("ascii"),
    )


def _is_delimited(response):
    # Without a length or a transfer encoding, the end of the answer cannot be
    # told from a connection that broke in the middle of it.
    if response.status in _STATUSES_WITHOUT_BODY:
        return True
    names = {name.lower() for name, _ in response.headers}
    return b"content-length" in names or b"transfer-encoding" in names


def _end_to_end_headers(headers):
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    )
    return {
        name: value
        for name, value in decoded
        if name not in _CONNECTION_HEADERS
    }


def _failed_outcome(progress, reason, broke_off=False):
    if not progress.request_started:
        return Outcome(Delivery.NOT_SENT, reason=reason)
    delivery = Delivery.UNKNOWN
    if progress.answer_started:
        delivery = Delivery.INCOMPLETE
    return Outcome(delivery, reason=reason, broke_off=broke_off)
