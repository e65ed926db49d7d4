"""The conditions under which a start may be sent, whichever path has led to it."""

import time
from math import inf

from fireflybridge_clearances import JobClearances
from fireflybridge_execution._directory import DirectoryView
from fireflybridge_execution._unknown_runs import UnknownRuns
from fireflybridge_execution._waiting_senders import WaitingSenders
from fireflybridge_pauses import PauseMonitor


class StartGate:
    """Decide whether what a start rests on holds.

    That is the senders and the clearance of its job, and the upstreams' entries and runs.
    """

    def __init__(self, pauses: PauseMonitor, clearances: JobClearances) -> None:
        self.clearances = clearances
        self.view = DirectoryView({}, -inf)
        """The newest view of the directory."""
        self.term_began_s = -inf
        """When the newest of this host's terms began, on the monotonic clock."""
        self.unknown_runs = UnknownRuns()
        self.senders = WaitingSenders()
        self._pauses = pauses

    def holds_request(self, requested_s: float) -> bool:
        """Return whether the sender of a request read at a monotonic time still waits."""
        return self._pauses.is_current(requested_s)

    def admits(self, job: str, requested_s: float) -> bool:
        """Return whether a run of a job that was requested at a monotonic time may start now."""
        now_s = time.monotonic()
        return (
            self.holds_request(requested_s)
            and self.senders.still_wait(job)
            and self.is_open(now_s)
            and self.clearances.is_cleared(job)
        )

    def is_open(self, now_s: float) -> bool:
        """Return whether runs of any job may start, by what is known of the upstreams."""
        return self.view.allows_starts(now_s) and self.knows_runs(now_s)

    def knows_runs(self, now_s: float) -> bool:
        """Return whether this host knows the runs of all upstreams, those of earlier leaders too.

        An earlier leader may have used upstreams that only a read since the term began has shown.
        """
        knows_upstreams = self.view.read_s >= self.term_began_s or not self.view.store_answers
        return knows_upstreams and not self.unknown_runs.may_exist(now_s)
