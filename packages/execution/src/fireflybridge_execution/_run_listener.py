"""Callbacks from a session with an upstream to the scheduler."""

from typing import Protocol

from fireflybridge_execution._commands import RejectionReason
from fireflybridge_execution._events import UpstreamCrashed
from fireflybridge_execution._run_registry import Run, RunKey
from fireflybridge_jobs import EndedRun, Resources, RunningRun, RunOutcome


class RunListener(Protocol):
    """Receiver of the events of a session."""

    def run_accepted(self, upstream: str, run: Run) -> None:
        """Handle the acknowledged start of a run."""

    def run_ended(self, upstream: str, run: Run, outcome: RunOutcome, elapsed_s: float) -> None:
        """Handle the end of a run that the upstream reported."""

    def run_not_started(self, upstream: str, run: Run, reason: RejectionReason | None) -> None:
        """Handle a run that was not started; None means not sent or no reply."""

    def run_lost(self, upstream: str, run: Run) -> None:
        """Handle a run that is no longer alive and whose end was not reported."""

    def orphan_found(self, upstream: str, run: RunningRun) -> Resources | None:
        """Adopt a run of an earlier leader; return its needs, or None if it isn't adopted."""

    def run_progressed(self, upstream: str, run: Run, percent: float) -> None:
        """Handle a progress report of a run."""

    def orphan_ended(self, upstream: str, run: EndedRun) -> None:
        """Handle the reported end of a run that this host doesn't know."""

    def availability_changed(self, upstream: str) -> None:
        """Handle a change of an upstream's runs, state or health, which may let it take work."""

    def capacity_changed(self) -> None:
        """Handle a report after which the upstream may have more free capacity."""

    def superseded(self, upstream: str) -> None:
        """Handle a command that was rejected because another host leads the failure domain."""

    def session_failed(self, upstream: str, error: Exception) -> None:
        """Handle an unexpected error that has ended a session; another one replaces it."""

    def upstream_crashed(self, crashed: UpstreamCrashed) -> None:
        """Handle a presumed crash of the upstream with the runs that were under way there."""

    def incarnation_reported(self, upstream: str, incarnation: int) -> None:
        """Handle the incarnation of an upstream that may have crashed, or is new to its session."""

    def upstream_synced(self, upstream: str, incarnation: int, running: tuple[RunKey, ...]) -> None:
        """Handle the first list of all runs of the upstream."""

    def upstream_ejected(self, upstream: str, reason: str, failures: int) -> None:
        """Handle the ejection of the upstream."""
