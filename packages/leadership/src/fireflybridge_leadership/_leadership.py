"""A host's view of the terms, kept from the platform's log."""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum, auto
from types import MappingProxyType

import anyio

from fireflybridge_leadership._notifier import Notifier
from fireflybridge_leadership._store import Appended, Conflict, StoreError, TermsRead, TermStore
from fireflybridge_leadership._terms import Holder, Term, select_terms

CLAIM_TIMEOUT_S = 0.5  # a slow store answers within it; a longer wait delays a provisional leader
READ_WAIT_S = 1.0  # bounds how long a silent connection hides a new term
RETRY_S = 0.2


class ClaimResult(Enum):
    """Name what became of an append of terms."""

    WON = auto()
    CONFLICT = auto()
    UNREACHABLE = auto()


class Leadership:
    """Follow the log of terms and append to it.

    A term in the log is in force until a newer one of its failure domain stands there; the
    upstreams refuse the orders of an older term by its lower fencing token.
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

    def find_led_by(self, holder: Holder) -> tuple[Term, ...]:
        """Return the terms of one holder."""
        return tuple(term for term in self._terms.values() if term.holder == holder)

    async def follow(self) -> None:
        """Keep the terms current until cancelled."""
        while True:
            try:
                self._accept(await self._read())
            except StoreError as error:
                self._end = None
                self._on_error(error)
                await anyio.sleep(RETRY_S)

    def learn(self, terms: Iterable[Term]) -> None:
        """Take terms that another host knows, or a provisional one of this host."""
        newest = select_terms(self._terms, terms)
        if newest != self._terms:
            self._terms = newest
            self.changed.notify()

    async def claim(self, domains: tuple[str, ...], holder: Holder) -> ClaimResult:
        """Append terms that name a holder.

        After an unanswered append the log decides: ``follow`` finds the records if they stand.
        """
        if self._end is None:
            return ClaimResult.UNREACHABLE
        try:
            with anyio.fail_after(CLAIM_TIMEOUT_S):
                result = await self._store.append(domains, holder, self._end)
                if isinstance(result, Conflict):
                    # The long poll may hear of it late.
                    self._accept(await self._store.read_since(self._end, 0))
        except TimeoutError:
            self._on_error(StoreError("append of a term timed out"))
            return ClaimResult.UNREACHABLE
        except StoreError as error:
            self._on_error(error)
            return ClaimResult.UNREACHABLE
        match result:
            case Appended(terms=terms, end=end):
                self._accept(TermsRead(terms, end))
                return ClaimResult.WON
            case Conflict():
                return ClaimResult.CONFLICT

    async def _read(self) -> TermsRead:
        if self._end is None:
            return await self._store.read_newest()
        return await self._store.read_since(self._end, READ_WAIT_S)

    def _accept(self, read: TermsRead) -> None:
        first = self._end is None
        self._end = max(self._end or 0, read.end)
        self.learn(read.terms)
        if first:
            self.changed.notify()
