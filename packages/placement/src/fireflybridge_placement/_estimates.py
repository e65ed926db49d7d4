"""Expected work of tasks and speed of upstreams, learned from the runs that ended."""

import math
from collections.abc import Collection

SPEED_WEIGHT = 0.15  # a task's estimate is far off, so one run tells little of a speed
ROUTE_WEIGHT = 0.02
MAX_ERROR = 1.0  # natural logarithm; a straggler runs many times longer for its own reasons


class Estimates:
    """Keep the mean logarithm of time to estimate for each route and upstream."""

    def __init__(self) -> None:
        self._routes: dict[str, float] = {}
        self._upstreams: dict[str, float] = {}

    def expect_work_ms(self, route: str, estimate_ms: float) -> float:
        """Return the expected time of a task on an upstream of average speed."""
        return estimate_ms * math.exp(self._routes.get(route, 0.0))

    def get_speed(self, upstream: str) -> float:
        """Return an upstream's speed; the average is 1."""
        return math.exp(-self._upstreams.get(upstream, 0.0))

    def get_highest_speed(self) -> float:
        """Return the highest speed that was learned, or the average before any."""
        return math.exp(-min(self._upstreams.values(), default=0.0))

    def record(self, route: str, upstream: str, estimate_ms: float, elapsed_ms: float) -> None:
        """Learn from a run that was done in a time."""
        expected_ms = self.expect_work_ms(route, estimate_ms)
        if expected_ms <= 0 or elapsed_ms <= 0:
            return
        slowness = self._upstreams.get(upstream, 0.0)
        error = math.log(elapsed_ms / expected_ms) - slowness
        error = min(max(error, -MAX_ERROR), MAX_ERROR)
        self._upstreams[upstream] = slowness + SPEED_WEIGHT * error
        self._routes[route] = self._routes.get(route, 0.0) + ROUTE_WEIGHT * error

    def retain(self, upstreams: Collection[str]) -> None:
        """Drop what was learned of all other upstreams."""
        self._upstreams = {
            name: value for name, value in self._upstreams.items() if name in upstreams
        }
