"""Placement tickets, which allow a worker to run a step for some time."""

import dataclasses
import math

# A ticket must still be valid when the start arrives at the worker.
VALIDITY_MARGIN_S = 0.3
RETRY_S = 0.3
# A call takes longer with each worker that it names.
WORKERS_PER_CALL = 30
CALLS_PER_ROUND = 9  # for one step at the same time
MAX_WORKERS_PER_CALL = 100  # the ticket service rejects larger calls
# A gang that does not fit asks about workers with this many times the capacity
# that it needs, because only some of them are expected to be free at the same
# time, and the tickets of one round expire before the next is answered.
GANG_CANDIDATE_FACTOR = 8
# The tickets of the first round are worth nothing if the gang then does not
# fit, so it asks about free workers for this many times its tasks.
GANG_FIT_MARGIN = 2
# Expected share of allowed workers before a queue has any answers, and the
# number of workers asked about whose answers weigh as much as it.
PRIOR_SHARE = 0.5
PRIOR_WEIGHT = 30


class AllowedShares:
    """Shares of workers that the ticket service has allowed, by queue."""

    def __init__(self):
        self._counts = {}

    def expected(self, queue):
        """Return the share of workers that the next answer will allow."""
        granted, asked = self._counts.get(queue, (0, 0))
        prior = PRIOR_SHARE * PRIOR_WEIGHT
        return (prior + granted) / (PRIOR_WEIGHT + asked)

    def record(self, queue, granted, asked):
        """Count an answer about workers without an earlier ticket."""
        before = self._counts.get(queue, (0, 0))
        self._counts[queue] = (before[0] + granted, before[1] + asked)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker.

    Attributes
    ----------
    value : str
        Passed to the worker with the start.
    born_ms : int
        Incarnation of the worker.
    valid_until : float
        Time on the scheduler's clock.
    """

    value: str
    born_ms: int
    valid_until: float


def allowed_workers(step, workers):
    """Return the workers that are known to be allowed to run a step.

    Parameters
    ----------
    step : StepState
    workers : dict of str to WorkerState
        Workers that may be used.
    """
    if not step.job.policy.ticketed:
        return list(workers.values())
    return [
        worker
        for name in step.tickets
        if (worker := workers.get(name)) is not None
        and is_allowed(step, worker)
    ]


def is_allowed(step, worker):
    """Return whether a worker is known to be allowed to run a step.

    Its ticket may have expired, see `valid_ticket`.
    """
    if not step.job.policy.ticketed:
        return True
    ticket = step.tickets.get(worker.id)
    return ticket is not None and ticket.born_ms == worker.info.born_ms


def is_refused(step, worker):
    """Return whether the service has refused a ticket for a worker."""
    return (
        _is_asked(step, worker)
        and not step.open_calls
        and not is_allowed(step, worker)
    )


def valid_ticket(step, worker, now):
    """Return the value of the ticket for a start now.

    Returns
    -------
    str or None
        Empty if the queue needs no tickets; None if a valid one is missing.
    """
    if not step.job.policy.ticketed:
        return ""
    ticket = step.tickets.get(worker.id)
    if ticket is None or ticket.born_ms != worker.info.born_ms:
        return None
    if ticket.valid_until - VALIDITY_MARGIN_S <= now:
        return None
    return ticket.value


def has_ticket_or_reservation(step, worker, now):
    """Return whether a worker has a valid ticket or reserved resources.

    Resources are reserved while a ticket is renewed. Choosing other workers
    would need another call, and the tickets that are valid now would have
    expired when it is answered.
    """
    return (
        worker.has_reservation(step)
        or valid_ticket(step, worker, now) is not None
    )


def has_unasked(step, workers):
    """Return whether a step has not asked about some of the workers yet."""
    return not all(_is_asked(step, worker) for worker in workers)


def _is_asked(step, worker):
    return step.asked_incarnations.get(worker.id) == worker.info.born_ms


def workers_to_ask(step, workers, unplaced, expected_share):
    """Return the workers to ask about next, as one list for each call.

    The calls are made at the same time by different members of the cell. If
    they were made one after another, the tickets of the first would expire
    before the last is answered.

    Parameters
    ----------
    step : StepState
    workers : list of WorkerState
        Workers that could run the step.
    unplaced : int
        Number of tasks that fit on no allowed worker.
    expected_share : float
        Share of the workers that the service is expected to allow.

    Returns
    -------
    list of list of WorkerState
    """
    unasked = [w for w in workers if not _is_asked(step, w)]
    unasked.sort(key=lambda w: (-w.available(step).millicores, w.id))
    if step.spec.gang and step.asked_incarnations:
        # It has not fitted on those allowed so far. If it asked about a few
        # more in each round, the tickets of a round would expire before the
        # next one is answered.
        return _split(unasked, WORKERS_PER_CALL)[:CALLS_PER_ROUND]
    if step.spec.gang:
        unplaced *= GANG_FIT_MARGIN
    gang_shortfall = _gang_shortfall(step, workers)
    groups = []
    for start in range(0, len(unasked), WORKERS_PER_CALL):
        group = unasked[start : start + WORKERS_PER_CALL]
        fitting_tasks = sum(
            step.spec.size.count_in(w.available(step)) for w in group
        )
        useful = unplaced > 0 and (fitting_tasks or gang_shortfall > 0)
        if groups and (not useful or len(groups) >= CALLS_PER_ROUND):
            break
        groups.append(group)
        unplaced -= expected_share * fitting_tasks
        gang_shortfall -= expected_share * _task_capacity(step, group)
    return groups


def renewal_groups(workers):
    """Return the workers of a renewal, as one list for each call.

    The calls are made at the same time.  They name more than the usual number
    of workers only if there would be more calls than in a first round.

    Parameters
    ----------
    workers : list of WorkerState

    Returns
    -------
    list of list of WorkerState
    """
    calls = max(
        min(math.ceil(len(workers) / WORKERS_PER_CALL), CALLS_PER_ROUND),
        math.ceil(len(workers) / MAX_WORKERS_PER_CALL),
    )
    return _split(workers, math.ceil(len(workers) / max(1, calls)))


def _split(workers, size):
    """Return lists of at most `size` workers in their order."""
    return [
        workers[start : start + size]
        for start in range(0, len(workers), max(1, size))
    ]


def _gang_shortfall(step, workers):
    """Return for how many more tasks of a gang to ask about workers.

    Capacity counts whether it is free or not.
    """
    if not step.spec.gang:
        return 0
    known = [w for w in workers if w.id in step.tickets]
    return GANG_CANDIDATE_FACTOR * len(step.tasks) - _task_capacity(
        step, known
    )


def _task_capacity(step, workers):
    size = step.spec.size
    return sum(size.count_in(worker.info.capacity) for worker in workers)


def on_call_sent(step, workers, renewal):
    """Record that a call about these workers was sent."""
    step.open_calls += 1
    if renewal:
        step.open_renewals.add(tuple(worker.id for worker in workers))
    for worker in workers:
        step.asked_incarnations[worker.id] = worker.info.born_ms


def on_answer(step, asked, granted, valid_until, now):
    """Record the answer of the ticket service to one call.

    Parameters
    ----------
    step : StepState
    asked : list of WorkerState
        Workers that the call named.
    granted : dict of str to str, or None
        Ticket values by worker; None if the call failed.
    valid_until : float
        Time at which the tickets expire.
    now : float
    """
    step.open_calls -= 1
    if granted is None:
        step.ask_again_at = now + RETRY_S
        for worker in asked:
            if worker.id not in step.tickets:
                step.asked_incarnations.pop(worker.id, None)
        return
    for worker in asked:
        value = granted.get(worker.id)
        if value is None:
            step.tickets.pop(worker.id, None)
            continue
        step.tickets[worker.id] = Ticket(
            value, worker.info.born_ms, valid_until
        )
