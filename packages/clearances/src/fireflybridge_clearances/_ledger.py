"""The jobs that a leader has taken, as it tells them to the other leaders."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import islice, takewhile

MAX_JOBS = 2000  # of one part


@dataclass(frozen=True, slots=True)
class LedgerPart:
    """Jobs that a leader has taken, and the number of the last of them.

    The value of a job is how long, in seconds from now, the leader may hold it or know its result.
    """

    jobs: Mapping[str, float] = field(default_factory=dict)
    last_number: int = 0
    is_last: bool = True
    """Whether these are all jobs that the leader has taken until now."""


@dataclass(frozen=True, slots=True)
class _Entry:
    number: int
    keep_until_s: float


class JobLedger:
    """Number the jobs that this leader takes, so that each other leader is told each of them once."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        """In the order of their numbers."""
        self._last_number = 0

    def note(self, job: str, keep_s: float) -> None:
        """Note a job that this leader holds, or whose result it knows, for so many seconds."""
        now_s = time.monotonic()
        self._forget_ended(now_s)
        known = self._entries.get(job)
        if known is not None and known.keep_until_s >= now_s + keep_s:
            return
        self._entries.pop(job, None)
        self._last_number += 1
        self._entries[job] = _Entry(self._last_number, now_s + keep_s)

    def list_since(self, number: int) -> LedgerPart:
        """Return the jobs with numbers above one, the oldest ones first."""
        newest = takewhile(lambda item: item[1].number > number, reversed(self._entries.items()))
        found = list(newest)[::-1]
        part = list(islice(found, MAX_JOBS))
        now_s = time.monotonic()
        jobs = {job: max(entry.keep_until_s - now_s, 0.0) for job, entry in part}
        last_number = part[-1][1].number if part else self._last_number
        return LedgerPart(jobs, last_number, len(part) == len(found))

    def _forget_ended(self, now_s: float) -> None:
        while self._entries and next(iter(self._entries.values())).keep_until_s < now_s:
            del self._entries[next(iter(self._entries))]
