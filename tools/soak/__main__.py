"""Runs seeds of the soak of a cell and prints one JSON line for each.

Examples
--------
``python -m tools.soak --seeds 50 --seconds 20``
"""

import json
import pathlib
import random
import secrets
import sys

import anyio
import fire

from tools.soak import clients
from tools.soak import faults
from tools.soak import world

CLIENTS = 6
# From the end of the faults until all accepted jobs have to be completed: the
# leases of lost workers lapse after 10 s, and their tasks run again.
SETTLE_S = 30.0


async def _play(seed, seconds, members, runners):
    rng = random.Random(seed)
    place = world.World(members, runners)
    injected = faults.Faults(place, random.Random(rng.getrandbits(64)))
    load = clients.Clients(place, random.Random(rng.getrandbits(64)))
    try:
        async with anyio.create_task_group() as task_group:
            await place.start(task_group)
            async with anyio.create_task_group() as running:
                end = anyio.current_time() + seconds
                for _ in range(CLIENTS):
                    running.start_soon(load.submit_until, end)
                running.start_soon(injected.run, seconds)
            await load.wait_completed(SETTLE_S)
            counts = await place.counts()
            task_group.cancel_scope.cancel()
        logs = place.logs()
    finally:
        place.stop()
    return _judge(seed, load, counts, injected.log), logs


def _judge(seed, load, counts, log):
    started = set(counts.pop("jobs"))
    broken = list(load.broken)
    broken += [f"{j} ran although refused" for j in load.refused & started]
    broken += [
        f"{name}: {counts[name]}"
        for name in ("doubles", "after_end", "over")
        if counts[name]
    ]
    return {
        "seed": seed,
        "accepted": len(load.accepted),
        "refused": len(load.refused),
        "starts": counts["starts"],
        "faults": log,
        "broken": broken,
    }


def run(seeds=1, first=None, seconds=20, members=3, runners=4, keep=""):
    """Play seeds of the soak.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    first : int, optional
        First seed; random if it is not given.
    seconds : float
        Time with load and faults.
    members, runners : int
        Processes of the cell, and runners of the stand-in.
    keep : str
        Folder for the logs of seeds that broke a promise.

    Returns
    -------
    int
        Number of seeds that broke a promise.
    """
    first = secrets.randbelow(10**9) if first is None else first
    failed = 0
    for seed in range(first, first + seeds):
        report, logs = anyio.run(_play, seed, seconds, members, runners)
        print(json.dumps(report), flush=True)
        if report["broken"]:
            failed += 1
            if keep:
                _keep(pathlib.Path(keep) / str(seed), logs)
    print(f"{seeds - failed} passed, {failed} failed")
    return failed


def _keep(folder, logs):
    folder.mkdir(parents=True, exist_ok=True)
    for name, data in logs.items():
        (folder / f"{name}.log").write_bytes(data)


if __name__ == "__main__":
    sys.exit(1 if fire.Fire(run, serialize=lambda value: None) else 0)
