"""State and clients that the classes of one gateway share."""

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

# Added to the length of a body to account for its headers.
HEADER_OVERHEAD_BYTES = 256
# Limit of dispatches and forwards per request; prevents endless rerouting.
MAX_TRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """State and clients that the classes of the gateway share.

    Attributes
    ----------
    ledger : citrondeal.dedup.Ledger
        Decides whether a request id may run.
    queues : citrondeal.admission.Queues
        Decides which request is dispatched next.
    table : citrondeal.routing.Table
        Chooses the endpoint or the gateway for a request.
    held_endpoints : HeldEndpoints
        Endpoints under leases of this gateway.
    directory : citrondeal.logservice.Directory
        Addresses of endpoints and gateways.
    client : citrondeal.endpoints.Client
        Connections to endpoints.
    links : citrondeal.peers.ConnectionPool
        Connections to gateways.
    task_group : anyio.abc.TaskGroup
        Runs attempts and calls.
    metrics : citrondeal.telemetry.Metrics
        Counts attempts, refusals and retries; records waiting times.
    """

    ledger: dedup.Ledger
    queues: admission.Queues
    table: routing.Table
    held_endpoints: _holdings.HeldEndpoints
    directory: logservice.Directory
    client: endpoints.Client
    links: peers.ConnectionPool
    task_group: anyio.abc.TaskGroup
    metrics: telemetry.Metrics
