"""Reads one stream of the log service continuously."""

import logging

import anyio

from citrondeal import lifecycle
from citrondeal import telemetry

DEFAULT_LONG_POLL_S = 1.0
# Pause after a failed read; short, because leases and settings depend on the
# stream.
RETRY_PAUSE_S = 0.25

_LOG = logging.getLogger(__name__)


async def follow(
    log,
    stream,
    position,
    on_batch,
    on_failed,
    wait_s=DEFAULT_LONG_POLL_S,
    pause_s=0.0,
):
    """Read a stream from `position` on until cancelled.

    Parameters
    ----------
    log : citrondeal.logservice.LogClient
        Client of the log service.
    stream : str
        Name of the stream.
    position : callable
        Returns the next offset to read.
    on_batch : callable
        ``on_batch(batch, sent_at, sent_at_boot)`` takes a
        `logservice.Batch` and the time before the read was sent, in
        monotonic seconds and as `lifecycle.boot_time_s`.
    on_failed : callable
        ``on_failed(now)`` takes the time of a failed read in monotonic
        seconds.
    wait_s : float
        Seconds for which the service holds a read while there are no new
        records.
    pause_s : float
        Seconds between two reads, so that one read returns the records of
        several writers.
    """
    failing = False
    while True:
        sent_at = anyio.current_time()
        sent_at_boot = lifecycle.boot_time_s()
        outcome = await log.read(stream, position(), wait_s)
        if outcome.is_ok():
            failing = False
            on_batch(outcome.ok_value, sent_at, sent_at_boot)
            await anyio.sleep(pause_s)
            continue
        on_failed(anyio.current_time())
        if not failing:
            failing = True
            telemetry.event(
                _LOG,
                logging.WARNING,
                "log stream is unreachable",
                stream=stream,
                reason=outcome.err_value.message,
            )
        await anyio.sleep(RETRY_PAUSE_S)
