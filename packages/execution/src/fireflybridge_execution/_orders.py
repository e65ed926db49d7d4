"""Orders to an upstream and its replies."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from fireflybridge_jobs import RunReport, TaskId, UpstreamInfo


@dataclass(frozen=True, slots=True)
class Start:
    """Start a run of a task; the lease ends at a time on the upstream's clock, in ms."""

    task: TaskId
    number: int
    spec: str
    fence: int
    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run, or keep it from starting if it has not arrived yet."""

    task: TaskId
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Extend the lease of all runs, acknowledge ended runs and wait for the next end.

    ``lease_until_ms`` is None while the upstream's clock is unknown.
    """

    fence: int
    acknowledged: int
    wait_ms: int
    lease_until_ms: int | None


class Rejection(StrEnum):
    """Name why an upstream did nothing for an order."""

    FENCE = "fence"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-incarnation"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Accepted:
    """Say that an order was carried out; holds the upstream's clock in milliseconds."""

    clock_ms: float | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Say that an order was not carried out."""

    rejection: Rejection


class OrderConnection(Protocol):
    """Send one order at a time; methods raise ``ExchangeError`` when no answer comes in time."""

    async def start(self, order: Start, timeout_s: float) -> Accepted | Rejected:
        """Start a run."""
        ...

    async def stop(self, order: Stop, timeout_s: float) -> Accepted | Rejected:
        """Stop a run."""
        ...

    async def hold(self, order: Hold, timeout_s: float) -> RunReport | Rejected:
        """Extend the lease and return the lists of runs."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


class OrderConnector(Protocol):
    """Open connections to upstreams."""

    def open(self, upstream: UpstreamInfo) -> OrderConnection:
        """Return a connection, which connects at its first order."""
        ...
