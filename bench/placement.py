"""Measures the placement core; ``python -m bench.placement [SEED]``.

All waits are in virtual time; speed and memory are measured on the machine.
Baselines run on the same input in the same run.
"""

import json
import random
import sys
import time
import tracemalloc

from bench import _placement_inputs as inputs
from bench import _placement_simulation as simulation
from citrondeal import jobs
from citrondeal.jobs.tests import fakes
from citrondeal import placement
from citrondeal.placement.tests import naive


def speed(rng, workers, queued, starts=3000):
    """Return decisions/s and quantiles in ms of one decision."""
    # No preemption or reservation: they have their own line.
    config = placement.Config(
        max_starts=1, max_preemptions=0, reserve_after_s=1e9
    )
    pool = placement.Pool(config)
    inputs.fill(pool, workers)
    number = 0
    running = []

    def top_up(limit):
        nonlocal number
        while pool.queued_tasks < limit:
            number += 1
            work = inputs.work_of(rng, number)
            if pool.refusal(work, 1) is None:
                pool.offer(work, list(range(rng.randrange(1, 9))), 0.0)

    def one():
        begin = time.perf_counter()
        actions = pool.place(0.0)
        taken = time.perf_counter() - begin
        running.extend((a.worker, (a.job, a.index)) for a in actions)
        return len(actions), taken

    top_up(queued)
    while one()[0]:
        top_up(queued)
    times = []
    done = 0
    while done < starts:
        top_up(queued)
        for _ in range(min(16, len(running))):
            spot = rng.randrange(len(running))
            running[spot], running[-1] = running[-1], running[spot]
            pool.release(*running.pop())
        while True:
            count, taken = one()
            times.append(taken)
            done += count
            if not count:
                break
    times.sort()
    return {
        "workers": workers,
        "queued": queued,
        "decisions_per_s": round(done / sum(times)),
        "p50_ms": round(times[len(times) // 2] * 1e3, 3),
        "p99_ms": round(times[int(len(times) * 0.99)] * 1e3, 3),
        "max_ms": round(times[-1] * 1e3, 3),
    }


def stressed(rng, workers):
    """Return the p99 in ms of `place` with preemption and reservations."""
    pool = placement.Pool()
    inputs.fill(pool, workers)
    now = 0.0
    number = 0
    running = []
    times = []
    for round_ in range(150 + 4 * workers // 25):
        now += simulation.TICK
        while pool.queued_tasks < 2000:
            number += 1
            work = inputs.work_of(rng, number)
            if rng.random() < 0.1:
                work = inputs.work_of(rng, number, kind="gang")
            tasks = rng.randrange(1, 17)
            if pool.refusal(work, tasks) is None:
                pool.offer(work, list(range(tasks)), now)
        for _ in range(min(16, len(running))):
            pool.release(*running.pop(rng.randrange(len(running))))
        begin = time.perf_counter()
        actions = pool.place(now)
        times.append(time.perf_counter() - begin)
        for action in actions:
            if isinstance(action, placement.Start):
                running.append((action.worker, (action.job, action.index)))
            elif isinstance(action, placement.Preempt):
                if action.how == "stop":
                    pool.release(action.worker, action.key)
    times = sorted(times[workers // 4 :])
    return {
        "workers": workers,
        "call_p50_ms": round(times[len(times) // 2] * 1e3, 2),
        "call_p99_ms": round(times[int(len(times) * 0.99)] * 1e3, 2),
        "starts_per_call_limit": placement.Config().max_starts,
    }


def slope(rows, key):
    """Return the ratio of the times per decision to the ratio of sizes."""
    first, last = rows[0], rows[-1]
    times = first["decisions_per_s"] / last["decisions_per_s"]
    return round(times / (last[key] / first[key]), 3)


def packing(rng, kind, workers=60):
    """Return the share of the demand that each score places.

    Tasks arrive one by one until the demand in one dimension is 2 % above
    the capacity; a task that does not fit is left out.
    """
    cores = workers * inputs.WORKER[0] * 1000
    memory = workers * inputs.WORKER[1]
    demand = []
    total = (0, 0)
    while max(total[0] / cores, total[1] / memory) < 1.02:
        work = placement.JobSpec(
            job=f"j{len(demand)}",
            size=placement.size_of(*inputs.size(rng, kind), 0),
            run_time_s=60,
        )
        demand.append(work)
        total = (total[0] + work.size[0], total[1] + work.size[1])
    bound = min(1.0, cores / total[0], memory / total[1])
    result = {"tasks": len(demand), "bound": round(bound, 4)}
    variants = {
        "best": {},
        "best_all": {"candidates": 10_000},
        "dot": {"score": "dot", "candidates": 10_000},
        "first": {"score": "first", "candidates": 10_000},
    }
    for name, fields in variants.items():
        config = placement.Config(
            max_starts=10_000,
            max_tries=10_000,
            scan_depth=10_000,
            reserve_after_s=1e9,
            **fields,
        )
        pool = placement.Pool(config)
        inputs.fill(pool, workers, accelerators=False)
        placed = 0
        # Online: each job is decided before the next one is known.
        for work in demand:
            pool.offer(work, [0], 0.0)
            if pool.place(0.0):
                placed += work.size[0] / total[0] + work.size[1] / total[1]
            else:
                pool.withdraw(work.job)
        result[name] = round(placed / 2, 4)
    result["best_to_first"] = round(result["best"] / result["first"], 4)
    result["best_to_bound"] = round(result["best"] / bound, 4)
    return result


def memory(rng):
    """Return bytes per worker, per waiting task and per job in the book."""

    def measure(build, count):
        tracemalloc.start()
        kept = build()
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        return round(used / count)

    def workers():
        pool = placement.Pool()
        inputs.fill(pool, 810)
        return pool

    def tasks(jobs_, each):
        pool = placement.Pool()
        for number in range(jobs_):
            work = inputs.work_of(rng, number)
            pool.offer(work, list(range(each)), 0.0)
        return pool

    def running():
        pool = placement.Pool()
        pool.set_worker("w", placement.capacity_of(1e6, 1e9, 0), "r", True, 0)
        for number in range(2900):
            work = placement.JobSpec(job=f"j{number}", size=(1, 1, 0))
            pool.allot("w", (work.job, 0), work.size, work, 0.0)
        return pool

    def book():
        result = jobs.JobTable()
        for number in range(4000):
            job = {"id": f"j{number}", "path": f"/batch/f{number % 40}"}
            job |= {"tasks": 4, "cores": 2, "command": ["run", str(number)]}
            result.apply(number, {"kind": "submit", "job": job})
        return result

    return {
        "worker_bytes": measure(workers, 810),
        "waiting_job_bytes": measure(lambda: tasks(3000, 1), 3000),
        "waiting_task_bytes": measure(lambda: tasks(30, 500), 15_000),
        "running_task_bytes": measure(running, 2900),
        "book_job_bytes": measure(book, 4000),
    }


def owner(rng, ends_per_s, workers=203, tasks=2900, seconds=30):
    """Return the cost of the owner's view at the size of one zone.

    Four ticks per second and exchanges when they are due; the part
    `ends_per_s` of the tasks ends and is replaced per second.
    """
    fleet = [
        fakes.Worker(f"w{n}", offset=1000.0 * n, cores=32, rack=f"r{n // 8}")
        for n in range(workers)
    ]
    scheduler = fakes.Scheduler(fakes.Log())
    view = scheduler.owner
    view.on_workers([worker.info() for worker in fleet], 0.0)
    view.on_gained(1, float("-inf"), 0.0)
    now = 0.0
    number = 0
    open_tasks = 0
    used = 0.0
    sent = received = 0
    for second in range(seconds + 10):
        now = float(second)
        while open_tasks < tasks:
            number += 1
            record = fakes.submit(f"j{number}", tasks=10, run_time_s=100)
            scheduler.log.append(record)
            open_tasks += 10
        measured = second >= 10
        for quarter in range(4):
            now = second + quarter / 4
            begin = time.perf_counter()
            scheduler.follow(now)
            for action in view.tick(now, now + 4):
                scheduler.log.append(action.record)
            used += (time.perf_counter() - begin) * measured
        begin = time.perf_counter()
        due = set(view.due_workers(now))
        used += (time.perf_counter() - begin) * measured
        for worker in fleet:
            if worker.name not in due:
                continue
            begin = time.perf_counter()
            request = view.sync_request(worker.name, now, now + 4)
            used += (time.perf_counter() - begin) * measured
            reply = worker.sync(request, now)
            if measured:
                sent += len(json.dumps(request))
                received += len(json.dumps(reply))
            begin = time.perf_counter()
            view.on_reply(worker.name, reply, now, now)
            used += (time.perf_counter() - begin) * measured
        for worker in fleet:
            for task in worker.running(now):
                if rng.random() < ends_per_s:
                    worker.end(task["task"], "finished")
                    open_tasks -= 1
    running = sum(len(worker.running(now)) for worker in fleet)
    return {
        "workers": workers,
        "running": running,
        "core_share": round(used / seconds, 4),
        "sent_bytes_per_s": round(sent / seconds),
        "received_bytes_per_s": round(received / seconds),
    }


def cancels(rng):
    """Return microseconds per `withdraw` at two lengths of the queue."""
    result = {}
    for count in (150, 15_000):
        pool = placement.Pool()
        inputs.fill(pool, 100)
        for number in range(count):
            pool.offer(inputs.work_of(rng, number), [0], 0.0)
        begin = time.perf_counter()
        for number in range(100):
            pool.withdraw(f"j{number}")
        taken = time.perf_counter() - begin
        result[f"{count}_queued_us"] = round(taken * 1e4, 2)
    return result


def run(seed):
    """Measure everything.

    Parameters
    ----------
    seed : int
        Seed of all random inputs.

    Returns
    -------
    dict
        JSON-ready.
    """
    rng = random.Random(seed)
    by_workers = [speed(rng, count, 1000) for count in (25, 100, 400, 810)]
    by_queue = [speed(rng, 100, count) for count in (150, 1500, 15_000)]
    fifo = naive.Pool(fifo=True, first_fit=True)
    strict = placement.Config(
        share_urgent=1.0, share_normal=0.0, share_low=0.0
    )
    hole = simulation.black_hole(seed, placement.Pool())
    blind = simulation.black_hole(seed, simulation.BlindPool())
    ours = simulation.urgent_wait(seed, placement.Pool())
    theirs = simulation.urgent_wait(seed, fifo)
    return {
        "seed": seed,
        "speed_by_workers": by_workers,
        "slope_workers": slope(by_workers, "workers"),
        "speed_by_queue": by_queue,
        "slope_queue": slope(by_queue, "queued"),
        "stressed": [stressed(rng, count) for count in (25, 203, 810)],
        "packing": {kind: packing(rng, kind) for kind in ("even", "mixed")},
        "urgent_wait": ours,
        "urgent_wait_fifo": theirs,
        "urgent_mean_to_fifo": round(ours["mean_s"] / theirs["mean_s"], 4),
        "urgent_flood": simulation.urgent_flood(seed, placement.Pool()),
        "urgent_flood_strict": simulation.urgent_flood(
            seed, placement.Pool(strict)
        ),
        "black_hole": hole,
        "black_hole_blind": blind,
        "wasted_to_blind": round(
            hole["wasted_share"] / blind["wasted_share"], 4
        ),
        "owner": {
            f"{rate}_ends_per_s": owner(rng, rate) for rate in (0.0002, 0.01)
        },
        "memory": memory(rng),
        "cancel": cancels(rng),
    }


def main():
    """Print the result as JSON."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(json.dumps(run(seed), indent=1))


if __name__ == "__main__":
    main()
