"""A host's view of the terms of leadership, kept up to date from the log of terms."""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum, auto
from types import MappingProxyType

import anyio

from fireflybridge_leadership._notifier import Notifier
from fireflybridge_leadership._store import Appended, Conflict, ReadResult, StoreError, TermStore
from fireflybridge_leadership._terms import Holder, Term, select_newest_terms

# A slow store responds within this time; a longer timeout delays a provisional leader.
CLAIM_TIMEOUT_S = 0.5
LONG_POLL_S = 1.0  # limits how long an unresponsive connection delays a new term
RETRY_DELAY_S = 0.2


class ClaimResult(Enum):
    """Name the result of an attempt to append terms."""

    WON = auto()
    CONFLICT = auto()
    UNREACHABLE = auto()


class Leadership:
    """Follow the log of terms and append to it.

    A term is valid until the log holds a newer one of its failure domain. Upstreams reject
    commands that carry the lower fencing token of an older term.
    """

    def __init__(self, store: TermStore, on_error: Callable[[StoreError], None]) -> None:
        self.changed = Notifier()
        self._store = store
        self._on_error = on_error
        self._terms: dict[str, Term] = {}
        self._end: int | None = None

    @property
    def terms(self) -> Mapping[str, Term]:
        """Return the newest known term of each failure domain."""
        return MappingProxyType(self._terms)

    def find_terms_held_by(self, holder: Holder) -> tuple[Term, ...]:
        """Return the terms that a holder leads."""
        return tuple(term for term in self._terms.values() if term.holder == holder)

    async def follow(self) -> None:
        """Keep the terms up to date until cancelled."""
        while True:
            try:
                self._apply(await self._read())
            except StoreError as error:
                self._end = None
                self._on_error(error)
                await anyio.sleep(RETRY_DELAY_S)

    def add_terms(self, terms: Iterable[Term]) -> None:
        """Add terms reported by another host, or a provisional term of this host."""
        newest = select_newest_terms(self._terms, terms)
        if newest != self._terms:
            self._terms = newest
            self.changed.notify()

    async def claim(self, domains: tuple[str, ...], holder: Holder) -> ClaimResult:
        """Append terms that make a holder the leader of failure domains.

        If the append gets no response, it may have taken effect; ``follow`` then reads the terms.
        """
        if self._end is None:
            return ClaimResult.UNREACHABLE
        try:
            with anyio.fail_after(CLAIM_TIMEOUT_S):
                result = await self._store.append(domains, holder, self._end)
                if isinstance(result, Conflict):
                    # The long poll in ``follow`` may return the conflicting record late.
                    self._apply(await self._store.read_since(self._end, 0))
        except TimeoutError:
            self._on_error(StoreError("append of a term timed out"))
            return ClaimResult.UNREACHABLE
        except StoreError as error:
            self._on_error(error)
            return ClaimResult.UNREACHABLE
        match result:
            case Appended(terms=terms, end=end):
                self._apply(ReadResult(terms, end))
                return ClaimResult.WON
            case Conflict():
                return ClaimResult.CONFLICT

    async def _read(self) -> ReadResult:
        if self._end is None:
            return await self._store.read_newest()
        return await self._store.read_since(self._end, LONG_POLL_S)

    def _apply(self, read: ReadResult) -> None:
        first = self._end is None
        self._end = max(self._end or 0, read.end)
        self.add_terms(read.terms)
        if first:
            self.changed.notify()
