"""State of the limits that hold over all daemons: own reports, and those of peers."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from fireflybridge_dispatch._quotas import (
    Allowance,
    DaemonClaim,
    Peak,
    TeamClaim,
    TeamKey,
    choose_reported,
    find_allowance,
    find_known_demand,
    raise_peak,
)

MAX_REPORTS = 32  # at two a second more than the 3 s after which a silent peer is lost


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Hold a team's limit, and the slots it holds and queues through this daemon."""

    key: TeamKey
    limit: int
    held: int
    queued: int


@dataclass(frozen=True, slots=True)
class OwnReport:
    """Hold a report to all peers.

    ``heard`` names, for each peer, the last report of it that this one was made after.
    ``complete`` says that no team in use was left out.
    """

    number: int
    heard: Mapping[str, int]
    complete: bool
    claims: Mapping[TeamKey, TeamClaim]


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Hold a peer's report; ``heard`` is the number of the own report that it was made after."""

    number: int
    heard: int
    complete: bool
    claims: Mapping[TeamKey, TeamClaim]


class QuotaBook:
    """Own the reports of this daemon and of its peers.

    More than the fair part of a limit is used only up to a demand that every peer has heard, and
    has said so in a report that was made after it gave way.
    """

    def __init__(self, name: str, first_number: int, clock: Callable[[], float]) -> None:
        self._name = name
        self._clock = clock
        self._reports = deque((OwnReport(first_number, {}, True, {}),), MAX_REPORTS)
        self._peers: dict[str, PeerReport] = {}
        self._claims: dict[str, dict[TeamKey, DaemonClaim]] = {}
        self._silent: set[str] = set()
        self._all_known = True
        self._partial = 0  # peers whose reports leave teams out
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

    def hear(self, peer: str, report: PeerReport | None) -> None:
        """Keep the last report of a peer; none comes from an earlier version of the daemon."""
        if report is None:
            self._silent.add(peer)
            self._peers.pop(peer, None)
        else:
            self._silent.discard(peer)
            self._peers[peer] = report
            self._claims[peer] = {k: DaemonClaim(peer, c) for k, c in report.claims.items()}

    def refresh(
        self, demands: Iterable[TeamDemand], peers: Iterable[str]
    ) -> dict[TeamKey, Allowance]:
        """Make the next report, and return the allowances of teams in use anywhere.

        Reports of daemons that are not among ``peers`` count no longer.
        """
        heard = frozenset(peers)
        self._daemons = 1 + len(heard)
        self._peers = {name: self._peers[name] for name in heard if name in self._peers}
        self._partial = sum(not peer.complete for peer in self._peers.values())
        self._claims = {name: self._claims[name] for name in self._peers}
        self._silent &= heard
        self._all_known = heard == self._peers.keys() | self._silent
        known = {demand.key: demand for demand in demands}
        claims = self._make_claims(known.values())
        self._note_report(claims)
        unacknowledged = self._list_unacknowledged()
        others = self._list_others()
        return {
            key: self._allow(demand, unacknowledged, others.get(key, ()))
            for key, demand in known.items()
        }

    def _note_report(self, claims: Mapping[TeamKey, TeamClaim]) -> None:
        """Make the next report, under a new number if the claims changed."""
        last = self.report
        reported = choose_reported(claims)
        heard = {name: peer.number for name, peer in self._peers.items()}
        complete = len(reported) == len(claims)
        if reported == last.claims:
            self._reports[-1] = OwnReport(last.number, heard, complete, reported)
        else:
            self._reports.append(OwnReport(last.number + 1, heard, complete, reported))

    def _make_claims(self, demands: Iterable[TeamDemand]) -> dict[TeamKey, TeamClaim]:
        now = self._clock()
        claims = {}
        peaks = {}
        for demand in demands:
            wanted = min(demand.limit, demand.held + demand.queued)
            peak = raise_peak(self._peaks.get(demand.key), wanted, now)
            if peak.slots:
                peaks[demand.key] = peak
                claims[demand.key] = TeamClaim(demand.held, min(peak.slots, demand.limit))
        self._peaks = peaks
        return claims

    def _list_unacknowledged(self) -> list[Mapping[TeamKey, TeamClaim]]:
        """Return the claims of the reports of which a peer may have any as the last it heard."""
        numbers = [report.number for report in self._reports]
        oldest = min((peer.heard for peer in self._peers.values()), default=numbers[-1])
        if not self._all_known or not numbers[0] <= oldest <= numbers[-1]:
            return []
        return [report.claims for report in self._reports if report.number >= oldest]

    def _list_others(self) -> dict[TeamKey, list[DaemonClaim]]:
        """Return the claims of the peers by team."""
        others: dict[TeamKey, list[DaemonClaim]] = defaultdict(list)
        for claims in self._claims.values():
            for key, claim in claims.items():
                others[key].append(claim)
        return others

    def _allow(
        self,
        demand: TeamDemand,
        unacknowledged: list[Mapping[TeamKey, TeamClaim]],
        others: Sequence[DaemonClaim],
    ) -> Allowance:
        wanted = find_known_demand(demand.key, unacknowledged)
        own = DaemonClaim(self._name, TeamClaim(demand.held, wanted))
        listed = sum(self._peers[other.daemon].complete for other in others)
        unlisted = self._partial - (len(others) - listed)
        return find_allowance(demand.limit, own, others, self._daemons, unlisted)
