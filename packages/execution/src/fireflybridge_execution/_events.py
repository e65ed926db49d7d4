"""Events that explain the scheduler's decisions, for logs and metrics."""

from dataclasses import dataclass

from fireflybridge_jobs import Answer, EarlierRuns, TaskId
from fireflybridge_placement import Progress


@dataclass(frozen=True, slots=True)
class JobReceived:
    """Report a job that was taken, with the length of the queue before it."""

    job: str
    route: str
    tasks: int
    chain_ms: float
    queued_jobs: int
    earlier: EarlierRuns | None


@dataclass(frozen=True, slots=True)
class Placement:
    """Say where a task was placed, and the upstream's learned speed."""

    task: TaskId
    number: int
    upstream: str
    speed: float


@dataclass(frozen=True, slots=True)
class TasksPlaced:
    """Report the tasks of a job that were placed in one pass, and how many of it still wait."""

    job: str
    placements: tuple[Placement, ...]
    waiting: int


@dataclass(frozen=True, slots=True)
class RunEndedBadly:
    """Report a run that came to any end but done, or was not started."""

    task: TaskId
    number: int
    upstream: str
    ending: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class RunMoved:
    """Report a run that is stopped because its task would be in time elsewhere."""

    task: TaskId
    number: int
    upstream: str
    progress: Progress


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Report a job's answer, after how long and how many of its runs failed."""

    job: str
    route: str
    answer: Answer
    elapsed_ms: float
    waited_ms: float | None
    failed_runs: int


@dataclass(frozen=True, slots=True)
class UpstreamSynced:
    """Report that an upstream's runs are known under this host's fencing token."""

    upstream: str
    fence: int
    incarnation: int
    running: int


@dataclass(frozen=True, slots=True)
class UpstreamDoubted:
    """Report why an upstream is not trusted with new work for now."""

    upstream: str
    reason: str
    failures: int


ExecutionEvent = (
    JobReceived
    | TasksPlaced
    | RunEndedBadly
    | RunMoved
    | JobEnded
    | UpstreamSynced
    | UpstreamDoubted
)
