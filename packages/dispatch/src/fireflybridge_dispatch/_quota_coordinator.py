"""Exchange of quota reports with the peers, and the allowances that follow from them."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from fireflybridge_dispatch._quotas import (
    Allowance,
    DaemonClaim,
    Peak,
    TeamClaim,
    TeamKey,
    find_allowance,
    find_known_demand,
    select_reported,
    update_peak,
)

# Own reports that are stored. At two a second they reach back further than the 3 s after which a
# peer without heartbeats counts as lost.
MAX_REPORTS = 32


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Limit of a team, the slots it holds and the tasks it has queued in this daemon."""

    key: TeamKey
    limit: int
    held: int
    queued: int


@dataclass(frozen=True, slots=True)
class OwnReport:
    """Report of this daemon to all peers.

    ``acknowledged`` gives the number of the last report received from each peer before this one
    was made. ``complete`` states that no team in use was left out.
    """

    number: int
    acknowledged: Mapping[str, int]
    complete: bool
    claims: Mapping[TeamKey, TeamClaim]


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Report of a peer.

    ``acknowledged`` is the number of the last report of this daemon that the peer had received
    when it made its own.
    """

    number: int
    acknowledged: int
    complete: bool
    claims: Mapping[TeamKey, TeamClaim]


class QuotaCoordinator:
    """Hold the reports of this daemon and of its peers, and compute allowances from them.

    A team uses more than the guaranteed slots only up to a demand that every peer has acknowledged.
    A peer acknowledges a demand in a report that it makes after it reduced its own allowance.
    """

    def __init__(self, name: str, first_number: int, clock: Callable[[], float]) -> None:
        self._name = name
        self._clock = clock
        self._reports = deque((OwnReport(first_number, {}, True, {}),), MAX_REPORTS)
        self._peers: dict[str, PeerReport] = {}
        self._claims: dict[str, dict[TeamKey, DaemonClaim]] = {}
        self._non_reporting: set[str] = set()
        self._all_peers_known = True
        self._incomplete = 0  # number of peers whose reports leave teams out
        self._peaks: dict[TeamKey, Peak] = {}
        self._daemons = 1

    @property
    def report(self) -> OwnReport:
        """Return the report that the next heartbeats carry."""
        return self._reports[-1]

    @property
    def daemons(self) -> int:
        """Return how many daemons share the limits."""
        return self._daemons

    def receive(self, peer: str, report: PeerReport | None) -> None:
        """Store the last report of a peer; None if its version sends no reports."""
        if report is None:
            self._non_reporting.add(peer)
            self._peers.pop(peer, None)
        else:
            self._non_reporting.discard(peer)
            self._peers[peer] = report
            self._claims[peer] = {k: DaemonClaim(peer, c) for k, c in report.claims.items()}

    def refresh(
        self, demands: Iterable[TeamDemand], peers: Iterable[str]
    ) -> dict[TeamKey, Allowance]:
        """Make the next report, and return the allowances of the teams in ``demands``.

        Reports of daemons that are not among ``peers`` are dropped.
        """
        current = frozenset(peers)
        self._daemons = 1 + len(current)
        self._peers = {name: self._peers[name] for name in current if name in self._peers}
        self._incomplete = sum(not peer.complete for peer in self._peers.values())
        self._claims = {name: self._claims[name] for name in self._peers}
        self._non_reporting &= current
        self._all_peers_known = current == self._peers.keys() | self._non_reporting
        known = {demand.key: demand for demand in demands}
        claims = self._make_claims(known.values())
        self._update_report(claims)
        unacknowledged = self._list_unacknowledged()
        others = self._group_peer_claims()
        return {
            key: self._find_allowance(demand, unacknowledged, others.get(key, ()))
            for key, demand in known.items()
        }

    def _update_report(self, claims: Mapping[TeamKey, TeamClaim]) -> None:
        """Make the next report, with a new number only if the claims changed."""
        last = self.report
        reported = select_reported(claims)
        acknowledged = {name: peer.number for name, peer in self._peers.items()}
        complete = len(reported) == len(claims)
        if reported == last.claims:
            self._reports[-1] = OwnReport(last.number, acknowledged, complete, reported)
        else:
            self._reports.append(OwnReport(last.number + 1, acknowledged, complete, reported))

    def _make_claims(self, demands: Iterable[TeamDemand]) -> dict[TeamKey, TeamClaim]:
        now = self._clock()
        claims = {}
        peaks = {}
        for demand in demands:
            wanted = min(demand.limit, demand.held + demand.queued)
            peak = update_peak(self._peaks.get(demand.key), wanted, now)
            if peak.slots:
                peaks[demand.key] = peak
                claims[demand.key] = TeamClaim(demand.held, min(peak.slots, demand.limit))
        self._peaks = peaks
        return claims

    def _list_unacknowledged(self) -> list[Mapping[TeamKey, TeamClaim]]:
        """Return the claims of each report that may be the last one that some peer received.

        The list is empty if that is unknown for a peer.
        """
        numbers = [report.number for report in self._reports]
        oldest = min((peer.acknowledged for peer in self._peers.values()), default=numbers[-1])
        if not self._all_peers_known or not numbers[0] <= oldest <= numbers[-1]:
            return []
        return [report.claims for report in self._reports if report.number >= oldest]

    def _group_peer_claims(self) -> dict[TeamKey, list[DaemonClaim]]:
        """Return the claims of the peers, grouped by team."""
        others: dict[TeamKey, list[DaemonClaim]] = defaultdict(list)
        for claims in self._claims.values():
            for key, claim in claims.items():
                others[key].append(claim)
        return others

    def _find_allowance(
        self,
        demand: TeamDemand,
        unacknowledged: list[Mapping[TeamKey, TeamClaim]],
        others: Sequence[DaemonClaim],
    ) -> Allowance:
        wanted = find_known_demand(demand.key, unacknowledged)
        own = DaemonClaim(self._name, TeamClaim(demand.held, wanted))
        listed = sum(self._peers[other.daemon].complete for other in others)
        unlisted = self._incomplete - (len(others) - listed)
        return find_allowance(demand.limit, own, others, self._daemons, unlisted)
