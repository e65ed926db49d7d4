"""Decoding of OTLP export requests into spans."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

TRACE_ID = re.compile(r"(?!0{32})[0-9a-f]{32}")
SPAN_ID = re.compile(r"(?!0{16})[0-9a-f]{16}")
NANOSECONDS = re.compile(r"[1-9][0-9]*")
KINDS = range(1, 6)  # internal to consumer; 0 is unspecified


class MalformedSpanError(Exception):
    """Span or resource that violates the OTLP JSON encoding."""


@dataclass(frozen=True, slots=True)
class CollectedSpan:
    """Span with the host that sent it; times are nanoseconds since the Unix epoch."""

    host: str
    trace_id: str
    span_id: str
    parent_id: str
    name: str
    kind: int
    started_ns: int
    ended_ns: int
    attributes: dict[str, str]


def decode_request(request: dict[str, Any]) -> Iterator[CollectedSpan]:
    """Yield the spans of an export request; raise ``MalformedSpanError`` for an invalid one."""
    for resource_spans in request["resourceSpans"]:
        resource = _decode_attributes(resource_spans["resource"])
        if not resource.get("service.name"):
            raise MalformedSpanError("resource without service.name")
        for scope_spans in resource_spans["scopeSpans"]:
            for span in scope_spans["spans"]:
                yield _decode_span(resource.get("host.name", ""), span)


def _decode_span(host: str, span: dict[str, Any]) -> CollectedSpan:
    parent_id = span.get("parentSpanId", "")
    times = (span["startTimeUnixNano"], span["endTimeUnixNano"])
    if not TRACE_ID.fullmatch(span["traceId"]) or not SPAN_ID.fullmatch(span["spanId"]):
        raise MalformedSpanError(f"ids of {span}")
    if parent_id and not SPAN_ID.fullmatch(parent_id):
        raise MalformedSpanError(f"parent of {span}")
    if not span["name"] or span["kind"] not in KINDS:
        raise MalformedSpanError(f"name or kind of {span}")
    if not all(isinstance(time, str) and NANOSECONDS.fullmatch(time) for time in times):
        raise MalformedSpanError(f"times of {span}")
    return CollectedSpan(
        host=host,
        trace_id=span["traceId"],
        span_id=span["spanId"],
        parent_id=parent_id,
        name=span["name"],
        kind=span["kind"],
        started_ns=int(times[0]),
        ended_ns=int(times[1]),
        attributes=_decode_attributes(span),
    )


def _decode_attributes(owner: dict[str, Any]) -> dict[str, str]:
    return {
        attribute["key"]: str(next(iter(attribute["value"].values())))
        for attribute in owner.get("attributes", ())
    }
