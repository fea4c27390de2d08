"""Steps for the placement core, and pools with deliberate faults."""

from behave import given
from behave import then
from behave import when

from citrondeal import placement
from citrondeal.placement import _index
from citrondeal.placement.tests import differential

WORKER_MB_PER_CORE = 1000
TASK_MB_PER_CORE = 100


class QuotasIgnored(placement.Pool):
    def _within_quota(self, team, size):
        return True


class SharesIgnored(placement.Pool):
    def _priority_order(self):
        return [name for name in placement.PRIORITIES if self._queues[name]]


class TeamsReversed(placement.Pool):
    def _update_usage(self, spec, size, sign):
        super()._update_usage(spec, size, sign)
        if spec is not None and spec.team in self._team_load:
            self._team_load[spec.team] *= -1


class MemoryIgnored(placement.Pool):
    def _search_index(self, spec, avoid):
        groups = (
            self._index.without_accelerators,
            self._index.with_accelerators,
        )
        for entry in groups[0].by_cores + groups[1].by_cores:
            if spec.size[0] <= entry[0]:
                return entry[2]
        return None


class ReleaseNotNoticed(placement.Pool):
    def release(self, worker, key):
        version = self._capacity_version
        super().release(worker, key)
        self._capacity_version = version


class FirstWorkerTaken(placement.Pool):
    def _search_index(self, spec, avoid):
        for name in sorted(self._workers):
            worker = self._workers[name]
            available = _index.available_to(worker, spec.size, self._config)
            if worker.schedulable and all(
                part <= left
                for part, left in zip(spec.size, available, strict=True)
            ):
                return worker
        return None


FAULTS = {
    "quotas ignored": QuotasIgnored,
    "shares ignored": SharesIgnored,
    "teams reversed": TeamsReversed,
    "memory ignored": MemoryIgnored,
    "release not noticed": ReleaseNotNoticed,
    "first worker taken": FirstWorkerTaken,
}


@then(
    "placement agrees with the naive scan in {count:d} examples"
    " of seed {seed:d}"
)
def agrees(context, count, seed):
    differential.run(seed, count)


@then('placement with "{fault}" differs from the naive scan')
def differs(context, fault):
    try:
        differential.run(1, 100, FAULTS[fault])
    except AssertionError:
        return
    raise AssertionError(f"the fault {fault!r} was not detected")


@given("placement {count:d} workers of {cores:d} cores in {racks:d} racks")
def workers(context, count, cores, racks):
    context.pool = placement.Pool()
    context.now = 0.0
    context.running = {}
    context.preempted = []
    context.specs = {}
    context.racks = {}
    context.capacity = {}
    context.failing_workers = set()
    context.failing_families = set()
    context.starts = 0
    context.failures = 0
    for number in range(count):
        add_worker(context, f"w{number}", cores, 0, f"r{number % racks}")


def add_worker(context, name, cores, accelerators, rack):
    capacity = placement.capacity_of(
        cores, cores * WORKER_MB_PER_CORE, accelerators
    )
    context.racks[name] = rack
    context.capacity[name] = capacity
    context.pool.set_worker(name, capacity, rack, True, context.now)


@given(
    'placement worker "{name}" of {cores:d} cores with {count:d} accelerators'
)
def accelerator_worker(context, name, cores, count):
    add_worker(context, name, cores, count, "r0")


@given('placement team "{team}" has a quota of {cores:d} cores')
def quota(context, team, cores):
    context.pool.set_quotas({team: placement.Quota(cores=cores)})


def place(context):
    """Call `place` until nothing starts, then check every capacity."""
    context.preempted = []
    while True:
        actions = context.pool.place(context.now)
        starts = [a for a in actions if isinstance(a, placement.Start)]
        for action in starts:
            key = (action.job, action.index)
            assert key not in context.running
            context.running[key] = action.worker
            context.starts += 1
        context.preempted += [
            a for a in actions if isinstance(a, placement.Preempt)
        ]
        if not starts:
            break
    for name, capacity in context.capacity.items():
        for part in range(3):
            used = sum(
                context.specs[job].size[part]
                for (job, _), worker in context.running.items()
                if worker == name
            )
            assert used <= capacity[part], (
                f"{name}: {used} of {capacity[part]}"
            )


