"""Live daemons, and the owners of upstreams and claim shards."""

from fireflybridge_membership._handover import Ownership, find_first_start, find_takeover_start
from fireflybridge_membership._members import (
    LOST_AFTER_S,
    Applied,
    DaemonState,
    HeardDaemon,
    IgnoredDrop,
    IgnoredEmpty,
    ListVerdict,
    MemberKind,
    MemberRecord,
    judge_list,
)
from fireflybridge_membership._membership import Membership, PeerAddress, PeerReport
from fireflybridge_membership._ownership import (
    Candidate,
    Resource,
    View,
    find_owner,
    find_registrar,
    is_leaving,
    list_shards,
    owned_resources,
    owned_upstreams,
)

__all__ = [
    "LOST_AFTER_S",
    "Applied",
    "Candidate",
    "DaemonState",
    "HeardDaemon",
    "IgnoredDrop",
    "IgnoredEmpty",
    "ListVerdict",
    "MemberKind",
    "MemberRecord",
    "Membership",
    "Ownership",
    "PeerAddress",
    "PeerReport",
    "Resource",
    "View",
    "find_first_start",
    "find_owner",
    "find_registrar",
    "find_takeover_start",
    "is_leaving",
    "judge_list",
    "list_shards",
    "owned_resources",
    "owned_upstreams",
]
