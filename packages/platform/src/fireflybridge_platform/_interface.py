"""What fireflybridge needs of the platform, without its protocol."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

from fireflybridge_core import StepError


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one record of a stream with its offset, counted from 0."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Hold consecutive records of a stream.

    ``first_offset`` is the oldest offset that the log still keeps. ``next_offset`` is where the
    next read starts. ``end_offset`` is the offset that the next append would get.
    """

    records: tuple[Record, ...]
    first_offset: int
    next_offset: int
    end_offset: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """State that the append took no effect."""

    error: StepError


@dataclass(frozen=True, slots=True)
class MayBeAppended:
    """State that the append may have taken effect, now or later."""

    error: StepError


AppendFailure = NotAppended | MayBeAppended


class Log(Protocol):
    """Append-only log service with one offset sequence for each stream."""

    async def append(self, stream: str, payload: bytes) -> Result[int, AppendFailure]:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Page, StepError]:
        """Read records from ``start``, waiting up to ``wait_s`` seconds for the first one."""


class HostRole(StrEnum):
    """Name what a host runs."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(StrEnum):
    """Name a host's state in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """Describe one host of the platform's list.

    ``address`` is ``ip:port``: of the peer link for entry hosts, of the service for upstreams.
    """

    name: str
    role: HostRole
    state: HostState
    failure_domain: str
    address: str


class HostList(Protocol):
    """List of live and leaving hosts, which lags behind reality."""

    async def list_hosts(self) -> Result[tuple[Host, ...], StepError]:
        """Return every live and leaving host."""
