"""Limits of teams that hold over all daemons together.

Each daemon reports how many slots a limited team holds and wants through it. A task counts at the
daemon where it entered, from the moment it is given to a slot, here or at a peer, to its end. So
it counts once, and no task waits at a peer for a limit.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

# Bounds the cost of heartbeats: with 16 teams they took 3.4% of a core at 30 peers, against 3.3%
# for all control, and with 24 teams 13.2 KB/s with headers, against 13.
MAX_REPORTED_TEAMS = 8
# Demand is reported as its peak of this time, so that the gap between two jobs gives nothing away.
PEAK_MEMORY_S = 2.0


@dataclass(frozen=True, slots=True, order=True)
class TeamKey:
    """Name a team in a pool."""

    pool: str
    team: str


@dataclass(frozen=True, slots=True)
class TeamClaim:
    """Count the slots that a team holds through one daemon, and those it wants, held included."""

    held: int
    wanted: int


NO_CLAIM = TeamClaim(0, 0)


@dataclass(frozen=True, slots=True)
class DaemonClaim:
    """Hold what a team holds and wants through a named daemon."""

    daemon: str
    claim: TeamClaim


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold the slots that a team may use through this daemon.

    ``slots`` counts now. ``expected`` is its part once peers have heard that it wants all here.
    """

    slots: int
    expected: int


@dataclass(frozen=True, slots=True)
class Peak:
    """Hold the greatest demand of late, as of ``at`` in seconds."""

    slots: int
    at: float


def raise_peak(peak: Peak | None, slots: int, now: float) -> Peak:
    """Return the peak of the demand after it was ``slots``."""
    if peak is None or slots >= peak.slots or now - peak.at >= PEAK_MEMORY_S:
        return Peak(slots, now)
    return peak


def find_fair_part(limit: int, daemons: int) -> int:
    """Return the slots of a limit that each of the daemons may always use, at least one."""
    return max(1, limit // max(1, daemons))


def share_limit(limit: int, own: DaemonClaim, others: Sequence[DaemonClaim], least: int = 0) -> int:
    """Return the slots of a limit that fall to a daemon, or ``least`` if those are no more.

    Slots in use stay where they are. The others go one by one to the daemon with the fewest that
    wants more, by name among equals. Given the same claims, the parts of all daemons add up to
    the limit at most. The own part falls when a claim of another daemon grows, so a daemon that
    knows of greater claims than there are only takes less.
    """
    most = min(limit, own.claim.wanted)
    if most <= least:
        return least
    if most + sum(max(other.claim.held, other.claim.wanted) for other in others) <= limit:
        return most
    part = least + 1  # under contention most get no more than the least, so this is tried first
    while least < most:
        # What is taken when this daemon gets its slot number ``part``.
        taken = part + sum(_count_before(part, own.daemon, other) for other in others)
        least, most = (part, most) if taken <= limit else (least, part - 1)
        part = (least + most + 1) // 2
    return least


def _count_before(part: int, daemon: str, other: DaemonClaim) -> int:
    """Return the slots of another daemon as the named one gets its slot number ``part``."""
    level = part if other.daemon < daemon else part - 1
    return max(other.claim.held, min(other.claim.wanted, level))


def find_allowance(
    limit: int, own: DaemonClaim, others: Sequence[DaemonClaim], daemons: int, unlisted: int = 0
) -> Allowance:
    """Return what a team may use here if all peers know the own claim.

    ``unlisted`` daemons left teams out of their reports; each of them may use its fair part.
    """
    fair = find_fair_part(limit, daemons)
    claimants = 1 + unlisted + sum(other.claim.wanted > 0 for other in others)
    slots = max(fair, share_limit(limit - unlisted * fair, own, others, fair))
    return Allowance(slots, max(slots, limit // claimants))


def find_known_demand(key: TeamKey, reports: Iterable[Mapping[TeamKey, TeamClaim]]) -> int:
    """Return the demand that every peer counts at least, whichever of the reports it has."""
    return min((report.get(key, NO_CLAIM).wanted for report in reports), default=0)


def choose_reported(claims: Mapping[TeamKey, TeamClaim]) -> dict[TeamKey, TeamClaim]:
    """Return the claims that fit into a report, the largest."""
    ranked = sorted(claims, key=lambda key: (-claims[key].held, -claims[key].wanted, key))
    return {key: claims[key] for key in ranked[:MAX_REPORTED_TEAMS]}
