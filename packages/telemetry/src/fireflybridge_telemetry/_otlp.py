"""Encoding of spans for OTLP over HTTP with JSON."""

from collections.abc import Sequence

import msgspec

from fireflybridge_telemetry._spans import AttributeValue, EndedSpan

SERVICE_NAME = "fireflybridge"


class _Value(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    string_value: str | None = None
    # OTLP writes 64-bit integers as strings in JSON.
    int_value: str | None = None


class _Attribute(msgspec.Struct, frozen=True):
    key: str
    value: _Value


class _Span(msgspec.Struct, frozen=True, rename="camel"):
    trace_id: str
    span_id: str
    parent_span_id: str
    name: str
    kind: int
    start_time_unix_nano: str
    end_time_unix_nano: str
    attributes: tuple[_Attribute, ...]


class _Scope(msgspec.Struct, frozen=True):
    name: str


class _ScopeSpans(msgspec.Struct, frozen=True):
    scope: _Scope
    spans: tuple[_Span, ...]


class _Resource(msgspec.Struct, frozen=True):
    attributes: tuple[_Attribute, ...]


class _ResourceSpans(msgspec.Struct, frozen=True, rename="camel"):
    resource: _Resource
    scope_spans: tuple[_ScopeSpans, ...]


class _Request(msgspec.Struct, frozen=True, rename="camel"):
    resource_spans: tuple[_ResourceSpans, ...]


def encode_spans(daemon: str, incarnation: str, spans: Sequence[EndedSpan]) -> bytes:
    """Return the body of an export request for the spans of one daemon."""
    resource = _Resource(
        (
            _encode_attribute("service.name", SERVICE_NAME),
            _encode_attribute("service.instance.id", incarnation),
            _encode_attribute("host.name", daemon),
        )
    )
    scope_spans = _ScopeSpans(_Scope(SERVICE_NAME), tuple(_encode_span(span) for span in spans))
    return msgspec.json.encode(_Request((_ResourceSpans(resource, (scope_spans,)),)))


def _encode_span(ended: EndedSpan) -> _Span:
    span = ended.span
    return _Span(
        trace_id=span.context.trace_id,
        span_id=span.context.span_id,
        parent_span_id=span.parent_id,
        name=span.name,
        kind=int(span.kind),
        start_time_unix_nano=str(span.started_ns),
        end_time_unix_nano=str(ended.ended_ns),
        attributes=tuple(_encode_attribute(key, value) for key, value in ended.attributes),
    )


def _encode_attribute(key: str, value: AttributeValue) -> _Attribute:
    match value:
        case int():
            return _Attribute(key, _Value(int_value=str(value)))
        case _:
            return _Attribute(key, _Value(string_value=value))
