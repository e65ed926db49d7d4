"""Route and pool tables: parsing, checks and revision order."""

from fireflybridge_tables._checks import MAX_QUOTAS_PER_POOL, MAX_ROUTES, MAX_UPSTREAMS
from fireflybridge_tables._faults import (
    DuplicateName,
    EmptyPool,
    InvalidSyntax,
    InvalidValue,
    LimitExceeded,
    MissingField,
    MissingPool,
    TableFault,
    UnknownField,
    WrongType,
    describe_fault,
    find_cure,
    locate_fault,
)
from fireflybridge_tables._parsing import MAX_TEXT_BYTES, check_tables, parse_tables
from fireflybridge_tables._rules import MAX_TIMEOUT_MS
from fireflybridge_tables._tables import Pool, Quota, Route, Tables, Upstream

__all__ = [
    "MAX_QUOTAS_PER_POOL",
    "MAX_ROUTES",
    "MAX_TEXT_BYTES",
    "MAX_TIMEOUT_MS",
    "MAX_UPSTREAMS",
    "DuplicateName",
    "EmptyPool",
    "InvalidSyntax",
    "InvalidValue",
    "LimitExceeded",
    "MissingField",
    "MissingPool",
    "Pool",
    "Quota",
    "Route",
    "TableFault",
    "Tables",
    "UnknownField",
    "Upstream",
    "WrongType",
    "check_tables",
    "describe_fault",
    "find_cure",
    "locate_fault",
    "parse_tables",
]
