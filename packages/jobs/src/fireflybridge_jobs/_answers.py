"""Answers to the submission of a job."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from fireflybridge_jobs._jobs import TaskId


class RefusalReason(StrEnum):
    """Reason for refusing a job before any of its tasks was started."""

    NO_LEADER = "no-leader"
    NO_CAPACITY = "no-room"
    NO_UPSTREAM = "no-upstream"
    TOO_LONG = "too-long"
    UNSUPPORTED = "unsupported"
    DRAINING = "draining"
    PAUSED = "paused"
    """The host was paused, so the request may be old and its caller may have left."""


@dataclass(frozen=True, slots=True)
class Succeeded:
    """Every task of the job is done."""


@dataclass(frozen=True, slots=True)
class Failed:
    """A task failed at its last attempt; the job's other tasks are stopped."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The job was refused before any task was started, so the caller may submit it again."""

    reason: RefusalReason
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The job was abandoned after some of its tasks may have started."""

    reason: str


@dataclass(frozen=True, slots=True)
class EarlierRuns:
    """What is known of the runs of an earlier submission of a job.

    They may still be running on the upstreams with these ids, and on any upstream of these failure
    domains. The value is the fencing token of the leader that started them: a list of runs that
    another leader got under a lower token may lack them. The tasks in ``done`` must not be started
    again.
    """

    upstreams: Mapping[str, int] = field(default_factory=dict)
    domains: Mapping[str, int] = field(default_factory=dict)
    done: frozenset[TaskId] = frozenset()

    def merge(self, other: "EarlierRuns | None") -> "EarlierRuns":
        """Return the union of what both hold."""
        if other is None:
            return self
        return EarlierRuns(
            merge_fences(self.upstreams, other.upstreams),
            merge_fences(self.domains, other.domains),
            self.done | other.done,
        )


def merge_fences(first: Mapping[str, int], second: Mapping[str, int]) -> dict[str, int]:
    """Return the higher fencing token of each name."""
    names = first.keys() | second.keys()
    return {name: max(first.get(name, 0), second.get(name, 0)) for name in names}


@dataclass(frozen=True, slots=True)
class Moved:
    """The entry host must resubmit the job to the current leader, which adopts its runs.

    ``earlier`` is None if no run of the job was ever started.
    """

    earlier: EarlierRuns | None


Answer = Succeeded | Failed | NotRun | TimedOut | Moved
