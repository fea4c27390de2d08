"""Cells of real processes that use a stand-in for the platform."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import httpcore

from tests import ports
from tests import subprocesses

START_LIMIT_S = 30.0
CALL_LIMIT_S = 5.0

_SETTINGS_TEMPLATE = """
node = "{name}"
ip = "{ip}"
zone = "z"
region = "r"
internal-port-range = [{port}, {last}]
advice = "127.0.0.1:{tickets}"
unknown-field = 1
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.5
cores = 2
{limits}
[bounds]
contact-ms = 4000
hold-max-ms = 10000
grace-s = 6
[platform]
address = "127.0.0.1:{store}"
writes-per-s = 600
reads-per-s = 2000
"""


class MemberProcess:
    """A process of the cell, on a loopback address of its own."""

    def __init__(self, folder, index, port, store, tickets, limits=""):
        self.name = f"edge-{index}"
        # The metrics port is fixed, so concurrent test runs need different
        # addresses.
        run = os.getpid()
        self.ip = f"127.{run // 256 % 256}.{run % 256}.{index + 1}"
        self.front = f"{self.ip}:{port}"
        self.ready = f"{self.ip}:{port + 1}"
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(
            _SETTINGS_TEMPLATE.format(
                name=self.name,
                ip=self.ip,
                port=port + 2,
                last=port + 4,
                front=port,
                ready=port + 1,
                store=store,
                tickets=tickets,
                limits=limits,
            )
        )
        self.process = None

    def start(self):
        """Start the process."""
        environment = subprocesses.environment()
        environment["CITRONDEAL_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "citrondeal.cell.main"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def end(self, signal_number):
        """Send a signal, wait for the exit and return the status."""
        self.process.send_signal(signal_number)
        status = self.process.wait(20)
        self.process = None
        return status


class LocalCell:
    """The members of one cell and the stand-in for its platform."""

    def __init__(self, members=3, runners=4, limits=""):
        self._folder = tempfile.TemporaryDirectory()
        self._runners = runners
        folder = pathlib.Path(self._folder.name)
        self.store = ports.first_of_free_ports(runners + 10)
        self.control = f"http://127.0.0.1:{self.store + 1}"
        self._platform = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.standins.platform",
                f"--first_port={self.store}",
                f"--runners={runners}",
            ],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env=subprocesses.environment(),
        )
        port = self.store + runners + 4
        self.members = [
            MemberProcess(folder, i, port, self.store, self.store + 1, limits)
            for i in range(members)
        ]
        for member in self.members:
            member.start()
        self.wait(lambda: all(self.is_ready(m) for m in self.members))
        self.wait(self.owner)

    def wait(self, condition, limit_s=START_LIMIT_S):
        """Poll a condition until it is true and return its value."""
        limit = time.monotonic() + limit_s
        while time.monotonic() < limit:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise AssertionError(f"the condition did not hold within {limit_s} s")

    def request(self, method, url, value=None, headers=()):
        """Perform a request; return status and decoded body, or None."""
        body = b"" if value is None else json.dumps(value).encode()
        timeouts = dict.fromkeys(
            ("connect", "read", "write", "pool"), CALL_LIMIT_S
        )
        try:
            response = httpcore.request(
                method,
                url,
                content=body,
                headers=list(headers),
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return None
        except httpcore.ProtocolError:
            return None
        content = response.content
        return response.status, json.loads(content) if content else None

    def client_request(self, member, method, path, value=None):
        """Send a client's request to a member; return like `request`."""
        headers = [("Host", "lanes.example"), ("X-Deadline-Ms", "3000")]
        return self.request(
            method, f"http://{member.front}{path}", value, headers
        )

    def is_ready(self, member):
        """Return whether a load balancer would send it connections."""
        answer = self.request("GET", f"http://{member.ready}/v1/readiness")
        return answer is not None and answer[0] == 200

    def owner(self):
        """Return the running member that owns the cell, or None."""
        for member in self.members:
            if member.process is None:
                continue
            answer = self.request("GET", f"http://{member.ready}/debug/state")
            if answer and answer[1]["owner"] is not None:
                return member
        return None

    def counts(self):
        """Return the counters of the stand-in."""
        return self.request("GET", f"{self.control}/counts")[1]

    def append(self, topic, key, value):
        """Append a record to a topic of the store, as another writer."""
        content = bytes([len(key)]) + key.encode() + value
        body = len(content).to_bytes(4, "big") + content
        url = f"http://127.0.0.1:{self.store}/v1/log-append?part=0&topic="
        response = httpcore.request("POST", url + topic, content=body)
        assert response.status == 200, response.status

    @property
    def worker_ids(self):
        """Ids of all workers of the stand-in."""
        return [f"i-{i}" for i in range(self._runners)]

    def set_capacities(self, **resources):
        """Set resources of the capacity of all workers of the stand-in."""
        changes = dict.fromkeys(self.worker_ids, resources)
        self.request("POST", f"{self.control}/capacity", changes)

    def set_faults(self, **switches):
        """Set fault switches of the stand-in."""
        self.request("POST", f"{self.control}/faults", switches)

    def compact_store(self):
        """Delete the history of all topics of the store."""
        self.request("POST", f"{self.control}/compact")

    def stop(self):
        """Stop all processes that this cell started."""
        for member in self.members:
            if member.process is not None:
                member.end(signal.SIGKILL)
        self._platform.terminate()
        self._platform.wait(20)
        self._folder.cleanup()


def worker_entry(**fields):
    """Return an entry of the list of workers, with an address of nobody."""
    entry = {
        "service": "lanes",
        "address": "127.0.0.1:9",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1000, "mem-mb": 1000},
        "labels": [],
        "clock-ms": 1,
        "born": 1,
    }
    return json.dumps(entry | fields).encode()


def job_body(tasks=2, work_s=0.3, cpu=1000, crash_s=None, **fields):
    """Return the body of a job with one step.

    Each task crashes its worker `crash_s` after its start, unless None.
    """
    step = {"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": 300}
    work = {"work_s": work_s, "cpu": cpu, "mem_mb": 64}
    if crash_s is not None:
        work["crash_s"] = crash_s
    spec = json.dumps(work)
    return {"spec": spec, "steps": [{**step, **fields}]}
