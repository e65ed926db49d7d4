"""Checks of table entries, independent of where they were read from."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from fireflybridge_tables._faults import (
    DuplicateName,
    EmptyPool,
    InvalidValue,
    LimitExceeded,
    MissingField,
    MissingPool,
    TableFault,
    UnknownField,
    WrongType,
)
from fireflybridge_tables._rules import FieldRule, describe_rule, has_type, is_allowed

MAX_ROUTES = 1_000
MAX_UPSTREAMS = 1_000
MAX_QUOTAS_PER_POOL = 100
# A Keep record holds whole tables and must stay below 1 MB, the usual size limit of a log record.
MAX_QUOTAS = 5_000


@dataclass(frozen=True, slots=True)
class Entry:
    """The valid values of a table entry, with the file and key path it was read from."""

    file: str
    path: str
    values: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class PoolEntry:
    """A pool's settings and its members."""

    settings: Entry
    upstreams: tuple[Entry, ...]
    quotas: tuple[Entry, ...]


def check_fields(
    file: str, path: str, found: Mapping[str, Any], fields: Mapping[str, FieldRule]
) -> Iterator[TableFault]:
    """Yield the faults of the fields of one entry."""
    known = tuple(fields)
    yield from (UnknownField(file, path, name, known) for name in found if name not in fields)
    for name, field in fields.items():
        if name not in found:
            if field.required:
                yield MissingField(file, path, name, describe_rule(field.rule))
        elif not has_type(field.rule, found[name]):
            expected = describe_rule(field.rule)
            yield WrongType(file, f"{path}.{name}", expected, describe_type(found[name]))
        elif not is_allowed(field.rule, found[name]):
            expected = describe_rule(field.rule)
            yield InvalidValue(file, f"{path}.{name}", expected, format_value(found[name]))


def select_valid_values(
    found: Mapping[str, Any], fields: Mapping[str, FieldRule]
) -> Mapping[str, Any]:
    """Return the values of known fields that satisfy their rules."""
    return {
        name: found[name]
        for name, field in fields.items()
        if name in found
        and has_type(field.rule, found[name])
        and is_allowed(field.rule, found[name])
    }


def check_entries(
    routes: Sequence[Entry], pools: Sequence[PoolEntry], all_parsed: bool = True
) -> Iterator[TableFault]:
    """Yield the faults across entries: duplicates, missing pools, empty pools, exceeded limits.

    A route's pool is reported as missing only if the names of all pools are known: ``all_parsed``
    states that no file has a syntax error.
    """
    yield from check_duplicates(routes, "name")
    yield from check_duplicates((pool.settings for pool in pools), "name")
    names = {pool.settings.values.get("name") for pool in pools}
    for route in routes:
        target = route.values.get("pool")
        if all_parsed and None not in names and target is not None and target not in names:
            yield MissingPool(route.file, f"{route.path}.pool", target)
    for pool in pools:
        yield from check_members(pool)
    yield from _check_limit(routes, "routes", MAX_ROUTES)
    upstreams = [upstream for pool in pools for upstream in pool.upstreams]
    yield from _check_limit(upstreams, "upstreams in all", MAX_UPSTREAMS)
    quotas = [quota for pool in pools for quota in pool.quotas]
    yield from _check_limit(quotas, "quotas in all", MAX_QUOTAS)


def check_duplicates(entries: Iterable[Entry], field: str) -> Iterator[TableFault]:
    """Yield a fault for each entry that has the same value in a field as an earlier entry."""
    first_entries: dict[Any, Entry] = {}
    for entry in entries:
        value = entry.values.get(field)
        if value is None:
            continue
        earlier = first_entries.setdefault(value, entry)
        if earlier is not entry:
            location = (
                earlier.path if earlier.file == entry.file else f"{earlier.file}: {earlier.path}"
            )
            yield DuplicateName(entry.file, f"{entry.path}.{field}", value, location)


def check_members(pool: PoolEntry) -> Iterator[TableFault]:
    """Yield the faults across the members of one pool."""
    if not pool.upstreams:
        yield EmptyPool(pool.settings.file, pool.settings.path)
    yield from check_duplicates(pool.upstreams, "name")
    yield from check_duplicates(pool.upstreams, "address")
    yield from check_duplicates(pool.quotas, "team")
    yield from _check_limit(pool.quotas, "quotas in one pool", MAX_QUOTAS_PER_POOL)
    for upstream in pool.upstreams:
        slots, connections = (upstream.values.get(name) for name in ("slots", "connections"))
        if slots is not None and connections is not None and connections < slots:
            expected = f"at least the {slots} slots, each of which holds a connection"
            path = f"{upstream.path}.connections"
            yield InvalidValue(upstream.file, path, expected, str(connections))


def _check_limit(entries: Sequence[Entry], what: str, limit: int) -> Iterator[TableFault]:
    if len(entries) > limit:
        excess = entries[limit]
        yield LimitExceeded(excess.file, excess.path, what, limit, len(entries))


def describe_type(value: Any) -> str:
    """Return the TOML type of a value, for messages."""
    match value:
        case bool():
            return "a boolean"
        case int():
            return "a whole number"
        case float():
            return "a decimal number"
        case str():
            return "a string"
        case list():
            return "an array"
        case dict():
            return "a table"
        case _:
            return "a date or time"


def format_value(value: Any) -> str:
    """Return a value as text, cut to 80 characters."""
    text = repr(value) if not isinstance(value, bool) else str(value).lower()
    return text if len(text) <= 80 else f"{text[:77]}..."
