"""Steps for jobs of several steps."""

from behave import then

from citrondeal import workflow
from citrondeal.workflow import _model
from citrondeal.workflow.tests import world

HISTORY_S = 30.0  # with faults, in virtual time
FAULT_SEEDS = 60  # histories in which a fault must be found


@then("workflow {count:d} random histories keep all promises")
def _(context, count):
    for seed in range(count):
        try:
            world.World(seed).run(HISTORY_S)
        except world.Broken as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


class _FreesEarly(workflow.Scheduler):
    def _stop(self, run, reason, now):
        super()._stop(run, reason, now)
        worker = self._workers.get(run.worker)
        if worker is not None and run.task.id in worker.runs:
            self._release(worker, run)


class _IgnoresEarlierRuns(workflow.Scheduler):
    def _may_start(self, step):
        return True


class _IgnoresBarriers(workflow.Scheduler):
    def on_barrier(self, epoch):
        return


class _AcknowledgesEarly(workflow.Scheduler):
    def on_report(self, worker_id, report, sent_at, now):
        super().on_report(worker_id, report, sent_at, now)
        worker = self._workers[worker_id]
        worker.acknowledged = worker.last_end


class _IgnoresOrder(workflow.Scheduler):
    def _ready_steps(self, now):
        return [
            step
            for job in self._active.values()
            for step in job.steps
            if not step.done and self._may_start(step)
        ]


class _CountsNoFailures(workflow.Scheduler):
    def _on_failed(self, task, number, worker, now):
        worker.failed_at = now


class _NeverLapses(workflow.Scheduler):
    def _expire(self, now):
        return


class _IgnoresSpread(workflow.Scheduler):
    def on_submission(self, submission, offset, now, recovered=False):
        steps = tuple(
            _model.Step(s.tasks, s.size, s.estimate_s, s.after, s.gang)
            for s in submission.steps
        )
        changed = _model.Submission(
            submission.job, submission.spec, steps, submission.policy
        )
        super().on_submission(changed, offset, now, recovered)


_FAULTS = {
    "room is free before the end is listed": _FreesEarly,
    "runs of earlier owners are ignored": _IgnoresEarlierRuns,
    "barriers of later owners are ignored": _IgnoresBarriers,
    "ends are acknowledged before stored": _AcknowledgesEarly,
    "dependencies are ignored": _IgnoresOrder,
    "failures are not counted": _CountsNoFailures,
    "leases never lapse": _NeverLapses,
    "spread is ignored": _IgnoresSpread,
}


@then('workflow random histories find the fault "{name}"')
def _(context, name):
    for seed in range(FAULT_SEEDS):
        try:
            world.World(seed, _FAULTS[name]).run(HISTORY_S)
        except world.Broken:
            return
    raise AssertionError(f"{FAULT_SEEDS} histories did not find it")
