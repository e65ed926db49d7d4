"""Teams of a pool, with their weights and their limits in this daemon."""

import sys
from collections.abc import Iterable, Iterator, Mapping

from fireflybridge_dispatch._backlog import Team
from fireflybridge_dispatch._quota_coordinator import TeamDemand
from fireflybridge_dispatch._quotas import Allowance, TeamKey, find_guaranteed_slots
from fireflybridge_dispatch._shares import limit_slots
from fireflybridge_tables import Pool, Quota

MAX_TEAMS = 256  # above this, teams without queued or running tasks are dropped
FULL_SHARE = 1.0  # fraction of the pool's slots
# More than the pool's slots: tasks at a dead or silent peer hold no slot of this daemon, but count
# as in use until their outcome is known.
UNLIMITED_SLOTS = sys.maxsize
# The count may be read for each finished task, and computing it for 100 teams takes 0.1 ms.
BLOCKED_CACHE_S = 0.02


class TeamRegistry:
    """Hold a pool's teams, their quotas, and this daemon's allowances under the limits."""

    def __init__(self, pool: Pool, slots: int) -> None:
        self._teams: dict[str, Team] = {}
        self._slots = slots
        self._daemons = 1
        self._blocked = 0
        self._blocked_valid_until = 0.0
        self._allowances: Mapping[str, Allowance] = {}
        self.configure(pool)

    def values(self) -> Iterable[Team]:
        """Return the known teams."""
        return self._teams.values()

    def get_or_create(self, name: str) -> Team:
        """Return the state of a team, which is created if the team is not known."""
        team = self._teams.get(name)
        if team is None:
            if len(self._teams) >= MAX_TEAMS:
                self._teams = {
                    name: known
                    for name, known in self._teams.items()
                    if known.running or known.queued
                }
            team = self._teams[name] = Team(name)
            self._apply(team)
        return team

    def configure(self, pool: Pool) -> None:
        """Apply the quotas of the tables now in force."""
        self._pool = pool.name
        self._quotas = {quota.team: quota for quota in pool.quotas}
        self._limited = {quota.team for quota in pool.quotas if quota.max_share < FULL_SHARE}
        self._apply_all()

    def set_slots(self, slots: int) -> None:
        """Set the total slots of all daemons, from which shares are converted to slots."""
        self._slots = slots
        self._apply_all()

    def set_allowances(self, daemons: int, allowances: Mapping[str, Allowance]) -> None:
        """Set the allowances of this daemon.

        A limited team without one may use the slots guaranteed to each of ``daemons`` daemons.
        """
        self._daemons, self._allowances = daemons, allowances
        self._apply_all()

    def list_demands(self) -> Iterator[TeamDemand]:
        """Yield the demand of each limited team, without tasks that came from peers."""
        for team in self._list_limited():
            if team.own_running or team.queued:
                yield TeamDemand(
                    TeamKey(self._pool, team.name), team.limit, team.own_running, team.queued
                )

    def count_blocked(self, now: float) -> int:
        """Return how many queued tasks may not start because of their team's limit.

        The result is cached for ``BLOCKED_CACHE_S``.
        """
        if now >= self._blocked_valid_until:
            teams = self._list_limited()
            self._blocked = sum(
                max(0, t.queued - max(0, t.allowance - t.own_running)) for t in teams
            )
            self._blocked_valid_until = now + BLOCKED_CACHE_S
        return self._blocked

    def _list_limited(self) -> Iterator[Team]:
        return (self._teams[name] for name in self._limited & self._teams.keys())

    def _apply_all(self) -> None:
        for team in self._teams.values():
            self._apply(team)

    def _apply(self, team: Team) -> None:
        """Set the weight, the limit and the allowance of a team."""
        quota = self._quotas.get(team.name, Quota(team.name))
        team.weight, team.limit = quota.weight, limit_slots(quota, max(self._slots, 1))
        team.allowance, team.expected_allowance = UNLIMITED_SLOTS, team.limit
        if team.name in self._limited:
            guaranteed = find_guaranteed_slots(team.limit, self._daemons)
            allowance = self._allowances.get(team.name, Allowance(guaranteed, team.limit))
            team.allowance, team.expected_allowance = allowance.slots, allowance.expected
