"""Decide what the faults of a link do to a chunk of bytes."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Literal

FaultKind = Literal["delay", "drop", "hold", "refuse", "truncate", "lose_answer"]


class Direction(StrEnum):
    """Name a direction of a link: forward is from client to target."""

    FORWARD = "forward"
    BACKWARD = "backward"


@dataclass(frozen=True, slots=True)
class Delay:
    """Deliver bytes of one direction later, in order and without limiting the rate."""

    direction: Direction
    delay_s: float


@dataclass(frozen=True, slots=True)
class Drop:
    """Swallow the bytes and the end of one direction; connections stay open.

    A connection that lost bytes is reset when the fault ends: TCP never delivers the bytes after
    a gap.
    """

    direction: Direction


@dataclass(frozen=True, slots=True)
class Hold:
    """Keep the bytes of one direction and deliver them when the fault ends."""

    direction: Direction


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse new connections; the port stays bound but does not listen."""


@dataclass(frozen=True, slots=True)
class Truncate:
    """Close a connection after ``after_bytes`` more bytes of one direction.

    ``count`` limits the number of connections that are cut; ``None`` is without limit.
    """

    direction: Direction
    after_bytes: int
    count: int | None = None


@dataclass(frozen=True, slots=True)
class LoseAnswer:
    """Close a connection when the first bytes come back: the request passed, its answer did not.

    ``count`` limits the number of connections that are closed; ``None`` is without limit.
    """

    count: int | None = None


Fault = Delay | Drop | Hold | Refuse | Truncate | LoseAnswer


@dataclass(frozen=True, slots=True)
class Pass:
    """Deliver the chunk."""


@dataclass(frozen=True, slots=True)
class Swallow:
    """Lose the chunk."""

    cause: Drop


@dataclass(frozen=True, slots=True)
class Cut:
    """Deliver the first ``kept_bytes`` of the chunk, then close the connection."""

    cause: Truncate | LoseAnswer
    kept_bytes: int


Verdict = Pass | Swallow | Cut


def decide_chunk(
    faults: tuple[Fault, ...], direction: Direction, size: int, passed_bytes: int
) -> Verdict:
    """Decide over a chunk of ``size`` bytes, where 0 is the end of the direction or its reset.

    ``passed_bytes`` counts the bytes of the direction since the faults were set.
    """
    for fault in faults:
        match fault:
            case Drop(direction=at) if at is direction:
                return Swallow(fault)
            case Truncate(direction=at, after_bytes=limit, count=count) if (
                at is direction and count != 0 and size > 0 and passed_bytes + size >= limit
            ):
                return Cut(fault, limit - passed_bytes)
            case LoseAnswer(count=count) if (
                direction is Direction.BACKWARD and count != 0 and size > 0
            ):
                return Cut(fault, 0)
    return Pass()


def find_delay(faults: tuple[Fault, ...], direction: Direction) -> float:
    """Return the delay of a direction in seconds."""
    return sum(
        fault.delay_s
        for fault in faults
        if isinstance(fault, Delay) and fault.direction is direction
    )


def is_held(faults: tuple[Fault, ...], direction: Direction) -> bool:
    """Return whether a direction is held."""
    return Hold(direction) in faults


def is_dropped(faults: tuple[Fault, ...], direction: Direction) -> bool:
    """Return whether a direction is dropped."""
    return Drop(direction) in faults


def name_fault(fault: Fault) -> FaultKind:
    """Return the name of a fault's kind on the control port."""
    match fault:
        case Delay():
            return "delay"
        case Drop():
            return "drop"
        case Hold():
            return "hold"
        case Refuse():
            return "refuse"
        case Truncate():
            return "truncate"
        case LoseAnswer():
            return "lose_answer"


def use_once(faults: tuple[Fault, ...], cause: Truncate | LoseAnswer) -> tuple[Fault, ...]:
    """Return the faults after ``cause`` acted on one more connection."""
    if cause.count is None:
        return faults
    used = replace(cause, count=cause.count - 1)
    return tuple(used if fault is cause else fault for fault in faults)


@dataclass(frozen=True, slots=True)
class FaultBody:
    """Hold one fault of a control request."""

    kind: FaultKind
    direction: Literal["forward", "backward", "both"] = "both"
    delay_ms: float = 0.0
    after_bytes: int = 0
    count: int | None = None


def make_faults(body: FaultBody) -> tuple[Fault, ...]:
    """Turn one fault of a control request into the faults of its directions."""
    directions = tuple(Direction) if body.direction == "both" else (Direction(body.direction),)
    match body.kind:
        case "delay":
            return tuple(Delay(direction, body.delay_ms / 1000) for direction in directions)
        case "drop":
            return tuple(Drop(direction) for direction in directions)
        case "hold":
            return tuple(Hold(direction) for direction in directions)
        case "truncate":
            return tuple(Truncate(at, body.after_bytes, body.count) for at in directions)
        case "refuse":
            return (Refuse(),)
        case "lose_answer":
            return (LoseAnswer(body.count),)
