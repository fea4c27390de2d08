"""Seeded series of faults that change the owner or make it read anew."""

import functools
import signal

import anyio

from tools.soak import series

PAUSE_RANGE_S = (0.5, 3.0)  # between the starts of two faults
DURATION_RANGE_S = (0.2, 4.0)
# An owner that is suspended for less than 0.9 s is not replaced.
SHORT_DURATION_RANGE_S = (0.1, 0.7)
# The store answers the read that it holds with the first of two records; the
# second one is unread when the history is deleted.
UNREAD_RECORDS = 2
RECORD_PAUSE_S = 0.05


class Takeovers:
    """Injects faults into the owner of a cell and the history of the store.

    They run beside those of `tools.soak.faults.Faults`, with random numbers
    of their own.

    Parameters
    ----------
    environment : tools.soak.environment.SoakEnvironment
    rng : random.Random

    Attributes
    ----------
    injected : list of tuple of str and float
        Name and duration in seconds of each fault, in order of injection.
    """

    def __init__(self, environment, rng):
        self._environment = environment
        self._rng = rng
        self.injected = []

    async def run(self, seconds):
        """Start faults for `seconds` and return when the last one is over."""
        bound = {
            name: (functools.partial(method, self), duration_range_s)
            for name, (method, duration_range_s) in _FAULT_METHODS.items()
        }
        await series.inject(
            bound, self._rng, PAUSE_RANGE_S, self.injected, seconds
        )

    async def replace_owner(self):
        """Kill the owner and start its process again."""
        await self._kill(0.0)

    async def _kill(self, duration_s):
        owner = await self._environment.find_owner()
        if owner is not None:
            await self._environment.restart(owner, signal.SIGKILL, duration_s)

    async def _pause(self, duration_s):
        owner = await self._environment.find_owner()
        if owner is not None:
            await self._environment.pause(owner, duration_s)

    async def _compact(self, duration_s):
        await self._environment.compact_store()

    async def _compact_unread(self, duration_s):
        """Delete records of the cell that the suspended owner has not read."""
        owner = await self._environment.find_owner()
        if owner is None:
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._environment.pause, owner, duration_s)
            for _ in range(UNREAD_RECORDS):
                await anyio.sleep(RECORD_PAUSE_S)
                await self._environment.append_cell_record()
            await self._environment.compact_store()


_FAULT_METHODS = {
    "compact": (Takeovers._compact, SHORT_DURATION_RANGE_S),
    "compact unread": (Takeovers._compact_unread, SHORT_DURATION_RANGE_S),
    "compact unread, long pause": (
        Takeovers._compact_unread,
        DURATION_RANGE_S,
    ),
    "kill owner": (Takeovers._kill, DURATION_RANGE_S),
    "pause owner": (Takeovers._pause, DURATION_RANGE_S),
}
