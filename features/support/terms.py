"""In-memory log of terms for tests."""

import anyio

from fireflybridge_leadership import (
    Appended,
    AppendResult,
    Conflict,
    Holder,
    ReadResult,
    Term,
    compute_fence,
)


class HangingPollLog:
    """An in-memory log of terms whose long polls never return; other reads are answered."""

    def __init__(self) -> None:
        self.terms: list[Term] = []

    async def read_newest(self) -> ReadResult:
        """Return every term."""
        return ReadResult(tuple(self.terms), len(self.terms))

    async def read_since(self, offset: int, wait_s: float) -> ReadResult:
        """Return the terms from an offset on; never return if the call may wait."""
        if wait_s > 0:
            await anyio.sleep_forever()
        return ReadResult(tuple(self.terms[offset:]), len(self.terms))

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> AppendResult:
        """Append a term for each failure domain if the log ends at an offset."""
        if end != len(self.terms):
            return Conflict(len(self.terms))
        first_offset = len(self.terms)
        appended = tuple(
            Term(domain, holder, compute_fence(first_offset + index))
            for index, domain in enumerate(domains)
        )
        self.terms.extend(appended)
        return Appended(appended, len(self.terms))
