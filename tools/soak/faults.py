"""Seeded schedule of faults; faults come in series and overlap."""

import signal

import anyio

PAUSE_S = (0.3, 2.0)  # between the starts of two faults
LENGTH_S = (0.5, 4.0)
DELAY_S = (0.02, 0.3)
LOST_SHARE = 0.3


class Faults:
    """Injects faults into a `tools.soak.world.World`.

    Parameters
    ----------
    world : World
    rng : random.Random
    """

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self.log = []

    async def run(self, seconds):
        """Start faults for some time, and return when all are over."""
        end = anyio.current_time() + seconds
        async with anyio.create_task_group() as task_group:
            while anyio.current_time() < end:
                name = self._rng.choice(sorted(_KINDS))
                length_s = self._rng.uniform(*LENGTH_S)
                self.log.append((name, round(length_s, 2)))
                task_group.start_soon(_KINDS[name], self, length_s)
                await anyio.sleep(self._rng.uniform(*PAUSE_S))

    def _proxy(self):
        return self._rng.choice(self._world.proxies)

    async def _reset(self, length_s):
        await self._proxy().reset()

    async def _silence(self, length_s):
        self._proxy().silence()

    async def _cut(self, length_s):
        await _block(self._proxy(), {"out", "back"}, length_s)

    async def _cut_answers(self, length_s):
        await _block(self._proxy(), {"back"}, length_s)

    async def _delay(self, length_s):
        proxy = self._proxy()
        proxy.delay_s = self._rng.uniform(*DELAY_S)
        await anyio.sleep(length_s)
        proxy.delay_s = 0.0

    async def _store_down(self, length_s):
        await self._switch("store_down", 1.0, length_s)

    async def _store_lost(self, length_s):
        await self._switch("store_lost", LOST_SHARE, length_s)

    async def _switch(self, name, value, length_s):
        await self._world.fault(name, value)
        await anyio.sleep(length_s)
        await self._world.fault(name, 0.0)

    async def _kill(self, length_s):
        await self._end(self._member(), signal.SIGKILL, length_s)

    async def _terminate(self, length_s):
        await self._end(self._member(), signal.SIGTERM, length_s)

    async def _kill_all(self, length_s):
        async with anyio.create_task_group() as task_group:
            for member in self._world.members:
                task_group.start_soon(
                    self._end, member, signal.SIGKILL, length_s / 4
                )

    async def _pause(self, length_s):
        member = self._member()
        process = member.process
        if process is None:
            return
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(length_s)
        process.send_signal(signal.SIGCONT)

    def _member(self):
        return self._rng.choice(self._world.members)

    async def _end(self, member, number, length_s):
        process, member.process = member.process, None
        if process is None:
            return
        process.send_signal(number)
        # A paused process takes a signal to terminate only when it goes on.
        process.send_signal(signal.SIGCONT)
        while process.poll() is None:
            await anyio.sleep(0.02)
        await anyio.sleep(length_s)
        member.start()


async def _block(proxy, directions, length_s):
    proxy.blocked |= directions
    await anyio.sleep(length_s)
    proxy.blocked -= directions


_KINDS = {
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
