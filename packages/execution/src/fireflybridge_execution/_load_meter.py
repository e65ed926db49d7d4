"""Measurement of what a leader has to do besides running jobs."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from fireflybridge_execution._events import LeaderLoad


class LoadMeter:
    """Count placement passes and questions between two readings."""

    def __init__(self) -> None:
        self.asked = 0
        self.answered = 0
        self._passes = 0
        self._longest_pass_s = 0.0

    @contextmanager
    def measure_pass(self) -> Iterator[None]:
        """Count one attempt to place waiting jobs."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            self._passes += 1
            self._longest_pass_s = max(self._longest_pass_s, time.monotonic() - started_s)

    def read(self, waiting_jobs: int) -> LeaderLoad:
        """Return what was counted since the last reading."""
        load = LeaderLoad(
            waiting_jobs, self._passes, self._longest_pass_s * 1000, self.asked, self.answered
        )
        self.asked = self.answered = self._passes = 0
        self._longest_pass_s = 0.0
        return load
