"""Structured log lines on standard output, bounded in number and never blocking."""

import os
import sys
import time
from typing import Any

import msgspec
import structlog

OUTPUT = 1  # file descriptor of standard output
_encoder = msgspec.json.Encoder()


class BoundedOutput:
    """Write lines while a budget of lines a second lasts; count those that are dropped.

    The descriptor is put in non-blocking mode, so a reader that doesn't keep up loses lines
    instead of delaying requests.
    """

    def __init__(self, lines_per_s: int, descriptor: int = OUTPUT) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._budget = float(lines_per_s)
        self._refilled_s = time.monotonic()
        os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        """Write one line or count it as dropped."""
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * self._lines_per_s
        self._budget = min(self._budget + gained, float(self._lines_per_s))
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


def configure_logs(lines_per_s: int, **bound: str) -> BoundedOutput:
    """Write JSON lines with bound fields to standard output; return the output."""
    output = BoundedOutput(lines_per_s, sys.stdout.fileno())
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
    structlog.contextvars.bind_contextvars(**bound)
    return output


def _render(_logger: Any, _method: str, fields: Any) -> bytes:
    return _encoder.encode(fields)
