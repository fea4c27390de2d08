"""Measures the placement core; ``python -m bench.placement [SEED]``.

All waits are in virtual time; speed and memory are measured on the machine.
Baselines run on the same input in the same run.
"""

import heapq
import json
import random
import statistics
import sys
import time
import tracemalloc

from citrondeal import jobs
from citrondeal.jobs.tests import fakes
from citrondeal import placement
from citrondeal.placement.tests import naive

WORKER = (32, 128_000)  # cores and MB, see the design page
ACCELERATORS = 820  # on 810 workers, eight on one
TICK = 0.25  # virtual seconds between two decisions of the owner
EXCHANGE = 1.0  # longest virtual seconds until a worker gets a start
URGENT_AIM = 4.2  # seconds


def fill(pool, count, accelerators=True):
    """Add `count` workers in racks of eight."""
    special = round(ACCELERATORS / 8 * count / 810) if accelerators else 0
    for number in range(count):
        own = 0
        if number < special:
            own = 4 if number == special - 1 and count == 810 else 8
        capacity = placement.capacity_of(*WORKER, own)
        pool.set_worker(
            f"w{number:04}", capacity, f"r{number // 8}", True, 0.0
        )


def size(rng, kind="mixed"):
    """Return the request of one task, in cores and MB per task."""
    if kind == "even":
        cores = rng.choice((1, 2, 4, 8))
        return cores, cores * 4000
    shape = rng.random()
    if shape < 0.4:
        return rng.choice((2, 4, 6, 10)), rng.choice((1000, 4000))
    if shape < 0.7:
        return rng.choice((0.5, 1, 2)), rng.choice((16000, 30000, 44000))
    return rng.choice((1, 3, 5)), rng.choice((4000, 12000, 20000))


def work_of(rng, number, kind="mixed", **fields):
    """Return a random job."""
    cores, memory_mb = size(rng, kind)
    accelerators = 0
    if kind == "mixed" and rng.random() < 0.05:
        accelerators = rng.choice((1, 1, 2, 4))
    values = {
        "job": f"j{number}",
        "family": f"/batch/f{rng.randrange(40)}",
        "team": f"t{rng.randrange(35)}",
        "priority": rng.choices(placement.PRIORITIES, (1, 6, 3))[0],
        "kind": "service" if rng.random() < 0.2 else "batch",
        "size": placement.size_of(cores, memory_mb, accelerators),
        "run_time_s": rng.uniform(10, 600),
    }
    return placement.Work(**(values | fields))


