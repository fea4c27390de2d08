"""Calls to the ticket service that planning passes decide on."""

from citrondeal.workflow import _messages
from citrondeal.workflow import _placement
from citrondeal.workflow import _precedence
from citrondeal.workflow import _tickets


class TicketCalls:
    """Adds ticket calls of steps to the actions of a planning pass.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state

    def ask(self, step, unplaced, usable, actions, now):
        """Request tickets for workers that were not asked about yet."""
        if not step.job.policy.ticketed or not self._may_ask(step, now):
            return
        if not _tickets.has_unasked(step, usable.values()):
            return
        eligible = [
            w for w in usable.values() if _placement.is_eligible(step, w)
        ]
        expected_share = self._state.allowed_shares.expected(
            step.job.policy.queue
        )
        for group in _tickets.workers_to_ask(
            step, eligible, unplaced, expected_share
        ):
            self._add_call(step, group, actions, now)

    def renew(self, step, chosen, actions, now):
        """Renew the tickets of the chosen workers and reserve resources."""
        self._state.reserve(step, chosen)
        if self._may_renew(step, now):
            needed = {worker.id: worker for _, worker in chosen}
            self._add_renewals(step, list(needed.values()), actions, now)

    def renew_expired(self, actions, now):
        """Renew the tickets of starts that were recorded too late for them."""
        for step, workers in self._state.withheld.expired_tickets():
            if self._may_renew(step, now):
                self._add_renewals(step, workers, actions, now)

    def _add_renewals(self, step, workers, actions, now):
        for group in _tickets.renewal_groups(workers):
            self._add_call(step, group, actions, now, renewal=True)

    def _may_ask(self, step, now):
        return not step.open_calls and now >= step.ask_again_at

    def _may_renew(self, step, now):
        # Resources are reserved meanwhile, so a renewal does not wait for the
        # answers about further workers.
        return not step.open_renewals and now >= step.ask_again_at

    def _add_call(self, step, workers, actions, now, renewal=False):
        _tickets.on_call_sent(step, workers, renewal)
        step.wait.ticket_calls += 1
        policy = step.job.policy
        actions.append(
            _messages.FetchTickets(
                step.id,
                tuple(w.id for w in workers),
                policy.ticket_base_s + policy.ticket_each_s * len(workers),
                _precedence.urgency(step, now),
                renewal,
            )
        )
