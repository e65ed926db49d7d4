"""Members of the system as the platform's list and heartbeats describe them."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import StrEnum

# Three missed heartbeats. A leaving or dead owner's upstreams idle no longer than this.
LOST_AFTER_S = 3.0


class MemberKind(StrEnum):
    """Name what a listed member is."""

    DAEMON = "daemon"
    UPSTREAM = "upstream"


class DaemonState(StrEnum):
    """Name what a daemon says about itself.

    A starting daemon has not owned anything yet; it counts for ownership, since it is about to.
    A draining daemon gives up what it owns at once.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Hold one entry of the platform's list; ``address`` is ``ip:port``."""

    name: str
    kind: MemberKind
    leaving: bool
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True)
class HeardDaemon:
    """Hold what was last heard from a daemon, with monotonic readings in seconds.

    ``incumbent`` states that it may have owned resources before this daemon heard it first.
    """

    name: str
    incarnation: str
    failure_domain: str
    state: DaemonState
    heard_at: float
    first_heard_at: float
    incumbent: bool


@dataclass(frozen=True, slots=True)
class Applied:
    """State that a list was taken over."""


@dataclass(frozen=True, slots=True)
class IgnoredEmpty:
    """State that an empty list was ignored, because ``heard`` daemons are heard."""

    heard: int


@dataclass(frozen=True, slots=True)
class IgnoredDrop:
    """State that a list was ignored, because it drops these of the ``heard`` daemons."""

    dropped: tuple[str, ...]
    heard: int


ListVerdict = Applied | IgnoredEmpty | IgnoredDrop


def judge_list(records: Sequence[MemberRecord], heard: Collection[str]) -> ListVerdict:
    """Return whether a list agrees well enough with the daemons that are heard directly."""
    if not records and heard:
        return IgnoredEmpty(len(heard))
    listed = {record.name for record in records if record.kind is MemberKind.DAEMON}
    dropped = tuple(sorted(name for name in heard if name not in listed))
    if 2 * len(dropped) > len(heard):
        return IgnoredDrop(dropped, len(heard))
    return Applied()


def is_lost(daemon: HeardDaemon, now: float) -> bool:
    """Return whether a daemon has not been heard for too long."""
    return now - daemon.heard_at >= LOST_AFTER_S
