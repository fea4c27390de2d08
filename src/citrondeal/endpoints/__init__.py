"""HTTP client to endpoints."""

from citrondeal.endpoints import _client

__all__ = ["Client", "Outcome", "Sent", "not_after_header"]

Client = _client.Client
Outcome = _client.Outcome
Sent = _client.Sent
not_after_header = _client.not_after_header
