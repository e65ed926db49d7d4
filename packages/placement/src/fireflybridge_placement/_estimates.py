"""Predicted work of tasks and speed of upstreams, learned from completed runs."""

import math
from bisect import bisect_left, insort
from collections.abc import Collection

SPEED_WEIGHT = 0.15  # estimates are inaccurate, so one run says little about a speed
ROUTE_WEIGHT = 0.02
# Learned speeds are inexact, so the highest of them says little about any upstream.
FAST_SHARE = 0.2
MAX_LOG_ERROR = 1.0  # natural logarithm; limits the effect of a single straggler


class WorkEstimator:
    """Moving averages of log(run time / estimate) for each route and each upstream."""

    def __init__(self) -> None:
        self._route_log_ratios: dict[str, float] = {}
        self._upstream_log_ratios: dict[str, float] = {}
        self._sorted_log_ratios: list[float] = []
        """Those of the upstreams, the fastest first."""

    def predict_work_ms(self, route: str, estimate_ms: float) -> float:
        """Return the predicted run time of a task on an upstream of average speed."""
        return estimate_ms * math.exp(self._route_log_ratios.get(route, 0.0))

    def get_speed(self, upstream: str) -> float:
        """Return an upstream's speed relative to the average, which is 1."""
        return math.exp(-self._upstream_log_ratios.get(upstream, 0.0))

    def get_fast_speed(self) -> float:
        """Return the speed that ``FAST_SHARE`` of the upstreams reach, or 1 if none was learned."""
        if not self._sorted_log_ratios:
            return 1.0
        return math.exp(-self._sorted_log_ratios[int(FAST_SHARE * len(self._sorted_log_ratios))])

    def record(self, route: str, upstream: str, estimate_ms: float, elapsed_ms: float) -> None:
        """Update the averages with the run time of a completed run."""
        predicted_ms = self.predict_work_ms(route, estimate_ms)
        if predicted_ms <= 0 or elapsed_ms <= 0:
            return
        log_slowness = self._upstream_log_ratios.get(upstream, 0.0)
        log_error = math.log(elapsed_ms / predicted_ms) - log_slowness
        log_error = min(max(log_error, -MAX_LOG_ERROR), MAX_LOG_ERROR)
        self._set_log_ratio(upstream, log_slowness + SPEED_WEIGHT * log_error)
        self._route_log_ratios[route] = (
            self._route_log_ratios.get(route, 0.0) + ROUTE_WEIGHT * log_error
        )

    def retain(self, upstreams: Collection[str]) -> None:
        """Discard the averages of all upstreams but these."""
        self._upstream_log_ratios = {
            name: value for name, value in self._upstream_log_ratios.items() if name in upstreams
        }
        self._sorted_log_ratios = sorted(self._upstream_log_ratios.values())

    def _set_log_ratio(self, upstream: str, log_ratio: float) -> None:
        known = self._upstream_log_ratios.get(upstream)
        if known is not None:
            del self._sorted_log_ratios[bisect_left(self._sorted_log_ratios, known)]
        self._upstream_log_ratios[upstream] = log_ratio
        insort(self._sorted_log_ratios, log_ratio)
