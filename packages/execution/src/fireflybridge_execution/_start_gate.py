"""The conditions under which a start may be sent, whichever path has led to it."""

import time
from math import inf

from fireflybridge_execution._directory import DirectoryView
from fireflybridge_pauses import PauseMonitor


class StartGate:
    """Decide whether what a start rests on still holds: its request and the upstreams' entries."""

    def __init__(self, pauses: PauseMonitor) -> None:
        self.view = DirectoryView({}, -inf)
        """The newest view of the directory."""
        self._pauses = pauses

    def holds_request(self, requested_s: float) -> bool:
        """Return whether the sender of a request read at a monotonic time still waits."""
        return self._pauses.is_current(requested_s)

    def admits(self, requested_s: float) -> bool:
        """Return whether a run requested at a monotonic time may be started now."""
        return self.holds_request(requested_s) and self.view.allows_starts(time.monotonic())
