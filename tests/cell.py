"""Starts a whole cell as separate processes on loopback.

Used by the demonstration, by the benches with real processes and by the
system scenarios.  The `Cell` starts and ends the daemons and the stand-ins
of the platform, and holds their addresses and processes.
"""

import collections
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpcore

HOST = "127.0.0.1"
LOG_TAIL_CHARACTERS = 3000
FIRST_PORT = 15000
PORT_COUNT = 15000
START_TIMEOUT_S = 40.0
ENDPOINT_SLOTS = 8
ENDPOINT_CONNECTIONS = 64
WORKER_CORES = 32
WORKER_MEMORY_MB = 131072
WORKERS_PER_RACK = 8


# Runs at the same time begin at different ports, since their process ids
# differ.
_PORT_OFFSETS = itertools.count(os.getpid() * 131)


@dataclasses.dataclass(frozen=True)
class Zone:
    """One availability zone of a cell and its sizes.

    Parameters
    ----------
    name, region : str
        Name of the zone and of the region that it belongs to.
    entries : int
        Entry VMs; a gateway and a scheduler run on each.
    endpoints, workers : int
        Endpoint VMs and workers.
    accelerators : int
        Accelerators of each worker.
    """

    name: str
    region: str
    entries: int
    endpoints: int
    workers: int
    accelerators: int = 0


# The sizes of the Lanework cell.
DEFAULT_ZONES = (
    Zone("bkk-a", "bkk", 2, 9, 9),
    Zone("bkk-b", "bkk", 2, 8, 8),
    Zone("cnx-a", "cnx", 2, 8, 8),
)


def free_ports(count):
    """Return TCP ports that could be bound on loopback a moment ago.

    They lie below the range from which the kernel takes the local ports of
    outgoing connections: a port of that range may be in use again before
    the daemon binds it.

    Parameters
    ----------
    count : int

    Returns
    -------
    list of int
    """
    ports = []
    while len(ports) < count:
        port = FIRST_PORT + next(_PORT_OFFSETS) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def first_of_free_ports(count):
    """Return the first of so many consecutive ports that are free.

    Ports in use by other runs on the machine are passed over as a whole.

    Parameters
    ----------
    count : int

    Returns
    -------
    int
    """
    while True:
        ports = free_ports(count)
        if ports[-1] - ports[0] == count - 1:
            return ports[0]


@dataclasses.dataclass
class Daemon:
    """One daemon of the cell.

    Parameters
    ----------
    name : str
    role : str
        ``gateway`` or ``scheduler``.
    zone : Zone
    http, peer : str
        Addresses (``host:port``) for callers and for other daemons.
    process : subprocess.Popen or None
        None while the daemon is not started.
    """

    name: str
    role: str
    zone: Zone
    http: str
    peer: str
    process: subprocess.Popen | None = None


