"""Stand-in for the platform's append-only log and host list.

Run it with ``python -m fireflybridge_standins.platform``. The protocol under ``/v1`` is the
platform's; the endpoints under ``/control`` belong to the stand-in only.
"""

from fireflybridge_standins.platform._faults import (
    Fault,
    FaultSwitch,
    Hang,
    LoseAnswers,
    NoFault,
    Refuse,
    Slow,
)
from fireflybridge_standins.platform._log import AppendPace, LogStore, Retention

__all__ = [
    "AppendPace",
    "Fault",
    "FaultSwitch",
    "Hang",
    "LogStore",
    "LoseAnswers",
    "NoFault",
    "Refuse",
    "Retention",
    "Slow",
]
