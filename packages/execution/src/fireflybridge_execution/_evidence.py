"""What becomes of a run when something is learned of its upstream."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum, auto

from fireflybridge_execution._run_registry import Run, RunKey, RunPhase


@dataclass(frozen=True, slots=True)
class RunsListed:
    """The upstream has listed its runs in reply to a hold sent at ``sent_s`` (monotonic)."""

    keys: Collection[RunKey]
    sent_s: float


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """The incarnation that got all commands until now has ended."""


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease of all runs has expired while the upstream was silent."""


Evidence = RunsListed | IncarnationEnded | LeaseExpired


class RunState(Enum):
    """What evidence says of a run."""

    MAY_BE_ALIVE = auto()
    NOT_SENT = auto()
    """It was never started, and isn't going to be."""
    LOST = auto()
    """It has ended, or never started, without a report of its end."""


def ends_all_runs(evidence: Evidence) -> bool:
    """Return whether no run on the upstream is alive by this evidence, whoever has started it."""
    match evidence:
        case RunsListed():
            return False
        case IncarnationEnded() | LeaseExpired():
            return True


def judge_run(run: Run, evidence: Evidence) -> RunState:
    """Return what evidence says of a run.

    A start only reaches the incarnation that was known when it was sent, and is refused after the
    lease that it carries. So no run outlives its incarnation or the lease, whether its start has
    been answered or not.
    """
    match evidence, run.phase:
        case RunsListed(), RunPhase.QUEUED | RunPhase.STARTING:
            return RunState.MAY_BE_ALIVE
        case RunsListed(keys=keys, sent_s=sent_s), _:
            confirmed = run.confirmed_s is not None and run.confirmed_s < sent_s
            return RunState.LOST if confirmed and run.key not in keys else RunState.MAY_BE_ALIVE
        case (IncarnationEnded() | LeaseExpired()), RunPhase.QUEUED:
            return RunState.NOT_SENT
        case IncarnationEnded() | LeaseExpired(), _:
            return RunState.LOST
