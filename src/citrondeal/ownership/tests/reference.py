"""Reference implementation of the lease table, and random histories."""

import random

MALFORMED = (
    None,
    "x",
    {},
    {"kind": "heartbeat"},
    {"kind": "other", "role": "gateway"},
)


def lease_states(history):
    """Return states of leases by resource for (record, is_valid) pairs.

    Each record is compared with the whole history before it.  A state is a
    tuple of the fields of a `Lease`, in their order.
    """
    state = {}
    for offset, (record, is_valid) in enumerate(history):
        if not is_valid or record["role"] != "gateway":
            continue
        sender = (record["process"], record["incarnation"])
        earlier = [
            old["seq"]
            for old, is_old_valid in history[:offset]
            if is_old_valid
            and old["role"] == "gateway"
            and (old["process"], old["incarnation"]) == sender
        ]
        if any(seq >= record["seq"] for seq in earlier):
            continue
        early_claimants = {
            **record["members"],
            record["process"]: record["address"],
        }
        holder_key = sender
        if record["relay_of"] is not None:
            holder_key = (record["relay_of"], record["relay_incarnation"])
        for name, epoch in record["holds"].items():
            old = state.get(name)
            if old and old[:4] == (epoch, *holder_key, True):
                kept = (
                    old[5]
                    if record["relay_of"] is not None
                    else early_claimants
                )
                state[name] = (*old[:4], offset, kept, old[6])
        if record["relay_of"] is not None:
            continue
        for name, (epoch, age) in record["releases"].items():
            if state.get(name, ())[:4] == (epoch, *sender, True):
                state[name] = (epoch, *sender, False, offset, {}, age)
        for name, (epoch, seen) in record["claims"].items():
            old = state.get(name, (0, "", "", False, -1))
            if (old[0] + 1, old[4]) == (epoch, seen):
                state[name] = (
                    epoch,
                    *sender,
                    True,
                    offset,
                    early_claimants,
                    None,
                )
    return state


def history(seed, length=60):
    """Return a random history with valid, late and malformed records."""
    rng = random.Random(seed)
    records = []
    for _ in range(length):
        kind = rng.random()
        if kind < 0.08:
            records.append((rng.choice(MALFORMED), False))
        elif kind < 0.16 and records:
            records.append(rng.choice(records))
        else:
            records.append((_record(rng, records), True))
    return records


def _record(rng, records):
    name, incarnation = rng.choice("abc"), rng.choice("12")
    state = lease_states(records)
    record = {
        "kind": "heartbeat",
        "process": name,
        "incarnation": incarnation,
        "address": f"{name}:{incarnation}",
        "role": rng.choice(["gateway"] * 5 + ["scheduler"]),
        "seq": len(records) + rng.choice([0, 0, 0, -3, 2]) + 3,
        "members": {k: f"{k}:1" for k in "abc" if rng.random() < 0.6},
        "holds": {},
        "claims": {},
        "releases": {},
        "relay_of": None,
        "relay_incarnation": None,
    }
    if rng.random() < 0.15:
        record["relay_of"] = rng.choice("abc")
        record["relay_incarnation"] = rng.choice("12")
    for resource in ("r0", "r1", "r2"):
        old = state.get(resource, (0, "", "", False, -1))
        epoch_error = rng.choice([0, 0, 0, 1, -1])
        epoch = max(0, old[0] + epoch_error)
        choice = rng.random()
        if choice < 0.35:
            record["holds"][resource] = epoch
        elif choice < 0.5:
            age = rng.choice([None, 2.5])
            record["releases"][resource] = [epoch, age]
        elif choice < 0.8:
            seen = old[4] if rng.random() < 0.8 else max(-1, old[4] - 1)
            record["claims"][resource] = [epoch + 1, seen]
    return record
