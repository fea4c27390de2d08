"""Choice of endpoint, gateway and region for a request."""

from citrondeal.routing import _model
from citrondeal.routing import _table

__all__ = [
    "Config",
    "Endpoint",
    "Outcome",
    "Own",
    "Peer",
    "SendReport",
    "Table",
]

Config = _model.Config
Endpoint = _model.Endpoint
Outcome = _model.Outcome
Own = _model.Own
Peer = _model.Peer
SendReport = _model.SendReport
Table = _table.Table
