"""Tasks and submissions as the dispatcher handles them."""

from dataclasses import dataclass

MAX_TASKS_PER_JOB = 300
MAX_KEY_LENGTH = 200


@dataclass(frozen=True, slots=True)
class TaskId:
    """Identify a task by its submission key and its position in the submission."""

    key: str
    index: int

    def __str__(self) -> str:
        return f"{self.key}:{self.index}"


@dataclass(frozen=True, slots=True)
class Task:
    """Describe one unit of work for an upstream.

    ``deadline`` is a reading of this process's monotonic clock in seconds. A task that crosses to
    another daemon carries the remaining time instead.
    """

    id: TaskId
    route: str
    pool: str
    path: str
    content_type: str
    body: bytes
    team: str
    idempotent: bool
    expected_s: float
    timeout_s: float
    deadline: float
    traceparent: str = ""
    attempt: int = 1
    tracestate: str = ""


@dataclass(frozen=True, slots=True)
class Payload:
    """Hold the body that the caller gave for one task."""

    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Submission:
    """Hold a caller's job, or single request, after parsing.

    ``deadline_s`` is the time allowed from acceptance; ``None`` means the route's window.
    An empty ``key`` means that the caller gave none, so no resubmission can be recognized.
    """

    key: str
    route: str
    team: str
    payloads: tuple[Payload, ...]
    is_job: bool = True
    deadline_s: float | None = None
    traceparent: str = ""
    tracestate: str = ""
