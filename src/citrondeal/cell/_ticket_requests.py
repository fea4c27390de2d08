"""Fetches the tickets that the scheduler has asked for."""

import logging

from citrondeal.cell import _clock
from citrondeal import platform
from citrondeal import telemetry

# Time allowed for tickets on their way from the ticket service, through
# another member.
TICKET_RELAY_S = 0.1

_LOG = logging.getLogger(__name__)


async def fetch(scheduler, dispatcher, action, metrics):
    """Fetch tickets, and tell the scheduler which were granted.

    Parameters
    ----------
    scheduler : citrondeal.workflow.Scheduler
    dispatcher : citrondeal.cell._tickets.TicketDispatcher
    action : citrondeal.workflow.FetchTickets
    metrics : citrondeal.telemetry.Metrics
    """
    asked_at = _clock.now()
    grant = None
    with telemetry.contain(_LOG, "ticket call"):
        outcome = await dispatcher.fetch(
            platform.step_name(action.step), action
        )
        grant = outcome.ok()
    now = _clock.now()
    granted, valid_until = None, now
    if grant is not None:
        granted = grant.tickets
        # The validity counts from when the tickets were made, which was
        # before they arrived here.
        valid_until += grant.valid_s - TICKET_RELAY_S
    metrics.record("citrondeal.tickets.time", now - asked_at)
    scheduler.on_tickets(
        action.step, action.workers, granted, valid_until, now
    )
