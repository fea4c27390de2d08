"""Stand-in for endpoints: several in one process, each on its own port.

Each endpoint counts the runs of each request id and the times that its
slots or connections are exceeded.  Request body (JSON, optional):
``work_ms`` (run time), ``echo`` (returned in the answer) and
``answer_bytes`` (padding of the answer).  Fault switches: ``lose_answers``
(share of requests that run but get no answer) and ``slow_factor`` (of the
run time).  After ``POST /silence`` the connections that were used before
get no more answers.
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
    """One endpoint with its runs and counters."""

    def __init__(self, name, slots, connections, seed):
        self.name = name
        self._slots = slots
        self._connections = connections
        self._random = random.Random(seed)
        self._server = None
        self._used_connections = set()
        self._silenced_connections = set()
        self.faults = _common.Faults(lose_answers=0.0, slow_factor=1.0)
        self.runs = collections.Counter()
        self.running = 0
        self.counts = collections.Counter()

    def on_server_started(self, server):
        """Store the server whose connections are counted."""
        self._server = server

    async def run(self, request):
        """Run one request, unless its ``request-not-after`` has passed."""
        self._used_connections.add(request.client)
        if request.client in self._silenced_connections:
            self.counts["silenced"] += 1
            await anyio.sleep_forever()
        if self._is_expired(request):
            self.counts["expired"] += 1
            return web.Response(503, headers={"request-run": "not_run"})
        options = json.loads(request.body or b"{}")
        request_id = request.headers.get("request-id", "")
        self.runs[request_id] += 1
        self.running += 1
        self._count_excess()
        try:
            factor = self.faults["slow_factor"]
            await anyio.sleep(options.get("work_ms", 5) / 1000 * factor)
        finally:
            self.running -= 1
        if self._random.random() < self.faults["lose_answers"]:
            self.counts["answers_lost"] += 1
            await anyio.sleep_forever()
        return self._build_answer(request_id, options)

    async def silence(self, request):
        """Answer ``POST /silence``: stop answering on used connections."""
        self._silenced_connections = set(self._used_connections)
        return web.json_response(
            {"connections": len(self._silenced_connections)}
        )

    def _is_expired(self, request):
        not_after = request.headers.get("request-not-after")
        return not_after is not None and time.time() > float(not_after)

    def _count_excess(self):
        self.counts["runs"] += 1
        maximum = max(self.counts["most_running"], self.running)
        self.counts["most_running"] = maximum
        if self.running > self._slots:
            self.counts["slots_exceeded"] += 1
        if self._server is not None:
            open_connections = len(self._server.server_state.connections)
            maximum = max(self.counts["most_connections"], open_connections)
            self.counts["most_connections"] = maximum
            if open_connections > self._connections:
                self.counts["connections_exceeded"] += 1

    def _build_answer(self, request_id, options):
        answer = {
            "request_id": request_id,
            "endpoint": self.name,
            "echo": options.get("echo"),
            "pad": "x" * options.get("answer_bytes", 0),
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

    async def run_counts(self, request):
        """Answer ``GET /runs`` with the number of runs by request id."""
        return web.json_response(dict(self.runs))


def build_app(endpoint):
    """Return the application of an `Endpoint`."""
    app = web.App(body_limit=4 * 1024 * 1024)
    app.add_route("GET", "/stats", endpoint.stats)
    app.add_route("GET", "/runs", endpoint.run_counts)
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
    apps = [
        (address, build_app(endpoint))
        for address, endpoint in zip(addresses, endpoints)
    ]
    anyio.run(
        _common.serve_apps, apps, [e.on_server_started for e in endpoints]
    )


if __name__ == "__main__":
    fire.Fire(main)
