"""HTTP client for the periodic exchange with workers."""

from citrondeal.workers import _client

__all__ = ["Client"]

Client = _client.Client
