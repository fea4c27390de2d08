"""Stand-in for the platform's append-only log service.

Each zone has its own address with its own fault switches, so that the log
can fail for one zone only: ``outage`` (answers 503), ``slow_s`` (delay of
each answer), ``lose_answers`` (share of appends that take effect but are
answered with the status of a lost answer).  All records are in memory and
shared by the zones.
"""

import collections
import json
import random

import anyio
import fire

from citrondeal import web
from tests.standins import _common


class Stream:
    """Records of one stream in memory."""

    def __init__(self):
        self.first = 0
        self.records = collections.deque()
        self.appended = anyio.Event()

    @property
    def next(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, data, max_records):
        """Append a record and drop the oldest beyond `max_records`."""
        self.records.append(data)
        offset = self.next - 1
        while len(self.records) > max_records:
            self.records.popleft()
            self.first += 1
        self.appended.set()
        self.appended = anyio.Event()
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
    """The streams of all zones with counters of appends and reads."""

    def __init__(self, max_records, seed):
        self.max_records = max_records
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


class ZoneAccess:
    """The log service at the address of one zone, with its faults."""

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
        offset = stream.append(data, service.max_records)
        service.counts["appends"] += 1
        service.counts["append_bytes"] += len(request.body)
        if service.random.random() < self.faults["lose_answers"]:
            return web.Response(_common.LOST_ANSWER_STATUS)
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
                await stream.appended.wait()
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
    """Return the application that serves one zone."""
    access = ZoneAccess(service)
    app = web.App(body_limit=4 * 1024 * 1024)
    app.add_route("POST", "/v1/streams/{stream}/records", access.append)
    app.add_route("GET", "/v1/streams/{stream}/records", access.read)
    app.add_route("POST", "/faults", access.faults.handle)
    app.add_route("GET", "/stats", service.stats)
    return app


def main(addresses="127.0.0.1:7001", keep=100000, seed=1):
    """Serve the log on each address, keeping `keep` records per stream."""
    service = LogService(keep, seed)
    apps = [
        (address, build_app(service)) for address in _common.as_list(addresses)
    ]
    anyio.run(_common.serve_apps, apps)


if __name__ == "__main__":
    fire.Fire(main)
