"""Stand-in for the platform's append-only log and host list.

Run it with ``python -m fireflybridge_standins.platform``. It serves the platform's protocol under
``/v1`` and its own control endpoints under ``/control``.
"""

from fireflybridge_standins.platform._faults import (
    Fault,
    FaultInjector,
    Hang,
    LoseAnswers,
    NoFault,
    Refuse,
    Slow,
)
from fireflybridge_standins.platform._log import AppendRateLimiter, LogStore, Retention

__all__ = [
    "AppendRateLimiter",
    "Fault",
    "FaultInjector",
    "Hang",
    "LogStore",
    "LoseAnswers",
    "NoFault",
    "Refuse",
    "Retention",
    "Slow",
]
