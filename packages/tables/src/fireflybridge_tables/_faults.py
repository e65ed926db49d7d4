"""Faults of the tables, with their location, description and suggested fix."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InvalidSyntax:
    """A file is not valid TOML; ``line`` counts from 1 and is 0 if unknown."""

    file: str
    line: int
    detail: str


@dataclass(frozen=True, slots=True)
class UnknownField:
    """A table has an unknown field; ``known`` lists the valid ones."""

    file: str
    path: str
    field: str
    known: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MissingField:
    """A required field is missing."""

    file: str
    path: str
    field: str
    expected: str


@dataclass(frozen=True, slots=True)
class WrongType:
    """A value has another type than its field."""

    file: str
    path: str
    expected: str
    found: str


@dataclass(frozen=True, slots=True)
class InvalidValue:
    """A value has the right type but is not allowed."""

    file: str
    path: str
    expected: str
    found: str


@dataclass(frozen=True, slots=True)
class DuplicateName:
    """Two entries of one kind have the same name, address or team."""

    file: str
    path: str
    name: str
    first_path: str


@dataclass(frozen=True, slots=True)
class MissingPool:
    """A route or a change refers to a pool that does not exist."""

    file: str
    path: str
    pool: str


@dataclass(frozen=True, slots=True)
class EmptyPool:
    """A pool has no upstreams."""

    file: str
    path: str


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """There are more entries or bytes, as ``what`` says, than the limit allows."""

    file: str
    path: str
    what: str
    limit: int
    found: int


TableFault = (
    InvalidSyntax
    | UnknownField
    | MissingField
    | WrongType
    | InvalidValue
    | DuplicateName
    | MissingPool
    | EmptyPool
    | LimitExceeded
)


def locate_fault(fault: TableFault) -> str:
    """Return the location of a fault as ``file:line`` or ``file: key path``."""
    match fault:
        case InvalidSyntax(file, line):
            return f"{file}:{line}" if line else file
        case UnknownField(file, path, field) | MissingField(file, path, field):
            return f"{file}: {path}.{field}" if path else f"{file}: {field}"
        case _:
            return f"{fault.file}: {fault.path}" if fault.path else fault.file


def describe_fault(fault: TableFault) -> str:
    """Return a phrase that says what is wrong."""
    match fault:
        case InvalidSyntax(detail=detail):
            return f"not valid TOML: {detail}"
        case UnknownField(field=field):
            return f"unknown field {field!r}"
        case MissingField(field=field):
            return f"field {field!r} is missing"
        case WrongType(expected=expected, found=found):
            return f"found {found} where {expected} is expected"
        case InvalidValue(expected=expected, found=found):
            return f"{found} is not {expected}"
        case DuplicateName(name=name, first_path=first_path):
            return f"{name!r} is already used by {first_path}"
        case MissingPool(pool=pool):
            return f"there is no pool {pool!r}"
        case EmptyPool():
            return "the pool has no upstreams"
        case LimitExceeded(what=what, limit=limit, found=found):
            return f"{found} {what}, more than {limit}"


def suggest_fix(fault: TableFault) -> str:
    """Return a phrase that says how to correct the fault."""
    match fault:
        case InvalidSyntax():
            return "correct the TOML at this place"
        case UnknownField(known=known):
            return f"remove it, or use one of {', '.join(known)}"
        case MissingField(field=field, expected=expected):
            return f"add {field}: {expected}"
        case WrongType(expected=expected) | InvalidValue(expected=expected):
            return f"give {expected}"
        case DuplicateName():
            return "rename or remove one of the two"
        case MissingPool(pool=pool):
            return f"add a pool named {pool!r}, or name an existing one"
        case EmptyPool():
            return "add at least one [[pools.upstreams]], or remove the pool"
        case LimitExceeded(what=what, limit=limit):
            return f"keep to at most {limit} {what}"
