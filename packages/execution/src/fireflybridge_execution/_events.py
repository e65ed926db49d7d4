"""Events of the scheduler, for logs and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from fireflybridge_execution._run_registry import RunKey
from fireflybridge_jobs import Answer, EarlierRuns, JobSender, RunOutcome, TaskId
from fireflybridge_placement import RunProgress


@dataclass(frozen=True, slots=True)
class JobReceived:
    """A job was received; ``queued_jobs`` is the number of jobs that were waiting before it.

    ``fences`` holds the fencing tokens of this host's terms by failure domain, ``unlisted`` the
    upstreams that have not listed their runs under them. ``seen_before`` is whether this host has
    received the job before. ``sender`` is that of this submission.
    """

    job: str
    route: str
    tasks: int
    critical_path_ms: float
    queued_jobs: int
    earlier: EarlierRuns | None
    fences: Mapping[str, int]
    unlisted: tuple[str, ...]
    seen_before: bool
    sender: JobSender


@dataclass(frozen=True, slots=True)
class SubmissionJoined:
    """A further submission of an unanswered job was received."""

    job: str
    sender: JobSender
    earlier: EarlierRuns | None


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream on which a task was placed, its learned speed and the age of its list of runs."""

    task: TaskId
    number: int
    upstream: str
    speed: float
    list_age_ms: float


@dataclass(frozen=True, slots=True)
class TasksPlaced:
    """Tasks of a job were placed in one pass; ``waiting`` is how many of the job still wait.

    ``unlisted`` holds the upstreams that have not listed their runs under this host's terms,
    ``unreachable`` the other leaders that have not cleared the job, since they don't reply.
    """

    job: str
    placements: tuple[Placement, ...]
    waiting: int
    unlisted: tuple[str, ...]
    unreachable: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JobDeferred:
    """A job is left to another leader, which has received it as well, at the named host.

    ``had_runs`` is whether this host stops runs of it.
    """

    job: str
    leader: str
    had_runs: bool


@dataclass(frozen=True, slots=True)
class RunNotCompleted:
    """A run ended with another outcome than done, was lost or was not started.

    ``outcome`` is the reported ``RunOutcome``, ``lost``, or ``not-started`` with the reason.
    """

    task: TaskId
    number: int
    upstream: str
    outcome: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class StoppedRunEnded:
    """A run that this host has stopped is over; ``elapsed_ms`` is the time since it was to be.

    ``outcome`` is the reported ``RunOutcome`` or ``lost``.
    """

    task: TaskId
    number: int
    upstream: str
    outcome: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class EarlierRunAdopted:
    """A run that an earlier leader has started goes on for a job of this host."""

    task: TaskId
    number: int
    upstream: str


@dataclass(frozen=True, slots=True)
class EarlierRunEnded:
    """An upstream has reported the end of a run that an earlier leader has started."""

    task: TaskId
    number: int
    upstream: str
    outcome: RunOutcome


@dataclass(frozen=True, slots=True)
class RunMoved:
    """A slow run is stopped because its task can meet a time limit on another upstream."""

    task: TaskId
    number: int
    upstream: str
    progress: RunProgress


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job was answered; ``waited_ms`` is the time until the first placement, if there was one.

    ``senders`` are those of all its submissions, in the order in which these ended.
    """

    job: str
    route: str
    answer: Answer
    elapsed_ms: float
    waited_ms: float | None
    failed_runs: int
    senders: tuple[JobSender, ...]
    is_cleared: bool
    """Whether every other leader had cleared it, or was passed over."""


@dataclass(frozen=True, slots=True)
class LeaderLoad:
    """What a leader has had to do since the last event of this kind, about a second ago.

    ``passes`` counts the attempts to place waiting jobs, of which the longest took
    ``longest_pass_ms``. ``asked`` and ``answered`` count the questions about jobs to and from other
    leaders.
    """

    waiting_jobs: int
    passes: int
    longest_pass_ms: float
    asked: int
    answered: int


@dataclass(frozen=True, slots=True)
class UpstreamSynced:
    """An upstream has listed its runs under this host's fencing token."""

    upstream: str
    fence: int
    incarnation: int
    running: tuple[RunKey, ...]


@dataclass(frozen=True, slots=True)
class UpstreamEjected:
    """An upstream gets no new work for a while, for the given reason."""

    upstream: str
    reason: str
    failures: int


class CrashSign(StrEnum):
    """How it shows that an upstream's process has ended without a drain."""

    REFUSED = "refused"
    """Nothing listens at its address."""
    RESTARTED = "restarted"
    """It reports another incarnation."""
    REPLACED = "replaced"
    """Another upstream replies at its address."""


@dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """An upstream seems to have crashed while these runs were under way on it."""

    upstream: str
    incarnation: int
    sign: CrashSign
    runs: tuple[RunKey, ...]


@dataclass(frozen=True, slots=True)
class UnexpectedError:
    """A fault of the program has ended one action, such as a session or a placement."""

    action: str
    error: Exception


ExecutionEvent = (
    JobReceived
    | SubmissionJoined
    | TasksPlaced
    | JobDeferred
    | RunNotCompleted
    | StoppedRunEnded
    | EarlierRunAdopted
    | EarlierRunEnded
    | RunMoved
    | JobEnded
    | LeaderLoad
    | UpstreamSynced
    | UpstreamEjected
    | UpstreamCrashed
    | UnexpectedError
)
