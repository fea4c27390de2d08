"""Stand-in for the users' platform: store, runners and ticket service.

It speaks the published protocol as far as the cell uses it and counts what
must not happen: a task on two runners at once, a start after its end was
acknowledged, and a runner over its capacity.  Switches: ``store_down``
(503), ``store_lost`` (share of appends done without an answer).
"""

import base64
import json
import random
import struct
import time

import anyio
import fire

from citrondeal import web
from tests.standins import _common

TICK_S = 0.02
STOP_S = 0.1
BEAT_S = 0.5
CUT = 599  # status for an answer that got lost on the way
TICKET_VALID_S = 2.5


class Partition:
    """Records of one topic."""

    def __init__(self):
        self.records = []
        self.epochs = {}
        self.replies = {}

    def newest(self):
        """Return offset and value by key."""
        found = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (offset, value)
        return {k: v for k, v in sorted(found.items()) if v[1]}


class Store:
    """Keyed topics with one partition each."""

    def __init__(self, faults):
        self.topics = {}
        self.faults = faults

    def partition(self, topic):
        """Return the partition of a topic."""
        return self.topics.setdefault(topic, Partition())

    def put(self, topic, key, value):
        """Write a record as the operator or a runner does."""
        self.partition(topic).records.append((key, json.dumps(value).encode()))

    def app(self):
        """Return the HTTP application."""
        app = web.App()
        app.add_route("POST", "/v1/log-append", self.append)
        app.add_route("GET", "/v1/log-read", self.read)
        app.add_route("GET", "/v1/log-newest", self.read_newest)
        return app

    async def append(self, request):
        """Append keyed records."""
        if self.faults["store_down"]:
            return web.Response(503)
        partition = self.partition(request.query["topic"])
        at = request.query.get("at")
        if at is not None and int(at) != len(partition.records):
            return web.json_response({"end": len(partition.records)}, 412)
        answer = self._fenced(partition, request.query)
        if answer is None:
            offset = len(partition.records)
            partition.records += _parse_records(request.body)
            answer = web.json_response(
                {"offset": offset, "end": len(partition.records)}
            )
            producer = request.query.get("producer")
            if producer is not None:
                key = (producer, request.query["epoch"], request.query["seq"])
                partition.replies[key] = answer
        if random.random() < self.faults["store_lost"]:
            return web.Response(CUT)
        return answer

    @staticmethod
    def _fenced(partition, query):
        producer = query.get("producer")
        if producer is None:
            return None
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        last_epoch, last = partition.epochs.get(producer, (-1, -1))
        if epoch < last_epoch:
            return web.json_response({"reason": "fenced"}, 409)
        known = partition.replies.get((producer, query["epoch"], query["seq"]))
        if known is not None:
            return known
        if epoch == last_epoch and sequence != last + 1:
            return web.json_response({"reason": "seq"}, 409)
        partition.epochs[producer] = (epoch, sequence)
        return None

    async def read(self, request):
        """Read records from an offset on."""
        if self.faults["store_down"]:
            return web.Response(503)
        partition = self.partition(request.query["topic"])
        start = int(request.query["from"])
        limit = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        while len(partition.records) <= start and time.monotonic() < limit:
            await anyio.sleep(0.01)
        body = struct.pack(">QQ", len(partition.records), 0)
        for key, value in partition.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return web.Response(200, body)

    async def read_newest(self, request):
        """Read the newest record of each key."""
        if self.faults["store_down"]:
            return web.Response(503)
        partition = self.partition(request.query["topic"])
        after = request.query.get("after", "")
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in partition.newest().items()
            if key > after
        ]
        answer = {
            "items": items[:500],
            "more": len(items) > 500,
            "end": len(partition.records),
        }
        return web.json_response(answer)


def _parse_records(body):
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        split = 1 + content[0]
        records.append((content[1:split].decode(), content[split:]))
    return records


