"""HTTP exchanges with the platform that tell "not sent" from "unknown"."""

import httpcore
import result

from citrondeal import errors
from citrondeal import telemetry

KEEP_ALIVE = 5.0  # seconds; shorter than common idle timeouts on the path
CONNECT_TIMEOUT = 1.0  # seconds

# Raised before the first byte of a request is written.
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class HttpClient:
    """Connection pool to one base URL with a count of the traffic.

    Parameters
    ----------
    base_url : str
        ``http://host:port`` without a trailing slash.
    connections : int
        Most connections open at a time.
    """

    def __init__(self, base_url, connections=4):
        self._base_url = base_url.rstrip("/")
        self._host = self._base_url.partition("://")[2]
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections, keepalive_expiry=KEEP_ALIVE
        )
        self._bytes_out = 0
        self._bytes_in = 0

    @property
    def traffic(self):
        """Bytes sent and received so far, with HTTP headers."""
        return self._bytes_out, self._bytes_in

    async def request(self, method, path, body=b"", headers=(), timeout_s=2.0):
        """Perform one exchange.

        Returns
        -------
        result.Result
            ``Ok(httpcore.Response)`` with its content read, or an ``Err``
            of kind ``unavailable`` if nothing was sent, ``unknown_outcome``
            if the request may have taken effect.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT, timeout_s),
            "pool": timeout_s,
            "read": timeout_s,
            "write": timeout_s,
        }
        try:
            response = await self._pool.request(
                method,
                self._base_url + path,
                content=body,
                headers=list(headers),
                extensions={"timeout": timeouts},
            )
        except _NOT_SENT as exc:
            return _failure(errors.Kind.UNAVAILABLE, exc)
        except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, exc)
        except httpcore.ProtocolError as exc:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, exc)
        sent, received = telemetry.http_bytes(
            method, self._host, path, headers, body, response
        )
        self._bytes_out += sent
        self._bytes_in += received
        return result.Ok(response)

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()


def _failure(kind, exc):
    reason = str(exc) or type(exc).__name__
    return result.Err(errors.Failure(kind, f"platform: {reason}"))
