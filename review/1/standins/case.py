"""Frame of a case: starts everything, records events, ends everything."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

from standins import cell as cells
from standins import http
from standins import runners
from standins import store as stores

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
QUEUE_HOST = "lanes.example"
QUEUE_PREFIX = "/batch/"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}


class Case:
    """One run of a case.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, which gets ``record.txt``.
    scratch : pathlib.Path
        Temporary folder.
    """

    def __init__(self, folder, scratch):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.events = []
        self._scratch = scratch
        self._started = time.monotonic()
        self._record = open(folder / "record.txt", "w", encoding="utf-8")
        self.store = stores.Store()
        self.fleet = runners.Fleet(self.store, self.log, CAPACITY)
        self.cell = None
        self._servers = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def log(self, event, **fields):
        """Record an event."""
        entry = {"at": round(self.now(), 4), "event": event, **fields}
        self.events.append(entry)
        self._record.write(json.dumps(entry) + "\n")

    def configure(self, version=1, **fields):
        """Write a configuration with one queue, as the operator does."""
        route = {
            "name": "batch",
            "host": QUEUE_HOST,
            "path-prefix": QUEUE_PREFIX,
            "service": self.fleet.service,
            "priority": 1,
            "max-attempts": 4,
            "stretch": 4.0,
            "target-latency-ms": 3000,
            **fields,
        }
        config = {
            "version": version,
            "routes": [route],
            "services": [{"name": self.fleet.service}],
            "limits": {"max-body-bytes": 262144},
        }
        self.store.put("keyed.op", "config", config)
        self.log("configured", config=config)

    async def start_cell(self, zones, ticket_service=None):
        """Start the store and the members of the cell."""
        server = http.Server(self.store.handle)
        await server.start()
        self._servers.append(server)
        advice = [""] * len(zones)
        if ticket_service is not None:
            advice = [await self._serve(ticket_service) for _ in zones]
        self.cell = cells.Cell(self._scratch, server.port, zones, advice)
        await self.cell.start()
        owner = await self.cell.owner()
        self.log("cell started", owner=owner.name)

    async def _serve(self, ticket_service):
        server = ticket_service.server()
        await server.start()
        self._servers.append(server)
        return f"127.0.0.1:{server.port}"

    async def request(self, method, job, value=None, member=None):
        """Send a client's request about a job, and record it."""
        if member is None:
            member = next(m for m in self.cell.members if m.process)
        path = QUEUE_PREFIX + job
        self.log("sent", method=method, job=job, to=member.name, body=value)
        headers = [("Host", QUEUE_HOST), ("X-Deadline-Ms", "3000")]
        answer = await http.call(member.front, method, path, value, headers)
        self.log("answered", method=method, job=job, answer=answer)
        return answer

    async def submit(self, job, body):
        """Hand a job in, again after an answer that leaves it open."""
        for step, spec in enumerate(body["steps"]):
            if spec.get("gang"):
                self.fleet.gangs[f"{job}.0.{step}"] = spec["count"]
        members = [m for m in self.cell.members if m.process is not None]
        for attempt in range(5):
            member = members[attempt % len(members)]
            answer = await self.request("POST", job, body, member)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(1.0)
        return False

    async def wait_state(self, job, state, limit_s):
        """Ask for the state of a job until it is as expected.

        Returns
        -------
        bool
            False if it was not within the limit.
        """
        end = self.now() + limit_s
        while self.now() < end:
            answer = await self.request("GET", job)
            if answer and answer[0] == 200 and answer[1]["state"] == state:
                return True
            await asyncio.sleep(0.5)
        return False

    def of(self, event):
        """Return the recorded events of one kind."""
        return [e for e in self.events if e["event"] == event]

    async def stop(self):
        """End all processes and stand-ins."""
        if self.cell is not None:
            self.cell.stop()
        for server in self._servers + [r.server for r in self.fleet.runners]:
            server.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        """Close the record."""
        self._record.close()


def run(file, play):
    """Play a case and exit with its status.

    Parameters
    ----------
    file : str
        Path of the module of the case; its folder gets the record.
    play : callable
        ``await play(case)`` returns what was seen of a broken rule, as a list
        of str; empty if the rule held.
    """
    status = NOT_RUN
    folder = pathlib.Path(file).resolve().parent
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(folder, pathlib.Path(scratch))
        try:
            status = asyncio.run(_play(case, play))
        except (Exception, asyncio.CancelledError, KeyboardInterrupt) as exc:
            case.log("case could not run", reason=repr(exc))
            traceback.print_exc()
        finally:
            case.close()
    sys.exit(status)


async def _play(case, play):
    # The members must not outlive a run that is given up.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            found = await play(case)
    finally:
        await case.stop()
    for line in found[:20]:
        print(line)
    case.log("verdict", broken=bool(found), found=found)
    verdict = "rule broken" if found else "rule held"
    print(f"{verdict} ({'with' if case.trouble else 'without'} disruption)")
    return BROKEN if found else HELD
