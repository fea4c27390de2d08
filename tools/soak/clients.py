"""Clients of a soak test; records answers and violated guarantees."""

import json

import anyio

from citrondeal.cell.tests import processes
from citrondeal import web

MAX_ATTEMPTS = 4
PAUSE_RANGE_S = (0.05, 0.4)
REQUEST_TIMEOUT_S = 3.0
# From this time after its confirmation a job must not be answered 410.
VISIBILITY_DELAY_S = 3.0
HEADERS = (("Host", "lanes.example"), ("X-Deadline-Ms", "3000"))


class Clients:
    """Submits jobs over kept connections and records the answers.

    Attributes
    ----------
    accepted : dict of str to float
        Time of the confirmation by job, on the clock of the event loop, in
        seconds.
    refused : set of str
        Jobs all of whose attempts were answered "not run".
    completed : set of str
        Jobs that were seen in the state "completed".
    violations : list of str
        Violated guarantees, as seen by the clients.
    """

    def __init__(self, environment, rng):
        self._members = environment.members
        self._rng = rng
        self._connections = {
            m.name: web.Client(m.front) for m in self._members
        }
        self.accepted = {}
        self.refused = set()
        self.completed = set()
        self.violations = []

    async def submit_until(self, end):
        """Submit one job after the other until the time `end`."""
        while anyio.current_time() < end:
            job_id = f"{self._rng.getrandbits(64):016x}"
            await self._submit(job_id)
            if job_id in self.accepted:
                await self.query_job(job_id)
            await anyio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def _submit(self, job_id):
        body = processes.job_body(
            tasks=self._rng.randint(1, 3), work_s=self._rng.uniform(0.1, 0.8)
        )
        body["steps"] += [{**body["steps"][0], "after": [0]}]
        refusals = 0
        for _ in range(MAX_ATTEMPTS):
            status = await self._request_job("POST", job_id, body)
            if status == 200:
                self.accepted[job_id] = anyio.current_time()
                return
            refusals += status in (429, 503)
            await anyio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
        if refusals == MAX_ATTEMPTS:
            self.refused.add(job_id)

    async def _request_job(self, method, job_id, body=None):
        """Send a request to a random member and return its status, or None.

        Records completed jobs and states that no accepted job may have.
        """
        member = self._rng.choice(self._members)
        outcome = await self._connections[member.name].request(
            method,
            f"/holds/{job_id}",
            json.dumps(body).encode() if body else b"",
            REQUEST_TIMEOUT_S,
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
                self.violations.append(f"{job_id} is {state} after its end")
            if state in ("failed", "cancelled"):
                self.violations.append(f"{job_id} is {state}")
        return reply.status

    async def query_job(self, job_id):
        """Ask for the state of a job and check that it is still known."""
        asked_at = anyio.current_time()
        status = await self._request_job("GET", job_id)
        accepted_at = self.accepted.get(job_id, asked_at)
        if status == 410 and asked_at - accepted_at > VISIBILITY_DELAY_S:
            self.violations.append(
                f"{job_id} is denied after its confirmation"
            )

    async def wait_completed(self, limit_s):
        """Wait until all accepted jobs are completed; record the others."""
        with anyio.move_on_after(limit_s):
            while self._incomplete_jobs():
                for job_id in self._incomplete_jobs():
                    await self.query_job(job_id)
                await anyio.sleep(0.2)
        for job_id in self._incomplete_jobs():
            self.violations.append(
                f"{job_id} was accepted and did not complete"
            )

    def _incomplete_jobs(self):
        return sorted(set(self.accepted) - self.completed)
