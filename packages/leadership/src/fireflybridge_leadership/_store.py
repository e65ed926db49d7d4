"""What leadership needs of the platform's log."""

from dataclasses import dataclass
from typing import Protocol

from fireflybridge_leadership._terms import Holder, Term


class StoreError(Exception):
    """Signal that a call to the platform's log got no usable answer; it may have taken effect."""


@dataclass(frozen=True, slots=True)
class TermsRead:
    """Hold terms in the order of the log, and the offset after the newest record."""

    terms: tuple[Term, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Say that the terms were appended; holds them with their fencing tokens."""

    terms: tuple[Term, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Say that nothing was appended, since another record came first."""

    end: int


AppendResult = Appended | Conflict


class TermStore(Protocol):
    """Read and append terms; every method raises ``StoreError`` when the log can't be reached."""

    async def read_newest(self) -> TermsRead:
        """Return the newest term of each failure domain."""
        ...

    async def read_since(self, offset: int, wait_s: float) -> TermsRead:
        """Return the terms from an offset on, waiting up to a time for the first."""
        ...

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> AppendResult:
        """Append a term for each failure domain if the log still ends at an offset."""
        ...
