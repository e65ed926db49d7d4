"""Structs that define the encoding of messages; a tag identifies the kind of a message."""

from msgspec import Struct


class WireDone(Struct, array_like=True, frozen=True, tag=0):
    """Wire form of ``Done``."""

    status: int
    content_type: str
    body: bytes
    upstream: str
    run_s: float


class WireNotRun(Struct, array_like=True, frozen=True, tag=1):
    """Wire form of ``NotRun``."""

    cause: str
    upstream: str


class WireMayHaveRun(Struct, array_like=True, frozen=True, tag=2):
    """Wire form of ``MayHaveRun``."""

    cause: str
    upstream: str


WireOutcome = WireDone | WireNotRun | WireMayHaveRun
WireTaskId = tuple[str, int]


class WirePoolLoad(Struct, array_like=True, frozen=True):
    """Wire form of ``PoolLoad``."""

    pool: str
    queued: int
    free_slots: int


class WireQuotaReport(Struct, array_like=True, frozen=True):
    """Wire form of ``QuotaReport``; a pool is its name and a flat row of place, held, wanted."""

    number: int
    heard: int
    complete: bool
    pools: tuple[tuple[str, tuple[int, ...]], ...]


class WireHeartbeat(Struct, array_like=True, frozen=True, tag=0):
    """Wire form of ``Heartbeat``; name and incarnation are those of the session.

    ``quotas`` was added later: daemons of earlier versions ignore it and do not send it.
    """

    failure_domain: str
    state: str
    tables_revision: str
    log_reachable: bool
    pools: tuple[WirePoolLoad, ...]
    quotas: WireQuotaReport | None = None


class WireBacklog(Struct, array_like=True, frozen=True, tag=1):
    """Wire form of ``Backlog``."""

    pool: str
    count: int


class WirePull(Struct, array_like=True, frozen=True, tag=2):
    """Wire form of ``Pull``."""

    pool: str
    slots: int


class WireTask(Struct, array_like=True, frozen=True):
    """Wire form of ``AssignedTask``."""

    id: WireTaskId
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
    traceparent: str
    attempt: int
    tracestate: str = ""


class WireAssign(Struct, array_like=True, frozen=True, tag=3):
    """Wire form of ``Assign``."""

    assignment: int
    pool: str
    tasks: tuple[WireTask, ...]


class WireResult(Struct, array_like=True, frozen=True):
    """Wire form of ``TaskResult``."""

    id: WireTaskId
    assignment: int
    outcome: WireOutcome


class WireResults(Struct, array_like=True, frozen=True, tag=4):
    """Wire form of ``Results``."""

    results: tuple[WireResult, ...]


class WireReturned(Struct, array_like=True, frozen=True, tag=5):
    """Wire form of ``Returned``."""

    ids: tuple[WireTaskId, ...]


class WireCancel(Struct, array_like=True, frozen=True, tag=6):
    """Wire form of ``Cancel``."""

    keys: tuple[str, ...]


class WireClaimRequest(Struct, array_like=True, frozen=True, tag=7):
    """Wire form of ``ClaimRequest``."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int


class WireGranted(Struct, array_like=True, frozen=True, tag=0):
    """Wire form of ``ClaimGranted``."""


class WireHeld(Struct, array_like=True, frozen=True, tag=1):
    """Wire form of ``ClaimHeld``."""

    executor: str
    attempt: int


class WireConflict(Struct, array_like=True, frozen=True, tag=2):
    """Wire form of ``ClaimConflict``."""


class WireUnavailable(Struct, array_like=True, frozen=True, tag=3):
    """Wire form of ``ClaimUnavailable``."""

    detail: str


WireVerdict = WireGranted | WireHeld | WireConflict | WireUnavailable


class WireClaimReply(Struct, array_like=True, frozen=True, tag=8):
    """Wire form of ``ClaimReply``."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int
    verdict: WireVerdict


class WireSubmission(Struct, array_like=True, frozen=True):
    """Wire form of ``Submission``; a payload is its content type and its body."""

    key: str
    route: str
    team: str
    payloads: tuple[tuple[str, bytes], ...]
    is_job: bool
    deadline_s: float | None
    traceparent: str
    tracestate: str = ""


class WireFetch(Struct, array_like=True, frozen=True, tag=9):
    """Wire form of ``Fetch``."""

    request_id: int
    digest: bytes
    submission: WireSubmission


class WireComplete(Struct, array_like=True, frozen=True, tag=0):
    """Wire form of ``Complete``."""

    outcomes: tuple[WireDone, ...]


class WireFailed(Struct, array_like=True, frozen=True, tag=1):
    """Wire form of ``Failed``."""

    outcomes: tuple[WireOutcome, ...]


class WirePending(Struct, array_like=True, frozen=True, tag=2):
    """Wire form of ``Pending``."""


class WireRefused(Struct, array_like=True, frozen=True, tag=3):
    """Wire form of ``Refused``."""

    problem: str
    ran: str
    detail: str
    retry_after_s: float


WireCallerAnswer = WireComplete | WireFailed | WirePending | WireRefused


class WireAnswer(Struct, array_like=True, frozen=True, tag=10):
    """Wire form of ``Answer``."""

    request_id: int
    answer: WireCallerAnswer


class WireTablesHave(Struct, array_like=True, frozen=True, tag=11):
    """Wire form of ``TablesHave``."""

    offset: int
    revision: str


class WireTablesSend(Struct, array_like=True, frozen=True, tag=12):
    """Wire form of ``TablesSend``; a record is its offset and its payload."""

    records: tuple[tuple[int, bytes], ...]


WireMessage = (
    WireHeartbeat
    | WireBacklog
    | WirePull
    | WireAssign
    | WireResults
    | WireReturned
    | WireCancel
    | WireClaimRequest
    | WireClaimReply
    | WireFetch
    | WireAnswer
    | WireTablesHave
    | WireTablesSend
)
