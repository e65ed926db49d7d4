"""Limit on the retries of one pool."""

from collections import deque
from collections.abc import Callable

RETRY_RATIO = 0.1
WINDOW_S = 10


class RetryBudget:
    """Allow retries up to a tenth of the requests of the last ten seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._seconds: deque[list[int]] = deque()
        self._requests = 0
        self._retries = 0

    def record_request(self) -> None:
        """Count one first attempt."""
        self._find_second()[1] += 1
        self._requests += 1

    def try_retry(self) -> bool:
        """Count one retry and return True, or return False when the budget is spent."""
        second = self._find_second()
        if self._retries + 1 > RETRY_RATIO * self._requests:
            return False
        second[2] += 1
        self._retries += 1
        return True

    def _find_second(self) -> list[int]:
        """Return the counters ``[second, requests, retries]`` of now, and drop old seconds."""
        now = int(self._clock())
        while self._seconds and self._seconds[0][0] <= now - WINDOW_S:
            _, requests, retries = self._seconds.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._seconds or self._seconds[-1][0] != now:
            self._seconds.append([now, 0, 0])
        return self._seconds[-1]
