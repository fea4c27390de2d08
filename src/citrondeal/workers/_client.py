"""The periodic exchange with a worker."""

import collections
import json
import math

import anyio
import httpcore
import result

from citrondeal import errors
from citrondeal import telemetry

CONNECT_TIMEOUT = 1.0  # seconds
# Longer than the period of the exchange, so that one connection per worker
# stays open.
KEEP_ALIVE = 30.0  # seconds
# An unused pool is closed after this time; its worker has probably gone.
POOL_LIMIT = 120.0  # seconds
REPLY_LIMIT = 4 * 1024 * 1024  # bytes

_STATES = frozenset(
    {"running", "finished", "failed", "checkpointed", "expired"}
)


class _Worker:
    """Connections to one worker."""

    def __init__(self):
        # One exchange is under way at a time; the second connection lets a
        # new one begin while an abandoned one is being closed.
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=2, keepalive_expiry=KEEP_ALIVE
        )
        self.used_at = 0.0


class Client:
    """Connections to the workers of the pool.

    Each worker has a connection pool of its own, because httpcore looks at
    all connections of a pool, with a system call for each, at the start
    and at the end of every exchange.

    Parameters
    ----------
    timeout_s : float
        Seconds for one exchange.
    """

    def __init__(self, timeout_s):
        self._timeout = timeout_s
        # By address; the least recently used first.
        self._workers = collections.OrderedDict()
        self._bytes_out = 0
        self._bytes_in = 0

    @classmethod
    def from_config(cls, config):
        """Build from the ``[workers]`` settings of a scheduler."""
        return cls(config.workers.timeout_s)

    @property
    def traffic(self):
        """Bytes sent and received so far, with HTTP headers."""
        return self._bytes_out, self._bytes_in

    async def sync(self, address, message):
        """Perform one exchange.

        Parameters
        ----------
        address : str
            ``host:port`` of the worker.
        message : dict
            JSON-ready request as documented in the design page.

        Returns
        -------
        result.Result
            ``Ok(dict)`` with a validated reply; ``Err`` of kind
            ``unavailable`` if nothing was sent, ``unknown_outcome`` if the
            request may have taken effect.
        """
        body = json.dumps(message, separators=(",", ":")).encode()
        headers = [("content-type", "application/json")]
        try:
            with anyio.fail_after(self._timeout):
                pool = await self._pool_of(address)
                response = await pool.request(
                    "POST",
                    f"http://{address}/v1/sync",
                    content=body,
                    headers=headers,
                    extensions={"timeout": {"connect": CONNECT_TIMEOUT}},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            return _err(errors.Kind.UNAVAILABLE, exc)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            TimeoutError,
        ) as exc:
            return _err(errors.Kind.UNKNOWN_OUTCOME, exc)
        sent, received = telemetry.http_bytes(
            "POST", address, "/v1/sync", headers, body, response
        )
        self._bytes_out += sent
        self._bytes_in += received
        if response.status != 200:
            return _err(
                errors.Kind.UNKNOWN_OUTCOME,
                f"worker answered {response.status}",
            )
        return _parse(response.content)

    async def _pool_of(self, address):
        worker = self._workers.get(address)
        if worker is None:
            worker = self._workers[address] = _Worker()
        worker.used_at = anyio.current_time()
        self._workers.move_to_end(address)
        oldest, other = next(iter(self._workers.items()))
        if worker.used_at - other.used_at > POOL_LIMIT:
            del self._workers[oldest]
            await other.pool.aclose()
        return worker.pool

    async def aclose(self):
        """Close all connections."""
        while self._workers:
            _, worker = self._workers.popitem()
            await worker.pool.aclose()


def _parse(content):
    if len(content) > REPLY_LIMIT:
        return _err(errors.Kind.UNKNOWN_OUTCOME, "reply is too large")
    try:
        reply = json.loads(content)
        _check(reply)
    except (ValueError, KeyError, TypeError) as exc:
        return _err(errors.Kind.UNKNOWN_OUTCOME, f"invalid reply: {exc!r}")
    return result.Ok(reply)


def _check(reply):
    if not isinstance(reply["boot_id"], str):
        raise ValueError("boot_id is no string")
    if not math.isfinite(reply["clock_s"]):
        raise ValueError("clock_s is not finite")
    for task in reply["tasks"]:
        if task["state"] not in _STATES:
            raise ValueError("unknown task state")
        if not isinstance(task["task"], str):
            raise ValueError("task id is no string")
        for name in ("cores", "memory_mb", "accelerators"):
            if not (math.isfinite(task[name]) and task[name] >= 0):
                raise ValueError(f"{name} is out of range")


def _err(kind, reason):
    text = str(reason) or type(reason).__name__
    return result.Err(errors.Failure(kind, f"worker: {text}"))
