"""Applies the limits of a server to its connections, and reports refusals."""

import asyncio
import collections
import logging

import anyio

from citrondeal import telemetry
from citrondeal.web import _limits

SWEEP_PERIOD_S = 0.25
# Parsing in one turn of the event loop: about 80 requests, which then take
# some 40 ms to handle.
TURN_S = 0.005
# The turn is only observed from here on: a callback in each turn would cost
# every request 6 us.
OBSERVED_S = TURN_S / 4
# A connection whose request took longer to parse than any usual one (0.1 ms
# for 262,144 bytes in one piece) is parsed after all others.
HEAVY_S = 0.005
# Between two log lines about refusals of one kind.
LOG_PERIOD_S = 10.0

_LOG = logging.getLogger(__name__)


class RefusalCounts:
    """Refusals by kind, of which few are logged.

    The first of a kind is logged at once, and then in each period how many
    there were.
    """

    def __init__(self):
        self.totals = collections.Counter()
        self._logged = {}  # time and total of the last line by kind

    def add(self, refusal, now):
        """Count a refusal; return whether it is to be logged at once."""
        self.totals[refusal] += 1
        if refusal in self._logged:
            return False
        self._logged[refusal] = (now, self.totals[refusal])
        return True

    def due(self, now):
        """Return the counts to log now, by kind.

        A kind without refusals in a period starts again with a line at once.
        """
        found = {}
        for refusal, (at, total) in list(self._logged.items()):
            if now - at < LOG_PERIOD_S:
                continue
            count = self.totals[refusal] - total
            if count:
                found[refusal] = count
                self._logged[refusal] = (now, self.totals[refusal])
            else:
                del self._logged[refusal]
        return found


class Guard:
    """The limits of one server, and the work that they put off.

    Parameters
    ----------
    name : str
        Name of the server in log lines.
    table : ConnectionTable
    budget : Budget
        Shared by the servers of a process.
    counts : RefusalCounts
        Shared by the servers of a process.
    limits : callable, optional
        Returns the present `Limits`; if None, those of `table` stay.
    """

    def __init__(self, name, table, budget, counts, limits=None):
        self.name = name
        self.table = table
        self.late_s = 0.0
        self._budget = budget
        self._counts = counts
        self._limits = limits
        self._used_s = 0.0
        self._turn_is_due = False
        self._put_off = collections.deque()
        self._heavy = collections.deque()

    @property
    def header_bytes(self):
        """Largest size of the request line and the headers."""
        return self.table.limits.header_bytes

    def admit(self, client, close, now):
        """Return the `Connection` of a new client, or None if refused."""
        connection, victim, refusal = self.table.open(client, now)
        if refusal is not None:
            self.count(refusal, client, now)
        if victim is not None:
            victim.close(_limits.Refusal.STALLED)
            self.forget(victim)
        if connection is not None:
            connection.close = close
        return connection

    def forget(self, connection):
        """Remove a connection.

        What its request holds is released when that has been handled.
        """
        self.table.remove(connection)

    def reserve(self, connection, size, refusal):
        """Return whether a request may hold more bytes."""
        if self._budget.reserve_small(connection, size):
            return True
        now = asyncio.get_running_loop().time()
        granted, victims = self._budget.reserve(connection, size, now)
        for victim in victims:
            self.count(_limits.Refusal.BODY_BUDGET, victim.client, now)
            victim.close(_limits.Refusal.BODY_BUDGET)
        if not granted:
            self.count(refusal, connection.client, now)
        return granted

    def release(self, connection):
        """Release what the present request of a connection holds."""
        if connection.reserved:
            self._budget.release(connection)

    def count(self, refusal, client, now):
        """Count a refusal, and log it if it is the first of its kind."""
        if self._counts.add(refusal, now):
            telemetry.event(
                _LOG,
                logging.WARNING,
                "client is refused",
                kind=refusal.value,
                server=self.name,
                client=client,
                connections=len(self.table),
                held_bytes=self._budget.large_used,
            )

    # Parsing in turns

    def may_parse(self, work_s):
        """Return whether a connection may parse in this turn of the loop.

        Parameters
        ----------
        work_s : float
            Processor time that its present request has taken so far.
        """
        return self._used_s < TURN_S and work_s < HEAVY_S

    def on_parsed(self, took_s):
        """Record the processor time of parsing."""
        self._used_s += took_s
        if self._used_s > OBSERVED_S:
            self._schedule_turn()

    def put_off(self, parse, work_s):
        """Call `parse` in a later turn of the event loop."""
        waiting = self._put_off if work_s < HEAVY_S else self._heavy
        waiting.append(parse)
        self._schedule_turn()

    def _schedule_turn(self):
        if not self._turn_is_due:
            self._turn_is_due = True
            asyncio.get_running_loop().call_soon(self._start_turn)

    def _start_turn(self):
        self._turn_is_due = False
        self._used_s = 0.0
        try:
            # One heavy connection in each turn, so that these go on as well.
            if self._heavy:
                self._heavy.popleft()()
            while self._put_off and self._used_s < TURN_S:
                self._put_off.popleft()()
        finally:
            if self._put_off or self._heavy:
                self._schedule_turn()

    # Deadlines

    async def run(self):
        """End connections whose time is over, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + SWEEP_PERIOD_S
            await anyio.sleep(SWEEP_PERIOD_S)
            now = loop.time()
            self.late_s = max(self.late_s, now - due)
            with telemetry.contain(_LOG, "limits of clients"):
                self._sweep(now)

    def _sweep(self, now):
        if self._limits is not None:
            self.table.limits = self._limits()
        for connection, refusal in self.table.expired(now):
            if refusal is not None:
                self.count(refusal, connection.client, now)
            connection.close(refusal)
        for refusal, count in self._counts.due(now).items():
            telemetry.event(
                _LOG,
                logging.WARNING,
                "clients are refused",
                kind=refusal.value,
                count=count,
                period_s=LOG_PERIOD_S,
                connections=len(self.table),
                held_bytes=self._budget.large_used,
            )
