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

    def fence(self, worker):
        """Return the fence of orders to a worker, None if it is unknown."""
        known = self.scheduler.workers.get(worker.name)
        return None if known is None else known.fence
