"""Ends of leases by the clocks of other workers.

An owner that loses contact with a worker does not renew its leases any more.
The next owner has to know when they are over, but the clocks of two VMs differ
and a wall clock may jump.  The clock of a worker does neither within one
incarnation, and both owners read it.
"""

import heapq
import math

from citrondeal.workflow import _model
from citrondeal.workflow import _workers

# As many are stored, since some of them may be lost too.
MAX_WITNESSES = 4
# As many have to agree, if so many are stored, since one may be wrong.
MIN_AGREEING = 2


class Witnesses:
    """Stores and reads the ends of leases by the clocks of other workers.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state
        self._awaited = {}  # stored witnesses by worker
        self._ends_at = {}  # by worker, then by witness

    def choose(self, worker):
        """Return the witnesses of the end of the leases on a worker.

        Returns
        -------
        dict of str to Witness
            Empty if the end is not known yet.
        """
        ends_at = self._state.leases_end_at(worker)
        if ends_at == math.inf:
            return {}
        others = (
            other
            for other in self._state.workers.values()
            if other is not worker
            and other.reachable
            and other.info.born_ms
            and other.clock is not None
        )
        # Those that have reported last are the least likely to be lost.
        newest = heapq.nlargest(
            MAX_WITNESSES, others, key=lambda other: (other.clock[1], other.id)
        )
        found = {}
        for other in newest:
            clock_s, known_since = other.clock
            left_s = ends_at - known_since
            found[other.id] = _model.Witness(
                other.info.born_ms,
                clock_s + left_s * _workers.CLOCK_DRIFT_FACTOR,
            )
        return found

    def restore(self, worker, witnesses):
        """Take over the stored witnesses of a worker that was lost."""
        if witnesses:
            self._awaited[worker.id] = witnesses
            self._ends_at[worker.id] = {}

    def on_report(self, witness, now):
        """Shorten the assumed leases that the clock of a worker limits."""
        for worker_id, witnesses in list(self._awaited.items()):
            stored = witnesses.get(witness.id)
            worker = self._state.workers.get(worker_id)
            if (
                worker is None
                or worker.has_given_lease
                or now >= worker.lease_expires_at
            ):
                del self._awaited[worker_id], self._ends_at[worker_id]
            elif stored is not None and stored.born_ms == witness.info.born_ms:
                left_s = max(0.0, stored.clock_s - witness.clock[0])
                ends = self._ends_at[worker_id]
                ends[witness.id] = now + left_s * _workers.CLOCK_DRIFT_FACTOR
                needed = min(MIN_AGREEING, len(witnesses))
                if len(ends) >= needed:
                    worker.lease_expires_at = min(
                        worker.lease_expires_at,
                        sorted(ends.values())[needed - 1],
                    )
