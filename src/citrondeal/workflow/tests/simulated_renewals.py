"""Renewals of the leases on simulated workers, whose answers may be late."""

import dataclasses
import math
import random

from citrondeal import workflow
from citrondeal.workflow.tests import simulated_late_calls

LEASE_S = 10.0
ANSWER_S = 0.01
LOST_SHARE = 0.05
LATE_SHARE = 0.1
BROKEN_SHARE = 0.8  # of the connections to an earlier incarnation
LATE_S = (0.1, 0.6)
TIMEOUT_SHARE = 0.02  # of the calls that are carried out
# The same of those that follow the first answer of a worker that was silent.
NEXT_TIMEOUT_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class _LateAnswer:
    """An answer of a worker on its way to an owner.

    Attributes
    ----------
    arrives_at : float
    sent_at : float
    report : workflow.Report or None
        None if the owner gives the call up instead.
    """

    arrives_at: float
    sent_at: float
    report: workflow.Report | None


class Renewals:
    """Renews leases for the owners, one call to a worker at a time.

    Parameters
    ----------
    simulation : Simulation
    seed : int
        Of the late answers; it leaves the other draws as they are.
    """

    def __init__(self, simulation, seed):
        self._simulation = simulation
        self._rng = random.Random(f"renewals {seed}")
        self._late = {}  # by epoch of the owner and name of the worker
        self._answered_first = set()  # keys of the workers just heard again

    def renew(self, owner, worker):
        """Let an owner renew the leases of a worker that it knows."""
        now = self._simulation.now
        state = owner.scheduler.workers.get(worker.name)
        key = (owner.epoch, worker.name)
        if state is None or self._is_awaited(owner, key, now):
            return
        is_cut = self._is_cut(owner, worker, now)
        if not is_cut and self._has_lost_connection(owner, worker):
            owner.scheduler.on_connection_lost(worker.name, now)
            return
        if is_cut or self._simulation.random.random() < LOST_SHARE:
            if is_cut:
                owner.answered_by.pop(worker.name, None)
                owner.scheduler.on_renewal_failed(worker.name, "cut", now)
            return
        fence, acknowledged, until = state.fence, state.acknowledgement, None
        if self._simulation.bound and self._is_first(owner, worker):
            acknowledged = 0
        elif state.may_renew:
            state.extend_lease(now, LEASE_S)
            until = now + LEASE_S
        born_ms = owner.answered_by.get(worker.name, worker.born_ms)

        def carry_out():
            # A time on an earlier clock is far ahead of the present one.
            is_ahead = until is not None and worker.born_ms != born_ms
            limit = math.inf if is_ahead else until
            return worker.renew(fence, acknowledged, limit)

        if self._simulation.late_calls.loses_renewal():
            self._lose(key, worker, carry_out)
            return
        report = carry_out()
        if report is None:
            owner.scheduler.on_newer_owner()
        else:
            self._answer(owner, key, report, now)

    def _answer(self, owner, key, report, now):
        """Deliver an answer, later or not at all for some calls."""
        roll = self._rng.random()
        if self._rng.random() < self._timeout_share(owner, key):
            self._late[key] = _LateAnswer(
                now + simulated_late_calls.RENEWAL_TIMEOUT_S, now, None
            )
        elif roll < LATE_SHARE:
            arrives_at = now + self._rng.uniform(*LATE_S)
            self._late[key] = _LateAnswer(arrives_at, now, report)
        else:
            self._report(owner, key[1], report, now, now + ANSWER_S)

    def _report(self, owner, name, report, sent_at, now):
        owner.answered_by[name] = report.born_ms
        owner.scheduler.on_report(name, report, sent_at, now)

    def _is_first(self, owner, worker):
        """Return whether no renewal was answered on the connection yet.

        Such a renewal extends and acknowledges nothing.
        """
        return owner.answered_by.get(worker.name) != worker.born_ms

    def on_other_incarnation(self, owner, worker):
        """Renew anew, since an order has met another incarnation."""
        state = owner.scheduler.workers.get(worker.name)
        is_known = state is None or state.info.born_ms == worker.born_ms
        if not is_known and state.reachable:
            now = self._simulation.now
            owner.scheduler.on_other_incarnation(worker.name, now)
            self._late.pop((owner.epoch, worker.name), None)

    def leave_half_open(self, owner, worker):
        """Let a renewal wait for an incarnation that has lost power."""
        now = self._simulation.now
        self._late[owner.epoch, worker.name] = _LateAnswer(
            now + simulated_late_calls.RENEWAL_TIMEOUT_S, now, None
        )

    def _timeout_share(self, owner, key):
        """Return the probability that the owner gives this call up."""
        if not owner.scheduler.workers[key[1]].reachable:
            self._answered_first.add(key)
            return 0.0
        if key in self._answered_first:
            self._answered_first.discard(key)
            return NEXT_TIMEOUT_SHARE
        return TIMEOUT_SHARE

    def _is_awaited(self, owner, key, now):
        """Return whether a call is under way; deliver an answer that is due.

        Orders that were sent after the call may have been answered before.
        """
        late = self._late.get(key)
        if late is None:
            return False
        state = owner.scheduler.workers[key[1]]
        if self._is_refuted(state, late):
            del self._late[key]
            return False
        if now >= late.arrives_at:
            del self._late[key]
            self._end_late_call(owner, key[1], late, now)
        return True

    def _is_refuted(self, state, late):
        """Return whether a call is given up, since an entry was read."""
        entry = state.unconfirmed
        return (
            entry is not None
            and entry.born_ms != state.info.born_ms
            and state.unconfirmed_since > late.sent_at
        )

    def _end_late_call(self, owner, name, late, now):
        scheduler = owner.scheduler
        if late.report is None:
            owner.answered_by.pop(name, None)
            scheduler.on_renewal_failed(name, "timeout", now)
        else:
            self._report(owner, name, late.report, late.sent_at, now)

    def _lose(self, key, worker, carry_out):
        """Let a call time out, and be carried out late."""
        now, late_calls = self._simulation.now, self._simulation.late_calls
        arrives_at = now + simulated_late_calls.RENEWAL_TIMEOUT_S
        self._late[key] = _LateAnswer(arrives_at, now, None)

        def carry_out_if_up():
            if not worker.down and worker.name in self._simulation.workers:
                carry_out()

        late_calls.add(worker, now + late_calls.delay_s(), carry_out_if_up)

    def _is_cut(self, owner, worker, now):
        return (
            worker.unreachable
            or worker.down
            or now < owner.unreachable_until.get(worker.name, 0.0)
        )

    def _has_lost_connection(self, owner, worker):
        """Return whether the connection has ended with an incarnation.

        A worker may have closed it before, so that the call opens another
        one, which leads to the present incarnation.
        """
        born_ms = owner.connected_to.get(worker.name, worker.born_ms)
        owner.connected_to[worker.name] = worker.born_ms
        return born_ms != worker.born_ms and self._rng.random() < BROKEN_SHARE
