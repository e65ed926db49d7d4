"""Teams of a pool and their limits in this daemon."""

import sys
from collections.abc import Iterable, Iterator, Mapping

from fireflybridge_dispatch._backlog import Team
from fireflybridge_dispatch._quota_book import TeamDemand
from fireflybridge_dispatch._quotas import Allowance, TeamKey, find_fair_part
from fireflybridge_dispatch._shares import limit_slots
from fireflybridge_tables import Pool, Quota

MAX_TEAMS = 256  # teams kept without queued or running tasks
NO_LIMIT = 1.0  # of the pool's slots
# Tasks at a peer that died or is silent hold no slot, but count as in use until they are settled.
UNLIMITED = sys.maxsize
# Each finished task may ask for the blocked ones, and counting those of 100 teams takes 0.1 ms.
BLOCKED_MEMORY_S = 0.02


class Teams:
    """Own a pool's teams, their quotas, and what other daemons leave of the limits."""

    def __init__(self, pool: Pool, slots: int) -> None:
        self._teams: dict[str, Team] = {}
        self._slots = slots
        self._daemons = 1
        self._blocked = 0
        self._blocked_until = 0.0
        self._allowances: Mapping[str, Allowance] = {}
        self.configure(pool)

    def values(self) -> Iterable[Team]:
        """Return the teams at hand."""
        return self._teams.values()

    def find(self, name: str) -> Team:
        """Return the state of a team."""
        team = self._teams.get(name)
        if team is None:
            if len(self._teams) >= MAX_TEAMS:
                self._teams = {
                    name: one for name, one in self._teams.items() if one.running or one.queued
                }
            team = self._teams[name] = Team(name)
            self._apply(team)
        return team

    def configure(self, pool: Pool) -> None:
        """Apply the quotas of the tables now in force."""
        self._pool = pool.name
        self._quotas = {quota.team: quota for quota in pool.quotas}
        self._limited = {quota.team for quota in pool.quotas if quota.max_share < NO_LIMIT}
        self._apply_all()

    def set_slots(self, slots: int) -> None:
        """Set the slots of all daemons that limits are parts of."""
        self._slots = slots
        self._apply_all()

    def share(self, daemons: int, allowances: Mapping[str, Allowance]) -> None:
        """Set what this daemon may use of limits, and how many daemons share those not named."""
        self._daemons, self._allowances = daemons, allowances
        self._apply_all()

    def list_demands(self) -> Iterator[TeamDemand]:
        """Yield what limited teams hold and queue here, tasks of other daemons left out."""
        for team in self._list_limited():
            if team.own or team.queued:
                yield TeamDemand(TeamKey(self._pool, team.name), team.limit, team.own, team.queued)

    def count_blocked(self, now: float) -> int:
        """Return how many queued tasks their teams' limits kept from starting a moment ago."""
        if now >= self._blocked_until:
            teams = self._list_limited()
            self._blocked = sum(max(0, t.queued - max(0, t.allowance - t.own)) for t in teams)
            self._blocked_until = now + BLOCKED_MEMORY_S
        return self._blocked

    def _list_limited(self) -> Iterator[Team]:
        return (self._teams[name] for name in self._limited & self._teams.keys())

    def _apply_all(self) -> None:
        for team in self._teams.values():
            self._apply(team)

    def _apply(self, team: Team) -> None:
        """Set the weight and the limits of a team."""
        quota = self._quotas.get(team.name, Quota(team.name))
        team.weight, team.limit = quota.weight, limit_slots(quota, max(self._slots, 1))
        team.allowance, team.expected = UNLIMITED, team.limit
        if team.name in self._limited:
            fair = find_fair_part(team.limit, self._daemons)
            allowance = self._allowances.get(team.name, Allowance(fair, team.limit))
            team.allowance, team.expected = allowance.slots, allowance.expected
