"""Jobs, their steps and tasks."""

from dataclasses import dataclass

from fireflybridge_jobs._upstreams import Resources


@dataclass(frozen=True, slots=True)
class TaskId:
    """Name a task of a job; occurrence is 0 unless the job repeats."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class Step:
    """Describe the tasks of a step, which are alike."""

    count: int
    needs: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0
    """Most tasks of the step on one upstream; 0 means no such limit."""


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Hold what the configuration says of a route's jobs; times in milliseconds."""

    route: str
    pool: str
    priority: int
    max_attempts: int
    timeout_ms: float
    target_latency_ms: float
    stretch: float
    """How many times its longest chain of work a job may take before it counts as late."""


@dataclass(frozen=True, slots=True)
class Job:
    """Hold a job that is answered on its submission and not kept afterwards."""

    id: str
    spec: str
    steps: tuple[Step, ...]
    policy: QueuePolicy
    wait_ms: float
    """How long the caller waits for the answer, from the submission at its entry host."""
