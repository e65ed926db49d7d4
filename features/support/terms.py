"""A log of terms in memory."""

import anyio

from fireflybridge_leadership import (
    Appended,
    AppendResult,
    Conflict,
    Holder,
    Term,
    TermsRead,
    compute_fence,
)


class DeafLog:
    """A log of terms whose long polls hear nothing; reads that don't wait are answered."""

    def __init__(self) -> None:
        self.terms: list[Term] = []

    async def read_newest(self) -> TermsRead:
        """Return every term."""
        return TermsRead(tuple(self.terms), len(self.terms))

    async def read_since(self, offset: int, wait_s: float) -> TermsRead:
        """Return the terms from an offset on, unless the call waits."""
        if wait_s > 0:
            await anyio.sleep_forever()
        return TermsRead(tuple(self.terms[offset:]), len(self.terms))

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> AppendResult:
        """Append a term for each failure domain if the log ends at an offset."""
        if end != len(self.terms):
            return Conflict(len(self.terms))
        first = len(self.terms)
        found = tuple(
            Term(domain, holder, compute_fence(first + index))
            for index, domain in enumerate(domains)
        )
        self.terms.extend(found)
        return Appended(found, len(self.terms))
