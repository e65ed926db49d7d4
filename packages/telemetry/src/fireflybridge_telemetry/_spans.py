"""Trace spans: sampling of requests and recording of their spans."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from fireflybridge_core import Task, TaskId
from fireflybridge_telemetry._context import (
    TraceContext,
    make_span_id,
    make_trace_id,
    parse_traceparent,
)

SAMPLED_SUFFIX = "-01"
# Bounds the memory for queue waits whose end this process never sees.
MAX_QUEUE_WAITS = 20_000

AttributeValue = str | int


class SpanKind(IntEnum):
    """Kind of a span, with the numeric values of OTLP."""

    INTERNAL = 1
    SERVER = 2
    CLIENT = 3


@dataclass(frozen=True, slots=True)
class Span:
    """Hold a span that has begun; ``started_ns`` is in nanoseconds since the Unix epoch."""

    name: str
    kind: SpanKind
    context: TraceContext
    parent_id: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class EndedSpan:
    """Hold a span that has ended, and its attributes."""

    span: Span
    ended_ns: int
    attributes: tuple[tuple[str, AttributeValue], ...]


class Tracer:
    """Begin and end spans of sampled traces; for others only the sampled flag is checked.

    ``emit`` receives each ended span and must not block. Without it nothing is sampled, and a
    caller's context is passed on unchanged.
    """

    def __init__(self, ratio: float, emit: Callable[[EndedSpan], None] | None) -> None:
        self._ratio = ratio
        self._emit = emit
        self._queue_waits: dict[TaskId, Span] = {}

    def begin_request(self, name: str, traceparent: str) -> tuple[str, Span | None]:
        """Begin a request; return the ``traceparent`` for its work, and its span if it is sampled."""
        caller = parse_traceparent(traceparent) if traceparent else None
        if self._emit is None:
            return ("" if caller is None else traceparent), None
        sampled = random.random() < self._ratio if caller is None else caller.sampled
        if not sampled:
            unsampled = TraceContext(make_trace_id(), make_span_id(), False)
            return str(unsampled) if caller is None else traceparent, None
        trace_id = make_trace_id() if caller is None else caller.trace_id
        context = TraceContext(trace_id, make_span_id(), True)
        parent_id = "" if caller is None else caller.span_id
        span = Span(name, SpanKind.SERVER, context, parent_id, time.time_ns())
        return str(context), span

    def begin(self, name: str, traceparent: str, kind: SpanKind) -> Span | None:
        """Begin a child span of ``traceparent``; return ``None`` if that is not sampled."""
        if self._emit is None or not traceparent.endswith(SAMPLED_SUFFIX):
            return None
        parent = parse_traceparent(traceparent)
        if parent is None or not parent.sampled:
            return None
        context = TraceContext(parent.trace_id, make_span_id(), True)
        return Span(name, kind, context, parent.span_id, time.time_ns())

    def end(self, span: Span | None, **attributes: AttributeValue) -> None:
        """End a span; attributes must not hold payloads or keys."""
        if span is not None and self._emit is not None:
            self._emit(EndedSpan(span, time.time_ns(), tuple(attributes.items())))

    def begin_queue_waits(self, tasks: Iterable[Task]) -> None:
        """Begin the queue wait span of each task."""
        if self._emit is None:
            return
        for task in tasks:
            if (
                task.traceparent.endswith(SAMPLED_SUFFIX)
                and len(self._queue_waits) < MAX_QUEUE_WAITS
            ):
                span = self.begin("queue wait", task.traceparent, SpanKind.INTERNAL)
                if span is not None:
                    self._queue_waits[task.id] = span

    def end_queue_wait(self, task: Task) -> None:
        """End the queue wait span of a task that leaves the queue, if it has one."""
        if self._queue_waits and (span := self._queue_waits.pop(task.id, None)) is not None:
            self.end(span, pool=task.pool)

    def end_queue_waits(self, tasks: Iterable[Task]) -> None:
        """End the queue wait spans of tasks that were dropped from the queue."""
        if self._queue_waits:
            for task in tasks:
                self.end_queue_wait(task)


def choose_traceparent(span: Span | None, traceparent: str) -> str:
    """Return the ``traceparent`` of a span, or the given one if there is no span."""
    return traceparent if span is None else str(span.context)
