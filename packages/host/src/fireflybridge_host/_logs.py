"""Structured log lines on standard output, rate-limited and never blocking."""

import os
import sys
import time
from typing import Any

import msgspec
import structlog

STDOUT_DESCRIPTOR = 1
_encoder = msgspec.json.Encoder()


class RateLimitedOutput:
    """Write up to a number of lines per second and drop the rest; count the dropped lines.

    The descriptor is put in non-blocking mode, so that a reader that doesn't keep up loses lines
    instead of delaying requests.
    """

    def __init__(self, lines_per_s: int, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._budget = float(lines_per_s)
        self._refilled_s = time.monotonic()
        os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        """Write one line or count it as dropped."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._budget = min(self._budget + refill, float(self._lines_per_s))
        self._refilled_s = now_s
        if self._budget < 1:
            self.dropped += 1
            return
        self._budget -= 1
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:
            self.dropped += 1

    info = warning = error = msg


def configure_logs(lines_per_s: int, **fields: str) -> RateLimitedOutput:
    """Write log lines as JSON to standard output, each with ``fields``; return the output."""
    output = RateLimitedOutput(lines_per_s, sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _render,
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fields)
    return output


def _render(_logger: Any, _method: str, event: Any) -> bytes:
    return _encoder.encode(event)
