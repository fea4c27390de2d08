"""Client of the runners, which are the workers of the platform."""

import dataclasses
import logging
from typing import Annotated

import msgspec
import result

from citrondeal import errors
from citrondeal import numbers
from citrondeal.platform import _names
from citrondeal.platform import _order_client
from citrondeal.platform import _order_replies
from citrondeal.platform import _records
from citrondeal import telemetry
from citrondeal import web
from citrondeal import workflow

# Added to the time for which a runner may delay its answer to a renewal.
RENEWAL_TIMEOUT_MARGIN_S = 0.7
# A runner lists at most this many ended runs in one answer, the oldest first.
MAX_LISTED_ENDS = 500
# The number of a run is stored; larger ones do not fit in a record.
MAX_NUMBER = 2**63


class _RenewalReply(msgspec.Struct, rename="kebab"):
    clock_ms: _records.Clock
    running: list[list] = []
    ended: list[list] = []
    born: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 0


# Values of a row of running and of ended tasks; more may follow.
_RUNNING_TYPES = (str, int, str, int | float)
_END_TYPES = (int, str, int, str, str)

outcome_after_repeat = _order_replies.outcome_after_repeat

_LOG = logging.getLogger(__name__)
_RENEWAL_REPLY_DECODER = msgspec.json.Decoder(_RenewalReply)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Request that renews the leases of all tasks on a runner.

    Attributes
    ----------
    fence : int
        Present fence of the owner for the runner.
    acknowledged : int
        Number up to which the runner may forget ends.
    until_s : float or None
        Time on the runner's clock until which tasks may run, in seconds;
        None does not extend the leases.
    wait_s : float
        Seconds for which the runner may delay its answer until a task ends.
    """

    fence: int
    acknowledged: int
    until_s: float | None
    wait_s: float


class RunnerClient:
    """Client of one runner.

    Parameters
    ----------
    worker : str
        Id of the runner.
    address : str
        ``host:port``.
    on_other_incarnation : callable
        ``on_other_incarnation(born_ms)`` is called when a start was kept back,
        because a new connection has led to this incarnation and not to the one
        that it was decided for.
    """

    def __init__(self, worker, address, on_other_incarnation):
        self._worker = worker
        self._headers = _order_client.runner_headers(worker)
        self._on_other_incarnation = on_other_incarnation
        self._renewal_client = web.Client(address, 1)
        self._start_client = self._connect(0)
        # A stop harms no incarnation, and bars a late start there.
        self._stop_client = self._connect(0)
        self._newest_clock_ms = 0.0

    @property
    def address(self):
        """``host:port`` of the runner."""
        return self._renewal_client.address

    async def start(self, order, fence, until_s):
        """Send a `workflow.Start` and return its `workflow.OrderOutcome`.

        Without a ticket at most one copy of it is sent.

        Parameters
        ----------
        order : workflow.Start
        fence : int
        until_s : float
            Time on the runner's clock after which the order is void, in
            seconds.
        """
        value = {
            "task": _names.task_name(order.task),
            "run": order.run,
            "spec": order.spec,
            "until-ms": int(until_s * 1000),
            "fence": fence,
        }
        if order.checkpoint:
            value["checkpoint"] = order.checkpoint
        if order.ticket:
            value["ticket"] = order.ticket
        client = self._start_client
        if client.born_ms != order.born_ms:
            client = await self._switch_incarnation(order.born_ms)
        reported_clock_ms = self._newest_clock_ms
        outcome = await client.send(
            "/v1/run-start", value, repeat=bool(order.ticket)
        )
        if outcome.is_ok():
            self._compare_clock(outcome.ok_value, reported_clock_ms)
        return _settle(outcome)

    async def _switch_incarnation(self, born_ms):
        """Return a new client for starts on another incarnation."""
        previous, client = self._start_client, self._connect(born_ms)
        self._start_client = client
        await previous.aclose()
        return client

    async def stop(self, order, fence):
        """Send a `workflow.Stop` and return its `workflow.OrderOutcome`."""
        value = {
            "task": _names.task_name(order.task),
            "run": order.run,
            "fence": fence,
        }
        return _settle(await self._stop_client.send("/v1/run-stop", value))

    async def renew_leases(self, renewal):
        """Renew the leases and return the runner's running and ended tasks.

        The first request on a connection extends and acknowledges nothing,
        since another incarnation may answer it.

        Returns
        -------
        result.Result
            ``Ok(workflow.Report)``; kind ``barred`` if the runner knows a
            higher fence; a `web.ConnectionEnded` if the runner may have
            started again since the last renewal.
        """
        outcome = await self._renewal_client.request(
            "POST",
            "/v1/hold",
            _encode_renewal(renewal),
            renewal.wait_s + RENEWAL_TIMEOUT_MARGIN_S,
            self._headers,
            repeat=False,
            first_body=_encode_first_renewal(renewal),
        )
        if outcome.is_err():
            return outcome
        reply = outcome.ok_value
        if reply.status == 409:
            return _failure(
                errors.Kind.BARRED,
                f"runner has seen a fence above {renewal.fence}",
            )
        if reply.status != 200:
            return _failure(
                errors.Kind.UNAVAILABLE,
                f"runner answered {reply.status} to a renewal of its leases",
            )
        try:
            decoded = _RENEWAL_REPLY_DECODER.decode(reply.body)
            self._newest_clock_ms = decoded.clock_ms
            return result.Ok(_build_report(decoded))
        except (msgspec.DecodeError, RecursionError, ValueError) as exc:
            return _failure(
                errors.Kind.UNKNOWN_OUTCOME,
                f"report of the runner cannot be decoded: {exc}",
            )

    def _connect(self, born_ms):
        return _order_client.OrderClient(
            self._worker, self.address, born_ms, self._on_other_incarnation
        )

    def _compare_clock(self, reply, reported_clock_ms):
        """Log an answer whose clock is behind that of an earlier report.

        The clock of one incarnation only rises, so another one has answered.

        Parameters
        ----------
        reply : web.Reply
            Answer to a start.
        reported_clock_ms : float
            Clock in the newest report when the start was sent.
        """
        clock_ms = _order_replies.clock_ms(reply)
        if clock_ms is None or clock_ms >= reported_clock_ms:
            return
        telemetry.event(
            _LOG,
            logging.WARNING,
            "start is answered by another incarnation",
            worker=self._worker,
            status=reply.status,
            clock_ms=clock_ms,
            reported_clock_ms=reported_clock_ms,
        )

    async def aclose(self):
        """Close idle connections."""
        await self._start_client.aclose()
        await self._stop_client.aclose()
        await self._renewal_client.aclose()


def _settle(outcome):
    """Return the `workflow.OrderOutcome` of an order that was sent."""
    if outcome.is_err():
        return outcome.err_value
    reply = outcome.ok_value
    if reply.repeated:
        return outcome_after_repeat(_order_replies.outcome(reply))
    return _order_replies.outcome(reply)


def _encode_renewal(renewal):
    value = {"fence": renewal.fence, "seen-upto": renewal.acknowledged}
    if renewal.until_s is not None:
        value["until-ms"] = int(renewal.until_s * 1000)
    if renewal.wait_s > 0:
        value["wait-ms"] = int(renewal.wait_s * 1000)
    return msgspec.json.encode(value)


def _encode_first_renewal(renewal):
    return msgspec.json.encode({"fence": renewal.fence, "seen-upto": 0})


def _build_report(reply):
    """Return the `workflow.Report` of a decoded answer.

    A malformed row spoils the whole report, because a run that a report does
    not list counts as ended.

    Raises
    ------
    ValueError
        If a row is malformed.
    """
    return workflow.Report(
        reply.clock_ms / 1000.0,
        reply.born,
        [_build_running(row) for row in reply.running],
        [_build_end(row) for row in reply.ended],
        len(reply.ended) >= MAX_LISTED_ENDS,
    )


def _build_running(row):
    _check_row(row, _RUNNING_TYPES)
    task, number, checkpoint, percent = row[: len(_RUNNING_TYPES)]
    return workflow.ReportedRun(
        _names.parse_task_name(task),
        number,
        checkpoint,
        float(percent),
        _usage(row),
    )


def _usage(row):
    """Return the processor time that a row of running names, or None.

    It only serves estimates, so a malformed one spoils no report.
    """
    if len(row) <= len(_RUNNING_TYPES):
        return None
    value = row[len(_RUNNING_TYPES)]
    if not numbers.is_finite(value) or not 0 <= value < MAX_NUMBER:
        return None
    return float(value)


def _build_end(row):
    _check_row(row, _END_TYPES)
    number, task, run, outcome, checkpoint = row[: len(_END_TYPES)]
    return workflow.RunEnd(
        number,
        _names.parse_task_name(task),
        run,
        workflow.RunOutcome(outcome),
        checkpoint,
    )


def _check_row(row, types):
    """Raise ValueError unless a row begins with values of these types."""
    if len(row) < len(types):
        raise ValueError(f"row of {len(row)} values, expected {len(types)}")
    for value, expected in zip(row, types):
        if expected is str:
            valid = isinstance(value, str)
        else:
            valid = (
                numbers.is_finite(value)
                and isinstance(value, expected)
                and abs(value) < MAX_NUMBER
            )
        if not valid:
            raise ValueError(f"{value!r:.80} is no {expected}")


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))
