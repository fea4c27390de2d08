"""Compares `Pool` with the naive reference on random events."""

import hypothesis
from hypothesis import strategies as st

from citrondeal import placement
from citrondeal.placement.tests import naive

CONFIG = placement.Config(
    reserve_after_s=1e9,
    max_preemptions=0,
    candidates=1000,
    kept_cores_per_accelerator=1.0,
    kept_memory_mb_per_accelerator=10.0,
)
SIZES = [(1, 10, 0), (2, 5, 0), (3, 40, 0), (1, 10, 1), (4, 60, 2)]
QUOTAS = {
    "a": placement.Quota(cores=12, weight=2.0),
    "b": placement.Quota(memory_mb=120),
}
OFFERS = st.tuples(
    st.just("offer"),
    st.sampled_from(SIZES),
    st.sampled_from(placement.PRIORITIES),
    st.sampled_from("abc"),
    st.integers(1, 10),
)
EVENTS = st.one_of(
    OFFERS,
    OFFERS,
    st.tuples(st.just("end"), st.integers(0, 1000)),
    st.tuples(st.just("end"), st.integers(0, 1000)),
    st.tuples(st.just("withdraw"), st.integers(0, 1000)),
    st.tuples(st.just("open"), st.integers(0, 5), st.booleans()),
)


class PoolPair:
    """A pool and the naive reference that get the same events."""

    def __init__(self, pool_class=placement.Pool):
        self.pool = pool_class(CONFIG)
        self.naive = naive.Pool(CONFIG)
        self.job_count = 0
        for number in range(6):
            accelerators = 2 if number < 2 else 0
            capacity = placement.capacity_of(4 + number, 100, accelerators)
            self.set_worker(number, capacity, True)
        self.pool.set_quotas(QUOTAS)
        self.naive.set_quotas(QUOTAS)

    def set_worker(self, number, capacity, schedulable):
        for pool in (self.pool, self.naive):
            pool.set_worker(
                f"w{number}", capacity, f"r{number % 2}", schedulable, 0.0
            )

    def apply(self, event):
        kind = event[0]
        if kind == "offer":
            _, size, priority, team, tasks = event
            self.job_count += 1
            spec = placement.JobSpec(
                job=f"j{self.job_count}",
                team=team,
                priority=priority,
                size=placement.size_of(*size),
            )
            for pool in (self.pool, self.naive):
                pool.offer(spec, list(range(tasks)), 0.0)
        elif kind == "end":
            keys = list(self.naive.running)
            if keys:
                worker, key = keys[event[1] % len(keys)]
                self.pool.release(worker, key)
                self.naive.release(worker, key)
        elif kind == "withdraw":
            if self.naive.waiting:
                entries = self.naive.waiting
                job = entries[event[1] % len(entries)][0].job
                self.pool.withdraw(job)
                self.naive.withdraw(job)
        else:
            capacity = self.naive.workers[f"w{event[1]}"]
            self.set_worker(event[1], capacity, event[2])
        self.compare()

    def compare(self):
        """Check each start of the pool against the naive reference."""
        for action in self.pool.place(0.0):
            entries = self.naive.startable_jobs()
            assert entries, f"{action}, but nothing can start"
            spec = entries[0][0]
            assert action.job == spec.job, f"{action}, but {spec.job} is next"
            feasible = self.naive.available_by_worker(spec)
            assert action.worker in feasible, f"{action} does not fit"
            best = min(self.naive.score(spec, n, feasible) for n in feasible)
            plain = [n for n in feasible if not self.naive.workers[n][2]]
            if plain and not spec.size[2]:
                assert action.worker in plain, (
                    f"{action} uses a worker with accelerators"
                )
                best = min(self.naive.score(spec, n, feasible) for n in plain)
            score = self.naive.score(spec, action.worker, feasible)
            assert abs(score - best) < 1e-9, (
                f"{action}: score {score}, best {best}"
            )
            started = self.naive.start(entries[0], action.worker)
            assert started == action
        left = self.naive.startable_jobs()
        assert not left, f"{left[0][0].job} fits but was not started"
        queued = sum(len(indices) for _, indices in self.naive.waiting)
        assert queued == self.pool.queued_tasks


def run(seed, max_examples, pool_class=placement.Pool):
    """Compare the pools on random sequences of events.

    Parameters
    ----------
    seed : int
        Seed of the sequences.
    max_examples : int
        Number of sequences.
    pool_class : type
        Class of the pool that is compared.

    Raises
    ------
    AssertionError
        If a decision or the length of the queue differs.
    """

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=max_examples,
        database=None,
        deadline=None,
        derandomize=True,
        print_blob=False,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(st.lists(EVENTS, min_size=20, max_size=45))
    def compare(events):
        pair = PoolPair(pool_class)
        for event in events:
            pair.apply(event)

    compare()
