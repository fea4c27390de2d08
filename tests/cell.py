"""Starts a whole cell as separate processes on loopback.

Used by the demonstration, by the benches with real processes and by the
system scenarios.  The `Cell` starts and ends the daemons and the stand-ins
of the platform, and holds their addresses and processes.
"""

import collections
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import httpcore

from tests import layout
from tests import ports
from tests import subprocesses

LOG_TAIL_CHARACTERS = 3000
START_TIMEOUT_S = 40.0


class Cell:
    """Stand-ins and daemons of one cell.

    As a context manager it ends all its processes on exit.

    Parameters
    ----------
    zones : sequence of layout.Zone
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
    daemons : dict of str to layout.Daemon
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
        self, zones=layout.DEFAULT_ZONES, service="lanebook", seed=1, **extra
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
        endpoints = self._start_servers(
            "endpoint",
            [f"{zone.name}-ep{i}" for i in range(zone.endpoints)],
            f"--slots={layout.ENDPOINT_SLOTS}",
            f"--connections={layout.ENDPOINT_CONNECTIONS}",
        )
        for name, address in endpoints.items():
            rows.append(
                layout.endpoint_row(name, address, zone, self._service)
            )
        workers = self._start_servers(
            "worker",
            [f"{zone.name}-w{i}" for i in range(zone.workers)],
            f"--cores={layout.WORKER_CORES}",
            f"--memory_mb={layout.WORKER_MEMORY_MB}",
            f"--accelerators={zone.accelerators}",
        )
        for index, (name, address) in enumerate(workers.items()):
            rows.append(layout.worker_row(name, address, zone, index))
        self.endpoints.update(endpoints)
        self.workers.update(workers)
        return rows

    def _start_servers(self, standin, names, *arguments):
        """Start a stand-in for some servers; return their addresses by name.

        No process is started if there are no names.
        """
        if not names:
            return {}
        addresses = self._addresses(len(names))
        self._spawn_standin(
            standin,
            "--addresses=" + ",".join(addresses),
            "--names=" + ",".join(names),
            f"--seed={self._seed}",
            *arguments,
        )
        return dict(zip(names, addresses))

    def _addresses(self, count):
        return [f"{ports.HOST}:{port}" for port in ports.free_ports(count)]

    def _add_daemons(self, zone):
        rows = []
        for index in range(zone.entries):
            for role in ("gateway", "scheduler"):
                http, peer = self._addresses(2)
                name = f"{zone.name}-{role}{index}"
                daemon = layout.Daemon(name, role, zone, http, peer)
                self.daemons[name] = daemon
                rows.append(layout.entry_row(daemon))
        return rows

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
                env=subprocesses.environment(),
            )

    def stop_daemons(self, daemons, limit_s=30):
        """Stop daemons with SIGTERM; kill those that do not end in time.

        Parameters
        ----------
        daemons : sequence of layout.Daemon
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
            env=subprocesses.environment(),
            text=True,
        )
        self._standins.append(process)

    def _wait_until_started(self, process):
        if process.stdout.readline().strip() != "ready":
            raise RuntimeError(
                f"stand-in did not print 'ready': {process.args[1:]}"
            )
