"""Live daemons, and the owners of upstreams and claim shards."""

from fireflybridge_membership._handover import Ownership, find_first_start, find_takeover_start
from fireflybridge_membership._members import (
    LOST_AFTER_S,
    Applied,
    DaemonState,
    IgnoredDrop,
    IgnoredEmpty,
    KnownDaemon,
    ListVerdict,
    MemberKind,
    MemberRecord,
    check_host_list,
)
from fireflybridge_membership._membership import DaemonReport, Membership, PeerAddress
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
    "DaemonReport",
    "DaemonState",
    "IgnoredDrop",
    "IgnoredEmpty",
    "KnownDaemon",
    "ListVerdict",
    "MemberKind",
    "MemberRecord",
    "Membership",
    "Ownership",
    "PeerAddress",
    "Resource",
    "View",
    "check_host_list",
    "find_first_start",
    "find_owner",
    "find_registrar",
    "find_takeover_start",
    "is_leaving",
    "list_shards",
    "owned_resources",
    "owned_upstreams",
]
