"""Client for the orders to one incarnation of a runner.

A runner may start again under its id, and then takes orders that were meant
for its earlier incarnation.  Its clock has begun anew, so the time limit of
such an order would be far ahead and give it a longer lease than was granted.
A connection leads to one process as long as it lasts.  Each new one is
therefore checked before it carries an order.
"""

import logging

import msgspec

from citrondeal import errors
from citrondeal.platform import _order_replies
from citrondeal import telemetry
from citrondeal import web
from citrondeal import workflow

ORDER_TIMEOUT_S = 0.7
MAX_CONNECTIONS = 8


def runner_headers(worker):
    """Return the headers of each request to a runner, given by its id."""
    return (("X-Expect-Instance", worker),)


class _IncarnationReply(msgspec.Struct):
    born: int = 0


_LOG = logging.getLogger(__name__)
_INCARNATION_DECODER = msgspec.json.Decoder(_IncarnationReply)


class OrderClient:
    """Sends orders over connections that lead to one incarnation.

    Parameters
    ----------
    worker : str
        Id of the runner.
    address : str
        ``host:port``.
    born_ms : int
        The incarnation; 0 if any may carry out the orders.
    on_other_incarnation : callable
        ``on_other_incarnation(born_ms)`` is called when a new connection has
        led to another one.
    """

    def __init__(self, worker, address, born_ms, on_other_incarnation):
        self._worker = worker
        self._headers = runner_headers(worker)
        self._born_ms = born_ms
        self._on_other_incarnation = on_other_incarnation
        self._fence = 0
        check = self._check if born_ms else None
        self._client = web.Client(address, MAX_CONNECTIONS, check)

    @property
    def born_ms(self):
        """The incarnation that its connections lead to; 0 if unknown."""
        return self._born_ms

    async def send(self, path, value, repeat=True):
        """Send an order.

        Parameters
        ----------
        path : str
        value : dict
            Encoded as JSON; it has the ``fence`` of the order.
        repeat : bool
            Whether it may be sent again if a reused connection has ended.

        Returns
        -------
        result.Result
            ``Ok(web.Reply)`` or ``Err(workflow.OrderOutcome)``.
        """
        self._fence = max(self._fence, value["fence"])
        outcome = await self._client.request(
            "POST",
            path,
            msgspec.json.encode(value),
            ORDER_TIMEOUT_S,
            self._headers,
            repeat=repeat,
        )
        if outcome.is_err():
            self._log_rejection(outcome.err_value)
        return outcome.map_err(_outcome_of_failure)

    def _log_rejection(self, failure):
        if isinstance(failure, web.ConnectionRejected):
            telemetry.event(
                _LOG,
                logging.INFO,
                "connection to a worker is not used",
                worker=self._worker,
                reason=failure.message,
            )

    async def _check(self, send):
        """Ask for the incarnation at the other end of a connection."""
        body = msgspec.json.encode({"fence": self._fence, "seen-upto": 0})
        reply = await send("POST", "/v1/hold", body, self._headers)
        if reply.status != 200:
            raise web.CheckFailed(
                f"runner answered {reply.status} to the check",
                _outcome_of_refused_check(reply),
            )
        try:
            born_ms = _INCARNATION_DECODER.decode(reply.body).born
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
            raise web.CheckFailed("answer to the check cannot be decoded")
        # A runner that names no incarnation cannot be told from another one.
        if born_ms in (0, self._born_ms):
            return
        self._on_other_incarnation(born_ms)
        raise web.CheckFailed(
            f"runner is incarnation {born_ms}, not {self._born_ms}",
            workflow.OrderOutcome.OTHER_INCARNATION,
        )

    async def aclose(self):
        """Close idle connections."""
        await self._client.aclose()


def _outcome_of_refused_check(reply):
    """Return the outcome of an order that a refused check has kept back."""
    outcome = _order_replies.outcome(reply)
    if outcome is workflow.OrderOutcome.UNKNOWN:
        return workflow.OrderOutcome.REFUSED
    return outcome


def _outcome_of_failure(failure):
    """Return what a failure to send an order tells of its outcome."""
    if failure.kind is not errors.Kind.UNAVAILABLE:
        return workflow.OrderOutcome.UNKNOWN
    if isinstance(failure, web.ConnectionRejected) and failure.detail:
        return failure.detail
    return workflow.OrderOutcome.REFUSED
