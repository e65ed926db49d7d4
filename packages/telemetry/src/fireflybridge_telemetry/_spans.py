"""Trace spans: which requests are sampled, and the hops of those that are."""

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
# Bounds the memory for tasks whose end this process never sees.
MAX_WAITING = 20_000

AttributeValue = str | int


class SpanKind(IntEnum):
    """Name a span's side of a call, with the numbers of OTLP."""

    INTERNAL = 1
    SERVER = 2
    CLIENT = 3


@dataclass(frozen=True, slots=True)
class Span:
    """Hold a span that has begun; ``started_ns`` counts from the Unix epoch."""

    name: str
    kind: SpanKind
    context: TraceContext
    parent_id: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class EndedSpan:
    """Hold a whole span."""

    span: Span
    ended_ns: int
    attributes: tuple[tuple[str, AttributeValue], ...]


class Tracer:
    """Begin and end spans of sampled traces; others cost a look at the flag.

    ``emit`` takes each ended span and never waits. Without it nothing is sampled, and a caller's
    context is passed on as it came.
    """

    def __init__(self, ratio: float, emit: Callable[[EndedSpan], None] | None) -> None:
        self._ratio = ratio
        self._emit = emit
        self._waiting: dict[TaskId, Span] = {}

    def accept(self, name: str, traceparent: str) -> tuple[str, Span | None]:
        """Return the ``traceparent`` for a request's own work, and its span if it is sampled."""
        caller = parse_traceparent(traceparent) if traceparent else None
        if self._emit is None:
            return ("" if caller is None else traceparent), None
        sampled = random.random() < self._ratio if caller is None else caller.sampled
        if not sampled:
            fresh = TraceContext(make_trace_id(), make_span_id(), False)
            return str(fresh) if caller is None else traceparent, None
        trace_id = make_trace_id() if caller is None else caller.trace_id
        context = TraceContext(trace_id, make_span_id(), True)
        parent_id = "" if caller is None else caller.span_id
        span = Span(name, SpanKind.SERVER, context, parent_id, time.time_ns())
        return str(context), span

    def begin(self, name: str, traceparent: str, kind: SpanKind) -> Span | None:
        """Begin a span below ``traceparent``, ``None`` when that is not sampled."""
        if self._emit is None or not traceparent.endswith(SAMPLED_SUFFIX):
            return None
        parent = parse_traceparent(traceparent)
        if parent is None or not parent.sampled:
            return None
        context = TraceContext(parent.trace_id, make_span_id(), True)
        return Span(name, kind, context, parent.span_id, time.time_ns())

    def end(self, span: Span | None, **attributes: AttributeValue) -> None:
        """End a span; attributes hold neither payloads nor keys."""
        if span is not None and self._emit is not None:
            self._emit(EndedSpan(span, time.time_ns(), tuple(attributes.items())))

    def begin_waits(self, tasks: Iterable[Task]) -> None:
        """Begin the queue wait of each task."""
        if self._emit is None:
            return
        for task in tasks:
            if task.traceparent.endswith(SAMPLED_SUFFIX) and len(self._waiting) < MAX_WAITING:
                span = self.begin("queue wait", task.traceparent, SpanKind.INTERNAL)
                if span is not None:
                    self._waiting[task.id] = span

    def end_wait(self, task: Task) -> None:
        """End the queue wait of a task that leaves the queue, if it has one."""
        if self._waiting and (span := self._waiting.pop(task.id, None)) is not None:
            self.end(span, pool=task.pool)

    def end_waits(self, tasks: Iterable[Task]) -> None:
        """End the queue waits of tasks that were dropped from the queue."""
        if self._waiting:
            for task in tasks:
                self.end_wait(task)


def find_context(span: Span | None, traceparent: str) -> str:
    """Return the ``traceparent`` of a span, or the given one if there is none."""
    return traceparent if span is None else str(span.context)
