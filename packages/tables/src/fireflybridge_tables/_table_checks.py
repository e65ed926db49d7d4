"""Checks of tables that were not parsed from TOML."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import fields
from typing import Any

from fireflybridge_tables._changes import (
    Change,
    DropQuota,
    DropUpstream,
    PutPool,
    PutQuota,
    PutRoute,
    PutUpstream,
)
from fireflybridge_tables._entry_checks import (
    MAX_QUOTAS,
    MAX_ROUTES,
    MAX_UPSTREAMS,
    Entry,
    PoolEntry,
    check_entries,
    check_fields,
    check_members,
)
from fireflybridge_tables._faults import LimitExceeded, MissingPool, TableFault
from fireflybridge_tables._parsing import POOL_MEMBERS, read_document
from fireflybridge_tables._rules import (
    POOL_FIELDS,
    QUOTA_FIELDS,
    ROUTE_FIELDS,
    UPSTREAM_FIELDS,
)
from fireflybridge_tables._tables import Pool, Quota, Route, Tables, Upstream


def check_tables(tables: Tables, source: str) -> tuple[TableFault, ...]:
    """Return every fault of the tables; ``source`` stands in the faults in place of a file name."""
    content = {
        "routes": [get_fields(route) for route in tables.routes.values()],
        "pools": [_get_pool_fields(pool) for pool in tables.pools.values()],
    }
    document = read_document(source, content)
    return document.faults + tuple(check_entries(document.routes, document.pools))


def check_changed_tables(
    tables: Tables, changes: Sequence[Change], source: str
) -> tuple[TableFault, ...]:
    """Return the faults of tables that were valid before the changes.

    Checks the fields of changed entries and the members of their pools, and of the rest only
    references and counts: checking all fields of 1,000 upstreams takes 40 ms, which would block a
    daemon's event loop at each change.
    """
    return (
        *(fault for change in changes for fault in _check_change(change, source)),
        *_check_references(tables, source),
        *(
            fault
            for name in sorted({pool for change in changes for pool in _list_changed_pools(change)})
            if name in tables.pools
            for fault in _check_pool(tables.pools[name], source)
        ),
    )


def _check_change(change: Change, source: str) -> Iterator[TableFault]:
    match change:
        case PutRoute(route):
            path = f"routes.{route.name}"
            yield from check_fields(source, path, get_fields(route), ROUTE_FIELDS)
        case PutPool(settings):
            found = _get_settings(settings)
            yield from check_fields(source, f"pools.{settings.name}", found, POOL_FIELDS)
        case PutUpstream(pool, upstream):
            path = f"pools.{pool}.upstreams.{upstream.name}"
            yield from check_fields(source, path, get_fields(upstream), UPSTREAM_FIELDS)
        case PutQuota(pool, quota):
            path = f"pools.{pool}.quotas.{quota.team}"
            yield from check_fields(source, path, get_fields(quota), QUOTA_FIELDS)
        case _:
            return


def _list_changed_pools(change: Change) -> tuple[str, ...]:
    match change:
        case PutPool(settings):
            return (settings.name,)
        case PutUpstream(pool) | DropUpstream(pool) | PutQuota(pool) | DropQuota(pool):
            return (pool,)
        case _:
            return ()


def _check_references(tables: Tables, source: str) -> Iterator[TableFault]:
    for route in tables.routes.values():
        if route.pool not in tables.pools:
            yield MissingPool(source, f"routes.{route.name}.pool", route.pool)
    if len(tables.routes) > MAX_ROUTES:
        yield LimitExceeded(source, "routes", "routes", MAX_ROUTES, len(tables.routes))
    upstreams = sum(len(pool.upstreams) for pool in tables.pools.values())
    if upstreams > MAX_UPSTREAMS:
        yield LimitExceeded(source, "pools", "upstreams in all", MAX_UPSTREAMS, upstreams)
    quotas = sum(len(pool.quotas) for pool in tables.pools.values())
    if quotas > MAX_QUOTAS:
        yield LimitExceeded(source, "pools", "quotas in all", MAX_QUOTAS, quotas)


def _check_pool(pool: Pool, source: str) -> Iterator[TableFault]:
    path = f"pools.{pool.name}"
    upstreams = tuple(
        Entry(
            source,
            f"{path}.upstreams.{upstream.name}",
            {
                "address": upstream.address,
                "slots": upstream.slots,
                "connections": upstream.connections,
            },
        )
        for upstream in pool.upstreams
    )
    quotas = tuple(Entry(source, f"{path}.quotas.{quota.team}", {}) for quota in pool.quotas)
    yield from check_members(PoolEntry(Entry(source, path, {}), upstreams, quotas))


def _get_pool_fields(pool: Pool) -> Mapping[str, Any]:
    return _get_settings(pool) | {
        "upstreams": [get_fields(upstream) for upstream in pool.upstreams],
        "quotas": [get_fields(quota) for quota in pool.quotas],
    }


def _get_settings(pool: Pool) -> dict[str, Any]:
    return {name: value for name, value in get_fields(pool).items() if name not in POOL_MEMBERS}


def get_fields(entry: Route | Pool | Upstream | Quota) -> dict[str, Any]:
    """Return the fields of an entry by name."""
    return {field.name: getattr(entry, field.name) for field in fields(entry)}
