"""Stand-ins for the users' platform and clients, for the scripts of review 3.

Only the standard library is used.  The store, the runners and the clients
live in the process of the script; the members of the cell are separate
processes with the command of the deploy file.  What a page leaves open, they
do like a sound server.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
APPEND_S = 0.002
STORE_BYTES = 400_000_000
PART_BYTES_PER_S = 20_000_000
LIST_LIMIT = 500
MAX_LEASE_MS = 10_000
STOP_S = 0.1
HEARTBEAT_S = 1.5
RACK_RUNNERS = 8
RESTART_S = 0.5  # from the end of a process until it is started again
FRONT, READY, PEERS = 8161, 8167, 7720
HOST = "lanes.example"
PREFIX = "/holds/"
BATCH_PREFIX = "/batch/"  # of a queue of lower priority
BATCH_PRIORITY = 2


class Record:
    """What was sent, answered and run, as lines of ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started = time.monotonic()

    def write(self, text):
        """Write a line with the seconds since the start of the script."""
        elapsed = time.monotonic() - self._started
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


# HTTP


async def _read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(size)


async def serve(host, port, handle, connections=None):
    """Serve HTTP/1.1; ``await handle(method, path, query, body)``.

    It returns a status and a body of bytes, or None to close the connection
    without an answer.  The writers of open connections are in the set
    `connections`, if there is one.
    """
    connections = set() if connections is None else connections

    async def on_connection(reader, writer):
        connections.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                reply = await handle(method, url.path, query, body)
                if reply is None:
                    break
                status, data = reply
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}"
                    "\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the other side has ended the connection
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            connections.discard(writer)
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, limit=2**22, backlog=1024
    )


async def call(address, method, path, value=None, timeout_s=5.0, headers=()):
    """Send one request on a new connection.

    Returns
    -------
    (int, object) or (str, None)
        The status and the decoded body, or why there was no answer.
    """
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {path} HTTP/1.1", *headers, "Connection: close"]
    lines.append(f"Content-Length: {len(body)}")
    if body:
        lines.append("Content-Type: application/json")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            first, _, content = await _read_message(reader)
    except TimeoutError:
        return "no answer in time", None
    except (asyncio.IncompleteReadError, OSError) as exc:
        return f"no answer: {type(exc).__name__}", None
    finally:
        if writer is not None:
            writer.close()
    return int(first.split(" ")[1]), json.loads(content) if content else None


# Store


