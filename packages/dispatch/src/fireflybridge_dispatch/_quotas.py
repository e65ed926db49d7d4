"""Division of a team's limit between all daemons.

Each daemon reports how many slots a limited team holds and wants through it. A task counts at the
daemon where it entered, from its assignment to a slot of that daemon or of a peer until it ends.
So each task counts once, and no task waits at a peer because of a limit.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

# Bounds the cost of heartbeats. At 30 peers, 16 teams took 3.4% of a core, against a budget of 3.3%
# for all control traffic; 24 teams took 13.2 KB/s with headers, against a budget of 13.
MAX_REPORTED_TEAMS = 8
# The reported demand is the peak over this time, so that a gap between two jobs does not give the
# team's slots to other daemons.
PEAK_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True, order=True)
class TeamKey:
    """Identify a team in a pool."""

    pool: str
    team: str


@dataclass(frozen=True, slots=True)
class TeamClaim:
    """Slots that a team holds and wants through one daemon; ``wanted`` includes ``held``.

    Not related to the claims of submission keys.
    """

    held: int
    wanted: int


NO_CLAIM = TeamClaim(0, 0)


@dataclass(frozen=True, slots=True)
class DaemonClaim:
    """Claim of a team through the named daemon."""

    daemon: str
    claim: TeamClaim


@dataclass(frozen=True, slots=True)
class Allowance:
    """Slots that a team may use through this daemon.

    ``slots`` applies now. ``expected`` applies once the peers know that the team wants its whole
    limit through this daemon.
    """

    slots: int
    expected: int


@dataclass(frozen=True, slots=True)
class Peak:
    """Greatest recent demand in slots, and the time ``at`` of its last update."""

    slots: int
    at: float


def update_peak(peak: Peak | None, slots: int, now: float) -> Peak:
    """Return the new peak after a demand of ``slots`` was observed."""
    if peak is None or slots >= peak.slots or now - peak.at >= PEAK_WINDOW_S:
        return Peak(slots, now)
    return peak


def find_guaranteed_slots(limit: int, daemons: int) -> int:
    """Return the slots of a limit that each daemon may always use, at least one."""
    return max(1, limit // max(1, daemons))


def share_limit(
    limit: int, own: DaemonClaim, others: Sequence[DaemonClaim], minimum: int = 0
) -> int:
    """Return a daemon's share of a limit in slots, or ``minimum`` if that is greater.

    Slots in use stay with their daemon. The others go one by one to the daemon with the fewest
    slots among those that want more; ties are broken by name. Computed from the same claims, the
    shares of all daemons add up to the limit at most. A greater claim of another daemon never
    increases this daemon's share, so a daemon that overestimates claims only takes less.
    """
    maximum = min(limit, own.claim.wanted)
    if maximum <= minimum:
        return minimum
    if maximum + sum(max(other.claim.held, other.claim.wanted) for other in others) <= limit:
        return maximum
    # Under contention most daemons get no more than the minimum, so that is checked first.
    candidate = minimum + 1
    while minimum < maximum:
        # Slots taken by all daemons when this one gets its slot number ``candidate``.
        taken = candidate + sum(_count_slots_at(candidate, own.daemon, other) for other in others)
        minimum, maximum = (candidate, maximum) if taken <= limit else (minimum, candidate - 1)
        candidate = (minimum + maximum + 1) // 2
    return minimum


def _count_slots_at(candidate: int, daemon: str, other: DaemonClaim) -> int:
    """Return the slots of another daemon when ``daemon`` gets its slot number ``candidate``."""
    level = candidate if other.daemon < daemon else candidate - 1
    return max(other.claim.held, min(other.claim.wanted, level))


def find_allowance(
    limit: int, own: DaemonClaim, others: Sequence[DaemonClaim], daemons: int, unlisted: int = 0
) -> Allowance:
    """Return a team's allowance in this daemon, provided that all peers know this daemon's claim.

    ``unlisted`` is the number of daemons that may have left the team out of their reports; each of
    them may use its guaranteed slots.
    """
    guaranteed = find_guaranteed_slots(limit, daemons)
    claimants = 1 + unlisted + sum(other.claim.wanted > 0 for other in others)
    slots = max(guaranteed, share_limit(limit - unlisted * guaranteed, own, others, guaranteed))
    return Allowance(slots, max(slots, limit // claimants))


def find_known_demand(key: TeamKey, reports: Iterable[Mapping[TeamKey, TeamClaim]]) -> int:
    """Return the demand that every peer knows of, whichever of the reports it received last."""
    return min((report.get(key, NO_CLAIM).wanted for report in reports), default=0)


def select_reported(claims: Mapping[TeamKey, TeamClaim]) -> dict[TeamKey, TeamClaim]:
    """Return the largest claims, as many as fit into a report."""
    ranked = sorted(claims, key=lambda key: (-claims[key].held, -claims[key].wanted, key))
    return {key: claims[key] for key in ranked[:MAX_REPORTED_TEAMS]}
