"""Stand-in for the service that grants placement tickets (advice)."""

import asyncio
import time

from standins import http

MAX_WORKERS = 100  # that one call may name
MAX_WAITING = 32


class TicketService:
    """Grants a ticket for each runner that a call names.

    Parameters
    ----------
    fleet : standins.runners.Fleet
    log : callable
        ``log(event, **fields)``.
    decide_ms, each_ms, valid_ms : float
        As the configuration of the queue gives them.
    """

    def __init__(self, fleet, log, decide_ms, each_ms, valid_ms):
        self._fleet = fleet
        self._log = log
        self._decide_ms = decide_ms
        self._each_ms = each_ms
        self._valid_ms = valid_ms

    def server(self):
        """Return a server for one calling machine."""
        lock = asyncio.Lock()
        waiting = 0

        async def handle(request):
            nonlocal waiting
            if waiting >= MAX_WAITING:
                return 429, b""
            waiting += 1
            async with lock:
                waiting -= 1
                return await self._advise(request.json())

        return http.Server(handle)

    async def _advise(self, call):
        workers = call["workers"]
        self._log("advice is asked", step=call["step"], workers=len(workers))
        if len(workers) > MAX_WORKERS:
            return 400, b""
        delay_ms = self._decide_ms + self._each_ms * len(workers)
        await asyncio.sleep(delay_ms / 1000)
        runners = {r.name: r for r in self._fleet.runners if r.alive}
        expires_at = time.monotonic() + self._valid_ms / 1000
        good = [
            [name, f"{call['step']}/{runners[name].life}/{expires_at}"]
            for name in workers
            if name in runners
        ]
        return 200, {"good": good, "valid-ms": self._valid_ms}


def is_valid(ticket, task, life):
    """Return whether a ticket allows a runner's life to start a task."""
    step, _, rest = ticket.partition("/")
    ticket_life, _, expires_at = rest.partition("/")
    return (
        step == task.rpartition(".")[0]
        and ticket_life == str(life)
        and time.monotonic() < float(expires_at)
    )
