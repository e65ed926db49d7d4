"""Metrics text, generated at each scrape from the host's counters."""

from collections.abc import Callable
from itertools import accumulate

from fireflybridge_host._event_logger import LATENCY_BOUNDS_MS, Counters
from fireflybridge_http import Request, Response

METRICS_PATH = "/metrics"


class MetricsService:
    """Handle metric scrapes.

    prometheus_client takes 3.9 MB, so it is imported at the first scrape and reads the counters
    then; a host that isn't scraped never loads it.
    """

    def __init__(self, counters: Counters, count_dropped_lines: Callable[[], int]) -> None:
        self._counters = counters
        self._count_dropped_lines = count_dropped_lines

    async def handle(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        if request.path != METRICS_PATH:
            return Response(404)
        return Response(200, self._render(), (("content-type", "text/plain; version=0.0.4"),))

    def _render(self) -> bytes:
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self):  # type: ignore[no-untyped-def]
        """Yield the metric families, as prometheus_client requires of a collector."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        counters = self._counters
        answers = CounterMetricFamily(
            "fireflybridge_answers", "Answers to callers", labels=("route", "outcome")
        )
        for labels, count in counters.answers.items():
            answers.add_metric(labels, count)
        yield answers
        latency = HistogramMetricFamily(
            "fireflybridge_answer_latency_ms", "Time until the answer", labels=("route",)
        )
        for route, total_ms in counters.latency_sum_ms.items():
            latency.add_metric((route,), self._collect_buckets(route), total_ms)
        yield latency
        counts = {
            "runs": counters.runs,
            "failed_runs": counters.failed_runs,
            "upstream_ejections": counters.ejections,
            "store_errors": counters.store_errors,
            "leadership_terms": counters.terms,
            "unexpected_errors": counters.unexpected_errors,
            "log_lines_dropped": self._count_dropped_lines(),
        }
        for name, value in counts.items():
            yield CounterMetricFamily(f"fireflybridge_{name}", name.replace("_", " "), value=value)

    def _collect_buckets(self, route: str) -> list[tuple[str, float]]:
        bounds = (*LATENCY_BOUNDS_MS, float("inf"))
        counts = accumulate(self._counters.latencies[route, bound] for bound in bounds)
        names = (*map(str, LATENCY_BOUNDS_MS), "+Inf")
        return list(zip(names, map(float, counts), strict=True))
