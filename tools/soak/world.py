"""Processes of one soak: a cell beside the stand-ins, behind proxies."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile

import anyio

from citrondeal.cell.tests import processes
from citrondeal import web
from tests import cell as cells
from tools.soak import proxy

START_LIMIT_S = 30.0


class World:
    """Members, stand-ins and the proxies between them.

    Parameters
    ----------
    members, runners : int
        Number of processes of the cell and of stand-ins for runners.
    """

    def __init__(self, members, runners):
        self._folder = tempfile.TemporaryDirectory()
        self._runners = runners
        folder = pathlib.Path(self._folder.name)
        ports = cells.free_ports(2 * runners + 2 * members + 12)
        self._store = min(ports)
        self._advertised = self._store + runners + 2
        first = self._advertised + runners
        targets = {
            self._advertised + i: self._store + 2 + i for i in range(runners)
        }
        targets.update({first + i: self._store for i in range(members)})
        self._ports = {p: proxy.Proxy(t) for p, t in targets.items()}
        self.members = [
            processes.MemberProcess(
                folder, i, first + members, first + i, self._store + 1
            )
            for i in range(members)
        ]
        self._control = web.Client(f"127.0.0.1:{self._store + 1}")
        self._standins = None

    @property
    def proxies(self):
        """Proxies before the store, one a member, and before the runners."""
        return list(self._ports.values())

    async def start(self, task_group):
        """Start everything and wait until all members are ready."""
        for port, each in self._ports.items():
            await task_group.start(each.serve, port)
        self._standins = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.standins.platform",
                f"--first_port={self._store}",
                f"--runners={self._runners}",
                f"--advertised_port={self._advertised}",
            ],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env=cells.subprocess_environment(),
        )
        for member in self.members:
            member.start()
        with anyio.fail_after(START_LIMIT_S):
            for member in self.members:
                while not await _is_ready(member):
                    await anyio.sleep(0.1)

    async def fault(self, name, value):
        """Set a fault switch of the stand-ins."""
        body = json.dumps({name: value}).encode()
        await self._control.request("POST", "/faults", body)

    async def counts(self):
        """Return what the stand-ins have counted."""
        outcome = await self._control.request("GET", "/counts")
        return json.loads(outcome.unwrap().body)

    def logs(self):
        """Return the log of each member by name."""
        return {m.name: m.log.read_bytes() for m in self.members}

    def stop(self):
        """End the processes of this world."""
        for member in self.members:
            if member.process is not None:
                member.end(signal.SIGKILL)
        if self._standins is not None:
            self._standins.terminate()
            self._standins.wait(20)
        self._folder.cleanup()


async def _is_ready(member):
    client = web.Client(member.ready)
    outcome = await client.request("GET", "/v1/readiness")
    await client.aclose()
    return outcome.is_ok() and outcome.ok_value.status == 200
