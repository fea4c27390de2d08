"""Runs the soak test of a cell with seeds; prints a JSON line for each.

Examples
--------
``python -m tools.soak --seeds 50 --seconds 20 --takeovers``
"""

import json
import pathlib
import random
import secrets
import sys

import anyio
import fire

from tools.soak import clients
from tools.soak import environment
from tools.soak import faults
from tools.soak import odd_entries as odd_writers
from tools.soak import takeovers as owner_faults

CLIENT_COUNT = 6
# From the end of the faults until all accepted jobs must be completed; leases
# of lost workers expire after 10 s, and only then do their tasks run again.
COMPLETION_TIMEOUT_S = 30.0
QUERY_CLIENT_COUNT = 4
# Submissions of ended jobs are deleted every 8 s; after that, the end of a
# job is known only from what the owner has stored.
DELETION_WAIT_S = 9.0
# From the last change of the owner until all members must name the state of
# each accepted job.
KNOWN_TIMEOUT_S = 14.0


async def _run_seed(
    seed, seconds, members, runners, with_takeovers, with_odd_entries
):
    rng = random.Random(seed)
    soak_environment = environment.SoakEnvironment(members, runners)
    injector = faults.Faults(
        soak_environment, random.Random(rng.getrandbits(64))
    )
    load_clients = clients.Clients(
        soak_environment, random.Random(rng.getrandbits(64))
    )
    owner_injector = owner_faults.Takeovers(
        soak_environment, random.Random(rng.getrandbits(64))
    )
    odd_writer = odd_writers.OddWriter(
        soak_environment, random.Random(f"odd entries {seed}")
    )
    query_seeds = [rng.getrandbits(64) for _ in range(QUERY_CLIENT_COUNT)]
    try:
        async with anyio.create_task_group() as task_group:
            await soak_environment.start(task_group)
            async with anyio.create_task_group() as running:
                end = anyio.current_time() + seconds
                for _ in range(CLIENT_COUNT):
                    running.start_soon(load_clients.submit_until, end)
                for query_seed in query_seeds:
                    running.start_soon(
                        load_clients.query_until,
                        end,
                        random.Random(query_seed),
                    )
                running.start_soon(injector.run, seconds)
                if with_takeovers:
                    running.start_soon(owner_injector.run, seconds)
                if with_odd_entries:
                    running.start_soon(odd_writer.run, seconds)
            await load_clients.wait_completed(COMPLETION_TIMEOUT_S)
            if with_takeovers:
                await anyio.sleep(DELETION_WAIT_S)
                await owner_injector.replace_owner()
                await load_clients.check_known(KNOWN_TIMEOUT_S)
            counts = await soak_environment.read_counts()
            task_group.cancel_scope.cancel()
        logs = soak_environment.read_logs()
    finally:
        soak_environment.stop()
    injected = injector.injected + owner_injector.injected
    injected += odd_writer.written
    return _build_report(seed, load_clients, counts, injected), logs


def _build_report(seed, load_clients, counts, injected):
    started = set(counts.pop("jobs"))
    violations = list(load_clients.violations)
    violations += [
        f"{job_id} ran although refused"
        for job_id in load_clients.refused & started
    ]
    violations += [
        f"{name}: {counts[name]}"
        for name in ("doubles", "after_end", "over")
        if counts[name]
    ]
    return {
        "seed": seed,
        "accepted": len(load_clients.accepted),
        "refused": len(load_clients.refused),
        "queries": load_clients.queries,
        "starts": counts["starts"],
        "faults": injected,
        "broken": violations,
    }


def run(
    seeds=1,
    first=None,
    seconds=20,
    members=3,
    runners=4,
    keep="",
    takeovers=False,
    odd_entries=False,
):
    """Run the soak test with consecutive seeds.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    first : int, optional
        First seed; random if it is not given.
    seconds : float
        Duration of load and faults of each seed, in seconds.
    members, runners : int
        Number of processes of the cell, and of runners of the stand-in.
    keep : str
        Folder for the logs of seeds with a violation; no logs if empty.
    takeovers : bool
        Whether to inject faults into the owner and the store's history too,
        and to query all jobs after a last change of the owner.
    odd_entries : bool
        Whether another writer leaves odd entries in the list of runners.

    Returns
    -------
    int
        Number of seeds with a violation.
    """
    first = secrets.randbelow(10**9) if first is None else first
    failed = 0
    for seed in range(first, first + seeds):
        report, logs = anyio.run(
            _run_seed,
            seed,
            seconds,
            members,
            runners,
            takeovers,
            odd_entries,
        )
        print(json.dumps(report), flush=True)
        if report["broken"]:
            failed += 1
            if keep:
                _write_logs(pathlib.Path(keep) / str(seed), logs)
    print(f"{seeds - failed} passed, {failed} failed")
    return failed


def _write_logs(folder, logs):
    folder.mkdir(parents=True, exist_ok=True)
    for name, data in logs.items():
        (folder / f"{name}.log").write_bytes(data)


if __name__ == "__main__":
    sys.exit(1 if fire.Fire(run, serialize=lambda value: None) else 0)
