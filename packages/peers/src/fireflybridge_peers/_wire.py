"""Tagged structs that mirror the messages on the wire."""

from msgspec import Struct


class WireDone(Struct, array_like=True, frozen=True, tag=0):
    """Encode ``Done``."""

    status: int
    content_type: str
    body: bytes
    upstream: str
    run_s: float


class WireNotRun(Struct, array_like=True, frozen=True, tag=1):
    """Encode ``NotRun``."""

    cause: str
    upstream: str


class WireMayHaveRun(Struct, array_like=True, frozen=True, tag=2):
    """Encode ``MayHaveRun``."""

    cause: str
    upstream: str


WireOutcome = WireDone | WireNotRun | WireMayHaveRun
WireTaskId = tuple[str, int]


class WirePoolLoad(Struct, array_like=True, frozen=True):
    """Encode ``PoolLoad``."""

    pool: str
    queued: int
    free_slots: int


class WireQuotaReport(Struct, array_like=True, frozen=True):
    """Encode ``QuotaReport``; a pool is its name and its teams' place, held, wanted in a row."""

    number: int
    heard: int
    complete: bool
    pools: tuple[tuple[str, tuple[int, ...]], ...]


class WireHeartbeat(Struct, array_like=True, frozen=True, tag=0):
    """Encode ``Heartbeat``; name and incarnation are those of the link's session.

    ``quotas`` came later: daemons of earlier versions skip it, and send none.
    """

    failure_domain: str
    state: str
    tables_revision: str
    log_reachable: bool
    pools: tuple[WirePoolLoad, ...]
    quotas: WireQuotaReport | None = None


class WireBacklog(Struct, array_like=True, frozen=True, tag=1):
    """Encode ``Backlog``."""

    pool: str
    count: int


class WirePull(Struct, array_like=True, frozen=True, tag=2):
    """Encode ``Pull``."""

    pool: str
    slots: int


class WireTask(Struct, array_like=True, frozen=True):
    """Encode ``AssignedTask``."""

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
    """Encode ``Assign``."""

    assignment: int
    pool: str
    tasks: tuple[WireTask, ...]


class WireResult(Struct, array_like=True, frozen=True):
    """Encode ``TaskResult``."""

    id: WireTaskId
    assignment: int
    outcome: WireOutcome


class WireResults(Struct, array_like=True, frozen=True, tag=4):
    """Encode ``Results``."""

    results: tuple[WireResult, ...]


class WireReturned(Struct, array_like=True, frozen=True, tag=5):
    """Encode ``Returned``."""

    ids: tuple[WireTaskId, ...]


class WireCancel(Struct, array_like=True, frozen=True, tag=6):
    """Encode ``Cancel``."""

    keys: tuple[str, ...]


class WireClaimRequest(Struct, array_like=True, frozen=True, tag=7):
    """Encode ``ClaimRequest``."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int


class WireGranted(Struct, array_like=True, frozen=True, tag=0):
    """Encode ``ClaimGranted``."""


class WireHeld(Struct, array_like=True, frozen=True, tag=1):
    """Encode ``ClaimHeld``."""

    executor: str
    attempt: int


class WireConflict(Struct, array_like=True, frozen=True, tag=2):
    """Encode ``ClaimConflict``."""


class WireUnavailable(Struct, array_like=True, frozen=True, tag=3):
    """Encode ``ClaimUnavailable``."""

    detail: str


WireVerdict = WireGranted | WireHeld | WireConflict | WireUnavailable


class WireClaimReply(Struct, array_like=True, frozen=True, tag=8):
    """Encode ``ClaimReply``."""

    shard: int
    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int
    verdict: WireVerdict


class WireSubmission(Struct, array_like=True, frozen=True):
    """Encode ``Submission``; a payload is its content type and its body."""

    key: str
    route: str
    team: str
    payloads: tuple[tuple[str, bytes], ...]
    is_job: bool
    deadline_s: float | None
    traceparent: str
    tracestate: str = ""


class WireFetch(Struct, array_like=True, frozen=True, tag=9):
    """Encode ``Fetch``."""

    request_id: int
    digest: bytes
    submission: WireSubmission


class WireComplete(Struct, array_like=True, frozen=True, tag=0):
    """Encode ``Complete``."""

    outcomes: tuple[WireDone, ...]


class WireFailed(Struct, array_like=True, frozen=True, tag=1):
    """Encode ``Failed``."""

    outcomes: tuple[WireOutcome, ...]


class WirePending(Struct, array_like=True, frozen=True, tag=2):
    """Encode ``Pending``."""


class WireRefused(Struct, array_like=True, frozen=True, tag=3):
    """Encode ``Refused``."""

    problem: str
    ran: str
    detail: str
    retry_after_s: float


WireCallerAnswer = WireComplete | WireFailed | WirePending | WireRefused


class WireAnswer(Struct, array_like=True, frozen=True, tag=10):
    """Encode ``Answer``."""

    request_id: int
    answer: WireCallerAnswer


class WireTablesHave(Struct, array_like=True, frozen=True, tag=11):
    """Encode ``TablesHave``."""

    offset: int
    revision: str


class WireTablesSend(Struct, array_like=True, frozen=True, tag=12):
    """Encode ``TablesSend``; a record is its offset and its payload."""

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
