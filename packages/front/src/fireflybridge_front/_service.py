"""What the HTTP front needs of the dispatcher, without HTTP."""

from dataclasses import dataclass
from typing import Any, Protocol

from fireflybridge_core import Answer, Refused, Submission


@dataclass(frozen=True, slots=True)
class IssuedPrefix:
    """Hold a key prefix and its lifetime in seconds."""

    prefix: str
    expires_in_s: float


class Dispatcher(Protocol):
    """Accept submissions and answer them."""

    async def submit(self, submission: Submission) -> Answer:
        """Accept a submission and return its answer once it has one."""

    async def start(self, submission: Submission) -> Answer:
        """Accept a submission and return ``Pending``, or its answer or refusal."""

    async def fetch(self, key: str, wait_s: float) -> Answer:
        """Return the state of a submission, waiting up to ``wait_s`` for its answer."""

    async def cancel(self, key: str) -> Answer:
        """Cancel the tasks that have not started and return the resulting answer."""

    def issue_prefix(self) -> IssuedPrefix | Refused:
        """Return a prefix for keys that only this daemon may start."""


class RequestTracer(Protocol):
    """Trace callers' requests; a span is opaque to the front."""

    def accept(self, name: str, traceparent: str) -> tuple[str, Any]:
        """Return the ``traceparent`` for a request's own work, and its span."""

    def end(self, span: Any, **attributes: str | int) -> None:
        """End a span."""


class Operations(Protocol):
    """Answer the operators' port."""

    def render_metrics(self) -> bytes:
        """Return the metrics in text form."""

    def is_ready(self) -> bool:
        """Tell whether the balancer may send requests."""

    def describe_status(self) -> dict[str, Any]:
        """Return the daemon's status as JSON data."""