class Cell:
    """Stand-ins and daemons of one cell.

    As a context manager it ends all its processes on exit.

    Parameters
    ----------
    zones : sequence of Zone
        Sizes of the cell.
    service : str
        Service of all endpoints.
    seed : int
        Seed of the stand-ins.
    settings : dict, optional
        Further INI settings, by section and key, for all daemons; a
        section such as ``gateway.limits`` is for one role.
    keep : int, optional
        Records that the log service keeps per stream.

    Attributes
    ----------
    daemons : dict of str to Daemon
    endpoints, workers : dict of str to str
        Address (``host:port``) of each endpoint and worker by its id.
    vm_list_address : str
    log_addresses : dict of str to str
        Address at which each zone reaches the log service.
    folder : pathlib.Path
        Settings file and log of each daemon; removed on exit.
    http_client : httpcore.ConnectionPool
    """

    def __init__(
        self, zones=DEFAULT_ZONES, service="lanebook", seed=1, **extra
    ):
        self._zones = zones
        self._service = service
        self._seed = seed
        self._settings = extra.get("settings", {})
        self._kept_records = extra.get("keep", 100000)
        self._temporary_folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary_folder.name)
        self.http_client = httpcore.ConnectionPool(max_connections=200)
        self._standins = []
        self.daemons = {}
        self.endpoints = {}
        self.workers = {}
        self.vm_list_address, *logs = self._addresses(1 + len(zones))
        self.log_addresses = {zone.name: log for zone, log in zip(zones, logs)}

    # Start and stop of the whole cell.

    def start(self):
        """Start stand-ins and daemons; wait until all daemons are ready.

        Raises
        ------
        RuntimeError
            If a process ends or is not ready in time.
        """
        self.start_standins()
        for daemon in self.daemons.values():
            self.launch(daemon)
        for daemon in self.daemons.values():
            self.wait_ready(daemon)

    def start_standins(self):
        """Start log service, VM list, endpoints and workers.

        The VM list then has a row for each of them and for each daemon.

        Raises
        ------
        RuntimeError
            If a stand-in does not start.
        """
        self._spawn_standin(
            "log_service",
            "--addresses=" + ",".join(self.log_addresses.values()),
            f"--keep={self._kept_records}",
        )
        self._spawn_standin("vm_list", f"--address={self.vm_list_address}")
        rows = []
        for zone in self._zones:
            rows += self._start_zone(zone)
        for process in self._standins:
            self._wait_until_started(process)
        self.post(self.vm_list_address, "/rows", rows)

    def _start_zone(self, zone):
        rows = self._add_daemons(zone)
        if zone.endpoints:
            names = [f"{zone.name}-ep{i}" for i in range(zone.endpoints)]
            addresses = self._addresses(len(names))
            self._spawn_standin(
                "endpoint",
                "--addresses=" + ",".join(addresses),
                "--names=" + ",".join(names),
                f"--slots={ENDPOINT_SLOTS}",
                f"--connections={ENDPOINT_CONNECTIONS}",
                f"--seed={self._seed}",
            )
            for name, address in zip(names, addresses):
                self.endpoints[name] = address
                rows.append(self._endpoint_row(name, address, zone))
        if zone.workers:
            names = [f"{zone.name}-w{i}" for i in range(zone.workers)]
            addresses = self._addresses(len(names))
            self._spawn_standin(
                "worker",
                "--addresses=" + ",".join(addresses),
                "--names=" + ",".join(names),
                f"--cores={WORKER_CORES}",
                f"--memory_mb={WORKER_MEMORY_MB}",
                f"--accelerators={zone.accelerators}",
                f"--seed={self._seed}",
            )
            for index, (name, address) in enumerate(zip(names, addresses)):
                self.workers[name] = address
                rows.append(self._worker_row(name, address, zone, index))
        return rows

    def _addresses(self, count):
        return [f"{HOST}:{port}" for port in free_ports(count)]

    def _add_daemons(self, zone):
        rows = []
        for index in range(zone.entries):
            for role in ("gateway", "scheduler"):
                http, peer = self._addresses(2)
                name = f"{zone.name}-{role}{index}"
                daemon = Daemon(name, role, zone, http, peer)
                self.daemons[name] = daemon
                rows.append(entry_row(daemon))
        return rows

    def _endpoint_row(self, name, address, zone):
        return {
            "id": name,
            "kind": "endpoint",
            "zone": zone.name,
            "region": zone.region,
            "state": "live",
            "http": address,
            "service": self._service,
            "slots": ENDPOINT_SLOTS,
            "connections": ENDPOINT_CONNECTIONS,
        }

    def _worker_row(self, name, address, zone, index):
        return {
            "id": name,
            "kind": "worker",
            "zone": zone.name,
            "region": zone.region,
            "rack": f"{zone.name}-r{index // WORKERS_PER_RACK}",
            "state": "live",
            "http": address,
            "cores": WORKER_CORES,
            "memory_mb": WORKER_MEMORY_MB,
            "accelerators": zone.accelerators,
        }

    def stop(self):
        """Stop the daemons gracefully, then the stand-ins.

        Returns
        -------
        dict of str to int
            Exit status of each daemon that was running; -1 if it had to be
            killed.
        """
        statuses = self.stop_daemons(
            [d for d in self.daemons.values() if d.process is not None]
        )
        for process in self._standins:
            process.terminate()
        for process in self._standins:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()
        self._standins.clear()
        self.http_client.close()
        return statuses

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        """Kill what still runs and remove the folder.

        No process is left over, even after a failed run.
        """
        if exc_info[0] is not None:
            time.sleep(0.5)
            self._print_logs_of_ended()
        for daemon in self.daemons.values():
            if daemon.process is not None:
                self.kill(daemon)
        for process in self._standins:
            process.kill()
            process.wait()
        self._temporary_folder.cleanup()

    def _print_logs_of_ended(self):
        """Print the end of the log of each daemon that ended by itself."""
        for daemon in self.daemons.values():
            if (daemon.process is not None) and (
                daemon.process.poll() is not None
            ):
                text = (self.folder / f"{daemon.name}.log").read_text()
                print(f"{daemon.name} ended:\n{text[-LOG_TAIL_CHARACTERS:]}")

    # Single processes.

    def launch(self, daemon):
        """Start one daemon with its settings file and log."""
        path = self.folder / f"{daemon.name}.ini"
        path.write_text(self._settings_text(daemon))
        module = f"citrondeal.{daemon.role}.main"
        log = open(self.folder / f"{daemon.name}.log", "ab")
        with log:
            daemon.process = subprocess.Popen(
                [sys.executable, "-m", module, str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=subprocess_environment(),
            )

    def stop_daemons(self, daemons, limit_s=30):
        """Stop daemons with SIGTERM; kill those that do not end in time.

        Parameters
        ----------
        daemons : sequence of Daemon
        limit_s : float
            Time that each daemon gets, counted from the end of the one
            before.

        Returns
        -------
        dict of str to int
            Exit status by name; -1 for a daemon that was killed.
        """
        for daemon in daemons:
            daemon.process.send_signal(signal.SIGTERM)
        statuses = {}
        for daemon in daemons:
            try:
                statuses[daemon.name] = daemon.process.wait(limit_s)
            except subprocess.TimeoutExpired:
                daemon.process.kill()
                daemon.process.wait()
                statuses[daemon.name] = -1
            daemon.process = None
        return statuses

    def kill(self, daemon):
        """Kill one daemon with SIGKILL."""
        daemon.process.kill()
        daemon.process.wait()
        daemon.process = None

    def wait_ready(self, daemon, limit_s=START_TIMEOUT_S):
        """Wait until a daemon reports that it is ready.

        Raises
        ------
        RuntimeError
            If it ends or is not ready within `limit_s` seconds.
        """
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if daemon.process.poll() is not None:
                break
            try:
                if self.http_client.request(
                    "GET", f"http://{daemon.http}/readyz"
                ).status == (200):
                    return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
            time.sleep(0.05)
        text = (self.folder / f"{daemon.name}.log").read_text()[-2000:]
        raise RuntimeError(
            f"{daemon.name} ended or was not ready within {limit_s} s;"
            f" end of its log:\n{text}"
        )

    def select(self, role, zone=None):
        """Return the daemons of a role, in all zones or in one."""
        return [
            d
            for d in self.daemons.values()
            if d.role == role and zone in (None, d.zone.name)
        ]

    # Faults and counters of the stand-ins.

    def set_log_faults(self, zones=None, **switches):
        """Set fault switches of the log service.

        Parameters
        ----------
        zones : sequence of str, optional
            Zones whose access to the log is changed; all if omitted.
        **switches : float
            Values of ``outage``, ``slow_s`` or ``lose_answers``.
        """
        for name, address in self.log_addresses.items():
            if zones is None or name in zones:
                self.post(address, "/faults", switches)

    def fleet_stats(self):
        """Return the ``/fleet`` report of each stand-in process of workers.

        Returns
        -------
        list of dict
            One per zone with workers.
        """
        # All workers of a zone run in one process and give the same report.
        first_addresses = {}
        for name, address in self.workers.items():
            first_addresses.setdefault(name.rpartition("-")[0], address)
        return [self.get(a, "/fleet") for a in first_addresses.values()]

    def sum_worker_counter(self, name):
        """Return the sum of a counter over all workers."""
        return sum(f["counts"].get(name, 0) for f in self.fleet_stats())

    def runs_by_request(self):
        """Return the number of runs of each request id at all endpoints."""
        runs = collections.Counter()
        for address in self.endpoints.values():
            runs.update(self.get(address, "/runs"))
        return runs

    def sum_endpoint_counter(self, name):
        """Return the sum of a counter over all endpoints."""
        return sum(
            self.get(a, "/stats")["counts"].get(name, 0)
            for a in self.endpoints.values()
        )

    # HTTP helpers.

    def post(self, address, path, value):
        """Send `value` as JSON by POST and return the decoded answer."""
        return self._request_json(
            "POST", address, path, json.dumps(value).encode()
        )

    def get(self, address, path):
        """Return the decoded JSON answer to a GET."""
        return self._request_json("GET", address, path, None)

    def _request_json(self, method, address, path, body):
        response = self.http_client.request(
            method,
            f"http://{address}{path}",
            content=body,
            headers={"content-type": "application/json"},
        )
        return json.loads(response.content or b"null")

    # Settings files and stand-in processes.

    def _settings_text(self, daemon):
        sections = {
            "process": {
                "name": daemon.name,
                "zone": daemon.zone.name,
                "region": daemon.zone.region,
            },
            "listen": {"http": daemon.http, "peer": daemon.peer},
            "platform": {
                "log_url": f"http://{self.log_addresses[daemon.zone.name]}",
                "vms_url": f"http://{self.vm_list_address}",
            },
        }
        for name, values in self._settings.items():
            role, _, section = name.rpartition(".")
            if role in ("", daemon.role):
                sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    def _spawn_standin(self, name, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", f"tests.standins.{name}", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            env=subprocess_environment(),
            text=True,
        )
        self._standins.append(process)

    def _wait_until_started(self, process):
        if process.stdout.readline().strip() != "ready":
            raise RuntimeError(
                f"stand-in did not print 'ready': {process.args[1:]}"
            )


def entry_row(daemon, state="live"):
    """Return the row of a daemon in the VM list."""
    return {
        "id": daemon.name,
        "kind": "entry",
        "role": daemon.role,
        "zone": daemon.zone.name,
        "region": daemon.zone.region,
        "state": state,
        "http": daemon.http,
        "peer": daemon.peer,
    }


def subprocess_environment():
    """Return the environment in which child processes find the packages."""
    root = pathlib.Path(__file__).resolve().parent.parent
    paths = [str(root / "src"), str(root)]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
