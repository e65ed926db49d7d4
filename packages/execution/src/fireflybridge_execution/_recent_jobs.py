"""Jobs that this host has received lately, to tell a job that its caller has sent again."""

import time

RETENTION_S = 5.0  # a caller sends a job again 1.3 s after it has got no answer in time


class RecentJobs:
    """Remember for a while which jobs were received."""

    def __init__(self) -> None:
        self._received_s: dict[str, float] = {}

    def note(self, job: str) -> bool:
        """Record that a job is received now; return whether it was received before."""
        now_s = time.monotonic()
        seen_before = self._received_s.pop(job, None) is not None
        self._received_s[job] = now_s
        while next(iter(self._received_s.values())) < now_s - RETENTION_S:
            del self._received_s[next(iter(self._received_s))]
        return seen_before
