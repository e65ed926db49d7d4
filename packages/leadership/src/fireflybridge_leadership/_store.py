"""Interface to the log of leadership terms in the platform's store."""

from dataclasses import dataclass
from typing import Protocol

from fireflybridge_leadership._terms import Holder, Term


class StoreError(Exception):
    """Signal a store call without a usable response; the call may have taken effect."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Hold terms in log order, and the offset after the newest record."""

    terms: tuple[Term, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Report that the terms were appended; holds them with their fencing tokens."""

    terms: tuple[Term, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report that nothing was appended, because another record was appended first."""

    end: int


AppendResult = Appended | Conflict


class TermStore(Protocol):
    """Read and append terms; every method raises ``StoreError`` if the log can't be reached."""

    async def read_newest(self) -> ReadResult:
        """Return the newest term of each failure domain."""
        ...

    async def read_since(self, offset: int, wait_s: float) -> ReadResult:
        """Return the terms from an offset on, waiting up to ``wait_s`` for the first."""
        ...

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> AppendResult:
        """Append a term for each failure domain if the log still ends at offset ``end``."""
        ...
