"""Messages that daemons exchange, without their encoding."""

from dataclasses import dataclass, replace
from enum import StrEnum

from fireflybridge_core import Answer as CallerAnswer
from fireflybridge_core import Outcome, Submission, Task, TaskId


class PeerState(StrEnum):
    """Name whether a daemon takes new work; a starting one owns nothing yet."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Count the queued tasks and the free slots of one pool at one daemon."""

    pool: str
    queued: int
    free_slots: int


@dataclass(frozen=True, slots=True)
class TeamUse:
    """Count the slots that a limited team holds and wants through one daemon.

    ``place`` is that of its quota in the pool, under the revision of the heartbeat.
    """

    place: int
    held: int
    wanted: int


@dataclass(frozen=True, slots=True)
class PoolClaims:
    """Hold the use of a pool's limited teams."""

    pool: str
    teams: tuple[TeamUse, ...]


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Hold a daemon's numbered report on limited teams.

    ``heard`` is the number of the receiver's last report that it was made after, or 0.
    ``complete`` says that no team in use was left out.
    """

    number: int
    heard: int
    complete: bool
    pools: tuple[PoolClaims, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Describe the sender.

    ``tables_revision`` is the revision in force at the sender, or empty when it has none.
    ``quotas`` is none from a daemon that does not report on limited teams.
    """

    name: str
    incarnation: str
    failure_domain: str
    state: PeerState
    tables_revision: str
    log_reachable: bool
    pools: tuple[PoolLoad, ...] = ()
    quotas: QuotaReport | None = None


@dataclass(frozen=True, slots=True)
class Backlog:
    """State that the sender has more queued tasks of a pool than free slots."""

    pool: str
    count: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Ask for up to ``slots`` tasks of a pool."""

    pool: str
    slots: int


@dataclass(frozen=True, slots=True)
class AssignedTask:
    """Carry a task to another daemon, with the remaining time in seconds as its deadline."""

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
    remaining_s: float
    traceparent: str = ""
    attempt: int = 1
    tracestate: str = ""


@dataclass(frozen=True, slots=True)
class Assign:
    """Hand tasks of a pool over to the receiver under one assignment number of the sender."""

    assignment: int
    pool: str
    tasks: tuple[AssignedTask, ...]


@dataclass(frozen=True, slots=True)
class TaskResult:
    """Hold the outcome of one assigned task."""

    id: TaskId
    assignment: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Results:
    """Return outcomes to the daemon that assigned the tasks."""

    results: tuple[TaskResult, ...]


@dataclass(frozen=True, slots=True)
class Returned:
    """State that assigned tasks were not started and never will be."""

    ids: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the submissions with these keys."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask the registrar of a shard for the claim to a key."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """State that the claim belongs to the executor of the request."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Name the incarnation, and its attempt, that owns the claim permanently."""

    executor: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimConflict:
    """State that the key was claimed with other content."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """State that the registrar could not decide, and why."""

    detail: str


ClaimVerdict = ClaimGranted | ClaimHeld | ClaimConflict | ClaimUnavailable


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer the claim request with the same shard, hash, digest, executor and attempt."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int
    verdict: ClaimVerdict


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask the executor of a submission for its answer; it starts the submission if need be."""

    request_id: int
    digest: bytes
    submission: Submission


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a fetch with what the executor would tell the caller."""

    request_id: int
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class TablesHave:
    """Name the last log offset and the revision of the tables that the sender knows."""

    offset: int
    revision: str


@dataclass(frozen=True, slots=True)
class TableRecord:
    """Carry one record of the tables stream with its log offset."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TablesSend:
    """Pass records of the tables stream on."""

    records: tuple[TableRecord, ...]


Message = (
    Heartbeat
    | Backlog
    | Pull
    | Assign
    | Results
    | Returned
    | Cancel
    | ClaimRequest
    | ClaimReply
    | Fetch
    | Answer
    | TablesHave
    | TablesSend
)


def assign_task(task: Task, now: float) -> AssignedTask:
    """Return the task with its remaining time at the monotonic reading ``now`` in seconds."""
    return AssignedTask(
        id=task.id,
        route=task.route,
        pool=task.pool,
        path=task.path,
        content_type=task.content_type,
        body=task.body,
        team=task.team,
        idempotent=task.idempotent,
        expected_s=task.expected_s,
        timeout_s=task.timeout_s,
        remaining_s=task.deadline - now,
        traceparent=task.traceparent,
        attempt=task.attempt,
        tracestate=task.tracestate,
    )


def accept_task(task: AssignedTask, now: float) -> Task:
    """Return the task with a deadline on the monotonic clock that reads ``now`` seconds."""
    return Task(
        id=task.id,
        route=task.route,
        pool=task.pool,
        path=task.path,
        content_type=task.content_type,
        body=task.body,
        team=task.team,
        idempotent=task.idempotent,
        expected_s=task.expected_s,
        timeout_s=task.timeout_s,
        deadline=now + task.remaining_s,
        traceparent=task.traceparent,
        attempt=task.attempt,
        tracestate=task.tracestate,
    )


def age_message(message: Message, age_s: float) -> Message:
    """Return the message with remaining times reduced by the seconds it waited at the sender."""
    match message:
        case Assign():
            tasks = (replace(task, remaining_s=task.remaining_s - age_s) for task in message.tasks)
            return replace(message, tasks=tuple(tasks))
        case Fetch() if message.submission.deadline_s is not None:
            deadline_s = message.submission.deadline_s - age_s
            return replace(message, submission=replace(message.submission, deadline_s=deadline_s))
        case _:
            return message
