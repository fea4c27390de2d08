"""Probes of a daemon: health, metrics, state dump and drain."""

import result

from citrondeal import errors


def probes_of(lifecycle, metrics, dump):
    """Return the functions that answer the probes of a daemon.

    Parameters
    ----------
    lifecycle : Lifecycle
        Queried for readiness, and told to drain.
    metrics : citrondeal.telemetry.Metrics
        Metrics to collect on each call of the probe.
    dump : callable
        Returns the JSON-ready state dump.

    Returns
    -------
    dict
        Async functions by field of `citrondeal.operators.Probes`.
    """

    async def live():
        return result.Ok({"live": True})

    async def ready():
        if lifecycle.ready:
            return result.Ok({"ready": True})
        message = "draining" if lifecycle.draining else "starting"
        return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))

    async def collect():
        return result.Ok(metrics.collect())

    async def state():
        return result.Ok(dump())

    async def drain():
        lifecycle.drain()
        return result.Ok({"draining": True})

    return {
        "live": live,
        "ready": ready,
        "metrics": collect,
        "dump": state,
        "drain": drain,
    }
