"""The scheduler's view of one worker: lease, incarnation, room, runs."""

from citrondeal.workflow import _model

# Clocks of workers may be 2 % slow, so a lease of them lasts longer here.
CLOCK_SLACK = 1.02
# Covers the way of an order to the worker.
LEASE_MARGIN_S = 0.3

_NOTHING = _model.Size()


class WorkerState:
    """One worker.

    Parameters
    ----------
    info : WorkerInfo
    now : float
        Seconds on the scheduler's clock.
    lease_expires_at : float
        Time from which nothing can run there unless a lease is renewed.
    """

    def __init__(self, info, now, lease_expires_at):
        self._info = info
        self._used = _NOTHING
        self._kept = _NOTHING
        self._reserved = {}
        self._free = info.capacity
        self.listed_at = now
        self.listed = True
        self.stored = False
        self.reachable = False
        self.reported_at = None
        self.lease_expires_at = lease_expires_at
        self.runs = {}
        self.orphans = {}
        self.last_end_number = 0
        self.acknowledged = 0
        self.failed_at = -1e9
        self.failed_starts = 0

    @property
    def id(self):
        """Id of the worker."""
        return self._info.worker

    @property
    def info(self):
        """What the worker says of itself."""
        return self._info

    @info.setter
    def info(self, info):
        free = self._free.plus(info.capacity).minus(self._info.capacity)
        self._info, self._free = info, free

    @property
    def used(self):
        """Size of all runs there."""
        return self._used

    @property
    def usable(self):
        """Whether tasks may be started there."""
        return (
            self.stored
            and self.listed
            and self.reachable
            and not self._info.draining
            and not self.orphans
        )

    def room(self, step):
        """Return what is free for a step: not used, kept or reserved.

        What is reserved for the step itself is kept for no other.
        """
        reserved = self._reserved.get(step.id)
        if reserved is None:
            return self._free
        # Runs that were taken over may use more than was free.
        overdrawn = self._free.plus(self._kept).least(_NOTHING)
        return reserved.plus(self._free.most(overdrawn))

    def keep(self, size):
        """Keep room for a more urgent step during one pass of decisions."""
        self._kept = self._kept.plus(size)
        self._free = self._free.minus(size)

    def end_keeping(self):
        """Forget what was kept in the last pass."""
        if self._kept != _NOTHING:
            self._free = self._free.plus(self._kept)
            self._kept = _NOTHING

    def holds_for(self, step):
        """Return whether room is reserved for a step."""
        return step.id in self._reserved

    def reserve(self, step):
        """Hold room for one more task of a step."""
        size = self._reserved.get(step.id, _NOTHING)
        self._reserved[step.id] = size.plus(step.spec.size)
        self._free = self._free.minus(step.spec.size)

    def end_reserving(self, step):
        """Hold no more room for a step."""
        size = self._reserved.pop(step.id, None)
        if size is not None:
            self._free = self._free.plus(size)

    def extend_lease(self, now, lease_s):
        """Note that a renewal of `lease_s` may have reached the worker."""
        lapses = now + lease_s * CLOCK_SLACK + LEASE_MARGIN_S
        self.lease_expires_at = max(self.lease_expires_at, lapses)

    def add(self, run):
        """Count a run against the room."""
        size = run.task.step.spec.size
        self.runs[run.task.id] = run
        self._used = self._used.plus(size)
        self._free = self._free.minus(size)

    def remove(self, run):
        """Free the room of a run that has ended."""
        size = run.task.step.spec.size
        del self.runs[run.task.id]
        self._used = self._used.minus(size)
        self._free = self._free.plus(size)

    def count_of(self, step):
        """Return the number of runs of a step there."""
        return sum(1 for run in self.runs.values() if run.task.step is step)
