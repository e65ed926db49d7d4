"""Types, errors and identifiers shared by every fireflybridge package."""

from fireflybridge_core._addresses import Address, parse_address
from fireflybridge_core._answers import (
    FIRST_SERVER_ERROR_STATUS,
    Answer,
    Complete,
    ExecutionState,
    Failed,
    Pending,
    Problem,
    Refused,
    summarize_execution,
    summarize_outcomes,
)
from fireflybridge_core._errors import StepError
from fireflybridge_core._identities import (
    CLAIM_SHARDS,
    digest_content,
    find_shard,
    hash_key,
    make_incarnation,
)
from fireflybridge_core._outcomes import Cause, Done, MayHaveRun, NotRun, Outcome
from fireflybridge_core._tasks import (
    MAX_KEY_LENGTH,
    MAX_TASKS_PER_JOB,
    Payload,
    Submission,
    Task,
    TaskId,
)

__all__ = [
    "CLAIM_SHARDS",
    "FIRST_SERVER_ERROR_STATUS",
    "MAX_KEY_LENGTH",
    "MAX_TASKS_PER_JOB",
    "Address",
    "Answer",
    "Cause",
    "Complete",
    "Done",
    "ExecutionState",
    "Failed",
    "MayHaveRun",
    "NotRun",
    "Outcome",
    "Payload",
    "Pending",
    "Problem",
    "Refused",
    "StepError",
    "Submission",
    "Task",
    "TaskId",
    "digest_content",
    "find_shard",
    "hash_key",
    "make_incarnation",
    "parse_address",
    "summarize_execution",
    "summarize_outcomes",
]
