"""The scheduler that a leader runs and its sessions with upstreams."""

from fireflybridge_execution._commands import (
    Accepted,
    Hold,
    OrderConnection,
    OrderConnector,
    Rejected,
    Rejection,
    Start,
    Stop,
)
from fireflybridge_execution._directory import Directory, DirectorySource, DirectoryView
from fireflybridge_execution._events import (
    ExecutionEvent,
    JobEnded,
    JobReceived,
    Placement,
    RunEndedBadly,
    RunMoved,
    TasksPlaced,
    UpstreamDoubted,
    UpstreamSynced,
)
from fireflybridge_execution._scheduler import Scheduler

__all__ = [
    "Accepted",
    "Directory",
    "DirectorySource",
    "DirectoryView",
    "ExecutionEvent",
    "Hold",
    "JobEnded",
    "JobReceived",
    "OrderConnection",
    "OrderConnector",
    "Placement",
    "Rejected",
    "Rejection",
    "RunEndedBadly",
    "RunMoved",
    "Scheduler",
    "Start",
    "Stop",
    "TasksPlaced",
    "UpstreamDoubted",
    "UpstreamSynced",
]
