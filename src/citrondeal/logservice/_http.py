"""HTTP client that tells requests that were not sent from unknown outcomes."""

import httpcore
import result

from citrondeal import errors
from citrondeal import telemetry

KEEP_ALIVE_S = 5.0  # shorter than common idle timeouts on the network path
CONNECT_TIMEOUT_S = 1.0

# Errors that httpcore raises before it writes the first byte of a request.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class HttpClient:
    """Connection pool to one base URL that counts the bytes transferred.

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
            max_connections=connections, keepalive_expiry=KEEP_ALIVE_S
        )
        self._bytes_out = 0
        self._bytes_in = 0

    @property
    def traffic(self):
        """Bytes sent and received so far, with HTTP headers."""
        return self._bytes_out, self._bytes_in

    async def request(self, method, path, body=b"", headers=(), timeout_s=2.0):
        """Send one request and read the whole answer.

        Parameters
        ----------
        method, path : str
            HTTP method, and path below the base URL with the query.
        body : bytes
            Body of the request.
        headers : sequence of (str, str)
            Additional headers.
        timeout_s : float
            Seconds for each wait: for a connection from the pool and for
            each read or write.

        Returns
        -------
        result.Result
            ``Ok(httpcore.Response)`` with any status and its content read;
            ``Err`` of kind ``unavailable`` if nothing was sent,
            ``unknown_outcome`` if the request may have taken effect.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
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
        except _NOT_SENT_ERRORS as exc:
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
