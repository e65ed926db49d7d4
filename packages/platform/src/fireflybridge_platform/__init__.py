"""Client of the platform's append-only log and host list."""

from fireflybridge_platform._http import HttpHostList, HttpLog
from fireflybridge_platform._interface import (
    AppendFailure,
    Host,
    HostList,
    HostRole,
    HostState,
    Log,
    MayBeAppended,
    NotAppended,
    Page,
    Record,
)

__all__ = [
    "AppendFailure",
    "Host",
    "HostList",
    "HostRole",
    "HostState",
    "HttpHostList",
    "HttpLog",
    "Log",
    "MayBeAppended",
    "NotAppended",
    "Page",
    "Record",
]
