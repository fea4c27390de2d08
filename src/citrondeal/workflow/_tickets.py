"""Placement tickets of a step: who may run it, and until when."""

import dataclasses

# A ticket must still be valid when the start arrives at the worker.
MARGIN_S = 0.3
RETRY_S = 0.3
# Workers in one call; the call takes longer with each of them.
CALL_LIMIT = 30
ROUND_LIMIT = 4  # calls for one step at the same time
# A gang that finds no room asks about so many times the places that it needs:
# the rest is expected to be in use when room becomes free.
AMPLE = 3
# Expected share of allowed workers before a queue has any answers, and the
# weight of that expectation in workers asked about.
FIRST_SHARE = 0.5
FIRST_WEIGHT = 30


class Shares:
    """Shares of workers that the service has allowed, by queue."""

    def __init__(self):
        self._counts = {}

    def expected(self, queue):
        """Return the share to expect of the next answer."""
        granted, asked = self._counts.get(queue, (0, 0))
        first = FIRST_SHARE * FIRST_WEIGHT
        return (first + granted) / (FIRST_WEIGHT + asked)

    def note(self, queue, granted, asked):
        """Note an answer about workers that were not asked about before."""
        before = self._counts.get(queue, (0, 0))
        self._counts[queue] = (before[0] + granted, before[1] + asked)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker."""

    value: str
    born_ms: int
    valid_until: float


def allowed(step, workers):
    """Return the workers that are known to be allowed to run a step.

    Parameters
    ----------
    step : StepState
    workers : dict of str to WorkerState
        Those that may be used.
    """
    if not step.job.policy.ticketed:
        return list(workers.values())
    return [
        worker
        for name, ticket in step.tickets.items()
        if (worker := workers.get(name)) is not None
        and ticket.born_ms == worker.info.born_ms
    ]


def valid(step, worker, now):
    """Return the ticket value for a start now, or None."""
    if not step.job.policy.ticketed:
        return ""
    ticket = step.tickets.get(worker.id)
    if ticket is None or ticket.born_ms != worker.info.born_ms:
        return None
    if ticket.valid_until - MARGIN_S <= now:
        return None
    return ticket.value


def at_hand(step, worker, now):
    """Return whether a ticket is valid, or is renewed and its room held.

    A choice of other workers would need another call, and the tickets at
    hand would be over when it is answered.
    """
    return worker.holds_for(step) or valid(step, worker, now) is not None


def next_round(step, workers, missing, share):
    """Return the workers to ask about next, a list for each call.

    The calls are made at the same time by different members, because the
    tickets of a first call would be over before a second one after it is
    answered.

    Parameters
    ----------
    step : StepState
    workers : list of WorkerState
        Workers that could run the step.
    missing : int
        Tasks without an allowed worker that has room.
    share : float
        Share of the workers that the service is expected to allow.
    """
    fresh = [w for w in workers if step.asked.get(w.id) != w.info.born_ms]
    fresh.sort(key=lambda w: (-w.room(step).millicores, w.id))
    lacking = _lacking(step, workers)
    groups = []
    for start in range(0, len(fresh), CALL_LIMIT):
        group = fresh[start : start + CALL_LIMIT]
        room = sum(step.spec.size.count_in(w.room(step)) for w in group)
        useful = lacking > 0 or (room and missing > 0)
        if groups and (not useful or len(groups) >= ROUND_LIMIT):
            break
        groups.append(group)
        missing -= share * room
        lacking -= share * _places_on(step, group)
    return groups


def _lacking(step, workers):
    """Return how many places, free or not, a gang should ask about."""
    if not step.spec.gang:
        return 0
    known = [w for w in workers if w.id in step.tickets]
    return AMPLE * len(step.tasks) - _places_on(step, known)


def _places_on(step, workers):
    size = step.spec.size
    return sum(size.count_in(worker.info.capacity) for worker in workers)


def on_asked(step, workers):
    """Note that a call for these workers is under way."""
    step.calls += 1
    for worker in workers:
        step.asked[worker.id] = worker.info.born_ms


def on_answer(step, asked, granted, valid_until, now):
    """Note the answer of the service.

    Parameters
    ----------
    step : StepState
    asked : list of WorkerState
        Workers that the call named.
    granted : dict of str to str, or None
        Ticket values by worker; None if the call failed.
    valid_until : float
        Until when the tickets are valid.
    now : float
    """
    step.calls -= 1
    if granted is None:
        step.fetch_after = now + RETRY_S
        for worker in asked:
            if worker.id not in step.tickets:
                step.asked.pop(worker.id, None)
        return
    for worker in asked:
        value = granted.get(worker.id)
        if value is None:
            step.tickets.pop(worker.id, None)
            continue
        step.tickets[worker.id] = Ticket(
            value, worker.info.born_ms, valid_until
        )
