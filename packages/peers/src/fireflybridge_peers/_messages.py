"""Messages that daemons exchange, independent of their encoding."""

from dataclasses import dataclass, replace
from enum import StrEnum

from fireflybridge_core import Answer as CallerAnswer
from fireflybridge_core import Outcome, Submission, Task, TaskId


class PeerState(StrEnum):
    """Whether a daemon accepts new work; a starting one owns nothing yet."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Number of queued tasks and of free slots of one pool at one daemon."""

    pool: str
    queued: int
    free_slots: int


@dataclass(frozen=True, slots=True)
class TeamUse:
    """Number of slots that a team with a quota holds and wants through one daemon.

    ``place`` is the position of its quota in the pool, in the revision of the heartbeat.
    """

    place: int
    held: int
    wanted: int


@dataclass(frozen=True, slots=True)
class PoolClaims:
    """Slot usage of the teams with a quota in one pool."""

    pool: str
    teams: tuple[TeamUse, ...]


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Numbered report of a daemon on the slot usage of teams with a quota.

    ``heard`` is the number of the receiver's last report that arrived before this one was made, or
    0. ``complete`` says that no team that uses slots was left out.
    """

    number: int
    heard: int
    complete: bool
    pools: tuple[PoolClaims, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender.

    ``tables_revision`` is the revision in force at the sender, or empty when it has none.
    ``quotas`` is ``None`` from a daemon that does not report on teams with a quota.
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
    """The sender has more queued tasks of a pool than free slots and offers ``count`` of them."""

    pool: str
    count: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Request for up to ``slots`` tasks of a pool."""

    pool: str
    slots: int


@dataclass(frozen=True, slots=True)
class AssignedTask:
    """Task for another daemon, with the remaining time in seconds instead of its deadline."""

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
    """Assignment of tasks of a pool to the receiver, with an assignment number of the sender."""

    assignment: int
    pool: str
    tasks: tuple[AssignedTask, ...]


@dataclass(frozen=True, slots=True)
class TaskResult:
    """Outcome of one assigned task."""

    id: TaskId
    assignment: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Results:
    """Outcomes for the daemon that assigned the tasks."""

    results: tuple[TaskResult, ...]


@dataclass(frozen=True, slots=True)
class Returned:
    """Assigned tasks that were not started and never will be."""

    ids: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of the submissions with these keys."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request to the registrar of a shard to decide a claim."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim was granted to the executor of the request."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The key is held by this incarnation and its attempt."""

    executor: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimConflict:
    """The key was claimed with different content."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The registrar could not decide, for the reason in ``detail``."""

    detail: str


ClaimVerdict = ClaimGranted | ClaimHeld | ClaimConflict | ClaimUnavailable


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to the claim request with the same shard, hash, digest, executor and attempt."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int
    verdict: ClaimVerdict


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request to the executor of a submission for its answer; starts it if necessary."""

    request_id: int
    digest: bytes
    submission: Submission


@dataclass(frozen=True, slots=True)
class Answer:
    """Reply to a fetch with the answer that the executor would give the caller."""

    request_id: int
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class TablesHave:
    """Last log offset and revision of the tables that the sender knows."""

    offset: int
    revision: str


@dataclass(frozen=True, slots=True)
class TableRecord:
    """One record of the tables stream with its log offset."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TablesSend:
    """Records of the tables stream that the sender forwards."""

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
    """Return the task with its remaining time at ``now``, in seconds of the monotonic clock."""
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
    """Return the task with its deadline, when the monotonic clock reads ``now`` seconds."""
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
    """Return the message with remaining times reduced by its age, the wait at the sender."""
    match message:
        case Assign():
            tasks = (replace(task, remaining_s=task.remaining_s - age_s) for task in message.tasks)
            return replace(message, tasks=tuple(tasks))
        case Fetch() if message.submission.deadline_s is not None:
            deadline_s = message.submission.deadline_s - age_s
            return replace(message, submission=replace(message.submission, deadline_s=deadline_s))
        case _:
            return message
