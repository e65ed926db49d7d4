"""What a leader knows of a job, as another leader that has received the job asks it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fireflybridge_clearances._ledger import LedgerPart
from fireflybridge_jobs import Failed, Succeeded
from fireflybridge_leadership import Holder


@dataclass(frozen=True, slots=True)
class NotHeld:
    """The leader doesn't hold the job, and no run of it is alive in its failure domains."""


@dataclass(frozen=True, slots=True)
class MayRun:
    """The leader doesn't hold the job, but a run of it may be alive in its failure domains."""


@dataclass(frozen=True, slots=True)
class Held:
    """The leader decides on the job."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The leader has answered the job lately."""

    answer: Succeeded | Failed


Holding = NotHeld | MayRun | Held | Answered


@dataclass(frozen=True, slots=True)
class JobQuestion:
    """Ask another leader about a job.

    ``begun`` is whether the asking one has started its tasks, ``marked`` whether an earlier leader
    may have.
    """

    job: str
    begun: bool
    marked: bool


@dataclass(frozen=True, slots=True)
class LeaderReport:
    """What a leader says of jobs, under the terms that it serves.

    ``fences`` holds the fencing tokens of its terms by failure domain, ``listed`` those domains in
    which every upstream that may run a task has listed its runs under them; it is only filled in for
    marked jobs. ``taken`` are the jobs that the leader has taken, or found on its upstreams, since
    its last report to the same asker.
    """

    leader: Holder
    fences: Mapping[str, int]
    listed: frozenset[str]
    holdings: Mapping[str, Holding]
    taken: LedgerPart = field(default_factory=LedgerPart)
    knows_runs: bool = False
    """Whether the leader knows the runs of its upstreams, or has waited long enough for them."""
