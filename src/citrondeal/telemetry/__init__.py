"""Structured logs, OpenTelemetry metrics and sizes of HTTP exchanges."""

from citrondeal.telemetry import _logs
from citrondeal.telemetry import _metrics
from citrondeal.telemetry import _traffic

__all__ = ["Metrics", "configure_logging", "event", "http_bytes"]

Metrics = _metrics.Metrics
configure_logging = _logs.configure_logging
event = _logs.event
http_bytes = _traffic.http_bytes
