"""Clients that do not behave, against one member of a cell.

``python -m citrondeal.cell.tests.abuse KIND HOST PORT COUNT SECONDS`` runs
`COUNT` connections at a time from one process; each is opened again when the
member closes it.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import re
import subprocess
import sys
import threading
import time
import uuid

from citrondeal.cell import main
from citrondeal.cell.tests import processes
from tests import subprocesses

BODY_BYTES = 262_144
PROBE_PERIOD_S = 0.1
REOPEN_DELAY_S = 0.05


def _head(length, path="/holds/" + "a" * 16):
    return (
        f"POST {path} HTTP/1.1\r\nHost: lanes.example\r\n"
        f"X-Deadline-Ms: 3000\r\n{length}\r\n\r\n"
    ).encode()


def _job_path():
    return f"/holds/{uuid.uuid4().hex[:16]}"


def _many_steps(steps):
    body = b'{"spec":"{\\"work_s\\":0.05,\\"cpu\\":0}","steps":['
    body += b",".join([b"{}"] * steps) + b"]}"
    return _head(f"Content-Length: {len(body)}", _job_path()) + body


_LENGTH = f"Content-Length: {BODY_BYTES}"
_CHUNK = b"%x\r\n" % 1024 + bytes(1024) + b"\r\n"
_GET = b"GET /holds/" + b"b" * 16 + b" HTTP/1.1\r\nHost: lanes.example\r\n\r\n"

# What a connection sends at once; it then sends the second part every
# `DRIP_S` without reading anything.
DRIP_S = 0.5
KINDS = {
    "partial": lambda: (_head(_LENGTH) + bytes(BODY_BYTES - 50), b""),
    "partial-unknown": lambda: (
        _head(_LENGTH, "/unknown") + bytes(BODY_BYTES - 50),
        b"",
    ),
    "chunked": lambda: (
        _head("Transfer-Encoding: chunked") + _CHUNK * 250,
        b"1\r\nx\r\n",
    ),
    "steps": lambda: (_many_steps(86_000), b""),
    "legal-steps": lambda: (_many_steps(500), b""),
    "pipelined": lambda: (_GET * 2000, _GET * 200),
    "headers": lambda: (
        b"GET /holds/ HTTP/1.1\r\nHost: lanes.example\r\n" + b"a:b\r\n" * 3000,
        b"c:d\r\n",
    ),
    "unused": lambda: (b"", b""),
}


async def _misbehave(host, port, kind):
    """Keep one connection busy, and open it again whenever it is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            first, drip = KINDS[kind]()
            writer.write(first)
            if kind in ("steps", "legal-steps"):
                await reader.read(65_536)
            elif kind == "pipelined":
                while not writer.transport.is_closing():
                    await asyncio.sleep(DRIP_S)
                    if writer.transport.get_write_buffer_size() < 100_000:
                        writer.write(drip)
            else:
                closed = asyncio.ensure_future(reader.read())
                while not closed.done():
                    await asyncio.wait([closed], timeout=DRIP_S)
                    writer.write(drip)
                closed.exception()
            writer.transport.abort()
        await asyncio.sleep(REOPEN_DELAY_S)


async def _run(kind, host, port, count, seconds):
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(_misbehave(host, port, kind)))
    await asyncio.wait(tasks, timeout=seconds)
    # Closing each connection would take longer than the test.
    os._exit(0)


@dataclasses.dataclass
class Effect:
    """What other clients and the operating system saw meanwhile."""

    peak_mb: float = 0.0
    readiness_s: list = dataclasses.field(default_factory=list)
    unready: int = 0
    sent: int = 0
    accepted: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)
    late_s: float = 0.0
    ended: bool = False


def measure(cell, member, kind, count, seconds, address=None):
    """Run misbehaving clients against a member and return their `Effect`."""
    host, port = (address or member.front).split(":")
    command = [sys.executable, "-m", __name__, kind, host, port]
    effect = Effect()
    stop = threading.Event()

    def check_readiness():
        while not stop.wait(PROBE_PERIOD_S):
            started = time.monotonic()
            effect.unready += not cell.is_ready(member)
            effect.readiness_s.append(time.monotonic() - started)
            effect.peak_mb = max(effect.peak_mb, _resident_mb(member))

    def submit():
        while not stop.wait(PROBE_PERIOD_S):
            path = _job_path()
            effect.sent += 1
            body = processes.job_body(1, 0.05, 100)
            answer = cell.client_request(member, "POST", path, body)
            if answer is not None and answer[0] == 200:
                effect.accepted.append(path.rpartition("/")[2])
            else:
                effect.refused.append(answer and answer[0])

    probes = [threading.Thread(target=f) for f in (check_readiness, submit)]
    clients = subprocess.Popen(
        [*command, str(count), str(seconds)],
        env=subprocesses.environment(),
    )
    try:
        for probe in probes:
            probe.start()
        clients.wait(seconds + 30)
    finally:
        clients.kill()
        stop.set()
        for probe in probes:
            probe.join()
    effect.ended = member.process.poll() is not None
    effect.late_s = _loop_late_s(cell, member)
    return effect


def _loop_late_s(cell, member):
    """Return by how much the event loop has been late at most, if known."""
    url = f"http://{member.ip}:{main.METRICS_PORT}/metrics"
    answer = cell.request("GET", url)
    assert answer is not None, "the metrics are not served"
    text = json.dumps(answer[1])
    found = re.search(r"clients.loop_late_max.*?\"value\": ([0-9.e-]+)", text)
    return float(found[1]) if found else 0.0


def _resident_mb(member):
    with contextlib.suppress(OSError):
        with open(f"/proc/{member.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
    return 0.0


def run(kind, host, port, count, seconds):
    """Run one kind of client until the time is over."""
    asyncio.run(_run(kind, host, int(port), int(count), float(seconds)))


if __name__ == "__main__":
    run(*sys.argv[1:])
