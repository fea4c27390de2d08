"""Stand-in for endpoints: several in one process, each on its own port.

Each records every run by request id and watches its slots and connections.
Request body (JSON, optional): ``work_ms``, ``echo``, ``answer_bytes``.
Switches: ``lose_answers`` (share of answers dropped after the run) and
``slow_factor``.  ``POST /silence`` makes the connections used so far silent.
"""

import collections
import json
import random
import time

import anyio
import fire

from citrondeal import web
from tests.standins import _common


class Endpoint:
    """One endpoint with its run record."""

    def __init__(self, name, slots, connections, seed):
        self.name = name
        self._slots = slots
        self._connections = connections
        self._random = random.Random(seed)
        self._server = None
        self._clients = set()
        self._silenced = set()
        self.faults = _common.Faults(lose_answers=0.0, slow_factor=1.0)
        self.runs = collections.Counter()
        self.running = 0
        self.counts = collections.Counter()

    def attach(self, server):
        """Remember the server, to count its connections."""
        self._server = server

    async def run(self, request):
        """Run one request."""
        self._clients.add(request.client)
        if request.client in self._silenced:
            self.counts["silenced"] += 1
            await anyio.sleep_forever()
        if self._expired(request):
            self.counts["expired"] += 1
            return web.Response(503, headers={"request-run": "not_run"})
        work = json.loads(request.body or b"{}")
        request_id = request.headers.get("request-id", "")
        self.runs[request_id] += 1
        self.running += 1
        self._watch()
        try:
            factor = self.faults["slow_factor"]
            await anyio.sleep(work.get("work_ms", 5) / 1000 * factor)
        finally:
            self.running -= 1
        if self._random.random() < self.faults["lose_answers"]:
            self.counts["answers_lost"] += 1
            await anyio.sleep_forever()
        return self._answer(request_id, work)

    async def silence(self, request):
        """Answer ``POST /silence``: connections used so far go silent."""
        self._silenced = set(self._clients)
        return web.json_response({"connections": len(self._silenced)})

    def _expired(self, request):
        limit = request.headers.get("request-not-after")
        return limit is not None and time.time() > float(limit)

    def _watch(self):
        self.counts["runs"] += 1
        most = max(self.counts["most_running"], self.running)
        self.counts["most_running"] = most
        if self.running > self._slots:
            self.counts["slots_exceeded"] += 1
        if self._server is not None:
            opened = len(self._server.server_state.connections)
            most = max(self.counts["most_connections"], opened)
            self.counts["most_connections"] = most
            if opened > self._connections:
                self.counts["connections_exceeded"] += 1

    def _answer(self, request_id, work):
        answer = {
            "request_id": request_id,
            "endpoint": self.name,
            "echo": work.get("echo"),
            "pad": "x" * work.get("answer_bytes", 0),
        }
        response = web.json_response(answer)
        response.headers["request-id"] = request_id
        return response

    async def stats(self, request):
        """Answer ``GET /stats``."""
        return web.json_response(
            {
                "name": self.name,
                "counts": dict(self.counts),
                "running": self.running,
                "repeated": {k: n for k, n in self.runs.items() if n > 1},
            }
        )

    async def ids(self, request):
        """Answer ``GET /runs`` with the run record."""
        return web.json_response(dict(self.runs))


def build_app(endpoint):
    """Return the application of an `Endpoint`."""
    app = web.App(body_limit=4 * 1024 * 1024)
    app.add_route("GET", "/stats", endpoint.stats)
    app.add_route("GET", "/runs", endpoint.ids)
    app.add_route("POST", "/faults", endpoint.faults.handle)
    app.add_route("POST", "/silence", endpoint.silence)
    app.add_route("POST", "/{path*}", endpoint.run)
    return app


def main(
    addresses="127.0.0.1:7100", names="ep-0", slots=8, connections=64, seed=1
):
    """Serve one endpoint per address; lists are separated by commas."""
    addresses = _common.as_list(addresses)
    names = _common.as_list(names)
    endpoints = [
        Endpoint(name, slots, connections, seed + index)
        for index, name in enumerate(names)
    ]
    pairs = [
        (address, build_app(endpoint))
        for address, endpoint in zip(addresses, endpoints)
    ]
    anyio.run(_common.serve_apps, pairs, [e.attach for e in endpoints])


if __name__ == "__main__":
    fire.Fire(main)
