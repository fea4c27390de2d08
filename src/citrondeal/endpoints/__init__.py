"""HTTP client to endpoints."""

from citrondeal.endpoints import _client

__all__ = ["Client", "Outcome", "Sent"]

Client = _client.Client
Outcome = _client.Outcome
Sent = _client.Sent
