"""Seeded series of faults, which may overlap in time."""

import functools
import signal

import anyio

from tools.soak import series

PAUSE_RANGE_S = (0.3, 2.0)  # between the starts of two faults
DURATION_RANGE_S = (0.5, 4.0)
DELAY_RANGE_S = (0.02, 0.3)
LOSS_SHARE = 0.3


class Faults:
    """Injects faults into a `tools.soak.environment.SoakEnvironment`.

    Parameters
    ----------
    environment : SoakEnvironment
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
            name: (functools.partial(method, self), DURATION_RANGE_S)
            for name, method in _FAULT_METHODS.items()
        }
        await series.inject(
            bound, self._rng, PAUSE_RANGE_S, self.injected, seconds
        )

    def _choose_proxy(self):
        return self._rng.choice(self._environment.proxies)

    async def _reset(self, duration_s):
        await self._choose_proxy().reset()

    async def _silence(self, duration_s):
        self._choose_proxy().silence()

    async def _cut(self, duration_s):
        await _hold_bytes(self._choose_proxy(), {"out", "back"}, duration_s)

    async def _cut_answers(self, duration_s):
        await _hold_bytes(self._choose_proxy(), {"back"}, duration_s)

    async def _delay(self, duration_s):
        proxy = self._choose_proxy()
        proxy.delay_s = self._rng.uniform(*DELAY_RANGE_S)
        await anyio.sleep(duration_s)
        proxy.delay_s = 0.0

    async def _store_down(self, duration_s):
        await self._set_switch("store_down", 1.0, duration_s)

    async def _store_lost(self, duration_s):
        await self._set_switch("store_lost", LOSS_SHARE, duration_s)

    async def _set_switch(self, name, value, duration_s):
        await self._environment.set_fault(name, value)
        await anyio.sleep(duration_s)
        await self._environment.set_fault(name, 0.0)

    async def _kill(self, duration_s):
        await self._environment.restart(
            self._choose_member(), signal.SIGKILL, duration_s
        )

    async def _terminate(self, duration_s):
        await self._environment.restart(
            self._choose_member(), signal.SIGTERM, duration_s
        )

    async def _kill_all(self, duration_s):
        async with anyio.create_task_group() as task_group:
            for member in self._environment.members:
                task_group.start_soon(
                    self._environment.restart,
                    member,
                    signal.SIGKILL,
                    duration_s / 4,
                )

    async def _pause(self, duration_s):
        member = self._choose_member()
        await self._environment.pause(member, duration_s)

    def _choose_member(self):
        return self._rng.choice(self._environment.members)


async def _hold_bytes(proxy, directions, duration_s):
    proxy.blocked |= directions
    await anyio.sleep(duration_s)
    proxy.blocked -= directions


_FAULT_METHODS = {
    "cut": Faults._cut,
    "cut answers": Faults._cut_answers,
    "delay": Faults._delay,
    "kill": Faults._kill,
    "kill all": Faults._kill_all,
    "pause": Faults._pause,
    "reset": Faults._reset,
    "silence": Faults._silence,
    "store down": Faults._store_down,
    "store lost": Faults._store_lost,
    "terminate": Faults._terminate,
}
