"""Measures the ledger of request ids; prints JSON.

Run with ``python -m bench.dedup``.
"""

import json
import random
import time
import tracemalloc

from citrondeal import dedup
from citrondeal.dedup.tests import cell as cells
from citrondeal import errors

REQUESTS = 20_000
SIZES = (6, 8, 16)
SCHEDULE_S = 1200
KILL_PERIOD_S = 30


class WithoutWitness(dedup.Ledger):
    """Dispatches alone, and therefore needs every memory to vouch."""

    def _ask_witness(self, request_id, record, now):
        record.active.call_number = self._call_number = self._call_number + 1
        record.state = type(record.state).PREPARING
        reply = dedup.IntentReply(dedup.Verdict.ACCEPTED)
        return self.intent_reply(request_id, self._call_number, reply, now)

    def _unknown_outcome_reason(self, record, replies, statuses_by_process):
        active = record.active
        needed = active.latest_creation_at - self._config.skew_s
        if not active.age_known:
            needed = active.claim_round.started_at - self._keep_s
        since = [
            self._complete_since,
            *active.claim_round.complete_since.values(),
        ]
        if any(t >= needed for t in since):
            return "A gateway has restarted."
        return super()._unknown_outcome_reason(
            record, replies, statuses_by_process
        )


class Trusting(WithoutWitness):
    """Takes "not seen" from a restarted gateway as proof."""

    def _unknown_outcome_reason(self, record, replies, statuses_by_process):
        return None


def _ledgers(size):
    cell = cells.Cell(size, config=dedup.Config(max_ids=10 * REQUESTS))
    ids = [cell.new_id("uuid7") for _ in range(REQUESTS)]
    return cell, ids


def cpu():
    """Return CPU microseconds per first attempt at both gateways."""
    cell, ids = _ledgers(8)
    ledger, witness = cell.nodes["a"].ledger, cell.nodes["b"].ledger
    now, now_unix = cell.now, cell.now + cell.unix_offset_s
    intents = []
    started = time.process_time()
    for request_id in ids:
        ledger.begin(request_id, 1, False, now, now_unix)
        action = ledger.prepare(request_id, now)[0]
        intents.append(action)
        reply = dedup.IntentReply(dedup.Verdict.ACCEPTED)
        ledger.intent_reply(request_id, action.number, reply, now)
        ledger.start(request_id, now)
        ledger.completed(request_id, b"", 100, now)
    receiver_s = time.process_time() - started
    started = time.process_time()
    for action in intents:
        witness.on_intent(action.request_id, action.permit, now)
    witness_s = time.process_time() - started
    return {
        "receiver_us": round(receiver_s / REQUESTS * 1e6, 1),
        "witness_us": round(witness_s / REQUESTS * 1e6, 1),
    }


def memory():
    """Return bytes per remembered id, with its string, without answers."""
    cell = cells.Cell(8, config=dedup.Config(max_ids=10 * REQUESTS))
    ledger, witness = cell.nodes["a"].ledger, cell.nodes["b"].ledger
    result = {}
    tracemalloc.start()
    for role in ("receiver", "witness"):
        before, _ = tracemalloc.get_traced_memory()
        for number in range(REQUESTS):
            request_id = f"018bcfe5-6800-7000-8000-{role[0]}{number:011}"
            now = cell.now + number * 1e-3
            if role == "witness":
                permit = dedup.Permit("a", "i1", 1, 0, (), 0.0)
                witness.on_intent(request_id, permit, now)
                continue
            ledger.begin(request_id, 1, False, now, now + cell.unix_offset_s)
            action = ledger.prepare(request_id, now)[0]
            reply = dedup.IntentReply(dedup.Verdict.ACCEPTED)
            ledger.intent_reply(request_id, action.number, reply, now)
            ledger.start(request_id, now)
            # Larger than the bound of the cache: the answer is not kept.
            ledger.completed(request_id, b"", 1 << 30, now)
        after, _ = tracemalloc.get_traced_memory()
        result[f"{role}_bytes"] = round((after - before) / REQUESTS)
    tracemalloc.stop()
    return result


def messages():
    """Return peer messages (calls and replies) per request by cell size."""
    result = {}
    for size in SIZES:
        counts = {}
        for kind in ("local", "forward", "resubmission"):
            cell = cells.Cell(size)
            request_id = cell.new_id("uuid7")
            if kind == "resubmission":
                cell.send(request_id, "a")
                cell.run_until_idle(request_id, 0)
                cell.kill("a")
                cell.message_count = 0
            cell.send(request_id, "c")
            target = "d" if kind == "forward" else None
            cell.run_until_idle(request_id, 3, target)
            assert cell.sends[request_id][-1].result == "answer"
            counts[kind] = cell.message_count
        result[size] = counts
    return result


def _schedule(ledger, kind, seed=1):
    rng = random.Random(seed)
    cell = cells.Cell(8, ledger)
    results = []
    later = []  # (time, id, gateway of the first attempt)
    open_ids = []  # (id, gateway) in progress
    for tick in range(SCHEDULE_S * 2):
        cell.advance(0.5)
        if tick % (KILL_PERIOD_S * 2) == 0:
            name = rng.choice(cell.names)
            for _ in range(10):
                request_id = cell.new_id(kind)
                cell.send(request_id, name)
                cell.run_until_idle(request_id, rng.randrange(3))
                open_ids.append((request_id, name))
            cell.kill(name)
            for request_id, gateway in open_ids:
                if gateway == name:
                    later.append((cell.now + 1.0, request_id, name))
        for request_id, _ in open_ids:
            cell.run_until_idle(request_id)
        open_ids = []
        for entry in [e for e in later if e[0] <= cell.now]:
            later.remove(entry)
            _, request_id, first = entry
            name = rng.choice([n for n in cell.names if n != first])
            ran = any(run.request_id == request_id for run in cell.runs)
            send = cell.send(request_id, name)
            cell.run_until_idle(request_id)
            results.append((send, ran))
        for _ in range(3):
            request_id = cell.new_id(kind)
            name = rng.choice(cell.names)
            cell.send(request_id, name)
            cell.run_until_idle(request_id, rng.randrange(3))
            open_ids.append((request_id, name))
            # One caller in ten loses the answer on its way.
            if rng.random() < 0.1:
                when = cell.now + rng.uniform(2.0, 60.0)
                later.append((when, request_id, name))
    unknown = errors.Kind.UNKNOWN_OUTCOME
    doubtful = [
        ran
        for send, ran in results
        if getattr(send.result, "kind", None) == unknown
    ]
    count = len(doubtful)
    runs = [run.request_id for run in cell.runs]
    return {
        "resubmissions": len(results),
        "unknown": count,
        "unknown_share": round(count / len(results), 4),
        "not_run_before": sum(not ran for _, ran in results),
        "unknown_of_these": sum(not ran for ran in doubtful),
        "second_runs": len(runs) - len(set(runs)),
    }


def unknown_share():
    """Return results of resubmissions under kills every 30 s."""
    return {
        f"{name}, {kind} ids": _schedule(ledger, kind)
        for name, ledger in (
            ("with witness", dedup.Ledger),
            ("without witness", WithoutWitness),
            ("trusting restarts", Trusting),
        )
        for kind in ("uuid7", "plain")
    }


def main():
    """Print all figures."""
    figures = {
        "cpu_per_first_attempt": cpu(),
        "memory_per_id": memory(),
        "messages_per_request": messages(),
        "outcomes_under_kills": unknown_share(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
