"""Clients of a soak test; records answers and violated guarantees."""

import json
import math

import anyio

from citrondeal.cell.tests import processes
from citrondeal import web

MAX_ATTEMPTS = 4
PAUSE_RANGE_S = (0.05, 0.4)
QUERY_PAUSE_RANGE_S = (0.01, 0.05)
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
    completed : dict of str to float
        Jobs that were seen in the state "completed", and when the answer
        that said so first arrived.
    queries : int
        Answered queries of jobs.
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
        self.completed = {}
        self.queries = 0
        self.violations = []

    async def submit_until(self, end):
        """Submit one job after the other until the time `end`."""
        while anyio.current_time() < end:
            job_id = f"{self._rng.getrandbits(64):016x}"
            await self._submit(job_id)
            if job_id in self.accepted:
                await self.query_job(job_id)
            await anyio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def query_until(self, end, rng):
        """Query accepted jobs, most of them completed ones, until `end`.

        Parameters
        ----------
        end : float
        rng : random.Random
        """
        while anyio.current_time() < end:
            jobs = self.completed if rng.random() < 0.7 else self.accepted
            if jobs:
                await self.query_job(rng.choice(list(jobs)), rng)
            await anyio.sleep(rng.uniform(*QUERY_PAUSE_RANGE_S))

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

    async def _request_job(self, method, job_id, body=None, member=None):
        """Send a request to a member and return its status, or None.

        Records completed jobs and states that no accepted job may have. The
        member is a random one if none is named.
        """
        asked_at = anyio.current_time()
        member = member or self._rng.choice(self._members)
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
            self.queries += 1
            if state == "completed":
                self.completed.setdefault(job_id, anyio.current_time())
            elif self.completed.get(job_id, math.inf) < asked_at:
                self.violations.append(f"{job_id} is {state} after its end")
            if state in ("failed", "cancelled"):
                self.violations.append(f"{job_id} is {state}")
        return reply.status

    async def query_job(self, job_id, rng=None, member=None):
        """Ask for the state of a job and check that it is still known.

        Returns
        -------
        int or None
            Status of the answer.
        """
        asked_at = anyio.current_time()
        if rng is not None:
            member = rng.choice(self._members)
        status = await self._request_job("GET", job_id, member=member)
        accepted_at = self.accepted.get(job_id, asked_at)
        if status == 410 and asked_at - accepted_at > VISIBILITY_DELAY_S:
            self.violations.append(
                f"{job_id} is denied after its confirmation"
            )
        return status

    async def check_known(self, limit_s):
        """Query all accepted jobs at all members; record what is unknown.

        Parameters
        ----------
        limit_s : float
            Seconds after which a job without an answer is a violation.
        """
        limit = anyio.current_time() + limit_s
        for member in self._members:
            for job_id in self.accepted:
                while await self.query_job(job_id, member=member) != 200:
                    if anyio.current_time() > limit:
                        self.violations.append(
                            f"{job_id} has no state at {member.name}"
                        )
                        break
                    await anyio.sleep(0.1)

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
        return sorted(self.accepted.keys() - self.completed.keys())
