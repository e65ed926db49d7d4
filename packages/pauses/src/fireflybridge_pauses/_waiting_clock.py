"""Measurement of a peer's silence that leaves out pauses of this process."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

PAUSE_TOLERANCE_S = 0.1  # a wait that takes this much longer was lengthened by a pause


class WaitingClock:
    """Count the time that this process has spent waiting while it was running.

    A process that was stopped or throttled finds every peer silent when it continues, although what
    they have sent lies in its sockets. Such a pause lengthens one wait, so each wait counts for no
    more than it was meant to take.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        """Seconds that have been counted; they are compared with earlier readings."""

    @contextmanager
    def count(self, expected_s: float) -> Iterator[None]:
        """Count the time spent within the context, or what was expected of it after a pause."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            elapsed_s = time.monotonic() - started_s
            paused = elapsed_s > expected_s + PAUSE_TOLERANCE_S
            self.now_s += expected_s if paused else elapsed_s
