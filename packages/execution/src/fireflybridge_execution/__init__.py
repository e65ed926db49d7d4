"""The scheduler that a leader runs and its sessions with upstreams."""

from fireflybridge_execution._commands import (
    Accepted,
    CommandConnection,
    CommandConnector,
    Hold,
    Rejected,
    RejectionReason,
    Start,
    Stop,
)
from fireflybridge_execution._directory import DirectorySource, DirectoryView, UpstreamDirectory
from fireflybridge_execution._events import (
    CrashSign,
    ExecutionEvent,
    JobEnded,
    JobReceived,
    Placement,
    RunMoved,
    RunNotCompleted,
    TasksPlaced,
    UnexpectedError,
    UpstreamCrashed,
    UpstreamEjected,
    UpstreamSynced,
)
from fireflybridge_execution._scheduler import Scheduler

__all__ = [
    "Accepted",
    "CommandConnection",
    "CommandConnector",
    "CrashSign",
    "DirectorySource",
    "DirectoryView",
    "ExecutionEvent",
    "Hold",
    "JobEnded",
    "JobReceived",
    "Placement",
    "Rejected",
    "RejectionReason",
    "RunMoved",
    "RunNotCompleted",
    "Scheduler",
    "Start",
    "Stop",
    "TasksPlaced",
    "UnexpectedError",
    "UpstreamCrashed",
    "UpstreamDirectory",
    "UpstreamEjected",
    "UpstreamSynced",
]
