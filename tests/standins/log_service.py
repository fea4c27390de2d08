"""Stand-in for the platform's append-only log service.

Each zone has its own address, with its own switches, so that a zone can be
cut off: ``outage`` (answers 503), ``slow_s`` (delay of each answer),
``lose_answers`` (share of appends that take effect without an answer).
"""

import collections
import json
import random

import anyio
import fire

from citrondeal import web
from tests.standins import _common

CUT = 599  # status never used by the platform; the answer counts as lost


class Stream:
    """Records of one stream in memory."""

    def __init__(self):
        self.first = 0
        self.records = collections.deque()
        self.grown = anyio.Event()

    @property
    def next(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, data, keep):
        """Add a record and drop the oldest beyond `keep` records."""
        self.records.append(data)
        offset = self.next - 1
        while len(self.records) > keep:
            self.records.popleft()
            self.first += 1
        self.grown.set()
        self.grown = anyio.Event()
        return offset

    def read(self, start, limit):
        """Return up to `limit` records from `start` on."""
        start = max(start, self.first)
        end = min(self.next, start + limit)
        return [
            {"offset": offset, "data": self.records[offset - self.first]}
            for offset in range(start, end)
        ]


class LogService:
    """All streams, and counters of the traffic."""

    def __init__(self, keep, seed):
        self.keep = keep
        self.streams = collections.defaultdict(Stream)
        self.random = random.Random(seed)
        self.counts = collections.Counter()

    async def stats(self, request):
        """Answer ``GET /stats``."""
        return web.json_response(
            {
                "counts": dict(self.counts),
                "streams": {
                    name: {"first": s.first, "next": s.next}
                    for name, s in self.streams.items()
                },
            }
        )


class Access:
    """The log as one zone reaches it."""

    def __init__(self, service):
        self._service = service
        self.faults = _common.Faults(outage=0, slow_s=0.0, lose_answers=0.0)

    async def append(self, request):
        """Answer ``POST /v1/streams/{stream}/records``."""
        service = self._service
        if self.faults["outage"]:
            return web.Response(503)
        if self.faults["slow_s"]:
            await anyio.sleep(self.faults["slow_s"])
        stream = service.streams[request.params["stream"]]
        try:
            data = json.loads(request.body)
        except ValueError:
            data = None
        offset = stream.append(data, service.keep)
        service.counts["appends"] += 1
        service.counts["append_bytes"] += len(request.body)
        if service.random.random() < self.faults["lose_answers"]:
            return web.Response(CUT)
        return web.json_response({"offset": offset})

    async def read(self, request):
        """Answer ``GET /v1/streams/{stream}/records``."""
        service = self._service
        if self.faults["outage"]:
            return web.Response(503)
        if self.faults["slow_s"]:
            await anyio.sleep(self.faults["slow_s"])
        stream = service.streams[request.params["stream"]]
        start = int(request.query["from"])
        limit = int(request.query.get("limit", "500"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= stream.next and wait_s:
            with anyio.move_on_after(wait_s):
                await stream.grown.wait()
        if self.faults["outage"]:
            return web.Response(503)
        records = stream.read(start, limit)
        service.counts["reads"] += 1
        response = web.json_response(
            {"first": stream.first, "next": stream.next, "records": records}
        )
        service.counts["read_bytes"] += len(response.body)
        return response


def build_app(service):
    """Return an application for one zone."""
    access = Access(service)
    app = web.App(body_limit=4 * 1024 * 1024)
    app.add_route("POST", "/v1/streams/{stream}/records", access.append)
    app.add_route("GET", "/v1/streams/{stream}/records", access.read)
    app.add_route("POST", "/faults", access.faults.handle)
    app.add_route("GET", "/stats", service.stats)
    return app


def main(addresses="127.0.0.1:7001", keep=100000, seed=1):
    """Serve the log on each address, keeping `keep` records per stream."""
    service = LogService(keep, seed)
    pairs = [
        (address, build_app(service)) for address in _common.as_list(addresses)
    ]
    anyio.run(_common.serve_apps, pairs)


if __name__ == "__main__":
    fire.Fire(main)
