"""Sends requests as callers do and records the outcome of each.

Used by the demonstration, the system scenarios, the soak and a bench.
"""

import collections
import concurrent.futures
import itertools
import json
import random
import time
import uuid

import httpcore

RUN_TIME_RANGE_MS = (4, 40)
MAX_ATTEMPTS = 3
RETRY_PAUSE_S = 0.2  # before a resubmission
READ_TIMEOUT_S = 15.0


class PendingRequests:
    """Requests whose outcomes are not all known yet."""

    def __init__(self, futures):
        self._futures = futures

    def wait(self):
        """Wait until each request has an outcome."""
        for future in self._futures:
            future.result()


class LoadGenerator:
    """Sends idempotent and other requests through all gateways.

    Parameters
    ----------
    cell : tests.cell.Cell
        Cell to call.
    callers : int
        Largest number of requests in flight at a time.
    """

    def __init__(self, cell, callers):
        self._cell = cell
        self._gateways = cell.select("gateway")
        self._executor = concurrent.futures.ThreadPoolExecutor(callers)
        self._http_client = httpcore.ConnectionPool(
            max_connections=4 * callers
        )
        self._random = random.Random(1)
        self._numbers = itertools.count()
        self._outcomes = {}
        self._counts = collections.Counter()

    def exclude(self, daemon):
        """Send no more requests to a gateway, as a load balancer does."""
        self._gateways = [g for g in self._gateways if g is not daemon]

    def include(self, daemon):
        """Send requests to a gateway again."""
        self._gateways = [*self._gateways, daemon]

    def start(self, phase, count):
        """Start `count` idempotent and `count` other requests.

        Parameters
        ----------
        phase : str
            Prefix of the request ids.
        count : int

        Returns
        -------
        PendingRequests
        """
        futures = []
        for idempotent in (True, False):
            for _ in range(count):
                number = next(self._numbers)
                work_ms = self._random.randint(*RUN_TIME_RANGE_MS)
                futures.append(
                    self._executor.submit(
                        self._send_request, phase, number, idempotent, work_ms
                    )
                )
        return PendingRequests(futures)

    def send(self, phase, count):
        """Send `count` requests of each kind and wait for their outcomes."""
        self.start(phase, count).wait()

    def _send_request(self, phase, number, idempotent, work_ms):
        request_id = f"{phase}-{number}-{uuid.UUID(int=number).hex[-8:]}"
        body = json.dumps({"work_ms": work_ms, "echo": number}).encode()
        outcome = "lost"
        for attempt in range(1, MAX_ATTEMPTS + 1):
            result = self._send_attempt(
                request_id, idempotent, attempt, body, number
            )
            if result is not None:
                outcome = result
            if result in ("answer", "wrong"):
                break
            if result == "unknown" and not idempotent and attempt > 1:
                break
            time.sleep(RETRY_PAUSE_S)
        self._outcomes[request_id] = (outcome, idempotent)

    def _send_attempt(self, request_id, idempotent, attempt, body, number):
        """Send a request once.

        Returns
        -------
        str or None
            ``answer``, ``wrong`` (another id or content), ``not_run``,
            ``unknown``, or None if no answer arrived.
        """
        gateways = self._gateways
        gateway = gateways[(number + attempt) % len(gateways)]
        idempotent_text = str(idempotent).lower()
        try:
            response = self._http_client.request(
                "POST",
                f"http://{gateway.http}/v1/services/lanebook/hold",
                content=body,
                headers={
                    "content-type": "application/json",
                    "request-id": request_id,
                    "request-attempt": str(attempt),
                    "request-idempotent": idempotent_text,
                },
                extensions={"timeout": {"read": READ_TIMEOUT_S}},
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
            has_same_id = answer["request_id"] == request_id
            return (
                "answer"
                if has_same_id and answer["echo"] == number
                else "wrong"
            )
        run = answer["error"]["run"]
        self._counts[f"answered_{answer['error']['kind']}"] += 1
        return "unknown" if run != "not_run" else "not_run"

    def figures(self):
        """Return counts of all requests by outcome.

        Returns
        -------
        dict of str to int
            Every request is in one of ``whole_answers``,
            ``refused_not_run``, ``unknown``, ``lost`` (no answer at any
            attempt) and ``wrong_answers``.  ``connections_broken`` and
            ``answered_<kind>`` count attempts.
        """
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
        """Return how many non-idempotent requests ran more than once.

        Parameters
        ----------
        runs : dict of str to int
            Number of runs by request id.
        """
        return sum(
            1
            for request_id, (_, idempotent) in self._outcomes.items()
            if not idempotent and runs.get(request_id, 0) > 1
        )

    def false_refusals(self, runs):
        """Return how many requests ran although the outcome is "not run".

        Parameters
        ----------
        runs : dict of str to int
            Number of runs by request id.
        """
        return sum(
            1
            for request_id, (outcome, _) in self._outcomes.items()
            if outcome == "not_run" and runs.get(request_id, 0)
        )
