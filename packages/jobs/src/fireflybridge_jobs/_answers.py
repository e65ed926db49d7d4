"""Answers to the submission of a job."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Name why a job was refused; none of its tasks was started."""

    NO_LEADER = "no-leader"
    NO_ROOM = "no-room"
    NO_UPSTREAM = "no-upstream"
    TOO_LONG = "too-long"
    UNSUPPORTED = "unsupported"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Succeeded:
    """Say that every task of the job is done."""


@dataclass(frozen=True, slots=True)
class Failed:
    """Say that a task used up its attempts; the job's other tasks are stopped."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Refuse the job; nothing of it was started, so the caller may come again."""

    reason: RefusalReason
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Say that the job was given up after some of its tasks had started."""

    reason: str


@dataclass(frozen=True, slots=True)
class EarlierRuns:
    """Say where runs of an earlier submission of a job may be alive.

    They may be on the upstreams with these ids, and on any upstream of these failure domains.
    """

    upstreams: frozenset[str] = frozenset()
    domains: frozenset[str] = frozenset()

    def merge(self, other: "EarlierRuns | None") -> "EarlierRuns":
        """Return what covers the runs of both."""
        if other is None:
            return self
        return EarlierRuns(self.upstreams | other.upstreams, self.domains | other.domains)


@dataclass(frozen=True, slots=True)
class Moved:
    """Ask the entry host to submit the job again to the current leader, which adopts its runs.

    ``earlier`` is None if no run of the job was ever started.
    """

    earlier: EarlierRuns | None


Answer = Succeeded | Failed | NotRun | TimedOut | Moved
