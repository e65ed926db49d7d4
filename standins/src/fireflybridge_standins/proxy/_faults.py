"""Faults of a link and their effect on a chunk of bytes."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Literal

FaultKind = Literal["delay", "drop", "hold", "refuse", "truncate", "lose_answer"]


class Direction(StrEnum):
    """Direction of a link; forward is from client to target."""

    FORWARD = "forward"
    BACKWARD = "backward"


@dataclass(frozen=True, slots=True)
class Delay:
    """Delivers the bytes of one direction later, in order and without limiting the rate."""

    direction: Direction
    delay_s: float


@dataclass(frozen=True, slots=True)
class Drop:
    """Discards the bytes and the end of stream of one direction; connections stay open.

    A connection that lost bytes is reset when the fault ends, because TCP never delivers bytes
    after a gap.
    """

    direction: Direction


@dataclass(frozen=True, slots=True)
class Hold:
    """Keeps the bytes of one direction and delivers them when the fault ends."""

    direction: Direction


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses new connections; the port stays bound but does not listen."""


@dataclass(frozen=True, slots=True)
class Truncate:
    """Closes a connection after ``after_bytes`` more bytes of one direction.

    ``count`` limits the number of connections that are closed; ``None`` means no limit.
    """

    direction: Direction
    after_bytes: int
    count: int | None = None


@dataclass(frozen=True, slots=True)
class LoseAnswer:
    """Closes a connection at the first bytes from the target, so that the answer is lost.

    ``count`` limits the number of connections that are closed; ``None`` means no limit.
    """

    count: int | None = None


Fault = Delay | Drop | Hold | Refuse | Truncate | LoseAnswer


@dataclass(frozen=True, slots=True)
class Deliver:
    """Instruction to deliver the chunk."""


@dataclass(frozen=True, slots=True)
class Discard:
    """Instruction to discard the chunk."""

    cause: Drop


@dataclass(frozen=True, slots=True)
class DeliverAndClose:
    """Instruction to deliver the first ``size`` bytes of the chunk, then close the connection."""

    cause: Truncate | LoseAnswer
    size: int


ChunkAction = Deliver | Discard | DeliverAndClose


def choose_action(
    faults: tuple[Fault, ...], direction: Direction, size: int, delivered_bytes: int
) -> ChunkAction:
    """Return the action for a chunk; ``size`` is 0 for the end of the stream or a lost connection.

    ``delivered_bytes`` counts the bytes of the direction since the faults were set.
    """
    for fault in faults:
        match fault:
            case Drop(direction=affected) if affected is direction:
                return Discard(fault)
            case Truncate(direction=affected, after_bytes=limit, count=count) if (
                affected is direction
                and count != 0
                and size > 0
                and delivered_bytes + size >= limit
            ):
                return DeliverAndClose(fault, limit - delivered_bytes)
            case LoseAnswer(count=count) if (
                direction is Direction.BACKWARD and count != 0 and size > 0
            ):
                return DeliverAndClose(fault, 0)
    return Deliver()


def sum_delays(faults: tuple[Fault, ...], direction: Direction) -> float:
    """Return the total delay of a direction in seconds."""
    return sum(
        fault.delay_s
        for fault in faults
        if isinstance(fault, Delay) and fault.direction is direction
    )


def is_held(faults: tuple[Fault, ...], direction: Direction) -> bool:
    """Return whether a ``Hold`` fault affects a direction."""
    return Hold(direction) in faults


def is_dropped(faults: tuple[Fault, ...], direction: Direction) -> bool:
    """Return whether a ``Drop`` fault affects a direction."""
    return Drop(direction) in faults


def get_kind(fault: Fault) -> FaultKind:
    """Return the kind of a fault, as the control port names it."""
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


def decrement_count(faults: tuple[Fault, ...], cause: Truncate | LoseAnswer) -> tuple[Fault, ...]:
    """Return the faults after ``cause`` closed one connection, with its count decremented."""
    if cause.count is None:
        return faults
    decremented = replace(cause, count=cause.count - 1)
    return tuple(decremented if fault is cause else fault for fault in faults)


@dataclass(frozen=True, slots=True)
class FaultBody:
    """Fault of a control request."""

    kind: FaultKind
    direction: Literal["forward", "backward", "both"] = "both"
    delay_ms: float = 0.0
    after_bytes: int = 0
    count: int | None = None


def make_faults(body: FaultBody) -> tuple[Fault, ...]:
    """Return the faults that a fault of a control request stands for, one for each direction."""
    directions = tuple(Direction) if body.direction == "both" else (Direction(body.direction),)
    match body.kind:
        case "delay":
            return tuple(Delay(direction, body.delay_ms / 1000) for direction in directions)
        case "drop":
            return tuple(Drop(direction) for direction in directions)
        case "hold":
            return tuple(Hold(direction) for direction in directions)
        case "truncate":
            return tuple(
                Truncate(direction, body.after_bytes, body.count) for direction in directions
            )
        case "refuse":
            return (Refuse(),)
        case "lose_answer":
            return (LoseAnswer(body.count),)
