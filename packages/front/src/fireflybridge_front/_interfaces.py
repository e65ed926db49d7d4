"""Interfaces that the HTTP API requires of the daemon, independent of HTTP."""

from dataclasses import dataclass
from typing import Any, Protocol

from fireflybridge_core import Answer, Refused, Submission


@dataclass(frozen=True, slots=True)
class IssuedPrefix:
    """Hold a key prefix and its lifetime in seconds."""

    prefix: str
    expires_in_s: float


class Dispatcher(Protocol):
    """Accept submissions and return their answers."""

    async def submit(self, submission: Submission) -> Answer:
        """Accept a submission and return its answer once it has one."""

    async def start(self, submission: Submission) -> Answer:
        """Accept a submission and return ``Pending``, or its answer or refusal."""

    async def fetch(self, key: str, wait_s: float) -> Answer:
        """Return the state of a submission, waiting up to ``wait_s`` for its answer."""

    async def cancel(self, key: str) -> Answer:
        """Cancel the tasks that have not started and return the resulting answer."""

    def issue_prefix(self) -> IssuedPrefix | Refused:
        """Return a prefix for keys whose submissions only this daemon may start."""


class RequestTracer(Protocol):
    """Trace callers' requests; the type of a span is opaque to this package."""

    def begin_request(self, name: str, traceparent: str) -> tuple[str, Any]:
        """Begin a request; return the ``traceparent`` for its work, and its span."""

    def end(self, span: Any, **attributes: str | int) -> None:
        """End a span."""


class Operations(Protocol):
    """Provide the data that the operators' port serves."""

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this daemon."""

    def describe_status(self) -> dict[str, Any]:
        """Return the daemon's status as JSON data."""
