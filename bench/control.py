"""Measures what the control work of the daemons costs, as table and JSON.

Starts whole cells of real processes on loopback (`tests.cell`) and reads
processor time and traffic from the state dumps of the daemons, and memory
from ``/proc/PID/smaps_rollup``, at the start and at the end of a window.
One cell has zones of different sizes, for the cost by workers, running
tasks and endpoints; cells with 1, 2 and 4 entry VMs per zone are measured
idle and under load.

Usage: ``python -m bench.control [--quick]``
"""

import concurrent.futures
import itertools
import json
import os
import pathlib
import random
import socket
import statistics
import sys
import tempfile
import threading
import time
import uuid

import httpcore

from demo import jobs as settings
from tests import cell as cells
from tests import layout
from tests import ports

WINDOW_S = 16.0
SETTLE_S = 8.0  # after the last change, before a window
START_LIMIT_S = 40.0  # for leases and tasks

# Targets for one daemon.
CPU_TARGET = 3.1  # percent of one core
MEMORY_TARGET = 32.0  # MB (10^6 bytes)
TRAFFIC_TARGET = 29.0  # KB/s (10^3 bytes), both directions

REQUESTS_PER_S = 60.0  # in the whole cell, half of them idempotent
JOBS_PER_S = 4.0  # in the whole cell
TASKS_PER_JOB = 5
TASK_S = 1.0  # run time
SENDERS = 24  # threads
LOG_REGION = "bkk"  # the platform's log is in this region


def _entry_zones(entries):
    """Return the zones of Lanework with a number of entry VMs each."""
    return (
        layout.Zone("bkk-a", "bkk", entries, 9, 9),
        layout.Zone("bkk-b", "bkk", entries, 8, 8),
        layout.Zone("cnx-a", "cnx", entries, 8, 8),
    )


# Workers, running tasks and endpoints of each zone of the cell of sizes.
SIZES = ((8, 0, 4), (50, 0, 25), (200, 0, 100), (50, 200, 25), (50, 700, 25))
QUICK_SIZES = ((8, 0, 4), (200, 0, 100), (50, 0, 25), (50, 700, 25))
ENTRIES = (1, 2, 4)
QUICK_ENTRIES = (1, 2)


# Outside the range from which the kernel takes the ports of outgoing
# connections, which would else occupy a port between its choice and its use.
PORTS = range(12000, 30000)


class _Cell(cells.Cell):
    """A cell on ports that no outgoing connection takes."""

    _taken = set()
    _lock = threading.Lock()

    def _addresses(self, count):
        found = []
        with self._lock:
            while len(found) < count:
                port = random.choice(PORTS)
                if port not in self._taken and _is_free(port):
                    self._taken.add(port)
                    found.append(f"{ports.HOST}:{port}")
        return found


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind((ports.HOST, port))
        except OSError:
            return False
    return True


