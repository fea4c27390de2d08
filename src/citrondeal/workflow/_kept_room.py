"""Room that is kept on workers for steps that do not fit yet.

It is kept from the steps that come later in the same planning pass, and is
worked out anew in each pass.
"""

from citrondeal.workflow import _backfill
from citrondeal.workflow import _placement
from citrondeal.workflow import _precedence

# Resources are reserved for a gang that does not fit after it has waited this
# long.
GANG_RESERVE_AFTER_S = 1.0
# Room is kept from jobs of low precedence only while at least this share of
# the cores of a service is in use.
MIN_USED_SHARE = 0.5


class KeptRoom:
    """Decides for which steps room is kept, and where."""

    def __init__(self):
        self._gang = None
        self._waiting_gangs = []  # step, tasks and workers
        self._usable_workers = {}

    @property
    def gang(self):
        """`StepState` of the gang that room is kept for, or None."""
        return self._gang

    def begin_pass(self, usable_workers):
        """Forget what was kept in the last pass.

        Parameters
        ----------
        usable_workers : dict of str to dict of str to WorkerState
            By service and id.
        """
        self._gang = None
        self._waiting_gangs = []
        self._usable_workers = usable_workers

    def keep(self, step, tasks, workers, now):
        """Keep room for tasks that do not fit, if the step may have it.

        Parameters
        ----------
        step : StepState
        tasks : list of TaskState
        workers : list of WorkerState
            Those that may run the tasks.
        now : float

        Returns
        -------
        list of WorkerState
            The workers that the tasks wait for; empty if there are none.
        """
        if self._may_keep(step, now):
            chosen = _placement.choose_to_reserve(step, tasks, workers)
            usable_at = now
            if step.spec.gang:
                usable_at = _backfill.earliest_start(step, chosen, now)
            return _reserve(step, chosen, usable_at)
        if not step.spec.gang or _precedence.is_low(step, now):
            return []
        self._waiting_gangs.append((step, tasks, workers))
        return workers

    def keep_for_waiting_gangs(self, now):
        """Keep room for all waiting gangs from jobs of low precedence.

        Otherwise a backlog of these jobs would take each small part of the
        room that becomes free, and no gang could start in time.  None of the
        room is used meanwhile: to work out when each of many gangs can start
        would make a pass much longer.
        """
        services = {step.job.service for step, _, _ in self._waiting_gangs}
        busy = {service for service in services if self._is_half_used(service)}
        for step, tasks, workers in self._waiting_gangs:
            if step.job.service in busy:
                chosen = _placement.choose_to_reserve(step, tasks, workers)
                _reserve(step, chosen, now)
        self._waiting_gangs = []

    def _is_half_used(self, service):
        workers = self._usable_workers.get(service, {}).values()
        used = sum(worker.used.millicores for worker in workers)
        total = sum(worker.info.capacity.millicores for worker in workers)
        return used >= MIN_USED_SHARE * total

    def _may_keep(self, step, now):
        """Return whether to keep room for a step that does not fit.

        It is always kept for urgent steps, unless of low precedence.  Of the
        other gangs, it is only kept for the first one, because what longer
        tasks cannot use meanwhile stays idle.
        """
        low = _precedence.is_low(step, now)
        if step.job.policy.priority == 0 and not low:
            return True
        if (
            not step.spec.gang
            or now - step.job.accepted_at < GANG_RESERVE_AFTER_S
        ):
            return False
        if self._gang not in (None, step):
            return False
        self._gang = step
        return True


def _reserve(step, chosen, usable_at):
    """Reserve the places of a step, and return their workers."""
    for _, worker in chosen:
        worker.reserve_for_pass(step.spec.size, usable_at)
    return list({worker.id: worker for _, worker in chosen}.values())
