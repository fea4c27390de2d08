"""Fault switches and the server loop of all stand-ins."""

import functools
import json
import logging
import signal

import anyio

from citrondeal import web

# The platform never answers with this status; clients do not know whether
# the request took effect, as if the answer had been lost on the way.
LOST_ANSWER_STATUS = 599


class Faults:
    """Named fault switches, set over HTTP.

    Attributes
    ----------
    values : dict of str to float
        Current value of each switch; zero is off.
    """

    def __init__(self, **defaults):
        self.values = dict(defaults)

    def __getitem__(self, name):
        return self.values[name]

    async def handle(self, request):
        """Answer ``POST /faults`` with a JSON object of switches."""
        update = json.loads(request.body or b"{}")
        unknown = set(update) - set(self.values)
        if unknown:
            return web.json_response({"unknown": sorted(unknown)}, 400)
        self.values.update(update)
        return web.json_response(self.values)


def split_address(address):
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def serve_apps(apps, server_listeners=()):
    """Serve each ``(address, app)`` until SIGTERM or SIGINT.

    Parameters
    ----------
    apps : list of (str, web.App)
        Address and application of each server.
    server_listeners : list of callable, optional
        Each is called with the running server of the application at the
        same index of `apps`.
    """
    logging.basicConfig(level=logging.WARNING)
    # Requests that a fault leaves unanswered are cancelled at the end, which
    # uvicorn would log as errors.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as task_group:
            for index, (address, app) in enumerate(apps):
                host, port = split_address(address)
                server = await task_group.start(
                    functools.partial(web.run_server, app, host, port, 1.0)
                )
                if server_listeners:
                    server_listeners[index](server)
            print("ready", flush=True)
            async for _ in signals:
                task_group.cancel_scope.cancel()
                break


def as_list(value):
    """Return the items of a comma-separated argument as fire parsed it."""
    return list(value) if isinstance(value, tuple) else str(value).split(",")
