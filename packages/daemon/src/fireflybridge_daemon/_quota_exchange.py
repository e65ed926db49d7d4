"""Quotas of teams across all daemons: reports in heartbeats, and limits applied to the queues."""

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

# Report numbers start at random, so that a peer that acknowledges an earlier incarnation's report
# is detected.
MAX_FIRST_NUMBER = 2**16 - 1
# One report is shared by the heartbeats to all peers; building it every 0.25 s took twice the CPU.
REPORT_INTERVAL_S = 0.5


class QuotaExchange:
    """Exchange quota reports with the peers and apply the resulting limits to the queues."""

    def __init__(self, name: str, configuration: Configuration, clock: Callable[[], float]) -> None:
        self._configuration = configuration
        first = random.SystemRandom().randint(1, MAX_FIRST_NUMBER)
        self._coordinator = QuotaCoordinator(name, first, clock)
        self._peers: tuple[str, ...] = ()
        self._report_revision = ""
        self._refreshed_at = 0.0
        self._pool_claims: tuple[PoolClaims, ...] = ()
        self._indexed_revision = ""
        self._keys: dict[str, tuple[TeamKey, ...]] = {}
        self._positions: dict[TeamKey, int] = {}

    def refresh_if_due(self, now: float, peers: Iterable[str]) -> None:
        """Refresh if the report interval has passed."""
        if now - self._refreshed_at >= REPORT_INTERVAL_S:
            self._refreshed_at = now
            self.refresh(peers)

    def refresh(self, peers: Iterable[str]) -> None:
        """Build a report of the current state and set the limits of the queues."""
        self._peers = tuple(peers)
        self._index_quotas()
        self._report_revision = self._indexed_revision
        runners = self._configuration.runners
        demands = [demand for runner in runners for demand in runner.queue.list_demands()]
        allowances: dict[str, dict[str, Allowance]] = defaultdict(dict)
        for key, allowance in self._coordinator.refresh(demands, self._peers).items():
            allowances[key.pool][key.team] = allowance
        for runner in runners:
            runner.queue.set_allowances(self._coordinator.daemons, allowances[runner.pool.name])
        self._pool_claims = encode_claims(self._coordinator.report, self._positions)

    def build_report(self, peer: str) -> QuotaReport:
        """Return the report for a peer's heartbeat."""
        if self._report_revision != self._configuration.state.revision_id:
            self.refresh(self._peers)
        report = self._coordinator.report
        acknowledged = report.acknowledged.get(peer, 0)
        return QuotaReport(report.number, acknowledged, report.complete, self._pool_claims)

    def receive(self, peer: str, revision: str, report: QuotaReport | None) -> None:
        """Store a peer's report; one made under another revision of the tables is ignored.

        Reports refer to teams by their position in the tables.
        """
        if report is None:
            self._coordinator.receive(peer, None)
            return
        if revision != self._configuration.state.revision_id:
            return
        self._index_quotas()
        claims = decode_claims(report.pools, self._keys)
        self._coordinator.receive(
            peer, PeerReport(report.number, report.heard, report.complete, claims)
        )

    def _index_quotas(self) -> None:
        """Index the quotas of the tables in force by their position."""
        if self._indexed_revision == self._configuration.state.revision_id:
            return
        self._indexed_revision = self._configuration.state.revision_id
        self._keys = index_keys(self._configuration.runners)
        self._positions = {key: n for keys in self._keys.values() for n, key in enumerate(keys)}


def index_keys(runners: Iterable[PoolRunner]) -> dict[str, tuple[TeamKey, ...]]:
    """Return the teams of each pool in the order of the pool's quotas."""
    return {
        runner.pool.name: tuple(TeamKey(runner.pool.name, quota.team) for quota in quotas)
        for runner in runners
        if (quotas := runner.pool.quotas)
    }


def encode_claims(report: OwnReport, positions: Mapping[TeamKey, int]) -> tuple[PoolClaims, ...]:
    """Return the claims of a report, with each team given by its position in the pool's quotas."""
    pools: dict[str, list[TeamUse]] = defaultdict(list)
    for key, claim in report.claims.items():
        if key in positions:
            pools[key.pool].append(TeamUse(positions[key], claim.held, claim.wanted))
    return tuple(PoolClaims(pool, tuple(teams)) for pool, teams in pools.items())


def decode_claims(
    pools: Iterable[PoolClaims], keys: Mapping[str, tuple[TeamKey, ...]]
) -> dict[TeamKey, TeamClaim]:
    """Return the claims of a report; ``keys`` must be of the tables that it was made under."""
    return {
        known[use.place]: TeamClaim(use.held, use.wanted)
        for pool in pools
        if (known := keys.get(pool.pool, ()))
        for use in pool.teams
        if use.place < len(known)
    }
