"""What a session with an upstream reports to the scheduler."""

from typing import Protocol

from fireflybridge_execution._orders import Rejection
from fireflybridge_execution._run_book import Run
from fireflybridge_jobs import EndedRun, Ending, Resources, RunningRun


class RunListener(Protocol):
    """Hear what becomes of the runs of a session."""

    def run_accepted(self, upstream: str, run: Run) -> None:
        """Take note that a run has started."""

    def run_ended(self, upstream: str, run: Run, ending: Ending, elapsed_s: float) -> None:
        """Take note of an end that the upstream listed."""

    def run_not_started(self, upstream: str, run: Run, rejection: Rejection | None) -> None:
        """Take note that a run was not started; no rejection means it can't be told why."""

    def run_lost(self, upstream: str, run: Run) -> None:
        """Take note that a run is no longer alive and left no end."""

    def found_running(self, upstream: str, run: RunningRun) -> Resources | None:
        """Return what a run of an earlier leader needs if its job is known here."""

    def run_progressed(self, upstream: str, run: Run, percent: float) -> None:
        """Take note of how much of a run's work is done."""

    def found_ended(self, upstream: str, run: EndedRun) -> None:
        """Take note of an end of a run that this host did not start."""

    def room_changed(self) -> None:
        """Take note that the upstream may take work again."""

    def superseded(self, upstream: str) -> None:
        """Take note that another host leads the upstream's failure domain."""

    def upstream_synced(self, upstream: str, incarnation: int, running: int) -> None:
        """Take note that all runs of the upstream are known."""

    def upstream_doubted(self, upstream: str, reason: str, failures: int) -> None:
        """Take note that the upstream gets no work for a while."""
