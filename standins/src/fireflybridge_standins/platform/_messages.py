"""Define the JSON bodies of the platform's protocol and of the control endpoints."""

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
from fireflybridge_standins.platform._log import Slice


@dataclass(frozen=True, slots=True)
class HostEntry:
    """Hold one host as the platform lists it."""

    name: str
    role: str
    state: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True)
class HostsBody:
    """Hold the host list."""

    hosts: tuple[HostEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class FaultBody:
    """Hold a fault rule; ``count`` limits it to that many requests."""

    mode: Literal["none", "refuse", "hang", "lose_answers", "slow"]
    latency_ms: float = 0.0
    operations: tuple[Operation, ...] | None = None
    count: int | None = None


@dataclass(frozen=True, slots=True)
class TruncateBody:
    """Hold the oldest offset that a truncated stream keeps."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class RecordBody:
    """Hold one record; JSON carries the payload as base64."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PageBody:
    """Hold the answer to a read."""

    records: tuple[RecordBody, ...]
    first_offset: int
    next_offset: int
    end_offset: int


def make_rule(body: FaultBody) -> FaultRule:
    """Turn a control request into a rule; answers are lost on appends unless it says more."""
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


def encode_page(part: Slice) -> bytes:
    """Encode the answer to a read."""
    records = tuple(RecordBody(entry.offset, entry.payload) for entry in part.entries)
    page = PageBody(records, part.first_offset, part.next_offset, part.end_offset)
    return msgspec.json.encode(page)
