"""Client of the runners, which are the workers of the platform."""

import dataclasses

import msgspec
import result

from citrondeal import errors
from citrondeal.platform import _names
from citrondeal import web
from citrondeal import workflow

ORDER_TIMEOUT_S = 0.7
HOLD_SLACK_S = 0.7
CONNECTIONS = 8

_REASONS = {
    "fence": workflow.Outcome.FENCED,
    "old": workflow.Outcome.OLD,
    "late": workflow.Outcome.LATE,
    "room": workflow.Outcome.NO_ROOM,
    "ticket": workflow.Outcome.BAD_TICKET,
}


class _Answer(msgspec.Struct, rename="kebab"):
    clock_ms: float = 0.0
    reason: str = ""


class _Lists(msgspec.Struct, rename="kebab"):
    clock_ms: float
    running: list[list] = []
    ended: list[list] = []
    born: int = 0


_ANSWER = msgspec.json.Decoder(_Answer)
_LISTS = msgspec.json.Decoder(_Lists)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """One renewal of the leases on a runner.

    Attributes
    ----------
    fence : int
        Epoch of the owner.
    acknowledged : int
        End number up to which the runner may forget ends.
    until_s : float or None
        Time on the runner's clock until which tasks may run.
    wait_s : float
        How long the runner may wait for an end.
    """

    fence: int
    acknowledged: int
    until_s: float | None
    wait_s: float


class RunnerClient:
    """Calls to one runner.

    Parameters
    ----------
    worker : str
        Id of the runner.
    address : str
        ``host:port``.
    """

    def __init__(self, worker, address):
        self._client = web.Client(address, CONNECTIONS)
        self._headers = (("X-Expect-Instance", worker),)

    @property
    def address(self):
        """``host:port`` of the runner."""
        return self._client.address

    async def start(self, order, fence, until_s):
        """Send a `workflow.Start` and return its `workflow.Outcome`.

        Parameters
        ----------
        order : workflow.Start
        fence : int
        until_s : float
            Time on the runner's clock after which the order is void.
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
        return await self._order("/v1/run-start", value)

    async def stop(self, order, fence):
        """Send a `workflow.Stop` and return its `workflow.Outcome`."""
        value = {
            "task": _names.task_name(order.task),
            "run": order.run,
            "fence": fence,
        }
        return await self._order("/v1/run-stop", value)

    async def renew_leases(self, renewal):
        """Renew the leases and return the lists of the runner.

        Returns
        -------
        result.Result
            ``Ok(workflow.Report)``; kind ``barred`` if the runner knows a
            newer owner.
        """
        value = {"fence": renewal.fence, "seen-upto": renewal.acknowledged}
        if renewal.until_s is not None:
            value["until-ms"] = int(renewal.until_s * 1000)
        if renewal.wait_s > 0:
            value["wait-ms"] = int(renewal.wait_s * 1000)
        outcome = await self._client.request(
            "POST",
            "/v1/hold",
            msgspec.json.encode(value),
            renewal.wait_s + HOLD_SLACK_S,
            self._headers,
        )
        if outcome.is_err():
            return outcome
        reply = outcome.ok_value
        if reply.status == 409:
            return _failure(errors.Kind.BARRED, "runner has a newer fence")
        if reply.status != 200:
            return _failure(
                errors.Kind.UNAVAILABLE, f"runner answered {reply.status}"
            )
        try:
            return result.Ok(_report(_LISTS.decode(reply.body)))
        except (msgspec.DecodeError, ValueError, TypeError) as exc:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, str(exc))

    async def _order(self, path, value):
        outcome = await self._client.request(
            "POST",
            path,
            msgspec.json.encode(value),
            ORDER_TIMEOUT_S,
            self._headers,
        )
        if outcome.is_err():
            if outcome.err_value.kind is errors.Kind.UNAVAILABLE:
                return workflow.Outcome.REFUSED
            return workflow.Outcome.UNKNOWN
        return _outcome(outcome.ok_value)

    async def aclose(self):
        """Close idle connections."""
        await self._client.aclose()


def _outcome(reply):
    if reply.status == 200:
        return workflow.Outcome.OK
    if reply.status == 421:
        return workflow.Outcome.OTHER_INCARNATION
    if reply.status == 409:
        try:
            reason = _ANSWER.decode(reply.body).reason
        except msgspec.DecodeError:
            return workflow.Outcome.UNKNOWN
        return _REASONS.get(reason, workflow.Outcome.REFUSED)
    if reply.status in (400, 429, 503):
        return workflow.Outcome.REFUSED
    return workflow.Outcome.UNKNOWN


def _report(lists):
    running = [
        workflow.RunSeen(
            _names.parse_task(row[0]), int(row[1]), row[2], float(row[3])
        )
        for row in lists.running
    ]
    ended = [
        workflow.End(
            int(row[0]),
            _names.parse_task(row[1]),
            int(row[2]),
            workflow.How(row[3]),
            row[4],
        )
        for row in lists.ended
    ]
    return workflow.Report(lists.clock_ms / 1000.0, lists.born, running, ended)


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))
