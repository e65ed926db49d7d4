"""Numbered log events, metrics and trace spans."""

from fireflybridge_telemetry._context import TraceContext, parse_traceparent
from fireflybridge_telemetry._events import Event, EventEntry, Level, configure_logs, log_event
from fireflybridge_telemetry._export import ExportSettings, SpanExporter
from fireflybridge_telemetry._metrics import Metrics
from fireflybridge_telemetry._spans import EndedSpan, Span, SpanKind, Tracer, choose_traceparent

__all__ = [
    "EndedSpan",
    "Event",
    "EventEntry",
    "ExportSettings",
    "Level",
    "Metrics",
    "Span",
    "SpanExporter",
    "SpanKind",
    "TraceContext",
    "Tracer",
    "choose_traceparent",
    "configure_logs",
    "log_event",
    "parse_traceparent",
]
