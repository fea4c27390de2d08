"""Structured logs, OpenTelemetry metrics and the state dump."""

from citrondeal.telemetry import _logs
from citrondeal.telemetry import _metrics

__all__ = ["Metrics", "configure_logging", "event"]

Metrics = _metrics.Metrics
configure_logging = _logs.configure_logging
event = _logs.event
