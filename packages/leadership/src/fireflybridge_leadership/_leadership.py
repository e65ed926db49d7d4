"""A host's view of the terms, kept from the platform's log."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import anyio

from fireflybridge_leadership._notifier import Notifier
from fireflybridge_leadership._store import Appended, Conflict, StoreError, TermsRead, TermStore
from fireflybridge_leadership._terms import Holder, Term, select_terms

READ_WAIT_S = 1.0  # bounds how long a silent connection hides a new term
RETRY_S = 0.2


class Leadership:
    """Follow the log of terms and append to it.

    A term in the log is in force until a newer one of its failure domain stands there; the
    upstreams refuse the orders of an older term by its lower fencing token.
    """

    def __init__(self, store: TermStore, on_error: Callable[[StoreError], None]) -> None:
        self.changed = Notifier()
        self.reachable = False
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
                self.reachable = True
            except StoreError as error:
                self.reachable = False
                self._end = None
                self._on_error(error)
                await anyio.sleep(RETRY_S)

    async def claim(self, domains: tuple[str, ...], holder: Holder) -> bool:
        """Append terms that name a holder; return whether they are in force now.

        After an unanswered append the log decides: ``follow`` finds the records if they stand.
        """
        if self._end is None or not domains:
            return False
        try:
            result = await self._store.append(domains, holder, self._end)
        except StoreError as error:
            self._on_error(error)
            return False
        match result:
            case Appended(terms=terms, end=end):
                self._accept(TermsRead(terms, end))
                return True
            case Conflict():
                return False

    async def _read(self) -> TermsRead:
        if self._end is None:
            return await self._store.read_newest()
        return await self._store.read_since(self._end, READ_WAIT_S)

    def _accept(self, read: TermsRead) -> None:
        first = self._end is None
        self._end = max(self._end or 0, read.end)
        newest = select_terms(self._terms, read.terms)
        if newest != self._terms or first:
            self._terms = newest
            self.changed.notify()
