"""Client for the periodic exchange with each worker.

It holds the connections of this process, by worker address.
"""

import collections
import json

import anyio
import httpcore
import result

from citrondeal import errors
from citrondeal import numbers
from citrondeal import telemetry

CONNECT_TIMEOUT_S = 1.0
# Longer than the period of the exchange, so that one connection per worker
# stays open.
KEEP_ALIVE_S = 30.0
# A connection pool that was unused for longer is closed, since its worker is
# probably gone.
MAX_POOL_IDLE_S = 120.0
MAX_REPLY_BYTES = 4 * 1024 * 1024

_TASK_STATES = frozenset(
    {"running", "finished", "failed", "checkpointed", "expired"}
)


class _WorkerConnections:
    """Connection pool to one worker and the time of its last use."""

    def __init__(self):
        # At most one exchange with a worker is active at a time. The second
        # connection lets the next one begin while the connection of an
        # abandoned one is being closed.
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=2, keepalive_expiry=KEEP_ALIVE_S
        )
        self.used_at = 0.0


class Client:
    """Connections to the workers of a scheduler.

    Each worker has its own connection pool, because httpcore inspects all
    connections of a pool, with one system call for each, at the start and
    at the end of every exchange.

    Parameters
    ----------
    timeout_s : float
        Seconds for one exchange with a worker.
    """

    def __init__(self, timeout_s):
        self._timeout_s = timeout_s
        # By address, least recently used first.
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
        """Send a request to a worker and return its reply.

        Parameters
        ----------
        address : str
            ``host:port`` of the worker.
        message : dict
            Request, ready for JSON, with the keys ``boot_id`` of the worker
            as last seen, ``starts``, ``renew`` and ``stop`` with tasks to
            act on, and ``ack`` with tasks the worker can forget.

        Returns
        -------
        result.Result
            ``Ok(dict)`` with the validated reply; ``Err`` of kind
            ``unavailable`` if nothing was sent, ``unknown_outcome`` if the
            request may have taken effect.
        """
        try:
            url = httpcore.URL(f"http://{address}/v1/sync")
        except (TypeError, ValueError) as exc:
            # The host or the port has no form in a URL.
            return _failure(errors.Kind.UNAVAILABLE, exc)
        body = json.dumps(message, separators=(",", ":")).encode()
        headers = [("content-type", "application/json")]
        try:
            with anyio.fail_after(self._timeout_s):
                pool = await self._pool_for(address)
                response = await pool.request(
                    "POST",
                    url,
                    content=body,
                    headers=headers,
                    extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            return _failure(errors.Kind.UNAVAILABLE, exc)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            TimeoutError,
        ) as exc:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, exc)
        sent, received = telemetry.http_bytes(
            "POST", address, "/v1/sync", headers, body, response
        )
        self._bytes_out += sent
        self._bytes_in += received
        if response.status != 200:
            return _failure(
                errors.Kind.UNKNOWN_OUTCOME,
                f"answered with status {response.status}, expected 200",
            )
        return _parse_reply(response.content)

    async def _pool_for(self, address):
        worker = self._workers.get(address)
        if worker is None:
            worker = self._workers[address] = _WorkerConnections()
        worker.used_at = anyio.current_time()
        self._workers.move_to_end(address)
        oldest_address, oldest = next(iter(self._workers.items()))
        if worker.used_at - oldest.used_at > MAX_POOL_IDLE_S:
            del self._workers[oldest_address]
            await oldest.pool.aclose()
        return worker.pool

    async def aclose(self):
        """Close all connections."""
        while self._workers:
            _, worker = self._workers.popitem()
            await worker.pool.aclose()


def _parse_reply(content):
    if len(content) > MAX_REPLY_BYTES:
        return _failure(
            errors.Kind.UNKNOWN_OUTCOME,
            f"reply has {len(content)} bytes, expected at most"
            f" {MAX_REPLY_BYTES}",
        )
    try:
        reply = json.loads(content)
        _check_reply(reply)
    except (ValueError, KeyError, RecursionError, TypeError) as exc:
        return _failure(errors.Kind.UNKNOWN_OUTCOME, f"invalid reply: {exc!r}")
    return result.Ok(reply)


def _check_reply(reply):
    if not isinstance(reply["boot_id"], str):
        raise ValueError(
            f"boot_id is of type {type(reply['boot_id']).__name__},"
            " expected a string"
        )
    if not numbers.is_finite(reply["clock_s"]):
        raise ValueError(
            f"clock_s is {reply['clock_s']}, expected a finite number"
        )
    for task in reply["tasks"]:
        if task["state"] not in _TASK_STATES:
            raise ValueError(
                f"state of a task is {task['state']!r:.80}, expected one of"
                f" {', '.join(sorted(_TASK_STATES))}"
            )
        if not isinstance(task["task"], str):
            raise ValueError(
                f"task id is of type {type(task['task']).__name__},"
                " expected a string"
            )
        for name in ("cores", "memory_mb", "accelerators"):
            if not (numbers.is_finite(task[name]) and task[name] >= 0):
                raise ValueError(
                    f"{name} of task {task['task']:.80} is {task[name]},"
                    " expected a finite number of at least 0"
                )


def _failure(kind, reason):
    text = str(reason) or type(reason).__name__
    return result.Err(errors.Failure(kind, f"worker: {text}"))