def speed(rng, workers, queued, starts=3000):
    """Return decisions/s and quantiles in ms of one decision."""
    # No preemption or reservation: they have their own line.
    config = placement.Config(
        max_starts=1, max_preemptions=0, reserve_after_s=1e9
    )
    pool = placement.Pool(config)
    fill(pool, workers)
    number = 0
    running = []

    def top_up(limit):
        nonlocal number
        while pool.queued < limit:
            number += 1
            work = work_of(rng, number)
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
    fill(pool, workers)
    now = 0.0
    number = 0
    running = []
    times = []
    for round_ in range(150 + 4 * workers // 25):
        now += TICK
        while pool.queued < 2000:
            number += 1
            work = work_of(rng, number)
            if rng.random() < 0.1:
                work = work_of(rng, number, kind="gang")
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
    cores = workers * WORKER[0] * 1000
    memory = workers * WORKER[1]
    demand = []
    total = (0, 0)
    while max(total[0] / cores, total[1] / memory) < 1.02:
        work = placement.Work(
            job=f"j{len(demand)}",
            size=placement.size_of(*size(rng, kind), 0),
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
        fill(pool, workers, accelerators=False)
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


class Simulation:
    """Runs tasks in virtual time on workers that do as they are told.

    It has its own random numbers, so that the jobs do not depend on what
    the pool decides.
    """

    def __init__(self, pool, rng, workers):
        self.pool = pool
        self.rng = rng
        self.workers = workers
        self.now = 0.0
        self.ends = []
        # (worker, key) -> (serial number of its end, ignores checkpoints).
        self.running = {}
        self.works = {}
        self.arrivals = {}
        self.waits = {name: [] for name in placement.PRIORITIES}
        self.starts = 0
        self.wasted = 0
        self.serial = 0
        # Worker on which every task fails, and from which time on.
        self.black_hole = (None, 0.0)
        fill(pool, workers, accelerators=False)

    def offer(self, work, tasks):
        self.works[work.job] = work
        self.arrivals[work.job] = self.now
        self.pool.offer(work, list(range(tasks)), self.now)

    def step(self):
        """Advance by one tick."""
        self.now += TICK
        while self.ends and self.ends[0][0] <= self.now:
            _, serial, worker, key, how = heapq.heappop(self.ends)
            if self.running.get((worker, key), (None,))[0] != serial:
                continue
            if how != "preempted" and hasattr(self.pool, "record_outcome"):
                succeeded = how == "finished"
                self.pool.record_outcome(worker, key, succeeded, self.now)
            del self.running[worker, key]
            self.pool.release(worker, key)
            if how == "failed":
                self.wasted += 1
                work = self.works[key[0]]
                self.pool.offer(work, [key[1]], self.now, (worker,))
            elif how == "preempted":
                self.pool.offer(self.works[key[0]], [key[1]], self.now)
        while True:
            actions = self.pool.place(self.now)
            for action in actions:
                if isinstance(action, placement.Preempt):
                    self.preempt(action)
                elif isinstance(action, placement.Start):
                    self.start(action)
            if not any(isinstance(a, placement.Start) for a in actions):
                break

    def schedule(self, spot, due, how, deaf):
        self.serial += 1
        self.running[spot] = (self.serial, deaf)
        heapq.heappush(self.ends, (due, self.serial, *spot, how))

    def start(self, action):
        work = self.works[action.job]
        delay = self.rng.uniform(0, EXCHANGE)
        wait = self.now - self.arrivals[action.job] + delay
        self.waits[work.priority].append(wait)
        self.starts += 1
        how = "finished"
        due = self.now + delay + work.run_time_s * self.rng.uniform(0.5, 1.5)
        name, since = self.black_hole
        if action.worker == name and self.now >= since:
            # The end is seen in the exchange after the start.
            how = "failed"
            due = self.now + delay + EXCHANGE
        spot = (action.worker, (action.job, action.index))
        self.schedule(spot, due, how, self.rng.random() < 0.3)

    def preempt(self, action):
        spot = (action.worker, action.key)
        if spot not in self.running:
            return
        deaf = self.running[spot][1]
        if action.how == "stop" or (action.how == "checkpoint" and not deaf):
            # The order waits for an exchange, the next one shows the end.
            delay = self.rng.uniform(0, EXCHANGE) + 0.2
            self.schedule(spot, self.now + delay, "preempted", True)

    def share(self, priority):
        """Return the part of all cores that a priority uses."""
        used = sum(
            self.works[key[0]].size[0]
            for _, key in self.running
            if self.works[key[0]].priority == priority
        )
        return used / (self.workers * WORKER[0] * 1000)


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def batch(rng, number, priority, low_s=30, high_s=120, **fields):
    """Return a batch job of even shape."""
    cores, memory_mb = size(rng, "even")
    values = {
        "job": f"j{number}",
        "priority": priority,
        "team": f"t{rng.randrange(35)}",
        "family": f"/batch/f{rng.randrange(40)}",
        "size": placement.size_of(cores, memory_mb, 0),
        "run_time_s": rng.uniform(low_s, high_s),
    }
    return placement.Work(**(values | fields))


def urgent_wait(seed, pool):
    """Return the waits of urgent tasks in a flood of batch, in seconds."""
    rng = random.Random(seed)
    sim = Simulation(pool, random.Random(seed + 1), 20)
    number = 0
    urgent = 0
    while sim.now < 300:
        # The backlog takes about 150 s, so that FIFO gets to urgent tasks.
        if sim.now < 8:
            for _ in range(4):
                number += 1
                priority = rng.choice(("normal", "low"))
                sim.offer(batch(rng, number, priority), 4)
        if 10 < sim.now < 120 and round(sim.now / TICK) % 12 == 0:
            number += 1
            tasks = rng.randrange(1, 9)
            urgent += tasks
            work = batch(
                rng,
                number,
                "urgent",
                size=placement.size_of(2, 8000, 0),
                run_time_s=20,
            )
            sim.offer(work, tasks)
        sim.step()
    waits = sim.waits["urgent"]
    result = {"tasks": urgent, "started": len(waits)}
    if waits:
        result["mean_s"] = round(statistics.mean(waits), 2)
        result["p99_s"] = round(quantile(waits, 0.99), 2)
        result["max_s"] = round(max(waits), 2)
        late = sum(wait > URGENT_AIM for wait in waits)
        result["over_4.2_s"] = late
    if hasattr(pool, "dump"):
        result["preemptions"] = pool.dump()["counts"].get("preemptions", 0)
    return result


def urgent_flood(seed, pool):
    """Return the share of the cores per priority in a flood of urgent."""
    rng = random.Random(seed)
    sim = Simulation(pool, random.Random(seed + 1), 20)
    number = 0
    shares = {name: [] for name in placement.PRIORITIES}
    backlog = dict.fromkeys(placement.PRIORITIES, 0)
    while sim.now < 600:
        for priority in placement.PRIORITIES:
            if priority == "urgent" and sim.now < 60:
                continue
            while backlog[priority] < len(sim.waits[priority]) + 200:
                number += 1
                sim.offer(batch(rng, number, priority), 4)
                backlog[priority] += 4
        sim.step()
        if sim.now > 300:
            for priority, values in shares.items():
                values.append(sim.share(priority))
    return {
        name: round(statistics.mean(values), 3)
        for name, values in shares.items()
    }


class _Blind(placement.Pool):
    """Takes no note of failures."""

    def record_outcome(self, worker, key, succeeded, now):
        pass


def black_hole(seed, pool):
    """Return the part of the starts wasted on a failing worker."""
    rng = random.Random(seed)
    sim = Simulation(pool, random.Random(seed + 1), 50)
    sim.black_hole = ("w0007", 60.0)
    number = 0
    before = 0
    while sim.now < 900:
        while pool.queued < 100:
            number += 1
            priority = rng.choices(placement.PRIORITIES, (1, 6, 3))[0]
            sim.offer(batch(rng, number, priority, 20, 60), 4)
        sim.step()
        if sim.now <= 60:
            before = sim.starts
    starts = sim.starts - before
    return {
        "starts": starts,
        "wasted": sim.wasted,
        "wasted_share": round(sim.wasted / starts, 5),
    }


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
        fill(pool, 810)
        return pool

    def tasks(jobs_, each):
        pool = placement.Pool()
        for number in range(jobs_):
            work = work_of(rng, number)
            pool.offer(work, list(range(each)), 0.0)
        return pool

    def running():
        pool = placement.Pool()
        pool.set_worker("w", placement.capacity_of(1e6, 1e9, 0), "r", True, 0)
        for number in range(2900):
            work = placement.Work(job=f"j{number}", size=(1, 1, 0))
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
        fill(pool, 100)
        for number in range(count):
            pool.offer(work_of(rng, number), [0], 0.0)
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
    fifo = naive.Pool(fifo=True, first=True)
    strict = placement.Config(
        share_urgent=1.0, share_normal=0.0, share_low=0.0
    )
    hole = black_hole(seed, placement.Pool())
    blind = black_hole(seed, _Blind())
    ours = urgent_wait(seed, placement.Pool())
    theirs = urgent_wait(seed, fifo)
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
        "urgent_flood": urgent_flood(seed, placement.Pool()),
        "urgent_flood_strict": urgent_flood(seed, placement.Pool(strict)),
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
