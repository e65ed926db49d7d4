"""Daemons and upstreams, as described by the platform's host list and by heartbeats."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import StrEnum

# Three missed heartbeats. A leaving or dead owner's upstreams are unused for at most this long.
LOST_AFTER_S = 3.0


class MemberKind(StrEnum):
    """Kind of an entry in the host list."""

    DAEMON = "daemon"
    UPSTREAM = "upstream"


class DaemonState(StrEnum):
    """State that a daemon reports in its heartbeats.

    A starting daemon has not owned anything yet, but is already a candidate for ownership. A
    draining daemon releases everything it owns immediately.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Entry of the platform's host list; ``address`` is ``ip:port``."""

    name: str
    kind: MemberKind
    leaving: bool
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True)
class KnownDaemon:
    """Last heartbeat of another daemon; times are monotonic clock readings in seconds.

    ``incumbent`` is true if it may have owned resources before its first heartbeat reached this
    daemon.
    """

    name: str
    incarnation: str
    failure_domain: str
    state: DaemonState
    last_heartbeat_at: float
    first_heartbeat_at: float
    incumbent: bool


@dataclass(frozen=True, slots=True)
class Applied:
    """The host list was applied."""


@dataclass(frozen=True, slots=True)
class IgnoredEmpty:
    """An empty host list was ignored, because ``heard`` daemons send heartbeats."""

    heard: int


@dataclass(frozen=True, slots=True)
class IgnoredDrop:
    """A host list was ignored, because it lacks most of the daemons that send heartbeats.

    ``dropped`` names the missing ones, ``heard`` is the number of daemons that send heartbeats.
    """

    dropped: tuple[str, ...]
    heard: int


ListVerdict = Applied | IgnoredEmpty | IgnoredDrop


def check_host_list(records: Sequence[MemberRecord], live: Collection[str]) -> ListVerdict:
    """Decide whether to apply a host list; ``live`` names the daemons that send heartbeats.

    The list is ignored if it is empty while any daemon is live, or lacks more than half of the live
    daemons.
    """
    if not records and live:
        return IgnoredEmpty(len(live))
    listed = {record.name for record in records if record.kind is MemberKind.DAEMON}
    dropped = tuple(sorted(name for name in live if name not in listed))
    if 2 * len(dropped) > len(live):
        return IgnoredDrop(dropped, len(live))
    return Applied()


def is_lost(daemon: KnownDaemon, now: float) -> bool:
    """Return whether the last heartbeat of a daemon is at least ``LOST_AFTER_S`` old."""
    return now - daemon.last_heartbeat_at >= LOST_AFTER_S
