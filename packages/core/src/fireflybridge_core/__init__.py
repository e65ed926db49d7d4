"""Types, errors and identities shared by every fireflybridge package."""

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
    "MAX_KEY_LENGTH",
    "MAX_TASKS_PER_JOB",
    "Cause",
    "Done",
    "MayHaveRun",
    "NotRun",
    "Outcome",
    "Payload",
    "StepError",
    "Submission",
    "Task",
    "TaskId",
    "digest_content",
    "find_shard",
    "hash_key",
    "make_incarnation",
]
