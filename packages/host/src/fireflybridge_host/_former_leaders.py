"""Announcement of a new term to the leader that it replaces."""

from collections.abc import Iterable

import anyio

from fireflybridge_entry import LeaderMonitor
from fireflybridge_leadership import Holder, Leadership, Term

ANNOUNCEMENT_S = 5.0  # as long as the new leader may take its runs for alive
RETRY_DELAY_S = 0.1


class FormerLeaders:
    """Tell former leaders that this host has replaced them.

    A host that the log doesn't answer would go on extending the leases of its runs on upstreams that
    have not heard of the new term either.
    """

    def __init__(self, holder: Holder, leadership: Leadership, monitor: LeaderMonitor) -> None:
        self._holder = holder
        self._leadership = leadership
        self._monitor = monitor

    async def notify(self) -> None:
        """Announce each term of this host to the holder of the one before, until cancelled."""
        known = dict(self._leadership.terms)
        async with anyio.create_task_group() as group:
            while True:
                await self._leadership.changed.wait()
                terms = dict(self._leadership.terms)
                for former in self._find_replaced(known, terms.values()):
                    group.start_soon(self._announce, former)
                known = terms

    def _find_replaced(self, known: dict[str, Term], terms: Iterable[Term]) -> set[Holder]:
        """Return the other hosts that held a term before which this host holds now."""
        return {
            known[term.domain].holder
            for term in terms
            if term.holder == self._holder and term.domain in known
        } - {self._holder}

    async def _announce(self, former: Holder) -> None:
        with anyio.move_on_after(ANNOUNCEMENT_S):
            while not await self._monitor.announce(
                self._leadership.find_terms_held_by(self._holder), former.address
            ):
                await anyio.sleep(RETRY_DELAY_S)
