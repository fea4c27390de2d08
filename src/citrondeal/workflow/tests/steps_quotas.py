"""Steps for the caps of client accounts."""

import dataclasses
import math

from behave import then

from citrondeal import workflow
from citrondeal.workflow import _quotas
from citrondeal.workflow import _state
from citrondeal.workflow.tests import account_simulation
from citrondeal.workflow.tests import harness as harnesses
from citrondeal.workflow.tests import invariants

HISTORY_S = 30.0  # virtual time with faults
# No job of an account with this weight exceeds its rate.
MANY_PER_S = 1000.0
FAULT_SEEDS = 60  # histories, one of which must find a fault
RESOURCES = {
    "cores": workflow.Size(1000, 0, 0),
    "memory": workflow.Size(0, 10, 0),
    "accelerators": workflow.Size(0, 0, 1),
}
WORKERS = tuple(f"w{index}" for index in range(4))


@then("workflow {count:d} random histories with accounts keep all invariants")
def _(context, count):
    for seed in range(count):
        try:
            account_simulation.Simulation(seed).run(HISTORY_S)
        except invariants.InvariantViolation as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


class _IgnoresCaps(_quotas.Quotas):
    def admissible(self, step, waiting, now):
        return waiting


class _ForgetsUnheardWorkers(_quotas.Quotas):
    def begin_pass(self, steps, now):
        steps = super().begin_pass(steps, now)
        if self._uncertain is not None:
            self._uncertain.any_account = workflow.Size()
        return steps


class _CountsGangsAsOne(_quotas.Quotas):
    def admissible(self, step, waiting, now):
        if not step.spec.gang:
            return super().admissible(step, waiting, now)
        fits = super().admissible(step, waiting[:1], now)
        return waiting if fits else []


class _KeepsFirstCaps(_quotas.Quotas):
    def on_accounts(self, accounts):
        super().on_accounts({**accounts, **self.accounts})


class _LetsGangsWait(_quotas.Quotas):
    def on_planned(self, step, now):
        return

    def _overtaken_gangs(self, now):
        return {}


_FAULTS = {
    "caps are ignored": _IgnoresCaps,
    "unheard workers use nothing": _ForgetsUnheardWorkers,
    "gangs count as one task": _CountsGangsAsOne,
    "the first caps stay in force": _KeepsFirstCaps,
}


def _scheduler_with(quotas):
    state = type("State", (_state.State,), {"quotas_class": quotas})
    return type("Faulty", (workflow.Scheduler,), {"state_class": state})


@then('workflow random histories with accounts find the fault "{name}"')
def _(context, name):
    scheduler = _scheduler_with(_FAULTS[name])
    for seed in range(FAULT_SEEDS):
        try:
            account_simulation.Simulation(seed, scheduler).run(HISTORY_S)
        except invariants.InvariantViolation:
            return
    raise AssertionError(f"{FAULT_SEEDS} histories did not find: {name}")


def _harness(cap=None, workers=WORKERS, cores=16):
    """Return a harness with the accounts ``a``, with a cap, and ``b``."""
    harness = harnesses.Harness(cores, workers)
    if cap is not None:
        _set_cap(harness, cap)
    return harness


def _set_cap(harness, cap):
    accounts = {
        "a": workflow.Account("a", MANY_PER_S, cap),
        "b": workflow.Account("b"),
    }
    harness.scheduler.on_accounts(accounts, harness.now)


@then("workflow a step of 7 tasks runs in waves of 3 within a cap for 3")
def _(context):
    context.harness = harness = _harness(workflow.Size(12_500), ("w0",), 64)
    harness.submit("wide", 4.0, tasks=7, account="a")
    assert harness.plan() == ["wide"] * 3
    assert harness.plan() == []


@then("workflow another account uses the room that the first may not use")
def _(context):
    harness = context.harness
    harness.submit("other", 4.0, tasks=20, account="b")
    assert harness.plan() == ["other"] * 13
    for _ in range(3):
        assert harness.end_one() == ["wide"]


@then("workflow only the cap on {resource} limits how many tasks run")
def _(context, resource):
    harness = harnesses.Harness(9)
    capacity = workflow.Size(9000, 90, 9)
    info = dataclasses.replace(harness.infos["w0"], capacity=capacity)
    harness.scheduler.on_worker(info, harness.now)
    unit = RESOURCES[resource]
    _set_cap(harness, unit.plus(unit))
    step = workflow.Step(9, workflow.Size(1000, 10, 1))
    policy = workflow.Policy("queue", "service")
    submission = workflow.Submission("a", "", (step,), policy, account="a")
    harness.scheduler.on_submission(submission, 0, harness.now)
    assert len(harness.plan()) == 2


@then(
    "workflow nothing is stopped or started until an account is below its cap"
)
def _(context):
    harness = _harness(workflow.Size(16_000), ("w0",), 64)
    harness.submit("wide", 4.0, tasks=9, account="a")
    assert len(harness.plan()) == 4
    _set_cap(harness, workflow.Size(8_000))
    assert harness.plan() == []
    assert harness.end_one() == []
    assert harness.end_one() == []
    assert len(harness.running["w0"]) == 2
    assert len(harness.end_one()) == 1
    _set_cap(harness, workflow.Size(20_000))
    assert len(harness.plan()) == 3


