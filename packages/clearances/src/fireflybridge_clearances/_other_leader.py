"""What this leader has to ask another one, and whether that one replies."""

import time
from collections.abc import Iterable, Mapping
from itertools import chain, islice

# A leader that has ended leaves runs whose lease lasts 0.62 s; another one lists them by then.
UNREACHABLE_S = 0.7
# Of one message; further ones go into the next.
MAX_NEW = 100
MAX_REPEATED = 100


class OtherLeader:
    """Keep the questions to one other leader, and the time since which it hasn't replied."""

    def __init__(self) -> None:
        self.fences: Mapping[str, int] = {}
        """The fencing tokens of its terms by failure domain."""
        self.ledger_number = 0
        """The number of the last job that it has told of those it has taken."""
        self.silent_since_s: float | None = None
        """When the first question was sent to which it hasn't replied in time, None if it has."""
        self.waiting_since_s: float | None = None
        """When the first question was sent that it hasn't replied to yet, None if it has."""
        self._new: dict[str, None] = {}
        """Jobs that it wasn't asked about yet."""
        self._open: dict[str, None] = {}
        """Jobs that it hasn't cleared when it was asked; those asked about longest ago come first."""

    @property
    def is_unreachable(self) -> bool:
        """Return whether it has been silent for so long that its runs have ended if it has."""
        since_s = self.silent_since_s
        return since_s is not None and time.monotonic() >= since_s + UNREACHABLE_S

    def note_contact(self) -> None:
        """Note that it can be reached."""
        self.silent_since_s = self.waiting_since_s = None

    @property
    def has_new_questions(self) -> bool:
        """Return whether there are jobs that it wasn't asked about yet."""
        return bool(self._new)

    @property
    def has_questions(self) -> bool:
        """Return whether there are jobs that it hasn't cleared."""
        return bool(self._new or self._open)

    def list_questions(self) -> tuple[str, ...]:
        """Return the jobs to ask about now: new ones, and some that it hasn't cleared yet."""
        return tuple(chain(islice(self._new, MAX_NEW), islice(self._open, MAX_REPEATED)))

    def ask(self, job: str) -> None:
        """Ask about a job, maybe once more."""
        self._open.pop(job, None)
        self._new[job] = None

    def settle(self, job: str) -> None:
        """Ask about a job no longer."""
        self._new.pop(job, None)
        self._open.pop(job, None)

    def note_asked(self, jobs: Iterable[str]) -> None:
        """Note that it has replied to questions; those jobs that it hasn't cleared are asked again."""
        for job in jobs:
            if job in self._new:
                self.ask_again(job)

    def ask_again(self, job: str) -> None:
        """Ask about a job that it hasn't cleared once more."""
        self.settle(job)
        self._open[job] = None
