"""Processes of the project's own program, started as the deploy file says."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

from standins import http

ROOT = pathlib.Path(__file__).resolve().parents[3]
FRONT_PORT = 18161
READY_PORT = 18167
FIRST_PORT = 17720
METRICS_PORT = 9464
START_TIMEOUT_S = 30.0
GRACE_S = 6.0

# The bounds are those of the small site files.
_SETTINGS = """
node = "{name}"
role = "cell"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal-port-range = [{first}, {last}]
seeds = []
bootstrap = true
heartbeat-ms = 1500
orders = "rpc"
advice = "{advice}"
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
[bounds]
contact-ms = 4000
drain-ms = 2500
grace-s = 6
hold-max-ms = 10000
stop-ms = 200
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
far-x = 3
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes-per-s = 800
reads-per-s = 2000
"""


class Member:
    """One process of the cell on a loopback address of its own."""

    def __init__(self, folder, name, ip, zone, store_port, advice):
        self.name = name
        self.ip = ip
        self.front = f"{ip}:{FRONT_PORT}"
        self.ready = f"{ip}:{READY_PORT}"
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                first=FIRST_PORT,
                last=FIRST_PORT + 15,
                front=FRONT_PORT,
                ready=READY_PORT,
                store=store_port,
                advice=advice,
            )
        )
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CITRONDEAL_SETTINGS"] = str(self._settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["cell"]["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def kill(self):
        """End the process with SIGKILL."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def check(self):
        """Raise an error if the process has ended by itself."""
        if self.process.poll() is not None:
            tail = self.log.read_text()[-2000:]
            raise RuntimeError(f"{self.name} has ended: {tail}")

    async def is_ready(self):
        """Return whether the process takes requests."""
        answer = await http.call(self.ready, "GET", "/v1/readiness")
        return answer is not None and answer[0] == 200

    async def owns(self):
        """Return whether the process is the owner of the cell."""
        answer = await http.call(self.ready, "GET", "/debug/state")
        return bool(answer and answer[1]["owner"])


class Cell:
    """The members of one cell.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    store_port : int
    zones : sequence of str
        Zone of each member.
    advice : sequence of str
        Address of the ticket service for each member.
    """

    def __init__(self, folder, store_port, zones, advice):
        prefix = _free_prefix(len(zones))
        self.members = [
            Member(
                folder,
                f"edge-{i}",
                f"{prefix}.{i}",
                zone,
                store_port,
                advice[i - 1],
            )
            for i, zone in enumerate(zones, 1)
        ]

    async def start(self):
        """Start all members and wait until they take requests."""
        for member in self.members:
            member.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for member in self.members:
                while not await member.is_ready():
                    member.check()
                    await asyncio.sleep(0.1)
            while await self.owner() is None:
                await asyncio.sleep(0.1)

    async def owner(self):
        """Return the member that owns the cell, or None."""
        for member in self.members:
            if member.process is not None and await member.owns():
                return member
        return None

    def stop(self):
        """End all members."""
        for member in self.members:
            if member.process is not None:
                member.process.send_signal(signal.SIGKILL)
        for member in self.members:
            member.kill()


def _free_prefix(count):
    """Return a loopback prefix on which the members' ports are free."""
    start = os.getpid()
    for offset in range(1000):
        number = (start + offset) % 60000
        prefix = f"127.{number // 250 % 250 + 1}.{number % 250}"
        if all(_is_free(f"{prefix}.{i + 1}") for i in range(count)):
            return prefix
    raise OSError("no free loopback addresses")


def _is_free(ip):
    for port in (FRONT_PORT, READY_PORT, FIRST_PORT, METRICS_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
