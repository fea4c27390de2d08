"""Health checks, metrics, state dump and log level over HTTP."""

import json
import logging
import os
import resource

from citrondeal import errors
from citrondeal import web

_LEVELS = ("debug", "info", "warning", "error")
_PAGE = os.sysconf("SC_PAGE_SIZE")  # bytes


def usage():
    """Return processor seconds and memory of this process.

    Returns
    -------
    dict
        ``cpu_s`` in seconds since the start, ``rss_bytes`` now.
    """
    times = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm") as statm:
        resident = int(statm.read().split()[1]) * _PAGE
    return {
        "cpu_s": round(times.ru_utime + times.ru_stime, 4),
        "rss_bytes": resident,
    }


def add_probes(app, lifecycle, metrics, dump):
    """Add the paths that every daemon serves.

    Parameters
    ----------
    app : citrondeal.web.App
        Application to extend.
    lifecycle : Lifecycle
        Answers for readiness.
    metrics : citrondeal.telemetry.Metrics
        Collected on ``GET /metrics``.
    dump : callable
        Returns the JSON-ready state dump.
    """

    async def live(request):
        return web.json_response({"live": True})

    async def ready(request):
        is_ready = lifecycle.ready
        return web.json_response(
            {"ready": is_ready, "draining": lifecycle.draining},
            200 if is_ready else 503,
        )

    async def collect(request):
        body = metrics.collect().encode()
        return web.Response(200, body, {"content-type": "application/json"})

    async def state(request):
        body = json.dumps(dump(), default=str).encode()
        return web.Response(200, body, {"content-type": "application/json"})

    async def set_level(request):
        level = _requested_level(request.body)
        if level is None:
            message = f"level must be one of {', '.join(_LEVELS)}"
            return web.failure_response(
                errors.Failure(errors.Kind.MALFORMED, message)
            )
        logging.getLogger().setLevel(level.upper())
        return web.json_response({"level": level})

    async def drain(request):
        lifecycle.drain()
        return web.json_response({"draining": True}, 202)

    app.add("GET", "/livez", live)
    app.add("GET", "/readyz", ready)
    app.add("GET", "/metrics", collect)
    app.add("GET", "/debug/state", state)
    app.add("POST", "/debug/log-level", set_level)
    app.add("POST", "/v1/drain", drain)


def _requested_level(body):
    try:
        level = json.loads(body)["level"]
    except (ValueError, KeyError, TypeError):
        return None
    return level if level in _LEVELS else None
