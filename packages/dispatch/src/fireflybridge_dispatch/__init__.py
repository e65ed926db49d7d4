"""Dispatch policy: queue order, admission, limits and ejection."""

from fireflybridge_dispatch._admission import Admission, Admitted, NotAdmitted, RefusalCause
from fireflybridge_dispatch._attempts import MAX_ATTEMPTS
from fireflybridge_dispatch._health import Allowed, Denied, Permission, Probe, UpstreamHealth
from fireflybridge_dispatch._queue import PoolQueue
from fireflybridge_dispatch._quota_coordinator import (
    OwnReport,
    PeerReport,
    QuotaCoordinator,
    TeamDemand,
)
from fireflybridge_dispatch._quotas import Allowance, TeamClaim, TeamKey
from fireflybridge_dispatch._retries import RetryBudget
from fireflybridge_dispatch._snapshot import QueueSnapshot, TeamSnapshot

__all__ = [
    "MAX_ATTEMPTS",
    "Admission",
    "Admitted",
    "Allowance",
    "Allowed",
    "Denied",
    "NotAdmitted",
    "OwnReport",
    "PeerReport",
    "Permission",
    "PoolQueue",
    "Probe",
    "QueueSnapshot",
    "QuotaCoordinator",
    "RefusalCause",
    "RetryBudget",
    "TeamClaim",
    "TeamDemand",
    "TeamKey",
    "TeamSnapshot",
    "UpstreamHealth",
]