def offer(context, job, count, cores, **fields):
    values = {"job": job, "family": "/" + job, "run_time_s": 300.0}
    size = placement.size_of(
        cores, cores * TASK_MB_PER_CORE, fields.pop("accelerators", 0)
    )
    context.specs[job] = placement.JobSpec(
        **(values | {"size": size} | fields)
    )
    context.pool.offer(context.specs[job], list(range(count)), context.now)


@when('placement {kind} "{job}" asks for {count:d} tasks of {cores:d} cores')
def ask(context, kind, job, count, cores):
    words = kind.split()
    priority = words[0] if len(words) > 1 else "normal"
    offer(context, job, count, cores, kind=words[-1], priority=priority)
    place(context)


@when(
    'placement batch "{job}" asks for {count:d} tasks of {cores:d} cores'
    " for {run_s:d} s"
)
def ask_for_time(context, job, count, cores, run_s):
    offer(context, job, count, cores, run_time_s=run_s)
    place(context)


@when(
    'placement batch "{job}" asks for {count:d} tasks of {cores:d} cores'
    " and {accelerators:d} accelerators"
)
def ask_accelerators(context, job, count, cores, accelerators):
    offer(context, job, count, cores, accelerators=accelerators)
    place(context)


@when("placement {seconds:g} s pass")
def time_passes(context, seconds):
    context.now += seconds
    place(context)


def end_task(context, key):
    context.pool.release(context.running.pop(key), key)


@when('placement {count:d} tasks of "{job}" end')
def tasks_end(context, count, job):
    keys = [key for key in context.running if key[0] == job][:count]
    assert len(keys) == count
    for key in keys:
        end_task(context, key)
    place(context)


@when("placement {count:d} preempted tasks end")
def preempted_end(context, count):
    assert len(context.preempted) == count
    for action in context.preempted:
        end_task(context, action.key)
    place(context)


@when("placement {count:d} tasks of any job end one by one")
def any_end(context, count):
    for number in range(count):
        keys = sorted(context.running)
        end_task(context, keys[number * 7919 % len(keys)])
        place(context)


@when("placement every worker is removed and added again")
def workers_added_again(context):
    context.running.clear()
    for name in context.capacity:
        context.pool.remove_worker(name)
    for name, capacity in context.capacity.items():
        rack = context.racks[name]
        context.pool.set_worker(name, capacity, rack, True, context.now)


@when("placement everything urgent is withdrawn")
def withdraw_urgent(context):
    context.pool.withdraw("u")
    for key in [key for key in context.running if key[0] == "u"]:
        end_task(context, key)
    place(context)


@given('placement worker "{name}" fails every task')
def worker_fails(context, name):
    context.failing_workers.add(name)


@given('placement family "{family}" fails everywhere')
def family_fails(context, family):
    context.failing_families.add(family)


@when('placement worker "{name}" works again')
def worker_works(context, name):
    context.failing_workers.discard(name)


@when("placement {rounds:d} rounds of jobs of {families:d} families run")
def rounds_run(context, rounds, families):
    """Run jobs whose tasks fail in one round or succeed after five."""
    context.started_round = {}
    for number in range(rounds):
        context.now += 1.0
        for offset in range(5):
            serial = number * 5 + offset
            job = f"{context.now:g}-{offset}"
            family = f"/f{serial % families}"
            offer(context, job, 2, 1, family=family)
        before = set(context.running)
        place(context)
        for key in context.running:
            if key not in before:
                context.started_round[key] = number
        for key, worker in list(context.running.items()):
            failed = worker in context.failing_workers
            failed |= context.specs[key[0]].family in context.failing_families
            if failed or number - context.started_round.get(key, -9) >= 5:
                context.pool.record_outcome(
                    worker, key, not failed, context.now
                )
                end_task(context, key)
                context.failures += failed


@when('placement "{job}" uses {excess:d} MB more than it requested')
def uses_more(context, job, excess):
    context.now += 10
    size = context.specs[job].size
    usage = {"cores": 1, "memory_mb": size[1] + excess, "lag_s": 2.0}
    key = (job, 0)
    worker = context.running[key]
    context.pool.report_usage(worker, key, usage, context.now)
    assert context.pool.dump()["over_request"] == ["/" + job]


