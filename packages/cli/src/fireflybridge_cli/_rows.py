"""Show changes of the tables as rows."""

from collections.abc import Iterable
from dataclasses import fields
from typing import Any

from fireflybridge_cli._report import Row
from fireflybridge_tables import (
    Change,
    DropPool,
    DropQuota,
    DropRoute,
    DropUpstream,
    Pool,
    PutPool,
    PutQuota,
    PutRoute,
    PutUpstream,
    Quota,
    Route,
    Tables,
    Upstream,
)

Entry = Route | Pool | Upstream | Quota


def list_changes(old: Tables, changes: Iterable[Change]) -> list[Row]:
    """Return a row for each change of the old tables."""
    return [_describe_change(old, change) for change in changes]


def _describe_change(old: Tables, change: Change) -> Row:
    match change:
        case PutRoute(route):
            return _describe_put(f"route {route.name}", old.routes.get(route.name), route)
        case DropRoute(name):
            return _make_row("remove", f"route {name}")
        case PutPool(settings):
            return _describe_put(f"pool {settings.name}", old.pools.get(settings.name), settings)
        case DropPool(name):
            return _make_row("remove", f"pool {name}")
        case PutUpstream(pool, upstream):
            before = _find_member(old, pool, upstream.name)
            return _describe_put(f"upstream {pool}/{upstream.name}", before, upstream)
        case DropUpstream(pool, name):
            return _make_row("remove", f"upstream {pool}/{name}")
        case PutQuota(pool, quota):
            earlier = _find_quota(old, pool, quota.team)
            return _describe_put(f"quota {pool}/{quota.team}", earlier, quota)
        case DropQuota(pool, team):
            return _make_row("remove", f"quota {pool}/{team}")


def _find_member(tables: Tables, pool: str, name: str) -> Upstream | None:
    members = tables.pools[pool].upstreams if pool in tables.pools else ()
    return next((upstream for upstream in members if upstream.name == name), None)


def _find_quota(tables: Tables, pool: str, team: str) -> Quota | None:
    members = tables.pools[pool].quotas if pool in tables.pools else ()
    return next((quota for quota in members if quota.team == team), None)


def _describe_put(entry: str, before: Entry | None, after: Entry) -> Row:
    if before is None:
        return _make_row("add", entry, ", ".join(_list_values(after)))
    return _make_row("change", entry, ", ".join(_list_differences(before, after)))


def _list_values(entry: Entry) -> Iterable[str]:
    return (
        f"{field.name} {_show(getattr(entry, field.name))}"
        for field in fields(entry)
        if field.name not in ("name", "team", "upstreams", "quotas")
    )


def _list_differences(before: Entry, after: Entry) -> Iterable[str]:
    names = (field.name for field in fields(after) if field.name not in ("upstreams", "quotas"))
    values = ((name, getattr(before, name), getattr(after, name)) for name in names)
    return (f"{name} {_show(old)} -> {_show(new)}" for name, old, new in values if old != new)


def _show(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _make_row(action: str, entry: str, detail: str = "") -> Row:
    return {"change": action, "entry": entry, "detail": detail}
