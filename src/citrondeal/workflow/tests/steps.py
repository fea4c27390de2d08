"""Steps for simulated histories of the scheduler with faults."""

import dataclasses

from behave import then

from citrondeal import workflow
from citrondeal.workflow import _crashes
from citrondeal.workflow import _incarnations
from citrondeal.workflow import _intake
from citrondeal.workflow import _planner
from citrondeal.workflow import _reports
from citrondeal.workflow import _state
from citrondeal.workflow.tests import invariants
from citrondeal.workflow.tests import random_restarts
from citrondeal.workflow.tests import simulation

HISTORY_S = 30.0  # virtual time with faults
FAULT_SEEDS = 120  # histories, one of which must find a fault


@then("workflow {count:d} random histories keep all invariants")
def _(context, count):
    for seed in range(count):
        _play(seed, HISTORY_S)


@then("workflow random history {seed:d} of {seconds:d} s keeps all invariants")
def _(context, seed, seconds):
    _play(seed, float(seconds))


def _play(seed, seconds):
    try:
        simulation.Simulation(seed).run(seconds)
    except invariants.InvariantViolation as exc:
        raise AssertionError(f"seed {seed}: {exc}") from exc


class _ReleasesEarly(_state.State):
    def stop(self, run, reason, now):
        super().stop(run, reason, now)
        worker = self.workers.get(run.worker)
        if worker is not None and run.task.id in worker.runs:
            self.release_run(worker, run)

    def release_run(self, worker, run):
        # The end of its job may have released it just before.
        if worker.runs.get(run.task.id) is run:
            super().release_run(worker, run)


class _IgnoresEarlierRuns(_planner.Planner):
    def _may_start(self, step):
        return True


class _IgnoresBarriers(_intake.Intake):
    def on_barrier(self, epoch):
        return


class _AcknowledgesEarly(_reports.Reports):
    def on_report(self, worker_id, report, sent_at, now):
        super().on_report(worker_id, report, sent_at, now)
        worker = self._state.workers[worker_id]
        worker.acknowledged = worker.last_end_number


class _TakesReportsAsComplete(_reports.Reports):
    def on_report(self, worker_id, report, sent_at, now):
        whole = dataclasses.replace(report, truncated=False)
        super().on_report(worker_id, whole, sent_at, now)


class _TakesStoredLeasesAsOver(_reports.Reports):
    def on_report(self, worker_id, report, sent_at, now):
        super().on_report(worker_id, report, sent_at, now)
        for worker in self._state.workers.values():
            if worker.lease_is_stored and not worker.has_given_lease:
                worker.lease_expires_at = now


class _IgnoresDependencies(_planner.Planner):
    def _ready_steps(self, now):
        return [
            step
            for job in self._state.active.values()
            for step in job.steps
            if not step.done and self._may_start(step)
        ]


class _CountsNoFailures(_reports.Reports):
    def _on_failed(self, task, number, worker, now):
        worker.failed_at = now


class _NeverLapses(_planner.Planner):
    def _expire_leases(self, now):
        return


class _IgnoresLeasesOfStarts(_planner.Planner):
    def _start(self, task, worker, ticket, number, now):
        expires_at = worker.lease_expires_at
        start = super()._start(task, worker, ticket, number, now)
        worker.lease_expires_at = expires_at
        return start


class _StartsPartsOfGangs(_planner.Planner):
    def _start_or_renew_tickets(self, step, chosen, actions, now):
        if step.spec.gang and len(chosen) > 1:
            chosen = chosen[:-1]
        super()._start_or_renew_tickets(step, chosen, actions, now)


class _IgnoresSpread(_intake.Intake):
    def on_submission(self, submission, offset, now, recovered=False):
        steps = tuple(
            dataclasses.replace(step, spread=0) for step in submission.steps
        )
        changed = dataclasses.replace(submission, steps=steps)
        super().on_submission(changed, offset, now, recovered)


