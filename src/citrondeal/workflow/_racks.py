"""How long a step with `same_rack` waits for room in a single rack."""

from citrondeal.workflow import _placement
from citrondeal.workflow import _tickets

# A gang that waits has nothing running, which callers notice after 3 s.
MAX_GANG_WAIT_S = 1.5


def update(step, workers, far_factor, now):
    """Set until when a step is only placed in a single rack.

    On several racks its tasks take `far_factor` times as long.  It waits as
    long as it would lose by that, and only once, so that it never loses more
    than twice as much as with the better choice, which is not known before.

    Parameters
    ----------
    step : StepState
        One with `same_rack` and waiting tasks.
    workers : dict of str to WorkerState
        All workers, also those that cannot be used at the moment.
    far_factor : float
    now : float
    """
    if step.rack_wait_until is None:
        wait_s = (far_factor - 1.0) * step.spec.estimate_s
        if step.spec.gang:
            wait_s = min(wait_s, MAX_GANG_WAIT_S)
        step.rack_wait_until = now + wait_s
    if now < step.rack_wait_until and not _may_fit(step, workers.values()):
        step.rack_wait_until = now
    runs = [task.run for task in step.tasks if task.run is not None]
    racks = {workers[run.worker].info.rack for run in runs}
    step.on_several_racks = len(racks) > 1


def _may_fit(step, workers):
    """Return whether a gang, or a task, fits in a rack that runs nothing."""
    needed = len(step.tasks) if step.spec.gang else 1
    room = {}
    for worker in workers:
        info = worker.info
        if (
            worker.has_entry
            and not info.draining
            and info.service == step.job.service
            and _placement.is_eligible(step, worker)
            and not _tickets.is_refused(step, worker)
        ):
            count = step.spec.size.count_in(info.capacity)
            if step.spec.spread:
                count = min(count, step.spec.spread)
            room[info.rack] = room.get(info.rack, 0) + count
    return any(count >= needed for count in room.values())
