"""Clients that keep their connections, and what they were promised."""

import json

import anyio

from citrondeal.cell.tests import processes
from citrondeal import web

ATTEMPTS = 4
PAUSE_S = (0.05, 0.4)
TIMEOUT_S = 3.0
# After this time an accepted job must not be denied.
VISIBLE_S = 3.0
HEADERS = (("Host", "lanes.example"), ("X-Deadline-Ms", "3000"))


class Clients:
    """Submits jobs and notes the answers.

    Attributes
    ----------
    accepted : dict of str to float
        Time of the first confirmation by job.
    refused : set of str
        Jobs all of whose attempts were answered "not run".
    broken : list of str
        Promises that were broken, as seen by the clients.
    """

    def __init__(self, world, rng):
        self._members = world.members
        self._rng = rng
        self._connections = {
            m.name: web.Client(m.front) for m in self._members
        }
        self.accepted = {}
        self.refused = set()
        self.completed = set()
        self.broken = []

    async def submit_until(self, end):
        """Submit one job after the other."""
        while anyio.current_time() < end:
            job_id = f"{self._rng.getrandbits(64):016x}"
            await self._submit(job_id)
            if job_id in self.accepted:
                await self.look(job_id)
            await anyio.sleep(self._rng.uniform(*PAUSE_S))

    async def _submit(self, job_id):
        body = processes.job_body(
            tasks=self._rng.randint(1, 3), work_s=self._rng.uniform(0.1, 0.8)
        )
        body["steps"] += [{**body["steps"][0], "after": [0]}]
        refusals = 0
        for _ in range(ATTEMPTS):
            status = await self._call("POST", job_id, body)
            if status == 200:
                self.accepted[job_id] = anyio.current_time()
                return
            refusals += status in (429, 503)
            await anyio.sleep(self._rng.uniform(*PAUSE_S))
        if refusals == ATTEMPTS:
            self.refused.add(job_id)

    async def _call(self, method, job_id, body=None):
        """Return the status, and note a state of `completed`."""
        member = self._rng.choice(self._members)
        outcome = await self._connections[member.name].request(
            method,
            f"/holds/{job_id}",
            json.dumps(body).encode() if body else b"",
            TIMEOUT_S,
            HEADERS,
        )
        if outcome.is_err():
            return None
        reply = outcome.ok_value
        state = json.loads(reply.body).get("state") if reply.body else None
        if method == "GET" and reply.status == 200:
            if state == "completed":
                self.completed.add(job_id)
            elif job_id in self.completed:
                self.broken.append(f"{job_id} is {state} after its end")
            if state in ("failed", "cancelled"):
                self.broken.append(f"{job_id} is {state}")
        return reply.status

    async def look(self, job_id):
        """Ask for the state of a job."""
        asked_at = anyio.current_time()
        status = await self._call("GET", job_id)
        since = self.accepted.get(job_id, asked_at)
        if status == 410 and asked_at - since > VISIBLE_S:
            self.broken.append(f"{job_id} is denied after its confirmation")

    async def wait_completed(self, limit_s):
        """Wait until all accepted jobs are completed; note the others."""
        with anyio.move_on_after(limit_s):
            while self._open():
                for job_id in self._open():
                    await self.look(job_id)
                await anyio.sleep(0.2)
        for job_id in self._open():
            self.broken.append(f"{job_id} was accepted and did not complete")

    def _open(self):
        return sorted(set(self.accepted) - self.completed)
