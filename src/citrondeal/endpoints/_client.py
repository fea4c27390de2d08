"""Attempts at endpoints, with what is known about their execution."""

import dataclasses
import enum
import time

import anyio
import httpcore

# Idle connections are not reused after this time, because a device on the
# path may have dropped them without telling either end.
KEEP_ALIVE = 2.0  # seconds
ANSWER_LIMIT = 1536 * 1024  # bytes; fits a peer frame with its headers

_NO_BODY = frozenset({204, 304})  # statuses without a body

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        # The gateway's own server adds these two to each answer.
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
        ``NOT_SENT``: no byte was written.  ``NOT_RUN``: the endpoint said
        that it did not run the request.  ``COMPLETE``: the whole answer is
        here.  ``INCOMPLETE``: an answer began but cannot be given whole.
        ``UNKNOWN``: bytes were written and no answer began.
    status : int
        HTTP status of a complete answer.
    headers : dict of str to str
        End-to-end headers of a complete answer.
    body : bytes
        Body of a complete answer.
    reason : str
        What went wrong otherwise.
    """

    delivery: Delivery
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    reason: str = ""


class _Withdrawn(Exception):
    """The check before the first byte refused the attempt."""


class _Progress:
    """Notes the point of no return of one attempt."""

    def __init__(self, may_send):
        self._may_send = may_send
        self.sent = False
        self.answered = False

    async def trace(self, name, info):
        """Observe the steps of httpcore."""
        if name == "http11.send_request_headers.started":
            # The last moment at which the attempt can be withdrawn.
            if not self._may_send():
                raise _Withdrawn
            self.sent = True
        elif name == "http11.receive_response_headers.complete":
            self.answered = True


class Client:
    """Connections to the endpoints that this gateway holds.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds to open a connection.
    silent_after_s : float
        Seconds without any byte after which a connection is given up.
    """

    def __init__(self, connect_timeout_s=1.0, silent_after_s=10.0):
        self._connect_timeout = connect_timeout_s
        self._silent_after = silent_after_s
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
            Headers of the caller; hop-by-hop ones are left out.
        body : bytes
            Body to send.
        timeout_s : float
            Seconds for the whole attempt.
        connections : int
            Most connections to this endpoint.
        may_send : callable
            Called without arguments right before the first byte; the
            attempt is ``NOT_SENT`` if it returns false.

        Returns
        -------
        Outcome
        """
        progress = _Progress(may_send)
        pool = self._pool(address, connections)
        try:
            with anyio.fail_after(timeout_s):
                return await self._exchange(
                    pool, address, path, headers, body, timeout_s, progress
                )
        except _Withdrawn:
            return Outcome(Delivery.NOT_SENT, reason="the lease has ended")
        except TimeoutError:
            return _failed(progress, "no answer in time")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as exc:
            return _failed(progress, str(exc) or type(exc).__name__)

    async def _exchange(
        self, pool, address, path, headers, body, timeout_s, progress
    ):
        sent_headers = [("host", address)]
        sent_headers += [
            (name, value)
            for name, value in headers.items()
            if name not in _HOP_HEADERS
        ]
        sent_headers.append(("content-length", str(len(body))))
        timeouts = {
            "connect": self._connect_timeout,
            "read": min(timeout_s, self._silent_after),
        }
        async with pool.stream(
            "POST",
            f"http://{address}{path}",
            headers=sent_headers,
            content=body,
            extensions={"timeout": timeouts, "trace": progress.trace},
        ) as response:
            chunks = []
            size = 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > ANSWER_LIMIT:
                    return Outcome(
                        Delivery.INCOMPLETE, reason="the answer is too large"
                    )
                chunks.append(chunk)
            if not _is_delimited(response):
                return Outcome(
                    Delivery.INCOMPLETE, reason="the answer has no length"
                )
            answer_headers = _end_to_end(response.headers)
        if (
            response.status == 503
            and answer_headers.get("request-run") == "not_run"
        ):
            return Outcome(Delivery.NOT_RUN, reason="refused by the endpoint")
        return Outcome(
            Delivery.COMPLETE,
            response.status,
            answer_headers,
            b"".join(chunks),
        )

    def _pool(self, address, connections):
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEP_ALIVE,
            )
        return pool

    async def forget(self, address):
        """Close the connections to an endpoint that is no longer held."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.aclose()

    async def aclose(self):
        """Close all connections."""
        for address in list(self._pools):
            await self.forget(address)


def not_after_header(deadline_s, now):
    """Return the Unix time of a monotonic deadline as header text."""
    return f"{time.time() + deadline_s - now:.3f}"


def _is_delimited(response):
    # The end of an answer without a length cannot be told from a
    # connection that broke in the middle of it.
    if response.status in _NO_BODY:
        return True
    names = {name.lower() for name, _ in response.headers}
    return b"content-length" in names or b"transfer-encoding" in names


def _end_to_end(headers):
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    )
    return {n: v for n, v in decoded if n not in _HOP_HEADERS}


def _failed(progress, reason):
    if not progress.sent:
        return Outcome(Delivery.NOT_SENT, reason=reason)
    if progress.answered:
        return Outcome(Delivery.INCOMPLETE, reason=reason)
    return Outcome(Delivery.UNKNOWN, reason=reason)
