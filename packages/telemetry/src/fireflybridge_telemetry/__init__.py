"""Numbered log events, metrics and trace context."""

from fireflybridge_telemetry._events import Event, EventEntry, Level, configure_logs, log_event
from fireflybridge_telemetry._metrics import Metrics

__all__ = ["Event", "EventEntry", "Level", "Metrics", "configure_logs", "log_event"]
