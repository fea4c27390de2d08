"""Choice of endpoint, gateway and region for a request."""

from citrondeal.routing import _model
from citrondeal.routing import _table

__all__ = [
    "Config",
    "Endpoint",
    "LocalEndpoint",
    "Outcome",
    "Peer",
    "SendReport",
    "Table",
]

Config = _model.Config
Endpoint = _model.Endpoint
LocalEndpoint = _model.LocalEndpoint
Outcome = _model.Outcome
Peer = _model.Peer
SendReport = _model.SendReport
Table = _table.Table
