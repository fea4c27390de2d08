"""Polls the list of VMs of the platform."""

import logging

import anyio

from citrondeal import lifecycle
from citrondeal import telemetry

POLL_INTERVAL_S = 1.0  # bounds the delay until a leaving VM is noticed

_LOG = logging.getLogger(__name__)


async def poll_vms(client, directory, on_changed, on_read=None):
    """Keep `directory` up to date until cancelled.

    Parameters
    ----------
    client : citrondeal.logservice.VmClient
        Client of the platform's list.
    directory : citrondeal.logservice.Directory
        Updated in place.  Keeps the last list while reads fail.
    on_changed : callable
        Called without arguments after each change of the list.
    on_read : callable, optional
        Called without arguments after each read that succeeded.
    """
    failing = False
    while True:
        requested_at = lifecycle.boot_time_s()
        outcome = await client.read()
        now = anyio.current_time()
        if outcome.is_err():
            if not failing:
                telemetry.event(
                    _LOG,
                    logging.WARNING,
                    "VM list is unreachable; keeping the last one",
                    reason=outcome.err_value.message,
                )
            failing = True
        else:
            failing = False
            directory.mark_requested(requested_at)
            if outcome.ok_value is None:
                directory.mark_unchanged(now)
            elif directory.update(outcome.ok_value, now):
                on_changed()
            if on_read is not None:
                on_read()
        await anyio.sleep(POLL_INTERVAL_S)
