"""Worker over HTTP that may lose power and start again under its id."""

import contextlib
import json
import math

import anyio

from citrondeal.cell import _clock

# Time on the clock of a life that has run for much longer than a lease.
LONG_S = 1000.0


class Life:
    """What the worker knows from one start to the next.

    Attributes
    ----------
    born_ms : int
    runs : dict of str to int
        Number of the run that was started, by the name of its task.
    lease_ends_at : float
        End of the lease on the clock of the tests.
    granted_s : list of float
        How far ahead of its clock each time limit was that it has got.
    acknowledged : int
        Highest number of an end that it was told to forget.
    """

    def __init__(self, born_ms, clock_s, max_lease_s):
        self.born_ms = born_ms
        self._clock_offset_s = clock_s - _clock.now()
        self._max_lease_s = max_lease_s
        self._fence = 0
        self.runs = {}
        self.lease_ends_at = -math.inf
        self.granted_s = []
        self.acknowledged = 0

    def runs_job(self, job):
        """Return whether a task of a job was started."""
        return any(task.startswith(job) for task in self.runs)

    def answer(self, path, order):
        """Carry out an order or a renewal, and return the answer to it."""
        now = _clock.now()
        clock_s = now + self._clock_offset_s
        answer = {"clock-ms": int(clock_s * 1000), "born": self.born_ms}
        if order["fence"] < self._fence:
            return 409, answer | {"reason": "fence"}
        self._fence = order["fence"]
        self.acknowledged = max(self.acknowledged, order.get("seen-upto", 0))
        if "until-ms" in order:
            self._extend_lease(order["until-ms"] / 1000 - clock_s, now)
        if path == "/v1/run-start":
            if self.granted_s[-1] < 0:
                return 409, answer | {"reason": "late"}
            self.runs[order["task"]] = order["run"]
        running = [[task, run, "", 0] for task, run in self.runs.items()]
        return 200, answer | {"running": running}

    def _extend_lease(self, granted_s, now):
        self.granted_s.append(granted_s)
        ends_at = now + min(granted_s, self._max_lease_s)
        self.lease_ends_at = max(self.lease_ends_at, ends_at)


class RestartingWorker:
    """Serves the calls to the present life.

    Connections to a former life stay half open: the next request on one ends
    it, and a renewal that is held there is never answered.

    Parameters
    ----------
    max_lease_s : float
        Longer leases are shortened to this from their arrival.

    Attributes
    ----------
    life : Life
    is_holding : bool
        Whether the present life has held a renewal.
    is_cut : bool
        Whether nothing reaches the worker or leaves it.
    closes : bool
        Whether it closes each connection after one answer.
    answer_s : float
        Seconds that it takes for each answer.
    calls : int
        Number of calls that it has got.
    """

    def __init__(self, max_lease_s):
        self._max_lease_s = max_lease_s
        self.life = None
        self.is_cut = self.closes = False
        self.answer_s = 0.0
        self.calls = 0
        self.restart(LONG_S)

    def restart(self, clock_s=0.0):
        """Begin a life that knows nothing of the former one."""
        born_ms = self.life.born_ms + 1 if self.life else 1
        self.life = Life(born_ms, clock_s, self._max_lease_s)
        self.is_holding = False

    async def handle(self, stream):
        """Serve one connection."""
        life = self.life
        gone = (anyio.EndOfStream, anyio.BrokenResourceError)
        async with stream:
            with contextlib.suppress(*gone):
                while True:
                    request = await stream.receive()
                    if self.is_cut:
                        await anyio.sleep_forever()
                    if life is not self.life:
                        return
                    await stream.send(await self._answer(life, request))
                    if self.closes:
                        return

    async def _answer(self, life, request):
        self.calls += 1
        await anyio.sleep(self.answer_s)
        head, body = request.split(b"\r\n\r\n")
        order = json.loads(body)
        path = head.split()[1].decode()
        status, answer = life.answer(path, order)
        if order.get("wait-ms"):
            self.is_holding = True
            await anyio.sleep(order["wait-ms"] / 1000)
        if self.is_cut or life is not self.life:
            await anyio.sleep_forever()
        data = json.dumps(answer).encode()
        line = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n\r\n"
        return line.encode() + data
