"""Placement tickets of a step: who may run it, and until when."""

import dataclasses

# A ticket must still be valid when the start arrives at the worker.
MARGIN_S = 0.3
RETRY_S = 0.3
# Workers in one call; the call takes longer with each of them.
CALL_LIMIT = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker."""

    value: str
    born_ms: int
    valid_until: float


def allowed(step, workers):
    """Return those of `workers` that are known to be allowed to run it."""
    if not step.job.policy.ticketed:
        return workers
    return [
        w
        for w in workers
        if w.id in step.tickets
        and step.tickets[w.id].born_ms == w.info.born_ms
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
    return step.id in worker.reserved or valid(step, worker, now) is not None


def unasked(step, workers):
    """Return the workers to ask about first, those with most room first."""
    fresh = [w for w in workers if step.asked.get(w.id) != w.info.born_ms]
    fresh.sort(key=lambda w: (-w.room(step).millicores, w.id))
    return fresh[:CALL_LIMIT]


def on_asked(step, workers):
    """Note that a call for these workers is under way."""
    step.fetching = True
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
    step.fetching = False
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