class Probe:
    """Reads the counters of all daemons of a cell."""

    def __init__(self, cell):
        self._cell = cell
        rows = cell.get(cell.vm_list_address, "/v1/vms")["vms"]
        # Zone and region of each address for messages between daemons.
        self._places = {
            row["peer"]: (row["zone"], row["region"])
            for row in rows
            if row["kind"] == "entry"
        }

    def read(self):
        """Return time, dump and memory by name of the daemon."""
        found = {}
        for daemon in self._cell.daemons.values():
            dump = self._cell.get(daemon.http, "/debug/state")
            found[daemon.name] = {
                "at": time.monotonic(),
                "dump": dump,
                "memory": _memory(daemon.process.pid),
            }
        return found

    def window(self, seconds):
        """Wait and return the figures of each daemon over this time."""
        before = self.read()
        time.sleep(seconds)
        after = self.read()
        figures = {
            name: self._figures(name, before[name], after[name])
            for name in after
        }
        self._add_incoming(figures)
        for row in figures.values():
            row["kb_s"] = round(sum(row["bytes_s"].values()) / 1000, 2)
        return figures

    def _figures(self, name, before, after):
        daemon = self._cell.daemons[name]
        seconds = after["at"] - before["at"]
        old, new = before["dump"], after["dump"]
        cpu = new["usage"]["cpu_s"] - old["usage"]["cpu_s"]
        places = {"zone": 0.0, "region": 0.0, "across": 0.0}
        by_address = new["traffic"].pop("peers_by_address")
        earlier = old["traffic"].pop("peers_by_address")
        for address, pair in by_address.items():
            delta = sum(pair) - sum(earlier.get(address, (0, 0)))
            place = self._place(daemon.zone, self._places[address])
            places[place] += delta / seconds
        traffic = {
            kind: (sum(pair) - sum(old["traffic"][kind])) / seconds
            for kind, pair in new["traffic"].items()
        }
        row = {
            "role": daemon.role,
            "zone": daemon.zone.name,
            "region": daemon.zone.region,
            "owner": bool(new.get("jobs", {}).get("owned")),
            "seconds": seconds,
            "cpu_percent": round(100 * cpu / seconds, 3),
            "resident_mb": after["memory"]["resident_mb"],
            "private_mb": after["memory"]["private_mb"],
            "bytes_s": traffic,
            "peer_bytes_s": places,
            "addresses": {
                address: sum(pair) - sum(earlier.get(address, (0, 0)))
                for address, pair in by_address.items()
            },
        }
        return row

    def _place(self, zone, other):
        if other[0] == zone.name:
            return "zone"
        return "region" if other[1] == zone.region else "across"

    def _add_incoming(self, figures):
        """Add the links that peers opened, which the peers count."""
        names = {d.peer: d.name for d in self._cell.daemons.values()}
        own = {name: row.pop("addresses") for name, row in figures.items()}
        for name, counts in own.items():
            for address, count in counts.items():
                target = figures[names[address]]
                target["bytes_s"]["peers"] += count / target["seconds"]


def _memory(pid):
    """Return resident and private memory of a process in MB."""
    values = {}
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    for line in text.splitlines()[1:]:
        name, size, _ = line.split()
        values[name.rstrip(":")] = int(size) * 1024 / 1e6
    private = values["Private_Clean"] + values["Private_Dirty"]
    return {
        "resident_mb": round(values["Rss"], 2),
        "private_mb": round(private, 2),
    }


def _until(condition, what, limit_s=START_LIMIT_S):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.2)
    raise RuntimeError(f"{what}: not within {limit_s} s")


def _wait_leases(cell):
    """Wait until all endpoints are held and each pool has its owner."""

    def settled():
        held = owners = 0
        for daemon in cell.daemons.values():
            dump = cell.get(daemon.http, "/debug/state")
            held += dump["leases"]["held"]
            owners += bool(dump.get("jobs", {}).get("owned"))
        zones = {daemon.zone.name for daemon in cell.daemons.values()}
        wanted = len(cell.endpoints) + len(zones)
        return held == wanted and owners == len(zones)

    _until(settled, "leases")


# Cost by size of a zone.


def measure_sizes(sizes):
    """Return a row of figures for each zone of the cell of sizes."""
    zones = tuple(
        layout.Zone(f"z{index}", "bkk", 1, endpoints, workers)
        for index, (workers, _, endpoints) in enumerate(sizes)
    )
    with _Cell(zones) as cell:
        cell.start()
        settings.create_settings(cell)
        _wait_leases(cell)
        _start_services(cell, sizes)
        time.sleep(SETTLE_S)
        figures = Probe(cell).window(WINDOW_S)
        running = sum(fleet["running"] for fleet in cell.fleet_stats())
        cell.stop()
    rows = []
    for index, (workers, tasks, endpoints) in enumerate(sizes):
        rows.append(
            {
                "workers": workers,
                "tasks": tasks,
                "endpoints": endpoints,
                "gateway": figures[f"z{index}-gateway0"],
                "scheduler": figures[f"z{index}-scheduler0"],
            }
        )
    return {"rows": rows, "running_at_end": running}


