"""Tasks and submissions."""

from dataclasses import dataclass

MAX_TASKS_PER_JOB = 300
MAX_KEY_LENGTH = 200


@dataclass(frozen=True, slots=True)
class TaskId:
    """Id of a task: its submission's key and its position in the submission."""

    key: str
    index: int

    def __str__(self) -> str:
        return f"{self.key}:{self.index}"


@dataclass(frozen=True, slots=True)
class Task:
    """One unit of work for an upstream.

    ``deadline`` is a time of this process's monotonic clock in seconds. A task that is sent to
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
    """Request body of one task."""

    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Submission:
    """A caller's parsed job or single request.

    ``deadline_s`` is the time in seconds from acceptance to the deadline; ``None`` stands for the
    route's window. If ``key`` is empty, the caller gave none, so that a resubmission can't be
    recognized.
    """

    key: str
    route: str
    team: str
    payloads: tuple[Payload, ...]
    is_job: bool = True
    deadline_s: float | None = None
    traceparent: str = ""
    tracestate: str = ""
