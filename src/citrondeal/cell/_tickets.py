"""Spreads ticket calls over the members of the cell.

The ticket service handles one call of each machine at a time, so the calls
of a whole cell must come from many machines.
"""

import dataclasses
import heapq
import logging

import anyio
import result

from citrondeal.cell import _clock
from citrondeal import errors
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry

SELF = ""  # stands for this process among the names of members
TIMEOUT_FACTOR = 1.5
TIMEOUT_EXTRA_S = 0.6
# A member whose call failed gets none for this long.
FAILED_S = 3.0
# Calls that take longer than this leave some members to short ones: a
# quarter of them, two at least.
LONG_S = 0.3
SHORT_SHARE = 4
SHORT_LEAST = 2
TRIES = 2

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(eq=False)
class _Waiting:
    """A call that waits for a free member."""

    step: str
    workers: tuple
    expected_s: float
    free: anyio.Event
    member: str | None = None

    @property
    def long(self):
        return self.expected_s > LONG_S


@dataclasses.dataclass
class _Seat:
    """One member as a place to call from."""

    busy: bool = False
    long: bool = False
    failed_at: float = -1e9


class TicketDesk:
    """Fetches tickets through free members.

    Calls for which room is held come first, then the most urgent step.

    Parameters
    ----------
    client : citrondeal.platform.TicketClient
        Calls from this machine.
    links : citrondeal.peers.ConnectionPool
    members : callable
        Returns the other `Member` values by name.
    """

    def __init__(self, client, links, members):
        self._client = client
        self._links = links
        self._members = members
        self._seats = {SELF: _Seat()}
        self._queue = []
        self._count = 0

    async def fetch(self, step, order):
        """Fetch tickets.

        Parameters
        ----------
        step : str
            Name of the step on the wire.
        order : citrondeal.workflow.FetchTickets

        Returns
        -------
        result.Result
            ``Ok(platform.TicketGrant)`` or ``Err``.
        """
        for _ in range(TRIES):
            outcome = await self._try(step, order)
            if outcome.is_ok():
                break
        return outcome

    async def _try(self, step, order):
        waiting = _Waiting(
            step, order.workers, order.expected_s, anyio.Event()
        )
        self._count += 1
        key = (
            not order.renewal,
            order.priority,
            order.due_at,
            self._count,
        )
        heapq.heappush(self._queue, (key, waiting))
        self._assign(_clock.now())
        try:
            await waiting.free.wait()
            outcome = await self._call(waiting)
        finally:
            self._leave(waiting)
        if outcome.is_err():
            self._note_failure(waiting, outcome.err_value)
        return outcome

    def _assign(self, now):
        """Give free members to the first calls of the queue."""
        names = [SELF, *self._members()]
        kept = []
        while self._queue:
            key, waiting = heapq.heappop(self._queue)
            name = self._free_member(names, waiting, now)
            if name is None:
                kept.append((key, waiting))
                if not waiting.long:
                    break
                continue
            seat = self._seats[name]
            seat.busy, seat.long = True, waiting.long
            waiting.member = name
            waiting.free.set()
        for entry in kept:
            heapq.heappush(self._queue, entry)

    def _free_member(self, names, waiting, now):
        seats = [self._seats.setdefault(name, _Seat()) for name in names]
        if waiting.long:
            busy = sum(1 for seat in seats if seat.busy and seat.long)
            kept = max(SHORT_LEAST, len(seats) // SHORT_SHARE)
            if busy >= max(1, len(seats) - kept):
                return None
        for name, seat in zip(names, seats):
            if not seat.busy and now - seat.failed_at >= FAILED_S:
                return name
        # This process is the last resort, whatever happened before.
        return None if self._seats[SELF].busy else SELF

    def _leave(self, waiting):
        if waiting.member is None:
            self._queue = [e for e in self._queue if e[1] is not waiting]
            heapq.heapify(self._queue)
        else:
            self._seats[waiting.member].busy = False
        self._assign(_clock.now())

    async def _call(self, waiting):
        timeout_s = waiting.expected_s * TIMEOUT_FACTOR + TIMEOUT_EXTRA_S
        if waiting.member == SELF:
            return await self._client.fetch(
                waiting.step, list(waiting.workers), timeout_s
            )
        member = self._members().get(waiting.member)
        if member is None:
            return _failure("the member has left")
        return await self._ask(
            member, waiting.step, waiting.workers, timeout_s
        )

    def _note_failure(self, waiting, failure):
        self._seats[waiting.member].failed_at = _clock.now()
        telemetry.event(
            _LOG,
            logging.WARNING,
            "ticket call failed",
            step=waiting.step,
            member=waiting.member or "self",
            reason=failure.message,
        )

    async def answer(self, query):
        """Fetch tickets for another member; returns its reply."""
        outcome = await self._client.fetch(
            query.step, query.workers, query.timeout_s
        )
        if outcome.is_err():
            failure = outcome.err_value
            return ttypes.Fault(
                kind=failure.kind.value, message=failure.message
            )
        grant = outcome.ok_value
        tickets = [
            ttypes.Ticket(worker=worker, value=value)
            for worker, value in grant.tickets.items()
        ]
        return ttypes.TicketReply(tickets=tickets, valid_s=grant.valid_s)

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
        return result.Ok(platform.TicketGrant(tickets, reply.valid_s))


def _failure(message):
    return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))
