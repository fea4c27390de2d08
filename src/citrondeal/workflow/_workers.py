"""State of one worker: lease, incarnation, resources and runs."""

import math

from citrondeal.workflow import _fences
from citrondeal.workflow import _model

# A worker's clock may be 2 % slow, so its leases may last longer than granted.
CLOCK_DRIFT_FACTOR = 1.02
# Covers the time from sending an order to its arrival at the worker.
LEASE_MARGIN_S = 0.3
# A worker rejects a start that arrives later than this, so that one that got
# no answer cannot take effect much later.
START_VALID_S = 2.5

_ZERO = _model.Size()


class WorkerState:
    """State of one worker.

    Parameters
    ----------
    info : WorkerInfo
    now : float
        Seconds on the scheduler's clock.
    lease_expires_at : float
        Time from which no task can run there unless a lease is renewed.
    usage : Usage
        Counts the runs of all workers by client account.
    fence : int
        Of the first orders.

    Attributes
    ----------
    fence : int
        Of the orders that are sent to it now, see `_fences`.
    fence_raised_at : float
        When the fence was last raised.
    is_proven : bool
        Whether it has answered a renewal under the present fence, so that it
        is known which incarnation the orders reach.
    listed : bool
        Whether its own entry was read and its capacity may be used.
    unconfirmed : WorkerInfo or None
        Entry that no report has confirmed yet, see `_incarnations`.
    unconfirmed_since : float
        When an entry of its incarnation was first read.
    refuted_born_ms : int
        Incarnation that an entry has named and a report has refuted last.
    has_reported : bool
        Whether it has reported to this owner.
    unaccounted_tasks : list of TaskId
        Tasks that may run there beside `runs`, after an earlier owner had
        lost contact with the worker.
    largest_capacity : Size
        Largest amounts that its entries have given.
    claimed_capacity : Size
        Largest amounts in entries that no report has confirmed, until it
        reports: an earlier owner may have started tasks by them.
    reported_at : float or None
        When it last reported, or when this owner recovered it if that was
        later; None if neither has happened.
    unseen_ms : int
        See `StoredWorker`.
    speed_class : int
        Rises with its learned speed; 0 if that is the usual one or unknown.
    very_slow : bool
        Whether it is slow for all its runs, beyond any regular worker.
    clock : (float, float) or None
        Time on its clock in its last report, and a time on the scheduler's
        clock before which it did not show that time.
    ends_known_at : float
        Time up to which all ends of runs on it have been listed.
    first_report_at : float or None
        When its incarnation first reported to this owner.
    lease_is_stored : bool
        Whether the end of its leases may be stored, so that they must not be
        renewed before the record is replaced.
    has_given_lease : bool
        Whether this owner has given it a lease.
    renewed_at, started_at : float or None
        When this owner last sent it a renewal that extends its leases, or
        assumed one, and a start; None if it has not.
    reads_all_ends : bool
        Whether no earlier owner may have acknowledged ends of runs that this
        one has not read.
    """

    def __init__(self, info, now, lease_expires_at, usage, fence):
        self._info = info
        self._usage = usage
        self.largest_capacity = info.capacity
        self.claimed_capacity = _ZERO
        self._used = _ZERO
        self._pass_reserved = _ZERO
        self._pass_reserved_until = -math.inf
        self._reserved = {}
        self._free = info.capacity
        self.listed = True
        self.unconfirmed = None
        self.unconfirmed_since = -math.inf
        self.refuted_born_ms = 0
        self.has_reported = False
        self.fence = fence
        self.fence_raised_at = -math.inf
        self.is_proven = False
        self.stored = False
        self.reachable = False
        self.reported_at = None
        self.unseen_ms = 0
        self.clock = None
        self.ends_known_at = -math.inf
        self.first_report_at = None
        self.lease_is_stored = False
        self.has_given_lease = False
        self.renewed_at = None
        self.started_at = None
        self.reads_all_ends = False
        self.lease_expires_at = lease_expires_at
        self.runs = {}
        self.unrecognized_runs = {}
        self.unaccounted_tasks = []
        self.last_end_number = 0
        self.acknowledged = 0
        self.failed_at = -1e9
        self.failed_starts = 0
        self.speed_class = 0
        self.very_slow = False
        self.phase = None  # see `_interference`

    @property
    def id(self):
        """Id of the worker."""
        return self._info.worker

    @property
    def info(self):
        """Entry of the worker in the list of workers."""
        return self._info

    @info.setter
    def info(self, info):
        free = self._free.plus(info.capacity).minus(self._info.capacity)
        self._info, self._free = info, free
        self.largest_capacity = self.largest_capacity.maximum(info.capacity)

    @property
    def has_entry(self):
        """Whether the list of workers has an entry of it."""
        return self.listed or self.unconfirmed is not None

    @property
    def may_have_runs(self):
        """Whether a known or an uncertain run may be on it."""
        return bool(
            self.runs or self.unrecognized_runs or self.unaccounted_tasks
        )

    @property
    def used(self):
        """Sum of the sizes of all runs on it."""
        return self._used

    @property
    def acknowledgement(self):
        """Number up to which a renewal may acknowledge ends.

        A worker that does not answer, or of which an entry says that it has
        started again, may be a new incarnation whose ends have the same
        numbers, and would forget them unread.
        """
        is_certain = (
            self.reachable and self.is_proven and self.unconfirmed is None
        )
        return self.acknowledged if is_certain else 0

    @property
    def may_renew(self):
        """Whether its leases may be renewed.

        Those on a worker that does not answer are to expire, so that its
        tasks can start elsewhere.
        """
        return self.reachable and not self.lease_is_stored

    @property
    def usable(self):
        """Whether tasks may be started on it."""
        return (
            self.stored
            and not self.lease_is_stored
            and self.listed
            and self.reachable
            and self.is_proven
            and self.unconfirmed is None
            and not self._info.draining
            and not self.unrecognized_runs
        )

    def available(self, step):
        """Return the resources that a step can use.

        They are neither used by runs nor reserved for other steps. What is
        reserved for the step itself remains available to it, even if a more
        urgent step has reserved the worker for this pass.  What is reserved
        for others in this pass is available to a step that ends before they
        can use it.
        """
        reserved = self._reserved.get(step.id)
        if reserved is None:
            if step.ends_by <= self._pass_reserved_until:
                return self._free.plus(self._pass_reserved)
            return self._free
        # Runs that were taken over may use more than the worker has free.
        overdrawn = self._free.plus(self._pass_reserved).minimum(_ZERO)
        return reserved.plus(self._free.maximum(overdrawn))

    def reserve_for_pass(self, size, usable_at):
        """Reserve resources for a more urgent step in this planning pass.

        Parameters
        ----------
        size : Size
        usable_at : float
            Time before which that step cannot use them.
        """
        if self._pass_reserved != _ZERO:
            usable_at = min(usable_at, self._pass_reserved_until)
        self._pass_reserved_until = usable_at
        self._pass_reserved = self._pass_reserved.plus(size)
        self._free = self._free.minus(size)

    def clear_pass_reservations(self):
        """Release what was reserved for the last planning pass."""
        if self._pass_reserved != _ZERO:
            self._free = self._free.plus(self._pass_reserved)
            self._pass_reserved = _ZERO
            self._pass_reserved_until = -math.inf

    def has_reservation(self, step):
        """Return whether resources are reserved for a step."""
        return step.id in self._reserved

    def reserve(self, step):
        """Reserve resources for one more task of a step."""
        size = self._reserved.get(step.id, _ZERO)
        self._reserved[step.id] = size.plus(step.spec.size)
        self._free = self._free.minus(step.spec.size)

    def cancel_reservation(self, step):
        """Release the resources that are reserved for a step."""
        size = self._reserved.pop(step.id, None)
        if size is not None:
            self._free = self._free.plus(size)

    def raise_fence(self, now):
        """Void the orders sent so far for an incarnation that comes next."""
        self.fence = _fences.raise_fence(self.fence)
        self.fence_raised_at = now
        self.is_proven = False

    def is_fenced(self, sent_at):
        """Return whether an answer proves that earlier orders are void.

        It does if the renewal that it answers was sent under the present
        fence, and no start since the fence was raised.

        Parameters
        ----------
        sent_at : float
            When the renewal was sent.
        """
        return not self.is_proven and sent_at >= self.fence_raised_at

    def extend_lease(self, now, lease_s):
        """Allow for a renewal by `lease_s`, which may reach the worker."""
        self.renewed_at = now
        self._extend_lease(now, lease_s)

    def _extend_lease(self, now, lease_s):
        self.has_given_lease = True
        expires_at = now + lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def allow_start(self, now):
        """Allow for the lease that a start gives, like a renewal.

        Returns
        -------
        float
            Time after which the start is void, and until which its task may
            run without a renewal.
        """
        self.started_at = now
        self._extend_lease(now, START_VALID_S)
        return now + START_VALID_S

    def add(self, run):
        """Add a run, which uses the resources of its task."""
        size = run.task.step.spec.size
        self.runs[run.task.id] = run
        self._usage.add(run)
        self._used = self._used.plus(size)
        self._free = self._free.minus(size)

    def remove(self, run):
        """Remove a run that has ended, and free its resources."""
        size = run.task.step.spec.size
        del self.runs[run.task.id]
        self._usage.remove(run)
        self._used = self._used.minus(size)
        self._free = self._free.plus(size)

    def run_count(self, step):
        """Return the number of runs of a step on this worker."""
        return sum(1 for run in self.runs.values() if run.task.step is step)
