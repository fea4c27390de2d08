"""Calls to simulated workers that get no answer and are carried out late.

The worker may have started again meanwhile: such a call reaches the next
incarnation, which knows nothing of what the earlier one had seen.
"""

import random

from citrondeal import workflow

HOLD_MAX_S = 10.0  # a worker shortens longer leases, also by a new clock
MAX_DELAY_S = 8.0
RESTART_SHARE = 0.3  # of the late calls, whose worker starts again meanwhile
RENEWAL_SHARE = 0.01
RENEWAL_TIMEOUT_S = 1.7


class LateCalls:
    """Carries out late calls, and restarts workers between.

    Parameters
    ----------
    simulation : Simulation
    seed : int
        Of its own draws; it leaves the others as they are.
    reach_unheard : bool
        Whether a late start may be carried out by an incarnation of which
        the present owner has not applied a report yet.
    """

    def __init__(self, simulation, seed, reach_unheard=False):
        self._simulation = simulation
        self._rng = random.Random(f"late calls {seed}")
        self._reach_unheard = reach_unheard
        self._calls = []  # of time and function
        self._restarts = []  # of time, worker and its incarnation

    def add(self, worker, due_at, carry_out):
        """Let a call take effect at a later time."""
        self._calls.append((due_at, carry_out))
        if self._rng.random() < RESTART_SHARE:
            restart_at = self._rng.uniform(self._simulation.now, due_at)
            self._restarts.append((restart_at, worker, worker.born_ms))

    def tick(self, now):
        """Restart the workers and carry out the calls that are due."""
        for _, worker, born_ms in [x for x in self._restarts if x[0] <= now]:
            is_up = not worker.down and not worker.removed
            if is_up and worker.born_ms == born_ms:
                self._simulation.record_crash(worker)
                worker.restart()
        self._restarts = [x for x in self._restarts if x[0] > now]
        for _, carry_out in [x for x in self._calls if x[0] <= now]:
            carry_out()
        self._calls = [x for x in self._calls if x[0] > now]

    def may_reach(self, worker):
        """Return whether a late start may reach another incarnation."""
        owner = self._simulation.owner
        known = owner and owner.scheduler.workers.get(worker.name)
        return self._reach_unheard or bool(
            known
            and known.has_reported
            and known.info.born_ms == worker.born_ms
        )

    def loses_renewal(self):
        """Draw whether a renewal gets no answer and is carried out late."""
        may_fail = self._simulation.now < self._simulation.faults_ended_at
        return may_fail and self._rng.random() < RENEWAL_SHARE

    def delay_s(self):
        """Draw for how long a call is late."""
        return self._rng.uniform(0.1, MAX_DELAY_S)


def start_limit(worker, start, sent_at, now):
    """Return until when a start is valid on the incarnation that gets it.

    Its limit is a time on the clock of the incarnation for which it was
    decided; the clock of a later one begins anew.
    """
    if start.born_ms == worker.born_ms:
        return start.valid_until
    earlier_clock_s = (sent_at - start.born_ms / 1000.0) * worker.clock_rate
    until_clock_s = earlier_clock_s + start.valid_until - sent_at
    return now + until_clock_s - worker.clock_s


def after_repeat(first, second):
    """Return the outcome of a start that was sent a second time."""
    settled = (workflow.OrderOutcome.OK, workflow.OrderOutcome.FENCED)
    if first is not workflow.OrderOutcome.UNKNOWN or second in settled:
        return second
    return first
