"""An owner of the simulated workers."""

import dataclasses

from citrondeal import workflow


@dataclasses.dataclass(eq=False)
class Owner:
    """One owner and its position in the log."""

    scheduler: workflow.Scheduler
    epoch: int
    position: int
    workers_position: int = 0
    workers_due_at: float = 0.0
    # Time until which it continues without knowing of the next owner.
    ends_at: float = float("inf")
    # Time until which it cannot reach a worker, by worker.
    unreachable_until: dict = dataclasses.field(default_factory=dict)
    connected_to: dict = dataclasses.field(default_factory=dict)
    # Incarnation that has answered a renewal on the present connection.
    answered_by: dict = dataclasses.field(default_factory=dict)

    def read_log(self, log, submissions, now):
        """Read the new records of the log."""
        for offset in range(self.position, len(log)):
            kind, value = log[offset]
            if kind == "job":
                self.scheduler.on_submission(submissions[value], offset, now)
            elif kind == "cancel":
                self.scheduler.on_cancel(value, now)
            else:
                self.scheduler.on_barrier(value)
        self.position = len(log)

    def fence(self, worker):
        """Return the fence of orders to a worker, None if it is unknown."""
        known = self.scheduler.workers.get(worker.name)
        return None if known is None else known.fence
