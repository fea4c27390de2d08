"""Tasks in virtual time on workers, for the waits and shares of jobs."""

import heapq
import random
import statistics

from bench import _placement_inputs as inputs
from citrondeal import placement

TICK = 0.25  # virtual seconds between two decisions of the owner
EXCHANGE = 1.0  # longest virtual seconds until a worker gets a start
URGENT_AIM = 4.2  # seconds


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
        inputs.fill(pool, workers, accelerators=False)

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
        return used / (self.workers * inputs.WORKER[0] * 1000)


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def batch(rng, number, priority, low_s=30, high_s=120, **fields):
    """Return a batch job of even shape."""
    cores, memory_mb = inputs.size(rng, "even")
    values = {
        "job": f"j{number}",
        "priority": priority,
        "team": f"t{rng.randrange(35)}",
        "family": f"/batch/f{rng.randrange(40)}",
        "size": placement.size_of(cores, memory_mb, 0),
        "run_time_s": rng.uniform(low_s, high_s),
    }
    return placement.JobSpec(**(values | fields))


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


class BlindPool(placement.Pool):
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
        while pool.queued_tasks < 100:
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
