"""JSON bodies of the platform's protocol and of the control endpoints."""

from dataclasses import dataclass
from typing import Literal

import msgspec

from fireflybridge_standins.platform._faults import (
    Fault,
    FaultRule,
    Hang,
    LoseAnswers,
    NoFault,
    Operation,
    Refuse,
    Slow,
)
from fireflybridge_standins.platform._log import Page


@dataclass(frozen=True, slots=True)
class HostEntry:
    """Host in the platform's host list."""

    name: str
    role: str
    state: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True)
class HostsBody:
    """Host list, as clients read it and as tests set it."""

    hosts: tuple[HostEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class FaultBody:
    """Fault rule of a control request; ``count`` limits the number of affected requests."""

    mode: Literal["none", "refuse", "hang", "lose_answers", "slow"]
    latency_ms: float = 0.0
    operations: tuple[Operation, ...] | None = None
    count: int | None = None


@dataclass(frozen=True, slots=True)
class TruncateBody:
    """Control request to truncate a stream; ``first_offset`` is the oldest offset to keep."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class RecordBody:
    """Record of a page; the payload is encoded as base64."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PageBody:
    """Response body of a read."""

    records: tuple[RecordBody, ...]
    first_offset: int
    next_offset: int
    end_offset: int


def make_rule(body: FaultBody) -> FaultRule:
    """Return the rule of a control request.

    Without ``operations`` a rule affects every operation, but ``lose_answers`` only appends.
    """
    if body.operations is not None:
        operations = frozenset(body.operations)
    elif body.mode == "lose_answers":
        operations = frozenset({Operation.APPEND})
    else:
        operations = frozenset(Operation)
    return FaultRule(_make_fault(body), operations, body.count)


def _make_fault(body: FaultBody) -> Fault:
    match body.mode:
        case "none":
            return NoFault()
        case "refuse":
            return Refuse()
        case "hang":
            return Hang()
        case "lose_answers":
            return LoseAnswers()
        case "slow":
            return Slow(body.latency_ms / 1000)


def encode_page(page: Page) -> bytes:
    """Return the response body of a read."""
    records = tuple(RecordBody(record.offset, record.payload) for record in page.records)
    body = PageBody(records, page.first_offset, page.next_offset, page.end_offset)
    return msgspec.json.encode(body)