class Runner:
    """One runner with its lists and its fence."""

    def __init__(self, world, name, address, advertised):
        self.world = world
        self.name = name
        self.address = address
        self.advertised = advertised
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0.0
        self.running = {}
        self.barred = {}
        self.ended = []
        self.count = 0

    def app(self):
        """Return the HTTP application."""
        app = web.App()
        app.add_route("POST", "/v1/run-start", self.start)
        app.add_route("POST", "/v1/run-stop", self.stop)
        app.add_route("POST", "/v1/hold", self.hold)
        return app

    def entry(self):
        """Return the entry in the list of runners."""
        return {
            "service": "lanes",
            "address": self.advertised,
            "zone": "z",
            "state": "ready",
            "slots": 8,
            "capacity": {"cpu": 8000, "mem-mb": 8192, "gpu": 0},
            "labels": ["a", "rack"],
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "seq": 1,
        }

    @staticmethod
    def clock_ms():
        """Return the runner's clock."""
        return int(time.monotonic() * 1000)

    def _answer(self, status=200, **fields):
        return web.json_response(
            {"clock-ms": self.clock_ms(), **fields}, status
        )

    async def start(self, request):
        """Start a task."""
        order = json.loads(request.body)
        if order["fence"] < self.fence:
            return self._answer(409, reason="fence")
        self.fence = order["fence"]
        if order["until-ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        self.until = max(self.until, order["until-ms"])
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task]["run"] == run:
            return self._answer()
        if task in self.running or self.barred.get(task, 0) >= run:
            return self._answer(409, reason="old")
        spec = json.loads(order["spec"])
        self.world.check_start(self, task, spec)
        self.running[task] = {
            "run": run,
            "ends": time.monotonic() + spec["work_s"],
            "cpu": spec["cpu"],
            "stop": None,
        }
        return self._answer()

    async def stop(self, request):
        """Stop a run."""
        order = json.loads(request.body)
        if order["fence"] < self.fence:
            return self._answer(409, reason="fence")
        self.fence = order["fence"]
        task = order["task"]
        self.barred[task] = max(self.barred.get(task, 0), order["run"])
        if task in self.running and self.running[task]["run"] <= order["run"]:
            self.running[task]["stop"] = time.monotonic() + STOP_S
        return self._answer()

    async def hold(self, request):
        """Renew the leases and list runs and ends."""
        order = json.loads(request.body)
        if order["fence"] < self.fence:
            return self._answer(409, reason="fence")
        self.fence = order["fence"]
        self.until = max(self.until, order.get("until-ms", 0))
        noted = order["seen-upto"]
        for end in self.ended:
            if end[0] <= noted and end[3] == "done":
                self.world.done.add(end[1])
        self.ended = [end for end in self.ended if end[0] > noted]
        limit = time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < limit:
            await anyio.sleep(TICK_S)
        running = [[t, r["run"], "", 0] for t, r in self.running.items()]
        return self._answer(running=running, ended=self.ended, born=self.born)

    def tick(self, now):
        """End what is over."""
        for task, run in list(self.running.items()):
            how = None
            if run["stop"] is not None and now >= run["stop"]:
                how = "stopped"
            elif now >= run["ends"]:
                how = "done"
            elif self.clock_ms() >= self.until:
                how = "lapsed"
            if how is not None:
                del self.running[task]
                self.barred[task] = run["run"]
                self.count += 1
                self.ended.append([self.count, task, run["run"], how, ""])


class World:
    """All stand-ins of one cell."""

    def __init__(self, runners, first_port, advertised_port):
        self.faults = _common.Faults(store_down=0.0, store_lost=0.0)
        self.store = Store(self.faults)
        self.runners = [
            Runner(
                self,
                f"i-{i}",
                f"127.0.0.1:{first_port + 2 + i}",
                f"127.0.0.1:{advertised_port + i}",
            )
            for i in range(runners)
        ]
        self.done = set()
        self.jobs = set()
        self.counts = {"starts": 0, "doubles": 0, "after_end": 0, "over": 0}

    def check_start(self, runner, task, spec):
        """Count a start and what is wrong with it."""
        self.counts["starts"] += 1
        self.jobs.add(task.partition(".")[0])
        self.counts["doubles"] += any(task in r.running for r in self.runners)
        self.counts["after_end"] += task in self.done
        used = sum(run["cpu"] for run in runner.running.values())
        self.counts["over"] += used + spec["cpu"] > 8000

    def configure(self):
        """Write the operator's first configuration."""
        route = {
            "name": "holds",
            "host": "lanes.example",
            "path-prefix": "/holds/",
            "service": "lanes",
            "priority": 0,
            "max-attempts": 3,
            "stretch": 1.5,
            "target-latency-ms": 500,
            "advice": {"decide-ms": 5.0, "each-ms": 1.0, "valid-ms": 2500},
        }
        config = {"version": 1, "routes": [route], "services": []}
        self.store.put("keyed.op", "config", config)

    async def advise(self, request):
        """Grant tickets for all workers named."""
        names = json.loads(request.body)["workers"]
        await anyio.sleep(0.005)
        good = [[name, f"ticket-{name}"] for name in names]
        return web.json_response(
            {"good": good, "valid-ms": TICKET_VALID_S * 1000}
        )

    async def report(self, request):
        """Return the counts."""
        return web.json_response({**self.counts, "jobs": sorted(self.jobs)})

    def apps(self, first_port):
        """Return address and application of each server."""
        control = web.App()
        control.add_route("POST", "/v1/advise", self.advise)
        control.add_route("POST", "/faults", self.faults.handle)
        control.add_route("GET", "/counts", self.report)
        apps = [
            (f"127.0.0.1:{first_port}", self.store.app()),
            (f"127.0.0.1:{first_port + 1}", control),
        ]
        return apps + [(r.address, r.app()) for r in self.runners]

    async def run(self, apps):
        """Serve until stopped."""
        self.configure()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._tick)
            task_group.start_soon(self._beat)
            await _common.serve_apps(apps)
            task_group.cancel_scope.cancel()

    async def _tick(self):
        while True:
            for runner in self.runners:
                runner.tick(time.monotonic())
            await anyio.sleep(TICK_S)

    async def _beat(self):
        while True:
            for runner in self.runners:
                self.store.put("keyed.servers", runner.name, runner.entry())
            await anyio.sleep(BEAT_S)


def main(first_port, runners=4, advertised_port=0):
    """Run the stand-ins on consecutive ports of 127.0.0.1.

    Parameters
    ----------
    first_port : int
        Of the store; the ticket service and the runners follow.
    runners : int
    advertised_port : int
        First port in the list of runners, if proxies stand before them.
    """
    world = World(runners, first_port, advertised_port or first_port + 2)
    anyio.run(world.run, world.apps(first_port))


if __name__ == "__main__":
    fire.Fire(main)
