"""Parse the tables from TOML and report all faults at once."""

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from fireflybridge_tables._entry_checks import (
    Entry,
    PoolEntry,
    check_entries,
    check_fields,
    describe_type,
    select_valid_values,
)
from fireflybridge_tables._faults import (
    InvalidSyntax,
    LimitExceeded,
    TableFault,
    UnknownField,
    WrongType,
)
from fireflybridge_tables._rules import (
    POOL_FIELDS,
    QUOTA_FIELDS,
    ROUTE_FIELDS,
    UPSTREAM_FIELDS,
    FieldRule,
)
from fireflybridge_tables._tables import Pool, Quota, Route, Tables, Upstream

MAX_TEXT_BYTES = 4 * 1024 * 1024
TOP_LEVEL_FIELDS = ("routes", "pools")
POOL_MEMBERS = ("upstreams", "quotas")
LINE_NUMBER = re.compile(r"at line (\d+)")
ARRAY_INDEX = re.compile(r"\[\d+\]")


@dataclass(frozen=True, slots=True)
class Document:
    """The entries of a file and the faults found while reading them."""

    routes: tuple[Entry, ...] = ()
    pools: tuple[PoolEntry, ...] = ()
    faults: tuple[TableFault, ...] = ()


def parse_tables(files: Mapping[str, str]) -> Result[Tables, tuple[TableFault, ...]]:
    """Parse the tables from TOML texts by file name, or return every fault found.

    Any file may contain routes and pools. Upstreams are sorted by name and quotas by team, so
    that their order in a file makes no difference.
    """
    size = sum(len(text.encode(errors="surrogatepass")) for text in files.values())
    if size > MAX_TEXT_BYTES:
        names = ", ".join(files)
        return Err((LimitExceeded(names, "", "bytes of text in all", MAX_TEXT_BYTES, size),))
    documents = [_read_file(file, text) for file, text in files.items()]
    routes = [route for document in documents for route in document.routes]
    pools = [pool for document in documents for pool in document.pools]
    faults = [fault for document in documents for fault in document.faults]
    all_parsed = not any(isinstance(fault, InvalidSyntax) for fault in faults)
    faults.extend(check_entries(routes, pools, all_parsed))
    return Err(tuple(faults)) if faults else Ok(_build_tables(routes, pools))


def _read_file(file: str, text: str) -> Document:
    try:
        content = tomllib.loads(text)
    except RecursionError:
        return Document(faults=(InvalidSyntax(file, 0, "values are nested too deeply"),))
    except ValueError as error:
        line = LINE_NUMBER.search(str(error))
        fault = InvalidSyntax(file, int(line[1]) if line else 0, str(error))
        return Document(faults=(fault,))
    return read_document(file, content)


def read_document(file: str, content: Mapping[str, Any]) -> Document:
    """Return the entries of a parsed file, with the faults inside single entries."""
    faults: list[TableFault] = [
        UnknownField(file, "", name, TOP_LEVEL_FIELDS)
        for name in content
        if name not in TOP_LEVEL_FIELDS
    ]
    routes = [
        _read_entry(file, path, found, ROUTE_FIELDS, faults)
        for path, found in _list_entries(file, "routes", content.get("routes", []), faults)
    ]
    pools = [
        _read_pool(file, path, found, faults)
        for path, found in _list_entries(file, "pools", content.get("pools", []), faults)
    ]
    return Document(tuple(routes), tuple(pools), tuple(faults))


def _list_entries(
    file: str, path: str, found: Any, faults: list[TableFault]
) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Yield the key path, with an index from 1, and the content of each table of an array."""
    expected = f"an array of tables, [[{ARRAY_INDEX.sub('', path)}]]"
    if not isinstance(found, list):
        faults.append(WrongType(file, path, expected, describe_type(found)))
        return
    for number, entry in enumerate(found, start=1):
        if isinstance(entry, dict):
            yield f"{path}[{number}]", entry
        else:
            faults.append(WrongType(file, f"{path}[{number}]", expected, describe_type(entry)))


def _read_entry(
    file: str,
    path: str,
    found: Mapping[str, Any],
    rules: Mapping[str, FieldRule],
    faults: list[TableFault],
) -> Entry:
    faults.extend(check_fields(file, path, found, rules))
    return Entry(file, path, select_valid_values(found, rules))


def _read_pool(
    file: str, path: str, found: Mapping[str, Any], faults: list[TableFault]
) -> PoolEntry:
    settings = {name: value for name, value in found.items() if name not in POOL_MEMBERS}
    members = {
        kind: tuple(
            _read_entry(file, entry_path, entry, rules, faults)
            for entry_path, entry in _list_entries(
                file, f"{path}.{kind}", found.get(kind, []), faults
            )
        )
        for kind, rules in (("upstreams", UPSTREAM_FIELDS), ("quotas", QUOTA_FIELDS))
    }
    entry = _read_entry(file, path, settings, POOL_FIELDS, faults)
    return PoolEntry(entry, members["upstreams"], members["quotas"])


def _build_tables(routes: list[Entry], pools: list[PoolEntry]) -> Tables:
    built_routes = [Route(**entry.values) for entry in routes]
    built_pools = [
        Pool(
            upstreams=tuple(
                sorted((Upstream(**entry.values) for entry in pool.upstreams), key=lambda u: u.name)
            ),
            quotas=tuple(
                sorted((Quota(**entry.values) for entry in pool.quotas), key=lambda q: q.team)
            ),
            **pool.settings.values,
        )
        for pool in pools
    ]
    return Tables(
        {route.name: route for route in built_routes}, {pool.name: pool for pool in built_pools}
    )
