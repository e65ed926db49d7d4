"""Differences between two versions of the tables, as changes of single entries."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from fireflybridge_tables._tables import Pool, Quota, Route, Tables, Upstream


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Add a route or replace the one of the same name."""

    route: Route


@dataclass(frozen=True, slots=True)
class DropRoute:
    """Remove a route."""

    name: str


@dataclass(frozen=True, slots=True)
class PutPool:
    """Add a pool or replace its settings; ``settings`` has no upstreams or quotas."""

    settings: Pool


@dataclass(frozen=True, slots=True)
class DropPool:
    """Remove a pool with its upstreams and quotas."""

    name: str


@dataclass(frozen=True, slots=True)
class PutUpstream:
    """Add an upstream to a pool or replace the one of the same name."""

    pool: str
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class DropUpstream:
    """Remove an upstream from a pool."""

    pool: str
    name: str


@dataclass(frozen=True, slots=True)
class PutQuota:
    """Add a team's quota to a pool or replace it."""

    pool: str
    quota: Quota


@dataclass(frozen=True, slots=True)
class DropQuota:
    """Remove a team's quota from a pool."""

    pool: str
    team: str


Change = (
    PutRoute | DropRoute | PutPool | DropPool | PutUpstream | DropUpstream | PutQuota | DropQuota
)


@dataclass(slots=True)
class _Draft:
    """Mutable copy of the tables to which changes are applied.

    ``upstreams`` and ``quotas`` hold the members only of pools whose members changed.
    """

    routes: dict[str, Route]
    pools: dict[str, Pool]
    upstreams: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    quotas: dict[str, dict[str, Quota]] = field(default_factory=dict)


def compute_changes(old: Tables, new: Tables) -> tuple[Change, ...]:
    """Return the changes that turn the old tables into the new ones."""
    return tuple(_iterate_changes(old, new))


def _iterate_changes(old: Tables, new: Tables) -> Iterator[Change]:
    yield from (
        PutRoute(route) for name, route in new.routes.items() if old.routes.get(name) != route
    )
    yield from (DropRoute(name) for name in old.routes if name not in new.routes)
    yield from (DropPool(name) for name in old.pools if name not in new.pools)
    for name, pool in new.pools.items():
        before = old.pools.get(name)
        if before == pool:
            continue
        if before is None or _strip_members(before) != _strip_members(pool):
            yield PutPool(_strip_members(pool))
        yield from _compare_upstreams(name, _index_upstreams(before), _index_upstreams(pool))
        yield from _compare_quotas(name, _index_quotas(before), _index_quotas(pool))


def _compare_upstreams(
    pool: str, old: Mapping[str, Upstream], new: Mapping[str, Upstream]
) -> Iterator[Change]:
    yield from (PutUpstream(pool, entry) for name, entry in new.items() if old.get(name) != entry)
    yield from (DropUpstream(pool, name) for name in old if name not in new)


def _compare_quotas(
    pool: str, old: Mapping[str, Quota], new: Mapping[str, Quota]
) -> Iterator[Change]:
    yield from (PutQuota(pool, entry) for team, entry in new.items() if old.get(team) != entry)
    yield from (DropQuota(pool, team) for team in old if team not in new)


def apply_changes(tables: Tables, changes: Iterable[Change]) -> Tables | str:
    """Return the changed tables, or the name of a missing pool to whose members a change applies.

    Dropping an absent entry has no effect.
    """
    draft = _Draft(dict(tables.routes), dict(tables.pools))
    for change in changes:
        missing = _apply_change(draft, change)
        if missing is not None:
            return missing
    changed = draft.upstreams.keys() | draft.quotas.keys()
    for name in changed & draft.pools.keys():
        pool = draft.pools[name]
        upstreams = draft.upstreams.get(name, _index_upstreams(pool))
        quotas = draft.quotas.get(name, _index_quotas(pool))
        draft.pools[name] = replace(
            pool,
            upstreams=tuple(upstreams[key] for key in sorted(upstreams)),
            quotas=tuple(quotas[key] for key in sorted(quotas)),
        )
    return Tables(draft.routes, draft.pools)


def _apply_change(draft: _Draft, change: Change) -> str | None:
    """Apply one change; return the pool's name if the change is to members of a missing pool."""
    match change:
        case PutRoute(route):
            draft.routes[route.name] = route
        case DropRoute(name):
            draft.routes.pop(name, None)
        case PutPool(settings):
            before = draft.pools.get(settings.name, settings)
            draft.pools[settings.name] = replace(
                settings, upstreams=before.upstreams, quotas=before.quotas
            )
        case DropPool(name):
            draft.pools.pop(name, None)
            draft.upstreams.pop(name, None)
            draft.quotas.pop(name, None)
        case PutUpstream(pool) | DropUpstream(pool) | PutQuota(pool) | DropQuota(pool):
            if pool not in draft.pools:
                return pool
            _apply_member_change(draft, change)
    return None


def _apply_member_change(
    draft: _Draft, change: PutUpstream | DropUpstream | PutQuota | DropQuota
) -> None:
    pool = draft.pools[change.pool]
    match change:
        case PutUpstream(upstream=upstream):
            draft.upstreams.setdefault(pool.name, _index_upstreams(pool))[upstream.name] = upstream
        case DropUpstream(name=name):
            draft.upstreams.setdefault(pool.name, _index_upstreams(pool)).pop(name, None)
        case PutQuota(quota=quota):
            draft.quotas.setdefault(pool.name, _index_quotas(pool))[quota.team] = quota
        case DropQuota(team=team):
            draft.quotas.setdefault(pool.name, _index_quotas(pool)).pop(team, None)


def _strip_members(pool: Pool) -> Pool:
    return replace(pool, upstreams=(), quotas=())


def _index_upstreams(pool: Pool | None) -> dict[str, Upstream]:
    return {upstream.name: upstream for upstream in pool.upstreams} if pool else {}


def _index_quotas(pool: Pool | None) -> dict[str, Quota]:
    return {quota.team: quota for quota in pool.quotas} if pool else {}
