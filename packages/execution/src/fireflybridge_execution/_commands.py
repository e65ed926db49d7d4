"""Commands to an upstream and its replies."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from fireflybridge_jobs import RunReport, TaskId, UpstreamInfo


@dataclass(frozen=True, slots=True)
class Start:
    """Start a run of a task; ``lease_until_ms`` is a time on the upstream's clock."""

    task: TaskId
    number: int
    spec: str
    fence: int
    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run, or prevent its start if the start command has not arrived yet."""

    task: TaskId
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Extend the lease of all runs, acknowledge ended runs and wait for the next one to end.

    ``lease_until_ms`` is None if the lease is not extended, such as while the clock is unknown.
    """

    fence: int
    acknowledged: int
    wait_ms: int
    lease_until_ms: int | None


class RejectionReason(StrEnum):
    """Reason why an upstream did not carry out a command."""

    FENCE = "fence"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_CAPACITY = "no-room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-incarnation"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command was carried out; ``clock_ms`` is the upstream's clock."""

    clock_ms: float | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The command was not carried out."""

    reason: RejectionReason


class CommandConnection(Protocol):
    """Send one command at a time; methods raise ``ExchangeError`` if no reply arrives in time."""

    @property
    def incarnation(self) -> int | None:
        """Return the incarnation that has replied to a hold over the connection as it is now.

        It is None if none has replied, or if the connection has ended, as it does with the process.
        """
        ...

    async def start(self, command: Start, timeout_s: float) -> Accepted | Rejected:
        """Start a run; a connection that has ended isn't opened anew for it."""
        ...

    async def stop(self, command: Stop, timeout_s: float) -> Accepted | Rejected:
        """Stop a run."""
        ...

    async def hold(self, command: Hold, timeout_s: float) -> RunReport | Rejected:
        """Extend the lease and return the lists of runs."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


class CommandConnector(Protocol):
    """Factory of connections to upstreams."""

    def open(self, upstream: UpstreamInfo) -> CommandConnection:
        """Return a connection that is opened by its first command."""
        ...
