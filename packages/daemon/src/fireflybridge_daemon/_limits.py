"""Limits of teams over all daemons: what heartbeats carry of them, and what queues are told."""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from fireflybridge_daemon._configuration import Configuration
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_dispatch import (
    Allowance,
    OwnReport,
    PeerReport,
    QuotaCoordinator,
    TeamClaim,
    TeamKey,
)
from fireflybridge_peers import PoolClaims, QuotaReport, TeamUse

# Numbers start at random, so that a peer that still knows of an earlier incarnation's is noticed.
MAX_FIRST_NUMBER = 2**16 - 1
# One report serves the heartbeats to all peers; at 0.25 s its making took twice the CPU.
REPORT_INTERVAL_S = 0.5


class SharedLimits:
    """Own the exchange of quota reports with the peers."""

    def __init__(self, name: str, tables: Configuration, clock: Callable[[], float]) -> None:
        self._tables = tables
        first = random.SystemRandom().randint(1, MAX_FIRST_NUMBER)
        self._book = QuotaCoordinator(name, first, clock)
        self._peers: tuple[str, ...] = ()
        self._revision = ""
        self._refreshed = 0.0
        self._packed: tuple[PoolClaims, ...] = ()
        self._indexed = ""
        self._keys: dict[str, tuple[TeamKey, ...]] = {}
        self._places: dict[TeamKey, int] = {}

    def refresh_if_due(self, now: float, peers: Iterable[str]) -> None:
        """Refresh at the interval of reports."""
        if now - self._refreshed >= REPORT_INTERVAL_S:
            self._refreshed = now
            self.refresh(peers)

    def refresh(self, peers: Iterable[str]) -> None:
        """Make a report of this moment and tell the queues what they may use."""
        self._peers = tuple(peers)
        self._index()
        self._revision = self._indexed
        runners = self._tables.runners
        demands = [demand for runner in runners for demand in runner.queue.list_demands()]
        allowances: dict[str, dict[str, Allowance]] = defaultdict(dict)
        for key, allowance in self._book.refresh(demands, self._peers).items():
            allowances[key.pool][key.team] = allowance
        for runner in runners:
            runner.queue.set_allowances(self._book.daemons, allowances[runner.pool.name])
        self._packed = pack_claims(self._book.report, self._places)

    def describe(self, peer: str) -> QuotaReport:
        """Return the report to a peer."""
        if self._revision != self._tables.state.revision_id:
            self.refresh(self._peers)
        report = self._book.report
        heard = report.acknowledged.get(peer, 0)
        return QuotaReport(report.number, heard, report.complete, self._packed)

    def hear(self, peer: str, revision: str, report: QuotaReport | None) -> None:
        """Keep a peer's report; one under other tables than these can't be read and is left."""
        if report is None:
            self._book.receive(peer, None)
            return
        if revision != self._tables.state.revision_id:
            return
        self._index()
        claims = unpack_claims(report.pools, self._keys)
        self._book.receive(peer, PeerReport(report.number, report.heard, report.complete, claims))

    def _index(self) -> None:
        """Find the places of quotas in the tables in force."""
        if self._indexed == self._tables.state.revision_id:
            return
        self._indexed = self._tables.state.revision_id
        self._keys = index_keys(self._tables.runners)
        self._places = {key: n for keys in self._keys.values() for n, key in enumerate(keys)}


def index_keys(runners: Iterable[PoolRunner]) -> dict[str, tuple[TeamKey, ...]]:
    """Return the teams of each pool in the order of its quotas."""
    return {
        runner.pool.name: tuple(TeamKey(runner.pool.name, quota.team) for quota in quotas)
        for runner in runners
        if (quotas := runner.pool.quotas)
    }


def pack_claims(report: OwnReport, places: Mapping[TeamKey, int]) -> tuple[PoolClaims, ...]:
    """Return the claims of a report with each team as its place among the pool's quotas."""
    pools: dict[str, list[TeamUse]] = defaultdict(list)
    for key, claim in report.claims.items():
        if key in places:
            pools[key.pool].append(TeamUse(places[key], claim.held, claim.wanted))
    return tuple(PoolClaims(pool, tuple(teams)) for pool, teams in pools.items())


def unpack_claims(
    pools: Iterable[PoolClaims], keys: Mapping[str, tuple[TeamKey, ...]]
) -> dict[TeamKey, TeamClaim]:
    """Return the claims of a report made under the tables that the keys are of."""
    return {
        known[use.place]: TeamClaim(use.held, use.wanted)
        for pool in pools
        if (known := keys.get(pool.pool, ()))
        for use in pool.teams
        if use.place < len(known)
    }
