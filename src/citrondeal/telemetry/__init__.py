"""Structured logs, OpenTelemetry metrics and sizes of HTTP exchanges."""

from citrondeal.telemetry import _errors
from citrondeal.telemetry import _line_limit
from citrondeal.telemetry import _logs
from citrondeal.telemetry import _metrics
from citrondeal.telemetry import _traffic

__all__ = [
    "LineLimit",
    "Metrics",
    "configure_logging",
    "contain",
    "event",
    "http_bytes",
    "keep_running",
    "unexpected_errors",
]

LineLimit = _line_limit.LineLimit
Metrics = _metrics.Metrics
configure_logging = _logs.configure_logging
contain = _errors.contain
event = _logs.event
http_bytes = _traffic.http_bytes
keep_running = _errors.keep_running
unexpected_errors = _errors.unexpected_errors