@then("workflow a start that was decided is not sent once the cap has fallen")
def _(context):
    harness = _harness(workflow.Size(16_000))
    harness.submit("wide", 4.0, tasks=4, account="a")
    starts = harness.scheduler.plan(harness.now)
    assert all(harness.scheduler.still_holds(s, harness.now) for s in starts)
    _set_cap(harness, workflow.Size(15_000))
    assert not harness.scheduler.still_holds(starts[0], harness.now)


@then("workflow of two versions in quick succession the last one counts")
def _(context):
    harness = _harness(workflow.Size(16_000))
    harness.submit("wide", 4.0, tasks=4, account="a")
    harness.scheduler.on_accounts({}, harness.now)
    _set_cap(harness, workflow.Size(8_000))
    assert len(harness.plan()) == 2
    assert harness.plan() == []


@then("workflow the jobs of a removed account run on within its last cap")
def _(context):
    harness = _harness(workflow.Size(8_000), ("w0",))
    harness.submit("wide", 4.0, tasks=4, account="a")
    assert len(harness.plan()) == 2
    harness.scheduler.on_accounts({}, harness.now)
    assert harness.plan() == []
    assert len(harness.end_one()) == 1


@then("workflow a new owner waits before it runs jobs of an unknown account")
def _(context):
    # The version with the account may be on its way to this owner.
    harness = _harness(workflow.Size(8_000))
    harness.submit("unknown", 4.0, account="c")
    for _ in range(int(4.0 / 0.05)):
        assert harness.plan() == []
    harness.now += 2.0
    harness.scheduler.on_workers_read(harness.now)
    assert harness.plan() == ["unknown"]


@then("workflow only jobs without an account start before the caps are known")
def _(context):
    harness = _harness()
    harness.submit("keyed", 4.0, account="a")
    harness.submit("keyless", 4.0)
    assert harness.plan() == ["keyless"]
    _set_cap(harness, workflow.Size(8_000))
    assert harness.plan() == ["keyed"]


def _next_owner(harness, stored):
    """Let a new owner recover some stored workers."""
    harness.scheduler = scheduler = workflow.Scheduler(
        workflow.Config(harnesses.LEASE_S), 2
    )
    scheduler.recover_workers(stored, harness.now)
    for info in harness.infos.values():
        scheduler.on_worker(info, harness.now)
    _set_cap(harness, workflow.Size(20_000))


@then("workflow an unheard worker counts with its capacity until it reports")
def _(context):
    _check_unheard_worker(16)


@then("workflow it counts with that of its newest entry if that is larger")
def _(context):
    _check_unheard_worker(4)


def _check_unheard_worker(stored_cores):
    """Check how much may run beside a worker of 16 cores that is not heard."""
    harness = _harness(None, ("w0", "w1"))
    capacity = workflow.Size(1000 * stored_cores, 1000)
    info = dataclasses.replace(harness.infos["w1"], capacity=capacity)
    _next_owner(harness, [workflow.StoredWorker(info)])
    silent, harness.running["w1"] = harness.running.pop("w1"), {}
    del harness.running["w1"]
    harness.report_all()
    harness.store()
    harness.submit("a", 1.0, tasks=32, account="a")
    # The cap of 20 cores less the 16 cores of the worker.
    assert len(harness.plan()) == 4
    harness.running["w1"] = silent
    harness.report_all()
    harness.store()
    assert len(harness.plan()) == 16


@then("workflow unknown runs on a silent worker count until its lease lapses")
def _(context):
    harness = _harness(None, ("w0", "w1"))
    lost = workflow.TaskId("ended", 0, 0, 0)
    _next_owner(harness, [workflow.StoredWorker(harness.infos["w1"], (lost,))])
    del harness.running["w1"]
    harness.report_all()
    _, workers, _ = harness.store()
    # The record that names the run stays as it is.
    assert "w1" not in workers, workers
    harness.submit("a", 1.0, tasks=32, account="a")
    assert len(harness.plan()) == 4
    harness.now += 1.5 * harnesses.LEASE_S
    assert len(harness.plan()) == 12


@then(
    "workflow a gang starts although urgent tasks of its account keep coming"
)
def _(context):
    for quotas, expected in (
        (_quotas.Quotas, True),
        (_LetsGangsWait, False),
    ):
        harness = harnesses.Harness(
            64,
            ("w0",),
            _scheduler_with(quotas)(workflow.Config(math.inf), 1),
        )
        _set_cap(harness, workflow.Size(16_000))
        harness.submit("gang", 4.0, tasks=4, gang=True, account="a")
        assert _overtaken(harness) is not expected


def _overtaken(harness):
    """Return whether urgent tasks keep a gang from starting for 30 s."""
    end = harness.now + 30.0
    count = 0
    started = []
    while harness.now < end and "gang" not in started:
        count += 1
        harness.submit(f"u{count}", 4.0, priority=0, account="a")
        started = harness.plan()
        if not started or len(harness.running["w0"]) > 1:
            started += harness.end_one()
    return "gang" not in started
