"""Interfaces to the platform's log and host list, independent of their protocol."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

from fireflybridge_core import StepError


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a stream and its offset, counted from 0."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    ``first_offset`` is the oldest offset that the log still has. ``next_offset`` is where the next
    read starts. ``end_offset`` is the offset that the next append would get.
    """

    records: tuple[Record, ...]
    first_offset: int
    next_offset: int
    end_offset: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The append took no effect, now or later."""

    error: StepError


@dataclass(frozen=True, slots=True)
class MayBeAppended:
    """The append may have taken effect or may still do so."""

    error: StepError


AppendFailure = NotAppended | MayBeAppended


class Log(Protocol):
    """Append-only log service; each stream has its own sequence of offsets."""

    async def append(self, stream: str, payload: bytes) -> Result[int, AppendFailure]:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Page, StepError]:
        """Read records from ``start``, waiting up to ``wait_s`` seconds for the first one."""


class HostRole(StrEnum):
    """What a host runs."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host of the platform's list.

    ``address`` is the ``ip:port`` of the peer link of an entry host, or of an upstream's service.
    """

    name: str
    role: HostRole
    state: HostState
    failure_domain: str
    address: str


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which may be out of date."""

    async def list_hosts(self) -> Result[tuple[Host, ...], StepError]:
        """Return every live and leaving host."""
