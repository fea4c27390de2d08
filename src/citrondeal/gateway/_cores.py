"""The cores and borders that a gateway's shell connects."""

import dataclasses

import anyio.abc

from citrondeal import admission
from citrondeal import dedup
from citrondeal import endpoints
from citrondeal.gateway import _holdings
from citrondeal import logservice
from citrondeal import peers
from citrondeal import routing
from citrondeal import telemetry

ANSWER_OVERHEAD = 256  # bytes for headers of a kept answer
# Dispatches and forwards of one request, against endless rerouting.
MAX_TRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Cores:
    """What the parts of the shell share.

    Attributes
    ----------
    ledger : citrondeal.dedup.Ledger
        Decides whether an id may run.
    queues : citrondeal.admission.Queues
        Decides which request is next.
    table : citrondeal.routing.Table
        Decides where it goes.
    holdings : Holdings
        Leases on endpoints.
    directory : citrondeal.logservice.Directory
        Addresses of endpoints and gateways.
    client : citrondeal.endpoints.Client
        Connections to endpoints.
    links : citrondeal.peers.ConnectionPool
        Connections to gateways.
    task_group : anyio.abc.TaskGroup
        Runs attempts and calls.
    metrics : citrondeal.telemetry.Metrics
        Counts refusals, retries and waiting.
    """

    ledger: dedup.Ledger
    queues: admission.Queues
    table: routing.Table
    holdings: _holdings.Holdings
    directory: logservice.Directory
    client: endpoints.Client
    links: peers.ConnectionPool
    task_group: anyio.abc.TaskGroup
    metrics: telemetry.Metrics
