"""Data classes for jobs, tasks, runs and answers, independent of any wire format."""

from fireflybridge_jobs._answers import (
    Answer,
    EarlierRuns,
    Failed,
    Moved,
    NotRun,
    RefusalReason,
    Succeeded,
    TimedOut,
)
from fireflybridge_jobs._jobs import Job, QueuePolicy, Step, TaskId
from fireflybridge_jobs._runs import EndedRun, Ending, RunningRun, RunReport
from fireflybridge_jobs._upstreams import Resources, UpstreamInfo, UpstreamState

__all__ = [
    "Answer",
    "EarlierRuns",
    "EndedRun",
    "Ending",
    "Failed",
    "Job",
    "Moved",
    "NotRun",
    "QueuePolicy",
    "RefusalReason",
    "Resources",
    "RunReport",
    "RunningRun",
    "Step",
    "Succeeded",
    "TaskId",
    "TimedOut",
    "UpstreamInfo",
    "UpstreamState",
]
