"""Callers of the demonstration, with a record of every answer."""

import collections
import concurrent.futures
import itertools
import json
import random
import time
import uuid

import httpcore

WORK_MS = (4, 40)  # range of the run time of a request
ATTEMPTS = 3
PAUSE_S = 0.2  # before a resubmission
TIMEOUT_S = 15.0


class PendingRequests:
    """Requests that are being sent."""

    def __init__(self, futures):
        self._futures = futures

    def wait(self):
        """Wait until each request has its outcome."""
        for future in self._futures:
            future.result()


class LoadGenerator:
    """Sends requests of both kinds through all gateways.

    Parameters
    ----------
    cell : tests.cell.Cell
        Cell to call.
    callers : int
        Requests in flight at a time.
    """

    def __init__(self, cell, callers):
        self._cell = cell
        self._gateways = cell.select("gateway")
        self._pool = concurrent.futures.ThreadPoolExecutor(callers)
        self._http = httpcore.ConnectionPool(max_connections=4 * callers)
        self._random = random.Random(1)
        self._numbers = itertools.count()
        self._outcomes = {}
        self._counts = collections.Counter()

    def exclude(self, daemon):
        """Stop choosing a gateway, as the balancer does."""
        self._gateways = [g for g in self._gateways if g is not daemon]

    def include(self, daemon):
        """Choose a gateway again."""
        self._gateways = [*self._gateways, daemon]

    def start(self, phase, count):
        """Start `count` requests of each kind."""
        futures = []
        for idempotent in (True, False):
            for _ in range(count):
                number = next(self._numbers)
                work_ms = self._random.randint(*WORK_MS)
                futures.append(
                    self._pool.submit(
                        self._request, phase, number, idempotent, work_ms
                    )
                )
        return PendingRequests(futures)

    def send(self, phase, count):
        """Send `count` requests of each kind and wait."""
        self.start(phase, count).wait()

    def _request(self, phase, number, idempotent, work_ms):
        request_id = f"{phase}-{number}-{uuid.UUID(int=number).hex[-8:]}"
        body = json.dumps({"work_ms": work_ms, "echo": number}).encode()
        outcome = "lost"
        for attempt in range(1, ATTEMPTS + 1):
            kind = self._attempt(request_id, idempotent, attempt, body, number)
            if kind is not None:
                outcome = kind
            if kind in ("answer", "wrong"):
                break
            if kind == "unknown" and not idempotent and attempt > 1:
                break
            time.sleep(PAUSE_S)
        self._outcomes[request_id] = (outcome, idempotent)

    def _attempt(self, request_id, idempotent, attempt, body, number):
        """Return ``answer``, ``wrong``, ``not_run``, ``unknown`` or None."""
        gateways = self._gateways
        gateway = gateways[(number + attempt) % len(gateways)]
        flag = str(idempotent).lower()
        try:
            response = self._http.request(
                "POST",
                f"http://{gateway.http}/v1/services/lanebook/hold",
                content=body,
                headers={
                    "content-type": "application/json",
                    "request-id": request_id,
                    "request-attempt": str(attempt),
                    "request-idempotent": flag,
                },
                extensions={"timeout": {"read": TIMEOUT_S}},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            self._counts["connections_broken"] += 1
            return None
        answer = json.loads(response.content)
        if response.status == 200:
            own = answer["request_id"] == request_id
            return "answer" if own and answer["echo"] == number else "wrong"
        run = answer["error"]["run"]
        self._counts[f"answered_{answer['error']['kind']}"] += 1
        return "unknown" if run != "not_run" else "not_run"

    def figures(self):
        """Return the counts of the outcomes of all requests."""
        counts = collections.Counter(o for o, _ in self._outcomes.values())
        return {
            "requests": len(self._outcomes),
            "whole_answers": counts["answer"],
            "refused_not_run": counts["not_run"],
            "unknown": counts["unknown"],
            "lost": counts["lost"],
            "wrong_answers": counts["wrong"],
            **dict(sorted(self._counts.items())),
        }

    def double_runs(self, runs):
        """Return how many non-idempotent ids ran more than once."""
        return sum(
            1
            for request_id, (_, idempotent) in self._outcomes.items()
            if not idempotent and runs.get(request_id, 0) > 1
        )

    def false_refusals(self, runs):
        """Return how many ids whose last answer was "not run" have run."""
        return sum(
            1
            for request_id, (outcome, _) in self._outcomes.items()
            if outcome == "not_run" and runs.get(request_id, 0)
        )