def count_of(context, job):
    return sum(1 for key in context.running if key[0] == job)


@then('placement "{job}" runs {count:d} tasks')
def runs(context, job, count):
    assert count_of(context, job) == count, count_of(context, job)


@then('placement "{job}" runs at least {count:d} tasks')
def runs_at_least(context, job, count):
    assert count_of(context, job) >= count, count_of(context, job)


@then("placement {count:d} tasks run in all")
def run_in_all(context, count):
    assert len(context.running) == count, len(context.running)


@then('placement "{job}" runs in {count:d} racks')
def runs_in_racks(context, job, count):
    names = [w for key, w in context.running.items() if key[0] == job]
    assert len({context.racks[name] for name in names}) == count


@then('placement "{job}" does not run beside "{other}"')
def not_beside(context, job, other):
    workers_by_job = {key[0]: set() for key in context.running}
    for key, worker in context.running.items():
        workers_by_job[key[0]].add(worker)
    assert not workers_by_job[job] & workers_by_job[other]


def refusal(context, kind, count, cores, team):
    spec = placement.JobSpec(
        job="x",
        kind=kind,
        team=team,
        size=placement.size_of(cores, cores * TASK_MB_PER_CORE, 0),
    )
    return context.pool.refusal(spec, count)


@then(
    "placement refuses a {kind} of {count:d} tasks of {cores:d} cores"
    ' as "{error}"'
)
def refuses(context, kind, count, cores, error):
    failure = refusal(context, kind, count, cores, "")
    assert failure is not None and failure.kind == error, failure


@then(
    "placement refuses a {kind} of {count:d} tasks of {cores:d} cores"
    ' of "{team}" as "{error}"'
)
def refuses_team(context, kind, count, cores, team, error):
    failure = refusal(context, kind, count, cores, team)
    assert failure is not None and failure.kind == error, failure


@then("placement accepts a {kind} of {count:d} tasks of {cores:d} cores")
def accepts(context, kind, count, cores):
    assert refusal(context, kind, count, cores, "") is None


@then('placement holds resources for "{job}"')
def holds(context, job):
    assert [h["job"] for h in context.pool.dump()["holds"]] == [job]


@then("placement holds no resources")
def holds_nothing(context):
    assert context.pool.dump()["holds"] == []


@then('placement preempts {count:d} tasks of "{job}" by "{how}"')
def preempts(context, count, job, how):
    seen = [(a.key[0], a.how) for a in context.preempted]
    assert seen == [(job, how)] * count, seen


@then("placement less than {percent:d} % of the starts failed")
def few_failed(context, percent):
    assert context.failures < context.starts * percent / 100, (
        context.failures,
        context.starts,
    )


@then('placement "{name}" is quarantined')
def quarantined(context, name):
    assert context.pool.is_quarantined(name)


@then('placement "{name}" is not quarantined')
def not_quarantined(context, name):
    assert not context.pool.is_quarantined(name)


@then("placement no worker is quarantined")
def none_quarantined(context):
    assert context.pool.dump()["quarantined"] == []


@then("placement a gang without accelerators starts beside held ones")
def _(context):
    pool = placement.Pool()
    capacity = placement.capacity_of(8, 80_000, 1)
    pool.set_worker("w", capacity, "r", True, 0.0)
    with_accelerator = placement.size_of(1, 100, 1)
    for now, job in enumerate(("a", "b")):
        spec = placement.JobSpec(job, size=with_accelerator)
        pool.offer(spec, [0], float(now))
        pool.place(float(now))
    reserved = pool.place(12.0)
    assert any(isinstance(a, placement.Reserve) for a in reserved), reserved
    size = placement.size_of(1, 100, 0)
    pool.offer(placement.JobSpec("gang", kind="gang", size=size), [0, 1], 12.0)
    starts = [
        action.job
        for action in pool.place(12.1)
        if isinstance(action, placement.Start)
    ]
    assert starts == ["gang", "gang"], starts