class _IgnoresCapacityChanges(_intake.Intake):
    def on_worker(self, info, now):
        known = self._state.workers.get(info.worker)
        if known is not None and known.info.born_ms == info.born_ms:
            info = dataclasses.replace(info, capacity=known.info.capacity)
        super().on_worker(info, now)


class _UsesRestartedWorkers(_state.State):
    def on_worker_restart(self, worker, born_ms, now):
        super().on_worker_restart(worker, born_ms, now)
        worker.listed = True


class _ReleasesAllAtRestart(_state.State):
    def on_worker_restart(self, worker, born_ms, now):
        super().on_worker_restart(worker, born_ms, now)
        self.release_all_runs(worker)


class _KeepsFences(_state.State):
    def raise_fence(self, worker, now):
        worker.fence_raised_at = now
        worker.is_proven = False


class _BelievesEntries(_incarnations.Incarnations):
    def _keep(self, worker, info, now):
        if info.born_ms > worker.info.born_ms:
            self._state.on_worker_restart(worker, info.born_ms, now)
            self._accept(worker, info, now)


class _StateThatBelievesEntries(_state.State):
    incarnations_class = _BelievesEntries


class _CountsNoCrashes(_crashes.Crashes):
    def _count(self, task, number, crash, now):
        self._state.open_starts.drop(task, number)


class _StateWithoutCrashes(_state.State):
    crashes_class = _CountsNoCrashes


class _RestoresNoCrashes(_crashes.Crashes):
    def restore(self, job, progress):
        return


class _StateWithoutStoredCrashes(_state.State):
    crashes_class = _RestoresNoCrashes


_FAULTS = {
    "runs are released before they end": ("state", _ReleasesEarly),
    "runs of earlier owners are ignored": ("planner", _IgnoresEarlierRuns),
    "barriers of later owners are ignored": ("intake", _IgnoresBarriers),
    "ends are acknowledged before stored": ("reports", _AcknowledgesEarly),
    "truncated reports are taken as complete": (
        "reports",
        _TakesReportsAsComplete,
    ),
    "stored leases count as over": ("reports", _TakesStoredLeasesAsOver),
    "dependencies are ignored": ("planner", _IgnoresDependencies),
    "failures are not counted": ("reports", _CountsNoFailures),
    "leases never lapse": ("planner", _NeverLapses),
    "starts give no lease": ("planner", _IgnoresLeasesOfStarts),
    "gangs start in part": ("planner", _StartsPartsOfGangs),
    "spread is ignored": ("intake", _IgnoresSpread),
    "capacity changes are ignored": ("intake", _IgnoresCapacityChanges),
    "restarted workers are used at once": ("state", _UsesRestartedWorkers),
    "runs of a new incarnation are released": (
        "state",
        _ReleasesAllAtRestart,
    ),
    "fences stay after a restart": ("state", _KeepsFences),
    "entries prove an incarnation": ("state", _StateThatBelievesEntries),
    "crashes are not counted": ("state", _StateWithoutCrashes),
    "crash counts are not stored": ("state", _StateWithoutStoredCrashes),
}


@then('workflow random histories find the fault "{name}"')
def _(context, name):
    def play(seed, scheduler):
        simulation.Simulation(seed, scheduler).run(HISTORY_S)

    _check_found(name, FAULT_SEEDS, play)


@then(
    "workflow {count:d} random histories of restarted workers find the fault"
    ' "{name}"'
)
def _(context, count, name):
    _check_found(name, count, random_restarts.play)


def _check_found(name, count, play):
    part, faulty = _FAULTS[name]
    scheduler = type(
        "Faulty", (workflow.Scheduler,), {f"{part}_class": faulty}
    )
    for seed in range(count):
        try:
            play(seed, scheduler)
        except invariants.InvariantViolation:
            return
    raise AssertionError(f"{count} histories did not find: {name}")
