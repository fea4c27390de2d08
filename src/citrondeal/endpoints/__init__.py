"""HTTP client that sends the requests of callers to endpoints."""

from citrondeal.endpoints import _client

__all__ = ["Client", "Delivery", "Outcome", "not_after_header"]

Client = _client.Client
Delivery = _client.Delivery
Outcome = _client.Outcome
not_after_header = _client.not_after_header
