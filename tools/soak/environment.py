"""Processes of one soak test: cell members, platform stand-ins and proxies."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile

import anyio

from citrondeal.cell.tests import processes
from citrondeal import web
from tests import ports
from tests import subprocesses
from tools.soak import proxy

START_TIMEOUT_S = 30.0
STATE_TIMEOUT_S = 0.2
CELL_TOPIC = "keyed.citrondeal.cell"
UNUSED_KEY = "member/none"


class SoakEnvironment:
    """Owns the members, the stand-ins and the proxies between them.

    Parameters
    ----------
    members, runners : int
        Number of processes of the cell, and of runners of the stand-in.
    """

    def __init__(self, members, runners):
        self._folder = tempfile.TemporaryDirectory()
        self._runners = runners
        folder = pathlib.Path(self._folder.name)
        self._store_port = ports.first_of_free_ports(
            2 * runners + 2 * members + 12
        )
        self._first_advertised_port = self._store_port + runners + 2
        first_store_proxy = self._first_advertised_port + runners
        targets = {
            self._first_advertised_port + i: self._store_port + 2 + i
            for i in range(runners)
        }
        targets.update(
            {first_store_proxy + i: self._store_port for i in range(members)}
        )
        self._proxies_by_port = {
            port: proxy.Proxy(target) for port, target in targets.items()
        }
        self.members = [
            processes.MemberProcess(
                folder,
                i,
                first_store_proxy + members,
                first_store_proxy + i,
                self._store_port + 1,
            )
            for i in range(members)
        ]
        self._control = web.Client(f"127.0.0.1:{self._store_port + 1}")
        self._store = web.Client(f"127.0.0.1:{self._store_port}")
        self._standins = None

    @property
    def worker_ids(self):
        """Ids of the runners of the stand-in."""
        return [f"i-{i}" for i in range(self._runners)]

    @property
    def proxies(self):
        """Proxies in front of the runners, and of the store (one a member)."""
        return list(self._proxies_by_port.values())

    async def start(self, task_group):
        """Start all proxies and processes; wait for members to be ready."""
        for port, port_proxy in self._proxies_by_port.items():
            await task_group.start(port_proxy.serve, port)
        self._standins = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.standins.platform",
                f"--first_port={self._store_port}",
                f"--runners={self._runners}",
                f"--advertised_port={self._first_advertised_port}",
            ],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env=subprocesses.environment(),
        )
        for member in self.members:
            member.start()
        with anyio.fail_after(START_TIMEOUT_S):
            for member in self.members:
                while not await _is_ready(member):
                    await anyio.sleep(0.1)

    async def set_fault(self, name, value):
        """Set a fault switch of the stand-ins."""
        body = json.dumps({name: value}).encode()
        await self._control.request("POST", "/faults", body)

    async def compact_store(self):
        """Delete the history of all topics of the store."""
        await self._control.request("POST", "/compact")

    async def append_cell_record(self):
        """Append a record to the cell's topic that changes nothing."""
        await self.append(CELL_TOPIC, UNUSED_KEY, b"")

    async def append(self, topic, key, value):
        """Append a record to a topic of the store, as another writer."""
        content = bytes([len(key)]) + key.encode() + value
        await self._store.request(
            "POST",
            f"/v1/log-append?topic={topic}&part=0",
            len(content).to_bytes(4, "big") + content,
        )

    async def find_owner(self):
        """Return a member that has recovered as the owner, or None."""
        for member in self.members:
            if member.process is None:
                continue
            client = web.Client(member.ready)
            outcome = await client.request(
                "GET", "/debug/state", timeout_s=STATE_TIMEOUT_S
            )
            await client.aclose()
            if outcome.is_ok() and json.loads(outcome.ok_value.body)["owner"]:
                return member
        return None

    async def pause(self, member, duration_s):
        """Suspend a member for a time."""
        process = member.process
        if process is None:
            return
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    async def restart(self, member, signal_number, duration_s):
        """End a member with a signal, and start it again after a time."""
        process, member.process = member.process, None
        if process is None:
            return
        process.send_signal(signal_number)
        # A stopped process handles SIGTERM only after SIGCONT.
        process.send_signal(signal.SIGCONT)
        while process.poll() is None:
            await anyio.sleep(0.02)
        await anyio.sleep(duration_s)
        member.start()

    async def read_counts(self):
        """Return the counters of the stand-ins."""
        outcome = await self._control.request("GET", "/counts")
        return json.loads(outcome.unwrap().body)

    def read_logs(self):
        """Return the contents of the log of each member, by name."""
        return {m.name: m.log.read_bytes() for m in self.members}

    def stop(self):
        """End all processes and remove their folder."""
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
