"""The jobs that the leaders of other failure domains have taken."""

import time
from collections.abc import Collection
from dataclasses import dataclass
from heapq import heappop, heappush

NOWHERE: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Entry:
    domains: frozenset[str]
    keep_until_s: float


class TakenElsewhere:
    """Remember in which failure domains a job may run, or may have run lately, for other leaders."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._ends: list[tuple[float, str]] = []
        """Heap of the times at which entries may be forgotten."""

    def note(self, job: str, domains: Collection[str], keep_s: float) -> None:
        """Note a job that a leader of these failure domains may hold for so many seconds."""
        now_s = time.monotonic()
        self._forget_ended(now_s)
        keep_until_s = now_s + keep_s
        known = self._entries.get(job)
        if known is not None:
            keep_until_s = max(keep_until_s, known.keep_until_s)
            domains = known.domains.union(domains)
        self._entries[job] = _Entry(frozenset(domains), keep_until_s)
        heappush(self._ends, (keep_until_s, job))

    def find_domains(self, job: str) -> frozenset[str]:
        """Return the failure domains whose leaders may hold a job."""
        entry = self._entries.get(job)
        if entry is None or entry.keep_until_s < time.monotonic():
            return NOWHERE
        return entry.domains

    def _forget_ended(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] < now_s:
            job = heappop(self._ends)[1]
            entry = self._entries.get(job)
            if entry is not None and entry.keep_until_s < now_s:
                del self._entries[job]
