"""Spreads calls to the ticket service over the members of the cell.

The ticket service handles one call of each machine at a time, so the calls
of a whole cell have to come from many machines.
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

# Stands for this process among the names of members.
LOCAL_MEMBER = ""
TIMEOUT_FACTOR = 1.5
TIMEOUT_MARGIN_S = 0.6
# A member whose call failed gets no other for this long.
FAILURE_PAUSE_S = 3.0
# Calls expected to take longer than this are long. Some members are reserved
# for short calls: a quarter of all, and at least two.
LONG_CALL_S = 0.3
SHORT_CALL_DIVISOR = 4
MIN_SHORT_CALL_MEMBERS = 2
MAX_ATTEMPTS = 2

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(eq=False)
class _PendingCall:
    """A call from its request to its answer; it may wait for a member."""

    step: str
    workers: tuple
    expected_s: float
    assigned: anyio.Event
    member: str | None = None

    @property
    def is_long(self):
        return self.expected_s > LONG_CALL_S


@dataclasses.dataclass
class _MemberState:
    """State of one member as an origin of calls."""

    busy: bool = False
    is_long: bool = False
    failed_at: float = -1e9


class TicketDispatcher:
    """Fetches tickets through members that are free.

    Renewals come first, because resources are reserved until their answer.
    Other calls are made in the order in which the steps are planned, so that
    those of late jobs do not keep jobs in time from the members.

    Parameters
    ----------
    client : citrondeal.platform.TicketClient
        Calls the ticket service from this machine.
    links : citrondeal.peers.ConnectionPool
    members : callable
        Returns the other `Member` values by name.
    """

    def __init__(self, client, links, members):
        self._client = client
        self._links = links
        self._members = members
        self._member_states = {LOCAL_MEMBER: _MemberState()}
        self._long_calls = []  # heaps of (key, call)
        self._short_calls = []
        self._call_count = 0

    async def fetch(self, step, request):
        """Fetch tickets, with a second attempt if the first fails.

        Parameters
        ----------
        step : str
            Name of the step as the ticket service knows it.
        request : citrondeal.workflow.FetchTickets

        Returns
        -------
        result.Result
            ``Ok(platform.TicketGrant)`` or ``Err``.
        """
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._fetch_once(step, request)
            if outcome.is_ok():
                break
        return outcome

    async def _fetch_once(self, step, request):
        pending = _PendingCall(
            step, request.workers, request.expected_s, anyio.Event()
        )
        self._call_count += 1
        key = (
            not request.renewal,
            request.urgency,
            self._call_count,
        )
        heapq.heappush(self._queue_of(pending), (key, pending))
        self._assign_calls(_clock.now())
        try:
            await pending.assigned.wait()
            outcome = await self._call(pending)
        finally:
            self._release(pending)
        if outcome.is_err():
            self._on_failure(pending, outcome.err_value)
        return outcome

    def _assign_calls(self, now):
        """Assign free members to the first calls that may be made.

        The cost must not grow with the calls that wait: those of one kind
        are looked at only as long as the kind may get a member.
        """
        names = [LOCAL_MEMBER, *self._members()]
        long_left = self._free_for_long(names)
        free = self._free_members(names, now)
        while True:
            queues = [self._short_calls] if self._short_calls else []
            if self._long_calls and long_left > 0:
                queues.append(self._long_calls)
            if not queues:
                return
            name = next(free, None)
            if name is None:
                return
            _, pending = heapq.heappop(min(queues, key=_first_key))
            long_left -= pending.is_long
            state = self._member_states[name]
            state.busy, state.is_long = True, pending.is_long
            pending.member = name
            pending.assigned.set()

    def _free_for_long(self, names):
        """Return how many more long calls may be made now."""
        busy = sum(
            1
            for name in names
            if (state := self._state_of(name)).busy and state.is_long
        )
        reserved = max(
            MIN_SHORT_CALL_MEMBERS, len(names) // SHORT_CALL_DIVISOR
        )
        return max(1, len(names) - reserved) - busy

    def _free_members(self, names, now):
        """Yield the names of the members that may make a call.

        If none is left, this process calls even after a recent failure of its
        own.
        """
        for name in names:
            state = self._state_of(name)
            if not state.busy and now - state.failed_at >= FAILURE_PAUSE_S:
                yield name
        if not self._state_of(LOCAL_MEMBER).busy:
            yield LOCAL_MEMBER

    def _state_of(self, name):
        state = self._member_states.get(name)
        if state is None:
            state = self._member_states[name] = _MemberState()
        return state

    def _queue_of(self, pending):
        return self._long_calls if pending.is_long else self._short_calls

    def _release(self, pending):
        if pending.member is None:
            queue = self._queue_of(pending)
            queue[:] = [entry for entry in queue if entry[1] is not pending]
            heapq.heapify(queue)
        else:
            self._member_states[pending.member].busy = False
        self._assign_calls(_clock.now())

    async def _call(self, pending):
        timeout_s = pending.expected_s * TIMEOUT_FACTOR + TIMEOUT_MARGIN_S
        if pending.member == LOCAL_MEMBER:
            return await self._client.fetch(
                pending.step, list(pending.workers), timeout_s
            )
        member = self._members().get(pending.member)
        if member is None:
            return _failure(f"member {pending.member} has left the cell")
        return await self._call_member(
            member, pending.step, pending.workers, timeout_s
        )

    def _on_failure(self, pending, failure):
        self._member_states[pending.member].failed_at = _clock.now()
        telemetry.event(
            _LOG,
            logging.WARNING,
            "ticket call failed",
            step=pending.step,
            member=pending.member or "self",
            reason=failure.message,
        )

    async def answer(self, query):
        """Fetch tickets for another member and return the reply to it.

        Parameters
        ----------
        query : ttypes.TicketQuery

        Returns
        -------
        ttypes.TicketReply or ttypes.Fault
        """
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

    async def _call_member(self, member, step, workers, timeout_s):
        query = ttypes.TicketQuery(
            step=step, workers=list(workers), timeout_s=timeout_s
        )
        try:
            reply = await self._links.call(member.address, query, timeout_s)
        except peers.PeerError as exc:
            return _failure(str(exc))
        if not isinstance(reply, ttypes.TicketReply):
            return _failure(
                getattr(
                    reply,
                    "message",
                    f"unexpected reply of member {member.name}",
                )
            )
        tickets = {ticket.worker: ticket.value for ticket in reply.tickets}
        return result.Ok(platform.TicketGrant(tickets, reply.valid_s))


def _first_key(queue):
    return queue[0][0]


def _failure(message):
    return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))
