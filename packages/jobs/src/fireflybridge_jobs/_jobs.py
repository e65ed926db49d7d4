"""Jobs, their steps and the identifiers of their tasks."""

from dataclasses import dataclass

from fireflybridge_jobs._upstreams import Resources


@dataclass(frozen=True, slots=True)
class TaskId:
    """Identifier of a task; ``occurrence`` is 0 unless the job repeats."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks, started once all tasks of the ``after`` steps are done."""

    count: int
    needs: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0
    """Maximum number of the step's tasks on one upstream; 0 means no limit."""


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Configured limits and latency targets of a route's jobs."""

    route: str
    pool: str
    priority: int
    max_attempts: int
    timeout_ms: float
    target_latency_ms: float
    stretch: float
    """Multiple of its critical path that a job may take beyond the target before it is late."""


@dataclass(frozen=True, slots=True)
class Job:
    """A job that is answered in the reply to its submission and not stored afterwards."""

    id: str
    spec: str
    steps: tuple[Step, ...]
    policy: RoutePolicy
    wait_ms: float
    """How long the caller waits for the answer, from the submission at its entry host."""
