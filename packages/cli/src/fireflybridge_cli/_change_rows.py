"""Rows of a report that describe changes to the tables."""

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


def make_change_rows(old: Tables, changes: Iterable[Change]) -> list[Row]:
    """Return a row for each change to the old tables."""
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
            old_upstream = _find_upstream(old, pool, upstream.name)
            return _describe_put(f"upstream {pool}/{upstream.name}", old_upstream, upstream)
        case DropUpstream(pool, name):
            return _make_row("remove", f"upstream {pool}/{name}")
        case PutQuota(pool, quota):
            old_quota = _find_quota(old, pool, quota.team)
            return _describe_put(f"quota {pool}/{quota.team}", old_quota, quota)
        case DropQuota(pool, team):
            return _make_row("remove", f"quota {pool}/{team}")


def _find_upstream(tables: Tables, pool: str, name: str) -> Upstream | None:
    upstreams = tables.pools[pool].upstreams if pool in tables.pools else ()
    return next((upstream for upstream in upstreams if upstream.name == name), None)


def _find_quota(tables: Tables, pool: str, team: str) -> Quota | None:
    quotas = tables.pools[pool].quotas if pool in tables.pools else ()
    return next((quota for quota in quotas if quota.team == team), None)


def _describe_put(entry: str, before: Entry | None, after: Entry) -> Row:
    if before is None:
        return _make_row("add", entry, ", ".join(_list_values(after)))
    return _make_row("change", entry, ", ".join(_list_differences(before, after)))


def _list_values(entry: Entry) -> Iterable[str]:
    return (
        f"{field.name} {_format_value(getattr(entry, field.name))}"
        for field in fields(entry)
        if field.name not in ("name", "team", "upstreams", "quotas")
    )


def _list_differences(before: Entry, after: Entry) -> Iterable[str]:
    names = (field.name for field in fields(after) if field.name not in ("upstreams", "quotas"))
    values = ((name, getattr(before, name), getattr(after, name)) for name in names)
    return (
        f"{name} {_format_value(old)} -> {_format_value(new)}"
        for name, old, new in values
        if old != new
    )


def _format_value(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _make_row(action: str, entry: str, detail: str = "") -> Row:
    return {"change": action, "entry": entry, "detail": detail}
