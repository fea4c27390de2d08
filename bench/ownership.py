"""Cost of a group and time of takeovers; prints one JSON object.

``PYTHONPATH=src:. PYTHONHASHSEED=0 python -m bench.ownership``
"""

import dataclasses
import json
import random
import time
import tracemalloc

from citrondeal import ownership

RESOURCES = tuple(f"endpoint/{number}" for number in range(210))
NAMES = tuple(f"gateway-{number:02d}" for number in range(20))
SEEDS = 10


def _group(name, config=None):
    return ownership.LeaseGroup(
        "z", "gateway", name, f"{name}-1", f"10.0.0.1:{name}", config
    )


def _heartbeats(rounds):
    """Return the records of all members; round 0 claims everything."""
    shares = {name: [] for name in NAMES}
    for resource in RESOURCES:
        shares[ownership.rendezvous_order(resource, NAMES)[0]].append(resource)
    records = []
    for number in range(rounds):
        for name in NAMES:
            held = shares[name]
            record = {
                "kind": "heartbeat",
                "process": name,
                "incarnation": f"{name}-1",
                "address": f"10.0.0.1:{name}",
                "role": "gateway",
                "seq": number + 1,
                "members": {n: f"10.0.0.1:{n}" for n in NAMES if n != name},
                "holds": dict.fromkeys(held, 1) if number else {},
                "claims": {} if number else {r: [1, -1] for r in held},
                "releases": {},
                "relay_of": None,
                "relay_incarnation": None,
            }
            records.append(json.dumps(record))
    return records


def measure_fold(rounds=500):
    """Return CPU microseconds for each record and bytes of one group."""
    texts = _heartbeats(rounds)
    records = [json.loads(text) for text in texts]
    group = _group("observer")
    group.set_wanted(RESOURCES, 0.0)
    started = time.process_time()
    for offset, record in enumerate(records):
        group.on_record(offset, record, offset / len(NAMES))
    folded = time.process_time() - started
    started = time.process_time()
    ticks = 0
    now = float(rounds)
    while now < rounds + 100.0:
        group.on_log_end_read(now, True)
        group.tick(now)
        ticks += 1
        now += 0.25
    ticked = time.process_time() - started
    del records
    tracemalloc.start()
    group = _group("observer")
    group.set_wanted(RESOURCES, 0.0)
    for offset, text in enumerate(texts[: 10 * len(NAMES)]):
        now = offset / len(NAMES)
        group.on_record(offset, json.loads(text), now)
        if offset % len(NAMES) == len(NAMES) - 1:
            group.on_log_end_read(now, True)
            group.tick(now)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "resources": len(RESOURCES),
        "members": len(NAMES),
        "cpu_us_per_record": round(folded / len(texts) * 1e6, 1),
        "cpu_us_per_tail_and_tick": round(ticked / ticks * 1e6, 1),
        "bytes_per_group": size,
        "bytes_of_record": len(texts[-1]),
        "bytes_of_snapshot": len(json.dumps(group.snapshot())),
    }


class _Run:
    """Groups around a log with delays, in steps of 10 ms."""

    def __init__(self, seed, stagger_s):
        self.drains = True
        self.rng = random.Random(seed)
        config = ownership.Config()
        config = dataclasses.replace(config, claim_stagger_s=stagger_s)
        self.groups = {name: _group(name, config) for name in NAMES}
        self.read = dict.fromkeys(NAMES, 0)
        self.phase = {name: self.rng.randrange(10) for name in NAMES}
        self.log = []
        self.late = []
        self.fold = ownership.LeaseTable("gateway")
        self.refused = 0
        self.claims = 0
        for group in self.groups.values():
            group.set_wanted(RESOURCES, 0.0)

    def step(self, number):
        now = number / 100
        landed = [item for item in self.late if item[0] <= now]
        self.late = [item for item in self.late if item[0] > now]
        for _, record in landed:
            outcome = self.fold.apply(len(self.log), record)
            self.log.append(record)
            self.refused += len(outcome.refused)
            self.claims += len(outcome.claimed) + len(outcome.refused)
        for name, group in self.groups.items():
            # Each process reads and ticks every 100 ms.
            if (number + self.phase[name]) % 10:
                continue
            for offset in range(self.read[name], len(self.log)):
                group.on_record(offset, self.log[offset], now)
            self.read[name] = len(self.log)
            group.on_log_end_read(now, True)
            for action in group.tick(now):
                if isinstance(action, ownership.AppendRecord):
                    at = now + self.rng.uniform(0.005, 0.06)
                    self.late.append((at, action.record))
                elif self.drains and isinstance(action, ownership.Drain):
                    group.release(action.resource, now)

    def is_held(self, resource, now):
        return any(
            group.valid_until(resource, now) is not None
            for group in self.groups.values()
        )


def measure_takeover(stagger_s, drains):
    """Kill one holder in each of `SEEDS` runs; times are virtual.

    Without `drains` no resource moves to a better-placed member any more
    from 10 s before the kill, so that only the claims after it are counted.
    """
    times, refused, claims = [], 0, 0
    start_refused = start_claims = 0
    for seed in range(SEEDS):
        run = _Run(seed, stagger_s)
        for number in range(2500):
            run.step(number)
        start_refused += run.refused
        start_claims += run.claims
        run.drains = drains
        for number in range(2500, 3500):
            run.step(number)
        run.refused = run.claims = 0
        leases = run.fold.leases.values()
        victim = run.rng.choice(sorted({lease.holder for lease in leases}))
        missing = {
            resource
            for resource in RESOURCES
            if run.fold.leases[resource].holder == victim
        }
        del run.groups[victim]
        number = 3499
        while missing:
            number += 1
            run.step(number)
            now = number / 100
            gained = {name for name in missing if run.is_held(name, now)}
            times += [now - 35.0] * len(gained)
            missing -= gained
        refused += run.refused
        claims += run.claims
    times.sort()
    return {
        "claim_stagger_s": stagger_s,
        "drains": drains,
        "seeds": SEEDS,
        "resources_taken_over": len(times),
        "takeover_s_median": round(times[len(times) // 2], 2),
        "takeover_s_max": round(times[-1], 2),
        "claims": claims,
        "conflicting_claims": refused,
        "claims_at_start": start_claims,
        "conflicting_claims_at_start": start_refused,
    }


def main():
    """Print the measurements."""
    found = {
        "fold": measure_fold(),
        "takeover": [
            measure_takeover(stagger_s, drains)
            for stagger_s in (0.5, 0.0)
            for drains in (False, True)
        ],
    }
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
