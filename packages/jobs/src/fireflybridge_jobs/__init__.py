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
    merge_fences,
)
from fireflybridge_jobs._jobs import Job, RoutePolicy, Step, TaskId
from fireflybridge_jobs._runs import Crash, EndedRun, RunningRun, RunOutcome, RunReport
from fireflybridge_jobs._senders import LOCAL_SENDER, JobSender
from fireflybridge_jobs._upstreams import Resources, UpstreamInfo, UpstreamState

__all__ = [
    "LOCAL_SENDER",
    "Answer",
    "Crash",
    "EarlierRuns",
    "EndedRun",
    "Failed",
    "Job",
    "JobSender",
    "Moved",
    "NotRun",
    "RefusalReason",
    "Resources",
    "RoutePolicy",
    "RunOutcome",
    "RunReport",
    "RunningRun",
    "Step",
    "Succeeded",
    "TaskId",
    "TimedOut",
    "UpstreamInfo",
    "UpstreamState",
    "merge_fences",
]