class _Partition:
    def __init__(self):
        self.records = []
        self.size = 0
        self.newest = {}
        self.epochs = {}
        self.replies = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        self.size += 5 + len(key) + len(value)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store: keyed topics of one partition."""

    def __init__(self):
        self.topics = collections.defaultdict(_Partition)
        self.refused = 0  # appends, for want of room

    @property
    def size(self):
        """Bytes of all records; none is older than the time they are kept."""
        return sum(partition.size for partition in self.topics.values())

    def put(self, topic, key, value):
        """Append a record as the operator or a runner does."""
        self.topics[topic].add(key, json.dumps(value).encode())

    async def handle(self, method, path, query, body):
        """Answer a call."""
        if path == "/v1/log-append":
            return await self._append(query, body)
        if path == "/v1/log-read":
            return await self._read(query)
        if path == "/v1/log-newest":
            return self._newest(query)
        return 404, b""

    async def _append(self, query, body):
        partition = self.topics[query["topic"]]
        async with partition.lock:
            await asyncio.sleep(APPEND_S + len(body) / PART_BYTES_PER_S)
            end = len(partition.records)
            if self.size >= STORE_BYTES:
                self.refused += 1
                return 507, b""
            if "at" in query and int(query["at"]) != end:
                return 412, _json(end=end)
            refusal = _check_producer(partition, query)
            if refusal is not None:
                return refusal
            for key, value in _split(body):
                partition.add(key, value)
            answer = 200, _json(offset=end, end=len(partition.records))
            if "producer" in query:
                replies = partition.replies[query["producer"]]
                replies.append((int(query["seq"]), answer))
            return answer

    async def _read(self, query):
        partition = self.topics[query["topic"]]
        start = int(query["from"])
        if start >= len(partition.records) and int(query.get("wait-ms", 0)):
            try:
                async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        data = [struct.pack(">QQ", len(partition.records), 0)]
        size, limit = 0, int(query.get("max-kb", 1024)) * 1024
        for key, value in partition.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            size += len(content) + 4
            if size > limit and len(data) > 1:
                break
            data.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(data)

    def _newest(self, query):
        partition = self.topics[query["topic"]]
        keys = sorted(
            k for k in partition.newest if k > query.get("after", "")
        )
        items, size = [], 0
        for key in keys[:LIST_LIMIT]:
            offset, value = partition.newest[key]
            size += len(value)
            if items and size > 2**20:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return 200, _json(items=items, more=more, end=len(partition.records))


def _check_producer(partition, query):
    if "producer" not in query:
        return None
    name, epoch = query["producer"], int(query["epoch"])
    sequence = int(query["seq"])
    known = partition.epochs.get(name)
    if known is not None and epoch < known[0]:
        return 409, _json(reason="fenced")
    if known is None or epoch > known[0]:
        partition.replies[name] = collections.deque(maxlen=5)
    else:
        for earlier, reply in partition.replies[name]:
            if earlier == sequence:
                return reply
        if sequence != known[1] + 1:
            return 409, _json(reason="seq", seq=known[1] + 1)
    partition.epochs[name] = (epoch, sequence)
    return None


def _split(body):
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        end = 1 + content[0]
        yield content[1:end].decode(), content[end:]


def _json(**fields):
    return json.dumps(fields).encode()


# Runners


class Runner:
    """A runner, which starts whatever it is told to start."""

    def __init__(self, name, record, rack, cpu=32_000, memory_mb=131_072):
        self.name = name
        self.address = ""
        self.started = []  # names of tasks, in order
        self.done = []
        self.capacity_cpu = cpu
        self.rack = rack
        self._labels = ["a", rack]
        self.draining = False
        self.connections = set()
        self.withholds = False  # leaves starts unanswered, for later
        self.withheld = []
        self.life = 1
        self.up = True
        self._record = record
        self._capacity = {"cpu": cpu, "mem-mb": memory_mb, "gpu": 0}
        self._begin()

    def _begin(self):
        """Begin an incarnation, which knows nothing of earlier ones."""
        self.running = {}
        self._born_ms = int(time.time() * 1000)
        self._clock_at = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._closed = collections.Counter()
        self._ended = []
        self._ends = 0
        self._sequence = 0
        self._end_listed = asyncio.Event()

    def crash(self):
        """End without a word, and start again at once."""
        self._record.write(f"{self.name} crashes with {sorted(self.running)}")
        for writer in list(self.connections):
            writer.transport.abort()
        self._begin()

    def lose_power(self):
        """End silently: nothing is answered until `return_`."""
        self._record.write(f"{self.name} loses power")
        self.up = False
        self.life += 1
        self.running = {}

    def return_(self):
        """Start again under the same id."""
        self._record.write(f"{self.name} is back")
        self._begin()
        self.up = True

    def carry_out_late(self):
        """Carry out the starts that were left unanswered."""
        for order in self.withheld:
            if order["fence"] < self._fence:
                reply = self._answer(409, reason="fence")
            else:
                reply = self._start(order)
            self._record.write(f"{self.name} carries out {order}: {reply}")
        self.withheld = []

    def runs_for_s(self):
        """Return for how long the oldest of its runs has been running."""
        now = time.monotonic()
        return max(
            (now - r["began"] for r in self.running.values()), default=0
        )

    @property
    def ends(self):
        """Number of ends of this incarnation, taken note of or not."""
        return self._ends

    @property
    def unseen_ends(self):
        """Number of listed ends that nobody has taken note of."""
        return len(self._ended)

    def clock_ms(self):
        """Return the time on the clock of this runner."""
        return int((time.monotonic() - self._clock_at) * 1000)

    def entry(self):
        """Return the entry in the list of runners."""
        self._sequence += 1
        return {
            "service": "lanes",
            "address": self.address,
            "zone": "z-a",
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold-left-ms": 0,
            "seq": self._sequence,
            "capacity": self._capacity,
            "labels": self._labels,
            "clock-ms": self.clock_ms(),
            "born": self._born_ms,
        }

    def used_cpu(self):
        """Return the thousandths of a core that its tasks need."""
        return sum(run["cpu"] for run in self.running.values())

    async def handle(self, method, path, query, body):
        """Answer a call, unless this life ends before."""
        life = self.life
        order = json.loads(body)
        if self.up and self.withholds and path == "/v1/run-start":
            self.withheld.append(order)
            self._record.write(f"{self.name} leaves {order} unanswered")
        elif self.up:
            reply = await self._carry_out(path, order)
            if self.up and life == self.life:
                return reply
        await asyncio.Event().wait()

    async def _carry_out(self, path, order):
        if order["fence"] < self._fence:
            return self._answer(409, reason="fence")
        self._fence = order["fence"]
        if path == "/v1/run-start":
            return self._start(order)
        if path == "/v1/run-stop":
            return self._stop(order)
        return await self._hold(order)

    def _answer(self, status=200, **fields):
        return status, _json(**{"clock-ms": self.clock_ms()}, **fields)

    def _extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + MAX_LEASE_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _start(self, order):
        if order["until-ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(order["until-ms"])
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task]["run"] == run:
            return self._answer()
        if task in self.running or self._closed[task] >= run:
            return self._answer(409, reason="old")
        spec = json.loads(order["spec"])
        self.started.append(task)
        self.running[task] = {
            "run": run,
            "began": time.monotonic(),
            "work": spec["work_s"],
            "cpu": spec["cpu"],
            "stop": None,
        }
        self._record.write(f"{self.name} starts {task} run {run}")
        return self._answer()

    def _stop(self, order):
        task, run = order["task"], order["run"]
        self._closed[task] = max(self._closed[task], run)
        if task in self.running and self.running[task]["run"] <= run:
            self.running[task]["stop"] = time.monotonic() + STOP_S
        return self._answer()

    async def _hold(self, order):
        self._extend(order.get("until-ms", 0))
        seen = order["seen-upto"]
        self._ended = [end for end in self._ended if end[0] > seen]
        if not self._ended and order.get("wait-ms", 0):
            try:
                async with asyncio.timeout(order["wait-ms"] / 1000):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [
                t,
                r["run"],
                "",
                int(100 * min(1, (now - r["began"]) / r["work"])),
            ]
            for t, r in self.running.items()
        ]
        return self._answer(
            running=running, ended=self._ended[:LIST_LIMIT], born=self._born_ms
        )

    def tick(self):
        """End the tasks that are done, stopped or without a lease."""
        now = time.monotonic()
        for task, run in list(self.running.items()):
            how = None
            if run["stop"] is not None and now >= run["stop"]:
                how = "stopped"
            elif now >= run["began"] + run["work"]:
                how = "done"
            elif self.clock_ms() >= self._lease_ms:
                how = "lapsed"
            if how is None:
                continue
            del self.running[task]
            if how == "done":
                self.done.append(task)
            self._closed[task] = max(self._closed[task], run["run"])
            self._ends += 1
            self._ended.append([self._ends, task, run["run"], how, ""])
            self._record.write(
                f"{self.name} ends {task} run {run['run']} {how}"
            )
            self._end_listed.set()
            self._end_listed = asyncio.Event()


# The members of the cell

_SETTINGS = """
node = "{name}"
role = "cell"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z-a"
region = "r"
internal-port-range = [{peers}, {last}]
seeds = []
bootstrap = true
heartbeat-ms = 1500
orders = "rpc"
advice = ""
[zones]
z-a = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 4000
ack-ms = 5000
grace-s = 6
config-apply-ms = 2500
hold-max-ms = 10000
stop-ms = 400
status_s = 120
far-x = 2
[platform]
address = "{store}"
form = "log"
writes-per-s = 600
reads-per-s = 2000
parts = 32
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
"""


class Member:
    """A process of the cell, which the platform starts again if it ends."""

    def __init__(self, folder, index, network, store, memory_mb, record):
        self.name = f"edge-{index}"
        self.ip = f"{network}.{index + 1}"
        self.front = f"{self.ip}:{FRONT}"
        self.ready = f"{self.ip}:{READY}"
        self.ends = 0  # for want of memory, or by itself
        self.peak_mb = 0.0
        self.restarts = True
        self._memory_mb = memory_mb
        self._record = record
        self._log = open(folder / f"{self.name}.log", "wb")
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                peers=PEERS,
                last=PEERS + 15,
                front=FRONT,
                ready=READY,
                memory_mb=memory_mb,
                store=store,
            )
        )
        self.process = None

    async def run(self):
        """Keep the process running, within the memory of its machine."""
        while True:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "src/run_cell.py",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=self._log,
                stderr=self._log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CITRONDEAL_SETTINGS": str(self._settings),
                },
            )
            self._record.write(f"{self.name} is started")
            reason = await self._watch()
            if not self.restarts:
                return
            self.ends += 1
            self._record.write(f"{self.name} ends: {reason}")
            await asyncio.sleep(RESTART_S)

    async def _watch(self):
        """Wait for the end of the process; end it if it needs too much."""
        ended = asyncio.ensure_future(self.process.wait())
        while not ended.done():
            await asyncio.wait([ended], timeout=0.05)
            used_mb = _resident_mb(self.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self._memory_mb and not ended.done():
                self.process.kill()
                await ended
                return f"{used_mb:.0f} MB, over {self._memory_mb} MB"
        return f"exit status {ended.result()}"

    def log_lines(self):
        """Return the lines that the process has logged."""
        with open(self._log.name, "rb") as file:
            return [line for line in file if line.startswith(b"{")]

    def kill(self):
        """Kill the process, which is started again."""
        self._record.write(f"{self.name} is killed")
        self.process.kill()

    def stop(self):
        """End the process for good."""
        self.restarts = False
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


def _resident_mb(pid):
    try:
        with open(f"/proc/{pid}/statm") as file:
            pages = int(file.read().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Cell:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    record_path : path-like
        The ``record.txt`` to write.
    members, runners : int
    memory_mb : int
        Memory of each machine, in megabytes.
    """

    def __init__(self, record_path, members=3, runners=4, memory_mb=300):
        self.record = Record(record_path)
        self._temporary = pathlib.Path(tempfile.mkdtemp())
        digits = random.SystemRandom()
        network = f"127.{digits.randint(2, 254)}.{digits.randint(1, 254)}"
        self._network = network
        self.store = Store()
        self.runners = [
            Runner(f"i-{i}", self.record, f"r{1 + i // RACK_RUNNERS}")
            for i in range(runners)
        ]
        self._store_address = f"{network}.200:{_free_port(network + '.200')}"
        self.members = [
            Member(
                self._temporary,
                index,
                network,
                self._store_address,
                memory_mb,
                self.record,
            )
            for index in range(members)
        ]
        self._tasks = []

    async def start(self):
        """Start everything, and wait until all members are ready."""
        route = {
            "name": "holds",
            "host": HOST,
            "path-prefix": PREFIX,
            "service": "lanes",
            "priority": 0,
            "max-attempts": 2,
            "stretch": 1.5,
            "target-latency-ms": 500,
        }
        batch = {
            **route,
            "name": "batch",
            "path-prefix": BATCH_PREFIX,
            "priority": BATCH_PRIORITY,
        }
        service = {"name": "lanes", "enforces-capacity": False}
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": 1,
                "routes": [route, batch],
                "services": [service],
                "limits": {"max-body-bytes": 262_144},
            },
        )
        host, _, port = self._store_address.rpartition(":")
        await serve(host, int(port), self.store.handle)
        for number, runner in enumerate(self.runners):
            host = f"{self._network}.{100 + number}"
            port = _free_port(host)
            runner.address = f"{host}:{port}"
            await serve(host, port, runner.handle, runner.connections)
            self._tasks.append(asyncio.create_task(self._beat(runner)))
        self._tasks.append(asyncio.create_task(self._tick()))
        for member in self.members:
            self._tasks.append(asyncio.create_task(member.run()))
        limit = time.monotonic() + 20
        while not await self._all_ready():
            if time.monotonic() > limit:
                raise RuntimeError("the members do not get ready")
            await asyncio.sleep(0.1)

    async def _all_ready(self):
        for member in self.members:
            status, _ = await call(member.ready, "GET", "/v1/readiness")
            if status != 200:
                return False
        return True

    async def _beat(self, runner):
        while True:
            self.store.put("keyed.servers", runner.name, runner.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self):
        while True:
            for runner in self.runners:
                runner.tick()
            await asyncio.sleep(0.02)

    async def request(
        self, member, method, job="", value=None, quiet=False, prefix=PREFIX
    ):
        """Send a client's request, and record it with its answer."""
        headers = (f"Host: {HOST}", "X-Deadline-Ms: 3000")
        status, body = await call(
            member.front, method, prefix + job, value, 3.5, headers
        )
        if not quiet:
            shown = "" if body is None else f" {json.dumps(body)}"
            self.record.write(
                f"{member.name} {method} {job or '(queue)'}: {status}{shown}"
            )
        return status, body

    async def submit(self, job, value, tries=4, prefix=PREFIX):
        """Hand a job in as a client does, with retries at other members."""
        for attempt in range(tries):
            member = self.members[(int(job, 16) + attempt) % len(self.members)]
            status, _ = await self.request(
                member, "POST", job, value, prefix=prefix
            )
            if status == 200 or status in (400, 404, 413):
                return status
            await asyncio.sleep(1.0)
        return status

    async def state(self, job, within_s):
        """Ask all members for a job until one answers; return the state.

        Returns
        -------
        str or None
            ``"unknown"`` after a 410; None if no member answers in time.
        """
        limit = time.monotonic() + within_s
        while time.monotonic() < limit:
            for member in self.members:
                status, body = await self.request(member, "GET", job)
                if status == 200:
                    return body["state"]
                if status == 410:
                    return "unknown"
            await asyncio.sleep(0.3)
        return None

    def starts_of(self, job):
        """Return how many tasks of a job were started."""
        return sum(
            task.startswith(job + ".")
            for runner in self.runners
            for task in runner.started
        )

    def owner(self):
        """Return the member that has recovered the state last, by the logs."""
        found = []
        for member in self.members:
            for line in member.log_lines():
                entry = json.loads(line)
                if entry.get("event") == "state is recovered":
                    found.append((entry["epoch"], member))
        return max(found, key=lambda pair: pair[0])[1]

    async def stop(self):
        """End all processes, and remove the temporary folder."""
        for member in self.members:
            member.stop()
        for member in self.members:
            if member.process is not None:
                await member.process.wait()
        for task in self._tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                self._temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        shutil.rmtree(self._temporary, ignore_errors=True)


def _free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def job(tasks, work_s=0.3, cpu=1000, steps=1, chained=False, label=""):
    """Return the body of a job whose steps are alike."""
    step = {
        "count": tasks,
        "cpu": cpu,
        "mem-mb": 64,
        "estimate-ms": int(work_s * 1000),
    }
    if label:
        step["required-label"] = label
    steps = [dict(step) for _ in range(steps)]
    if chained:
        for number in range(1, len(steps)):
            steps[number]["after"] = [number - 1]
    return {"spec": json.dumps({"work_s": work_s, "cpu": cpu}), "steps": steps}


def main(play, record_path):
    """Play a case and return its exit status.

    Parameters
    ----------
    play : callable
        ``await play(cell, trouble)`` returns the rule that was broken, or
        None; ``cell`` is made by ``play.create(record_path)``.
    record_path : path-like
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        cell = play.create(record_path)
        try:
            await cell.start()
            broken = await play(cell, trouble)
            cell.record.write(f"result: {broken or 'no rule is broken'}")
            return 1 if broken else 0
        finally:
            await cell.stop()

    try:
        return asyncio.run(run())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        return 2