def _start_services(cell, sizes):
    wanted = 0
    for index, (_, tasks, _) in enumerate(sizes):
        if not tasks:
            continue
        wanted += tasks
        scheduler = cell.select("scheduler", f"z{index}")[0]
        for number in range(tasks // 100):
            body = {
                "id": f"steady-{index}-{number}",
                "path": "/batch/mirror",
                "tasks": 100,
                "cores": 0.5,
                "memory_mb": 256,
                "priority": "normal",
            }
            answer = cell.post(scheduler.http, "/v1/jobs", body)
            if answer.get("id") != body["id"]:
                raise RuntimeError(f"job was not accepted: {answer}")

    def running():
        return sum(f["running"] for f in cell.fleet_stats()) == wanted

    _until(running, f"{wanted} running tasks")


# Cost by number of entry VMs, idle and under load.


class Load:
    """Sends requests and jobs at a fixed pace through all daemons."""

    def __init__(self, cell):
        self._cell = cell
        self._http = httpcore.ConnectionPool(max_connections=2 * SENDERS)
        self._pool = concurrent.futures.ThreadPoolExecutor(SENDERS)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.counts = {"requests": 0, "answered": 0, "jobs": 0, "accepted": 0}
        self._threads = [
            threading.Thread(target=self._pace, args=pair)
            for pair in (
                (self._request, REQUESTS_PER_S),
                (self._job, JOBS_PER_S),
            )
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        self._pool.shutdown()
        self._http.close()

    def _pace(self, send, rate):
        due = time.monotonic()
        while not self._stopped.is_set():
            self._pool.submit(send, next(self._numbers))
            due += 1 / rate
            time.sleep(max(0.0, due - time.monotonic()))

    def _count(self, name, success, done):
        with self._lock:
            self.counts[name] += 1
            self.counts[success] += bool(done)

    def _send(self, address, path, body, headers=()):
        try:
            return self._http.request(
                "POST",
                f"http://{address}{path}",
                content=json.dumps(body).encode(),
                headers=[("content-type", "application/json"), *headers],
                extensions={"timeout": {"read": 10.0}},
            ).status
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return 0

    def _request(self, number):
        gateways = self._cell.select("gateway")
        gateway = gateways[number % len(gateways)]
        headers = [
            ("request-id", uuid.uuid4().hex),
            ("request-attempt", "1"),
            ("request-idempotent", "true" if number % 2 else "false"),
        ]
        path = "/v1/services/lanebook/hold"
        status = self._send(gateway.http, path, {"work_ms": 20}, headers)
        self._count("requests", "answered", status == 200)

    def _job(self, number):
        schedulers = self._cell.select("scheduler")
        scheduler = schedulers[number % len(schedulers)]
        body = {
            "id": uuid.uuid4().hex,
            "path": "/batch/timetable",
            "tasks": TASKS_PER_JOB,
            "cores": 0.5,
            "run_time_s": TASK_S,
            "priority": "normal",
        }
        status = self._send(scheduler.http, "/v1/jobs", body)
        self._count("jobs", "accepted", status == 202)


def measure_entries(entries):
    """Return the figures of a cell, idle and under load."""
    with _Cell(_entry_zones(entries)) as cell:
        cell.start()
        settings.create_settings(cell)
        _wait_leases(cell)
        time.sleep(SETTLE_S)
        probe = Probe(cell)
        idle = probe.window(WINDOW_S)
        with Load(cell) as load:
            time.sleep(SETTLE_S / 2)
            counts = dict(load.counts)
            busy = probe.window(WINDOW_S)
            counts = {n: load.counts[n] - counts[n] for n in counts}
        cell.stop()
    return {
        "entries": entries,
        "idle": idle,
        "load": busy,
        "counts": counts,
        "across_regions": {
            "idle": _across(idle),
            "load": _across(busy),
            "bytes_per_request": _per_request(idle, busy, counts),
        },
    }


def _across(figures):
    """Return the bytes a second of the whole cell that cross regions."""
    peers = sum(row["peer_bytes_s"]["across"] for row in figures.values())
    log = sum(
        row["bytes_s"]["log"]
        for row in figures.values()
        if row["region"] != LOG_REGION
    )
    return {"peers": round(peers), "log": round(log)}


def _per_request(idle, busy, counts):
    """Return bytes across regions per request, in all and beyond idle.

    The log is left out: its bytes depend on jobs, not on requests.
    """
    gateways = {
        name: row for name, row in busy.items() if row["role"] == "gateway"
    }
    seconds = statistics.fmean(row["seconds"] for row in gateways.values())
    total = sum(r["peer_bytes_s"]["across"] for r in gateways.values())
    base = sum(idle[name]["peer_bytes_s"]["across"] for name in gateways)
    count = max(1, counts["requests"])
    return {
        "all": round(total * seconds / count, 1),
        "beyond_idle": round((total - base) * seconds / count, 1),
    }


# Tables.


def slope(points):
    """Return the least-squares slope of ``(x, y)`` points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def _size_slopes(rows):
    """Return cost for each worker, running task and endpoint."""
    idle = [row for row in rows if not row["tasks"]]
    tasks = [row for row in rows if row["workers"] == 50]
    choices = {
        "worker": (idle, "workers", "scheduler"),
        "running task": (tasks, "tasks", "scheduler"),
        "endpoint": (idle, "endpoints", "gateway"),
    }
    found = {}
    for name, (chosen, size, role) in choices.items():
        found[name] = {
            figure: slope([(row[size], row[role][figure]) for row in chosen])
            for figure in ("cpu_percent", "private_mb", "kb_s")
        }
    return found


def _entry_slopes(cells_of):
    """Return cost of the mean daemon for each entry VM of each zone."""
    found = {}
    for role, state in itertools.product(
        ("gateway", "scheduler"), ("idle", "load")
    ):
        found[f"entry VM per zone, {role}, {state}"] = {
            figure: slope(
                [
                    (
                        cell["entries"],
                        statistics.fmean(_column(cell[state], role, figure)),
                    )
                    for cell in cells_of
                ]
            )
            for figure in ("cpu_percent", "private_mb", "kb_s")
        }
    return found


def _column(figures, role, figure):
    return [row[figure] for row in figures.values() if row["role"] == role]


def _verdict(row):
    """Return for each figure whether it meets its target."""
    return {
        "cpu_percent": row["cpu_percent"] <= CPU_TARGET,
        "resident_mb": row["resident_mb"] <= MEMORY_TARGET,
        "private_mb": row["private_mb"] <= MEMORY_TARGET,
        "kb_s": row["kb_s"] <= TRAFFIC_TARGET,
    }


def _worst(rows):
    """Return the largest of each figure over several daemons."""
    worst = {
        figure: max(row[figure] for row in rows)
        for figure in ("cpu_percent", "resident_mb", "private_mb", "kb_s")
    }
    kinds = sorted({kind for row in rows for kind in row["bytes_s"]})
    worst["bytes_s"] = {
        kind: max(row["bytes_s"].get(kind, 0.0) for row in rows)
        for kind in kinds
    }
    worst["peer_bytes_s"] = {
        place: max(row["peer_bytes_s"][place] for row in rows)
        for place in ("zone", "region", "across")
    }
    return worst


def _summary(sizes, cells_of):
    """Return rows ``(label, figures)`` of the printed table."""
    rows = []
    for size in sizes["rows"]:
        label = f"scheduler {size['workers']} workers {size['tasks']} tasks"
        rows.append((label, _worst([size["scheduler"]])))
    for size in sizes["rows"]:
        if not size["tasks"]:
            label = f"gateway {size['endpoints']} endpoints"
            rows.append((label, _worst([size["gateway"]])))
    for cell in cells_of:
        for state, role in itertools.product(
            ("idle", "load"), ("gateway", "scheduler")
        ):
            chosen = [r for r in cell[state].values() if r["role"] == role]
            label = f"{role} {cell['entries']} a zone, {state}"
            rows.append((label, _worst(chosen)))
    return rows


def _use_compiled_modules(folder):
    """Let the daemons load compiled modules, as an installation does.

    Without them each import compiles its source, which raises the memory
    that the process keeps.
    """
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    os.environ["PYTHONPYCACHEPREFIX"] = folder
    with _Cell((layout.Zone("warm", "bkk", 1, 1, 1),)) as cell:
        cell.start()
        cell.stop()


def run(quick=False):
    """Measure everything.

    Parameters
    ----------
    quick : bool
        Two points for each slope, with all cells at once; the processor
        shares are then disturbed by the other cells.

    Returns
    -------
    dict
        JSON-ready figures, slopes and verdicts.
    """
    started = time.monotonic()
    variables = ("PYTHONDONTWRITEBYTECODE", "PYTHONPYCACHEPREFIX")
    saved = {name: os.environ.get(name) for name in variables}
    with tempfile.TemporaryDirectory() as folder:
        try:
            _use_compiled_modules(folder)
            sizes, cells_of = _measure(quick)
        finally:
            for name, value in saved.items():
                os.environ.pop(name, None)
                if value is not None:
                    os.environ[name] = value
    rows = _summary(sizes, cells_of)
    return {
        "quick": quick,
        "window_s": WINDOW_S,
        "targets": {
            "cpu_percent": CPU_TARGET,
            "memory_mb": MEMORY_TARGET,
            "kb_s": TRAFFIC_TARGET,
        },
        "worst": [
            {"name": name, **row, "meets": _verdict(row)} for name, row in rows
        ],
        "slopes": {
            **_size_slopes(sizes["rows"]),
            **_entry_slopes(cells_of),
        },
        "across_regions": {
            str(cell["entries"]): cell["across_regions"] for cell in cells_of
        },
        "counts": {str(cell["entries"]): cell["counts"] for cell in cells_of},
        "running_tasks": sizes["running_at_end"],
        "load_average": os.getloadavg(),
        "seconds": round(time.monotonic() - started, 1),
        "detail": {"sizes": sizes, "entries": cells_of},
    }


def _measure(quick):
    if not quick:
        return measure_sizes(SIZES), [measure_entries(n) for n in ENTRIES]
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        sizes = pool.submit(measure_sizes, QUICK_SIZES)
        others = [pool.submit(measure_entries, n) for n in QUICK_ENTRIES]
        return sizes.result(), [other.result() for other in others]


def print_tables(found):
    """Print the figures with their verdicts, the slopes and the links."""
    head = ("cpu %", "resident MB", "private MB", "KB/s")
    figures = ("cpu_percent", "resident_mb", "private_mb", "kb_s")
    print("largest figure of any daemon; * misses its target")
    print(f"{'':36}" + "".join(f"{name:>13}" for name in head))
    for row in found["worst"]:
        cells_out = [
            f"{row[name]:.2f}{' ' if row['meets'][name] else '*'}"
            for name in figures
        ]
        line = "".join(f"{text:>13}" for text in cells_out)
        print(f"{row['name']:36}{line}")
    print("\nlargest bytes/s by destination; peers opened by the daemon")
    kinds = ("log", "vms", "workers", "peers")
    places = ("zone", "region", "across")
    print(f"{'':36}" + "".join(f"{k:>9}" for k in kinds + places))
    for row in found["worst"]:
        values = [row["bytes_s"].get(kind, 0.0) for kind in kinds]
        values += [row["peer_bytes_s"][place] for place in places]
        line = "".join(f"{value:>9.0f}" for value in values)
        print(f"{row['name']:36}{line}")
    print("\nslope of one daemon for each")
    print(f"{'':36}{'cpu %':>11}{'private KB':>12}{'bytes/s':>11}")
    for name, values in found["slopes"].items():
        print(
            f"{name:36}{values['cpu_percent']:>11.4f}"
            f"{values['private_mb'] * 1000:>12.1f}"
            f"{values['kb_s'] * 1000:>11.1f}"
        )
    print("\nacross regions, whole cell, bytes/s")
    for entries, row in found["across_regions"].items():
        print(f"{entries} entry VMs a zone: {json.dumps(row)}")
    print(f"requests and jobs in the windows: {json.dumps(found['counts'])}")
    print(
        f"running tasks {found['running_tasks']}, "
        f"load average {found['load_average'][0]:.1f}, "
        f"{found['seconds']} s"
    )


def main():
    """Measure and print; ``--json FILE`` also writes all figures."""
    arguments = sys.argv[1:]
    found = run(quick="--quick" in arguments)
    print_tables(found)
    if "--json" in arguments:
        path = pathlib.Path(arguments[arguments.index("--json") + 1])
        path.write_text(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
