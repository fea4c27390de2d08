"""Following one stream of the log service."""

import logging

import anyio

from citrondeal import telemetry

LONG_POLL_S = 1.0  # default time for which the service holds a read
# Pause after a failed read; short, because leases and settings wait for it.
RETRY_S = 0.25

_LOG = logging.getLogger(__name__)


async def follow(
    log,
    stream,
    position,
    on_batch,
    on_failed,
    wait_s=LONG_POLL_S,
    pause_s=0.0,
):
    """Read a stream from its end position on, until cancelled.

    Parameters
    ----------
    log : citrondeal.logservice.LogClient
        Client of the log service.
    stream : str
        Name of the stream.
    position : callable
        Returns the next offset to read.
    on_batch : callable
        Takes a `logservice.Batch` and the time before the read was sent, in
        monotonic seconds.
    on_failed : callable
        Takes the time of a failed read.
    wait_s : float
        Seconds for which the service may hold a read without records.
    pause_s : float
        Seconds between two reads, so that the records of several writers
        come in one answer.
    """
    failing = False
    while True:
        started = anyio.current_time()
        outcome = await log.read(stream, position(), wait_s)
        if outcome.is_ok():
            failing = False
            on_batch(outcome.ok_value, started)
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
        await anyio.sleep(RETRY_S)
