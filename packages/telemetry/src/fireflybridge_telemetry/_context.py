"""W3C Trace Context: the ``traceparent`` header."""

import random
import re
from dataclasses import dataclass

SAMPLED_FLAG = 1
# Version 00 ends after the flags; later versions may append fields after another dash.
TRACEPARENT = re.compile(
    r"(?!ff)([0-9a-f]{2})-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})(-.*)?"
)
FIRST_VERSION = "00"


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Hold the ids of a trace and of one of its spans, and whether the trace is sampled."""

    trace_id: str
    span_id: str
    sampled: bool

    def __str__(self) -> str:
        return f"00-{self.trace_id}-{self.span_id}-{'01' if self.sampled else '00'}"


def parse_traceparent(text: str) -> TraceContext | None:
    """Return the context of a ``traceparent`` header, ``None`` when it is absent or invalid."""
    match = TRACEPARENT.fullmatch(text)
    if match is None or (match[1] == FIRST_VERSION and match[5]):
        return None
    return TraceContext(match[2], match[3], bool(int(match[4], 16) & SAMPLED_FLAG))


def make_trace_id() -> str:
    """Return a random trace id, which is never all zeros."""
    return f"{random.getrandbits(128) or 1:032x}"


def make_span_id() -> str:
    """Return a random span id, which is never all zeros."""
    return f"{random.getrandbits(64) or 1:016x}"
