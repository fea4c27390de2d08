"""The scheduler's view of one worker: lease, incarnation, room, runs."""

from citrondeal.workflow import _model

# Clocks of workers may be 2 % slow, so a lease of them lasts longer here.
CLOCK_SLACK = 1.02
# Covers the way of an order to the worker.
LEASE_MARGIN_S = 0.3


class WorkerState:
    """One worker.

    Parameters
    ----------
    info : WorkerInfo
    now : float
        Seconds on the scheduler's clock.
    lapses_at : float
        Time from which nothing can run there unless a lease is renewed.
    """

    def __init__(self, info, now, lapses_at):
        self.info = info
        self.listed_at = now
        self.listed = True
        self.stored = False
        self.reachable = False
        self.reported_at = None
        self.lapses_at = lapses_at
        self.runs = {}
        self.orphans = {}
        self.used = _model.Size()
        self.reserved = {}
        self.kept = _model.Size()
        self.last_end = 0
        self.acknowledged = 0
        self.failed_at = -1e9
        self.failed_starts = 0

    @property
    def id(self):
        """Id of the worker."""
        return self.info.worker

    @property
    def usable(self):
        """Whether tasks may be started there."""
        return (
            self.stored
            and self.listed
            and self.reachable
            and not self.info.draining
            and not self.orphans
        )

    def room(self, step):
        """Return what is free for a step: not used, reserved or kept."""
        size = self.info.capacity.minus(self.used).minus(self.kept)
        for owner, reserved in self.reserved.items():
            if owner != step.id:
                size = size.minus(reserved)
        return size

    def keep(self, size):
        """Keep room for a more urgent step during one pass of decisions."""
        self.kept = self.kept.plus(size)

    def end_keeping(self):
        """Forget what was kept in the last pass."""
        self.kept = _model.Size()

    def note_lease(self, now, lease_s):
        """Note that a renewal of `lease_s` may have reached the worker."""
        lapses = now + lease_s * CLOCK_SLACK + LEASE_MARGIN_S
        self.lapses_at = max(self.lapses_at, lapses)

    def add(self, run):
        """Count a run against the room."""
        self.runs[run.task.id] = run
        self.used = self.used.plus(run.task.step.spec.size)

    def remove(self, run):
        """Free the room of a run that has ended."""
        del self.runs[run.task.id]
        self.used = self.used.minus(run.task.step.spec.size)

    def count_of(self, step):
        """Return the number of runs of a step there."""
        return sum(1 for run in self.runs.values() if run.task.step is step)
