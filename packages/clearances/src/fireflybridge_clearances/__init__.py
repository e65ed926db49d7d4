"""Agreement of leaders on which of them decides on a job that several have received."""

from fireflybridge_clearances._holdings import (
    Answered,
    Held,
    Holding,
    JobQuestion,
    LeaderReport,
    MayRun,
    NotHeld,
)
from fireflybridge_clearances._job_clearances import RESULT_RETENTION_S, JobClearances
from fireflybridge_clearances._ledger import LedgerPart
from fireflybridge_clearances._other_leader import UNREACHABLE_S

__all__ = [
    "RESULT_RETENTION_S",
    "UNREACHABLE_S",
    "Answered",
    "Held",
    "Holding",
    "JobClearances",
    "JobQuestion",
    "LeaderReport",
    "LedgerPart",
    "MayRun",
    "NotHeld",
]
