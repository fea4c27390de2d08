"""Random faults for two schedulers and three workers, in virtual time.

`run` is also called by ``tools.run_faults``.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from citrondeal import jobs
from citrondeal.jobs.tests import world as worlds
from citrondeal import placement

KINDS = ("batch", "batch", "once", "gang", "service")


class Machine(stateful.RuleBasedStateMachine):
    """Rules that apply faults; the guarantees are checked after each."""

    world_class = worlds.World
    owner_class = jobs.PoolOwner
    relative_lease = False

    def __init__(self):
        super().__init__()
        self.world = self.world_class(self.owner_class, self.relative_lease)

    @stateful.rule(
        kind=st.sampled_from(KINDS),
        tasks=st.integers(1, 4),
        cores=st.sampled_from([1, 2, 3]),
        priority=st.sampled_from(placement.PRIORITIES),
    )
    def submit(self, kind, tasks, cores, priority):
        if len(self.world.holder.owner.job_table.open_jobs) < 8:
            self.world.submit(kind, tasks, cores, priority)

    @stateful.rule(tasks=st.integers(1, 2), cores=st.sampled_from([1, 3]))
    def submit_deadly(self, tasks, cores):
        """Submit a job whose tasks crash each worker that starts them."""
        if len(self.world.holder.owner.job_table.open_jobs) < 8:
            self.world.submit("deadly", tasks, cores, "normal")

    @stateful.rule(number=st.integers(0, 7))
    def cancel(self, number):
        ids = self.world.job_ids()
        if ids:
            job = ids[number % len(ids)]
            self.world.log.append({"kind": "cancel", "job": job})

    @stateful.rule(
        deliveries=st.tuples(*[st.sampled_from(worlds.DELIVERIES)] * 3),
        seconds=st.sampled_from([0.2, 1.0, 1.0, 3.0]),
    )
    def cycle(self, deliveries, seconds, delay=False):
        world = self.world
        world.advance(seconds)
        for scheduler in world.schedulers:
            if scheduler.paused:
                continue
            world.decide(scheduler, delay)
            for worker, delivery in zip(
                world.workers, deliveries, strict=True
            ):
                if worker.name in world.listed:
                    world.send(scheduler, worker, delivery)
                    world.check()

    @stateful.rule(rounds=st.integers(2, 12))
    def work_without_faults(self, rounds):
        for _ in range(rounds):
            self.cycle(("ok",) * 3, 1.0)

    @stateful.rule(worker=st.integers(0, 2), seconds=st.integers(5, 40))
    def partition(self, worker, seconds):
        deliveries = ["ok"] * 3
        deliveries[worker] = "drop"
        for _ in range(seconds):
            self.cycle(deliveries, 1.0)

    @stateful.rule(which=st.integers(0, 9))
    def deliver_late(self, which):
        world = self.world
        if world.late_requests:
            worker, request, sent_at = world.late_requests.pop(
                which % len(world.late_requests)
            )
            world.deliver(worker, request, sent_at)

    @stateful.rule()
    def append_late(self):
        world = self.world
        if world.late_appends:
            world.log.append(world.late_appends.pop())

    @stateful.rule(
        worker=st.integers(0, 2),
        number=st.integers(0, 3),
        state=st.sampled_from(["finished", "failed"]),
    )
    def end_task(self, worker, number, state):
        world = self.world
        running = world.workers[worker].running(world.now)
        if running:
            task = running[number % len(running)]["task"]
            world.workers[worker].end(task, state)

    @stateful.rule(worker=st.integers(0, 2))
    def reboot(self, worker):
        self.world.reboot(self.world.workers[worker])

    @stateful.rule(worker=st.integers(0, 2), leaving=st.booleans())
    def leave(self, worker, leaving):
        self.world.workers[worker].leaving = leaving
        self.world.publish()
        self.cycle(("ok",) * 3, 0.2)

    @stateful.rule(worker=st.integers(0, 2))
    def list_or_unlist(self, worker):
        world = self.world
        world.listed ^= {world.workers[worker].name}
        world.publish()

    @stateful.rule(
        resumed=st.booleans(),
        slack=st.sampled_from([0.0, 0.3, None]),
        deliveries=st.tuples(*[st.sampled_from(worlds.DELIVERIES)] * 3),
        kind=st.sampled_from(KINDS),
        cores=st.sampled_from([1, 3]),
        reboot=st.integers(0, 5),
        cut_worker=st.integers(0, 5),
        rounds=st.sampled_from([0, 2, 35]),
    )
    def pause_and_take_over(
        self,
        resumed,
        slack,
        deliveries,
        kind,
        cores,
        reboot,
        cut_worker,
        rounds,
    ):
        """The holder pauses and is replaced; its messages arrive late.

        `reboot` and `cut_worker` are the numbers of a worker that restarts
        and of one that is cut off, or above 2 for none.
        """
        world = self.world
        old = world.holder
        self.submit(kind, 2, cores, "normal")
        world.decide(old)
        if not old.paused:
            for worker, delivery in zip(
                world.workers, deliveries, strict=True
            ):
                if worker.name in world.listed:
                    world.send(old, worker, delivery)
        old.paused = True
        new = world.schedulers[1 - world.schedulers.index(old)]
        new.paused = False
        world.report_lost()
        world.take_over(world.schedulers.index(new), slack)
        if reboot < 3:
            world.reboot(world.workers[reboot])
        self.submit("batch", 4, cores, "normal")
        old.paused = not resumed
        deliveries = ["drop" if n == cut_worker else "ok" for n in range(3)]
        for _ in range(rounds + 1):
            self.cycle(deliveries, 1.0)
        self.deliver_all()

    @stateful.rule(
        deliveries=st.tuples(*[st.sampled_from(worlds.DELIVERIES)] * 3),
        rounds=st.integers(0, 3),
        cores=st.integers(1, 3),
    )
    def late_messages(self, deliveries, rounds, cores):
        """Messages arrive after those of later exchanges."""
        self.submit("batch", 4, cores, "normal")
        self.cycle(deliveries, 1.0)
        for _ in range(rounds):
            self.cycle(("ok",) * 3, 0.9)
        self.deliver_all()

    def deliver_all(self):
        world = self.world
        while world.late_requests:
            world.deliver(*world.late_requests.pop(0))
            world.check()

    @stateful.rule(worker=st.integers(0, 2), rounds=st.integers(1, 6))
    def log_outage(self, worker, rounds):
        """Appends take effect only after the outage, in another order."""
        self.end_task(worker, 0, "finished")
        for _ in range(rounds):
            self.cycle(("ok",) * 3, 1.0, delay=True)

    @stateful.rule()
    def resume(self):
        for scheduler in self.world.schedulers:
            scheduler.paused = False

    @stateful.rule()
    def lapse_validity(self):
        """The holder's validity ends, and it renews the ownership itself."""
        world = self.world
        world.now = max(world.now, world.holder.valid_until + 0.5)
        world.regain()

    @stateful.rule()
    def notice_loss(self):
        self.world.report_lost()

    @stateful.invariant()
    def guarantees(self):
        self.world.check()

    def teardown(self):
        self.world.end_faults()


def run(seed, max_examples, machine=Machine, steps=40):
    """Run the machine with random rules.

    Parameters
    ----------
    seed : int
        Seed of the generated examples.
    max_examples : int
        Number of examples.
    machine : type, optional
        The machine, or one with a fault from `mutations`.
    steps : int, optional
        Rules per example.

    Raises
    ------
    AssertionError
        If a guarantee is violated.
    """
    seeded = hypothesis.seed(seed)(type("Seeded", (machine,), {}))
    stateful.run_state_machine_as_test(
        seeded,
        settings=hypothesis.settings(
            max_examples=max_examples,
            stateful_step_count=steps,
            database=None,
            deadline=None,
            derandomize=True,
            print_blob=False,
            report_multiple_bugs=False,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
