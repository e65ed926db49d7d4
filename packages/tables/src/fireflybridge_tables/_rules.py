"""Rules for the fields of the table entries."""

import ipaddress
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

# A task must end well before the claims of its submission expire after 600 s.
MAX_TIMEOUT_MS = 300_000
MAX_SLOTS = 10_000
MAX_PORT = 65_535
MAX_WEIGHT = 1_000_000.0
MAX_PATH_LENGTH = 200
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
URL_PATH_PATTERN = re.compile(r"/[!-~]*")


@dataclass(frozen=True, slots=True)
class NameRule:
    """A name of up to 64 letters, digits, dots, hyphens and underscores."""


@dataclass(frozen=True, slots=True)
class PathRule:
    """An absolute URL path without spaces."""


@dataclass(frozen=True, slots=True)
class AddressRule:
    """``ip:port`` with a literal IP address."""


@dataclass(frozen=True, slots=True)
class BooleanRule:
    """True or false."""


@dataclass(frozen=True, slots=True)
class IntegerRule:
    """An integer from 1 to ``highest``."""

    highest: int
    unit: str = ""


@dataclass(frozen=True, slots=True)
class ShareRule:
    """A number from 0 to 1."""


@dataclass(frozen=True, slots=True)
class WeightRule:
    """A positive number up to ``MAX_WEIGHT``."""


Rule = NameRule | PathRule | AddressRule | BooleanRule | IntegerRule | ShareRule | WeightRule


@dataclass(frozen=True, slots=True)
class FieldRule:
    """The rule of a field; a field that is not required has a default."""

    rule: Rule
    required: bool = True


ROUTE_FIELDS: Mapping[str, FieldRule] = {
    "name": FieldRule(NameRule()),
    "pool": FieldRule(NameRule()),
    "idempotent": FieldRule(BooleanRule()),
    "window_ms": FieldRule(IntegerRule(MAX_TIMEOUT_MS, "ms")),
    "timeout_ms": FieldRule(IntegerRule(MAX_TIMEOUT_MS, "ms")),
    "expected_ms": FieldRule(IntegerRule(MAX_TIMEOUT_MS, "ms")),
    "path": FieldRule(PathRule(), required=False),
}
POOL_FIELDS: Mapping[str, FieldRule] = {
    "name": FieldRule(NameRule()),
    "guards": FieldRule(BooleanRule(), required=False),
}
UPSTREAM_FIELDS: Mapping[str, FieldRule] = {
    "name": FieldRule(NameRule()),
    "address": FieldRule(AddressRule()),
    "slots": FieldRule(IntegerRule(MAX_SLOTS)),
    "connections": FieldRule(IntegerRule(MAX_SLOTS)),
    "failure_domain": FieldRule(NameRule()),
}
QUOTA_FIELDS: Mapping[str, FieldRule] = {
    "team": FieldRule(NameRule()),
    "weight": FieldRule(WeightRule(), required=False),
    "max_share": FieldRule(ShareRule(), required=False),
}


def describe_rule(rule: Rule) -> str:
    """Return a phrase that says what a rule allows."""
    match rule:
        case NameRule():
            return "a name of 1 to 64 letters, digits, '.', '-' or '_', first a letter or digit"
        case PathRule():
            return f"a URL path that begins with '/', without spaces, up to {MAX_PATH_LENGTH} long"
        case AddressRule():
            return "an IP address and port, such as 10.0.1.7:8080 or [fd00::7]:8080"
        case BooleanRule():
            return "true or false"
        case IntegerRule(highest, unit):
            return f"a whole number from 1 to {highest}{' ' if unit else ''}{unit}"
        case ShareRule():
            return "a number from 0 to 1"
        case WeightRule():
            return f"a number above 0, up to {MAX_WEIGHT:.0f}"


def has_type(rule: Rule, value: Any) -> bool:
    """Return whether a value has the type that a rule requires."""
    match rule:
        case NameRule() | PathRule() | AddressRule():
            return isinstance(value, str)
        case BooleanRule():
            return isinstance(value, bool)
        case IntegerRule():
            return isinstance(value, int) and not isinstance(value, bool)
        case ShareRule() | WeightRule():
            return isinstance(value, int | float) and not isinstance(value, bool)


def is_allowed(rule: Rule, value: Any) -> bool:
    """Return whether a value of the right type satisfies a rule."""
    match rule:
        case NameRule():
            return NAME_PATTERN.fullmatch(value) is not None
        case PathRule():
            return len(value) <= MAX_PATH_LENGTH and URL_PATH_PATTERN.fullmatch(value) is not None
        case AddressRule():
            return _is_address(value)
        case BooleanRule():
            return True
        case IntegerRule(highest):
            return bool(1 <= value <= highest)
        case ShareRule():
            return math.isfinite(value) and 0 <= value <= 1
        case WeightRule():
            return math.isfinite(value) and 0 < value <= MAX_WEIGHT


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 1 <= int(port) <= MAX_PORT):
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return bracketed == (address.version == 6)
