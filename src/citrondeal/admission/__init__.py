"""Request queues of a gateway: classes, teams, shares, deadlines, retries."""

from citrondeal.admission import _model
from citrondeal.admission import _queues

__all__ = [
    "Admitted",
    "CLASSES",
    "Config",
    "Queues",
    "Refusal",
    "Request",
    "ServiceConfig",
    "TakeResult",
]

Admitted = _model.Admitted
CLASSES = _model.CLASSES
Config = _model.Config
Queues = _queues.Queues
Refusal = _model.Refusal
Request = _model.Request
ServiceConfig = _model.ServiceConfig
TakeResult = _model.TakeResult
