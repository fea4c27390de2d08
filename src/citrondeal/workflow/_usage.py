"""What the runs of each client account use on all workers together."""

import collections

from citrondeal.workflow import _model
from citrondeal.workflow import _uncertain_tasks

_ZERO = _model.Size()
# Amounts of the three resources, and the number of runs.
_NOTHING = (0, 0, 0, 0)


class Usage:
    """Sums of the sizes of runs by client account.

    A run counts from the decision to start it until its end is known, so a
    start without an answer, a run that is being stopped and a run that was
    taken over count like any other.
    """

    def __init__(self):
        self._used = {}
        self._used_in_service = {}  # amounts by service and account
        self._services = {}  # by run, since its job may move to another one
        self._run_counts = collections.Counter()

    def add(self, run):
        """Count a run."""
        name = run.task.step.job.submission.account
        self._run_counts[name] += 1
        self._used[name] = self.of(name).plus(run.task.step.spec.size)
        self._services[run] = run.task.step.job.service
        self._change(run, self._services[run], 1)

    def remove(self, run):
        """Count a run no longer."""
        name = run.task.step.job.submission.account
        self._run_counts[name] -= 1
        self._used[name] = self._used[name].minus(run.task.step.spec.size)
        self._change(run, self._services.pop(run), -1)
        if not self._run_counts[name]:
            del self._run_counts[name], self._used[name]

    def of(self, account):
        """Return the sum for an account, by name."""
        return self._used.get(account, _ZERO)

    def in_service(self, service, account):
        """Return the amounts that an account uses of a service's workers."""
        return self._used_in_service.get((service, account), _NOTHING)

    def accounts_in(self, service):
        """Return the names and amounts of all accounts of a service."""
        return [
            (name, amounts)
            for (other, name), amounts in self._used_in_service.items()
            if other == service
        ]

    def keys(self):
        """Return the services and accounts that have runs."""
        return self._used_in_service.keys()

    def run_count(self, account):
        """Return the number of runs of an account."""
        return self._run_counts[account]

    def _change(self, run, service, sign):
        key = service, run.task.step.job.submission.account
        size = run.task.step.spec.size
        millicores, memory_mb, accelerators, count = self._used_in_service.get(
            key, _NOTHING
        )
        self._used_in_service[key] = (
            millicores + sign * size.millicores,
            memory_mb + sign * size.memory_mb,
            accelerators + sign * size.accelerators,
            count + sign,
        )
        if not count + sign:
            del self._used_in_service[key]


class Uncertain:
    """What may run on the workers beside the known runs.

    A worker of which a new owner has not heard may run anything that fits
    there.  A run of which the task is not known may be as large as what the
    other runs leave of its worker.

    Parameters
    ----------
    state : State

    Attributes
    ----------
    any_account : Size
        What any one of the accounts may use in addition.
    by_account : dict of str to Size
        What a certain account may use beyond that.
    """

    def __init__(self, state):
        self.any_account = _ZERO
        self.by_account = {}
        for worker in state.workers.values():
            if worker.id in state.unresolved_workers:
                rest = _rest(worker)
                self.any_account = self.any_account.plus(rest)
            else:
                self._add_unknown_runs(state, worker)

    def of(self, account):
        """Return the sum for an account, by name."""
        own = self.by_account.get(account)
        return self.any_account if own is None else own.plus(self.any_account)

    def _add_unknown_runs(self, state, worker):
        # A worker has one run of a task at a time, and may list another one
        # than that which was ordered.
        accounts = {}
        for task_id in _uncertain_tasks.of_worker(worker):
            if task_id in worker.runs:
                continue
            job = state.jobs.get(task_id.job)
            if job is None:
                self.any_account = self.any_account.plus(_rest(worker))
                return
            task = state.task(task_id)
            name = job.submission.account
            known = accounts.get(name, _ZERO)
            accounts[name] = (
                known.maximum(_rest(worker))
                if task is None
                else known.plus(task.step.spec.size)
            )
        for name, size in accounts.items():
            self.by_account[name] = self.by_account.get(name, _ZERO).plus(size)


def _rest(worker):
    """Return the most that unknown runs can use on a worker."""
    capacity = worker.largest_capacity.maximum(worker.claimed_capacity)
    return capacity.maximum(worker.used).minus(worker.used)
