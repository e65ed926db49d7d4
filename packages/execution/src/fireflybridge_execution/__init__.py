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
    EarlierRunAdopted,
    EarlierRunEnded,
    ExecutionEvent,
    JobEnded,
    JobReceived,
    Placement,
    RunMoved,
    RunNotCompleted,
    StoppedRunEnded,
    TasksPlaced,
    UnexpectedError,
    UpstreamCrashed,
    UpstreamEjected,
    UpstreamSynced,
)
from fireflybridge_execution._run_registry import RunKey
from fireflybridge_execution._scheduler import Scheduler

__all__ = [
    "Accepted",
    "CommandConnection",
    "CommandConnector",
    "CrashSign",
    "DirectorySource",
    "DirectoryView",
    "EarlierRunAdopted",
    "EarlierRunEnded",
    "ExecutionEvent",
    "Hold",
    "JobEnded",
    "JobReceived",
    "Placement",
    "Rejected",
    "RejectionReason",
    "RunKey",
    "RunMoved",
    "RunNotCompleted",
    "Scheduler",
    "Start",
    "Stop",
    "StoppedRunEnded",
    "TasksPlaced",
    "UnexpectedError",
    "UpstreamCrashed",
    "UpstreamDirectory",
    "UpstreamEjected",
    "UpstreamSynced",
]
