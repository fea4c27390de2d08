"""Spreads ticket calls over the members of the cell.

The ticket service handles one call of each machine at a time, so the calls
of a whole cell must come from many machines.
"""

import dataclasses
import logging

import result

from citrondeal.cell import _clock
from citrondeal import errors
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry

TIMEOUT_FACTOR = 1.5
TIMEOUT_EXTRA_S = 1.0
# A member whose call failed gets none for this long.
FAILED_S = 2.0
# A call to another member costs its way as well.
PEER_COST_S = 0.02

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Load:
    free_at: float = 0.0
    failed_at: float = -1e9


class TicketDesk:
    """Fetches tickets through the least busy member.

    Parameters
    ----------
    client : citrondeal.platform.TicketClient
        Calls from this machine.
    links : citrondeal.peers.Pool
    members : callable
        Returns the other `Member` values by name.
    """

    def __init__(self, client, links, members):
        self._client = client
        self._links = links
        self._members = members
        self._loads = {}

    async def fetch(self, step, workers, expected_s):
        """Fetch tickets; returns ``Ok(platform.Grant)`` or ``Err``."""
        now = _clock.now()
        member = self._choose(now)
        load = self._load(member)
        load.free_at = max(now, load.free_at) + expected_s
        timeout_s = (load.free_at - now) * TIMEOUT_FACTOR + TIMEOUT_EXTRA_S
        if member is None:
            outcome = await self._client.fetch(step, list(workers), timeout_s)
        else:
            outcome = await self._ask(member, step, workers, timeout_s)
        if outcome.is_err():
            load.failed_at = _clock.now()
            load.free_at = 0.0
            telemetry.event(
                _LOG,
                logging.WARNING,
                "ticket call failed",
                step=step,
                member=member.name if member else "self",
                reason=outcome.err_value.message,
            )
        return outcome

    async def answer(self, query):
        """Fetch tickets for another member; returns its reply."""
        outcome = await self._client.fetch(
            query.step, query.workers, query.timeout_s
        )
        if outcome.is_err():
            failure = outcome.err_value
            return ttypes.Fault(kind=failure.kind, message=failure.message)
        grant = outcome.ok_value
        tickets = [
            ttypes.Ticket(worker=worker, value=value)
            for worker, value in grant.tickets.items()
        ]
        return ttypes.TicketReply(tickets=tickets, valid_s=grant.valid_s)

    def _choose(self, now):
        """Return the member to call through; None is this process."""
        best, best_cost = None, self._cost(None, now)
        for member in self._members().values():
            cost = self._cost(member, now) + PEER_COST_S
            if cost < best_cost:
                best, best_cost = member, cost
        return best

    def _cost(self, member, now):
        load = self._load(member)
        failed = FAILED_S if now - load.failed_at < FAILED_S else 0.0
        return max(0.0, load.free_at - now) + failed

    def _load(self, member):
        name = member.name if member is not None else ""
        return self._loads.setdefault(name, _Load())

    async def _ask(self, member, step, workers, timeout_s):
        query = ttypes.TicketQuery(
            step=step, workers=list(workers), timeout_s=timeout_s
        )
        try:
            reply = await self._links.call(member.address, query, timeout_s)
        except peers.PeerError as exc:
            return _failure(str(exc))
        if not isinstance(reply, ttypes.TicketReply):
            return _failure(getattr(reply, "message", "unexpected reply"))
        tickets = {ticket.worker: ticket.value for ticket in reply.tickets}
        return result.Ok(platform.Grant(tickets, reply.valid_s))


def _failure(message):
    return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))
