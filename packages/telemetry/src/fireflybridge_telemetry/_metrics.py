"""Metrics of a daemon; each label has a bounded set of values."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

RATIO_BUCKETS = (1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0, 50.0)
SECONDS_BUCKETS = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Metrics:
    """Hold the metrics of one daemon and the registry that they belong to."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.submissions = self._make_counter(
            "submissions", "Answers to submissions by pool and answer.", "pool", "answer"
        )
        self.refusals = self._make_counter(
            "refusals", "Refused requests by problem type.", "problem"
        )
        self.task_outcomes = self._make_counter(
            "task_outcomes", "Tasks by pool and outcome.", "pool", "outcome"
        )
        self.retries = self._make_counter(
            "retries", "Tasks sent again after not having run.", "pool"
        )
        self.task_starts = self._make_counter("task_starts", "Tasks handed to an upstream.", "pool")
        self.tasks_moved = self._make_counter(
            "tasks_moved", "Tasks run for or by another daemon.", "direction"
        )
        self.peer_messages = self._make_counter(
            "peer_messages", "Messages between daemons.", "direction", "kind"
        )
        self.wasted_messages = self._make_counter(
            "wasted_messages", "Messages between daemons that moved no task."
        )
        self.log_errors = self._make_counter(
            "log_errors", "Failed calls of the platform's log.", "step"
        )
        self.ownership_changes = self._make_counter(
            "ownership_changes", "Upstreams acquired or released.", "change"
        )
        self.peers_lost = self._make_counter("peers_lost", "Sessions with peers that ended.")
        self.queued_tasks = self._make_gauge("queued_tasks", "Tasks in the pool's queue.", "pool")
        self.free_slots = self._make_gauge(
            "free_slots", "Slots of owned upstreams that wait.", "pool"
        )
        self.tables_offset = self._make_gauge("tables_offset", "Log offset of the tables in force.")
        self.tables_faults = self._make_counter(
            "tables_faults", "Unreadable records of the tables."
        )
        self.spans = self._make_counter("spans", "Trace spans by what became of them.", "result")
        self.event_loop_lag = self._make_gauge(
            "event_loop_lag_seconds", "Delay of a timer on the event loop."
        )
        self.response_ratio = Histogram(
            "fireflybridge_response_ratio",
            "Response time of a done task over its run time.",
            ["pool"],
            buckets=RATIO_BUCKETS,
            registry=self.registry,
        )
        self.response_seconds = Histogram(
            "fireflybridge_response_seconds",
            "Time from acceptance to answer in seconds.",
            ["pool"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _make_counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"fireflybridge_{name}", text, labels, registry=self.registry)

    def _make_gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"fireflybridge_{name}", text, labels, registry=self.registry)
