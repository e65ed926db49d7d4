"""What a session knows of its upstream, and the rules by which that changes."""

import time
from collections.abc import Collection

import anyio

from fireflybridge_execution._clock import CLOCK_DRIFT_FACTOR, RemoteClock
from fireflybridge_execution._commands import RejectionReason
from fireflybridge_execution._events import CrashSign, UpstreamCrashed
from fireflybridge_execution._evidence import (
    Evidence,
    IncarnationEnded,
    LeaseExpired,
    RunState,
    ends_all_runs,
    judge_run,
)
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._run_listener import RunListener
from fireflybridge_execution._run_registry import Run, RunKey, RunRegistry
from fireflybridge_http import ExchangeError
from fireflybridge_jobs import Resources, UpstreamInfo, UpstreamState
from fireflybridge_placement import Health, eject

LEASE_MS = 600  # survives one missed hold; delays the restart of an unreachable upstream's tasks
NO_CAPACITY_BACKOFF_S = 0.03


class UpstreamLink:
    """State of one upstream under one fencing token, which the tasks of its session share."""

    def __init__(
        self, info: UpstreamInfo, fence: int, listener: RunListener, live_runs: LiveRuns
    ) -> None:
        self.info = info
        self.fence = fence
        self.listener = listener
        self.runs = RunRegistry(live_runs, self.report_availability)
        self.health = Health()
        self.synced = False
        """Whether the upstream has listed its runs under this token, and takes work."""
        self.superseded = False
        """Whether the upstream has refused the fencing token, since it has seen a higher one."""
        self.closed = False
        """Whether the session is over, so that late replies tell nothing."""
        self.unresponsive = False
        """Whether the last call got no reply, so that the lease isn't extended."""
        self.incarnation = 0
        """The incarnation that all commands have reached, 0 before it is known."""
        self.listed_s: float | None = None
        """When the upstream last listed its runs under this token, on the monotonic clock."""
        self.clock: RemoteClock | None = None
        self.hold_requested = anyio.Event()
        """Set when the next hold is to be sent, although nothing may run."""
        self.crash_reported = False
        self.lost_in_silence: tuple[RunKey, ...] = ()
        """Runs that a crash may have ended, which shows once the upstream replies again."""
        self._lease_end_s = 0.0
        self._full_until_s = 0.0

    @property
    def available(self) -> Resources:
        """Return the upstream's free capacity."""
        return self.info.capacity - self.runs.used

    def admits(self, now_s: float) -> bool:
        """Return whether the upstream accepts a new run now."""
        return (
            self.synced
            and not self.unresponsive
            and self.info.state is UpstreamState.READY
            and now_s >= self._full_until_s
            and not self.runs.has_orphans
            and not self.runs.has_unconfirmed_stop
            and not self.runs.has_exclusive
            and self.health.admits(now_s, len(self.runs))
        )

    @property
    def blocked_until_s(self) -> float:
        """Return when an ejection or a back-off ends, on the monotonic clock in seconds."""
        return max(self._full_until_s, self.health.ejected_until_s)

    @property
    def lease_end_s(self) -> float:
        """Return when every run must have ended unless the lease is extended again."""
        return self._lease_end_s

    def update(self, info: UpstreamInfo) -> None:
        """Set the upstream's newest directory entry."""
        self.info = info
        self.report_availability()

    def report_availability(self) -> None:
        """Report a change that may let the upstream take work, or no more of it."""
        self.listener.availability_changed(self.info.id)

    def extend_lease(self, now_s: float) -> int | None:
        """Return the new end of the lease, or None if it must not be extended.

        It is not extended while the upstream doesn't reply: an unanswered call may have arrived,
        so if each retry extended the lease, its end would never be certain. Nor is it while the stop
        of a run is unconfirmed, so that the run ends before its job may be submitted again.
        """
        if self.superseded or self.clock is None or self.unresponsive:
            return None
        if self.runs.has_unconfirmed_stop:
            return None
        if self.runs.has_orphans:
            # An earlier leader that is cut off restarts the tasks when the lease that it knows ends.
            return None
        self._lease_end_s = now_s + LEASE_MS / 1000 * CLOCK_DRIFT_FACTOR
        return self.clock.estimate_ms(now_s) + LEASE_MS

    def note_earlier_lease(self, listed_s: float) -> None:
        """Note that a lease which an earlier leader has given may end a full lease after a list.

        From the list on, the upstream refuses that leader's commands.
        """
        earlier_end_s = listed_s + LEASE_MS / 1000 * CLOCK_DRIFT_FACTOR
        self._lease_end_s = max(self._lease_end_s, earlier_end_s)

    def end_back_off(self) -> None:
        """Give the upstream work again after it had no room."""
        if self._full_until_s:
            self._full_until_s = 0.0
            self.report_availability()

    def supersede(self) -> None:
        """Stop using the upstream: its runs and their ends are another leader's now."""
        if not self.superseded and not self.closed:
            self.abandon()
            self.listener.superseded(self.info.id)

    def abandon(self) -> None:
        """Send no further commands, since another leader's token is higher."""
        self.superseded = True
        self.synced = False
        self.report_availability()

    def eject_for(self, reason: str) -> None:
        """Give the upstream no work for a while."""
        self.replace_health(eject(self.health, time.monotonic()), reason)

    def replace_health(self, health: Health, reason: str) -> None:
        """Set the health, and report an ejection with its reason."""
        before = self.health
        self.health = health
        self.report_availability()
        if health.ejected_until_s > before.ejected_until_s:
            self.listener.upstream_ejected(self.info.id, reason, health.failures)

    def set_unresponsive(self) -> None:
        """Give the upstream no work until it replies; its runs end with their lease."""
        self.unresponsive = True
        self.report_availability()
        if time.monotonic() > self._lease_end_s:
            self.lost_in_silence += self.runs.list_started()
            self.apply_evidence(LeaseExpired())

    def handle_call_error(self, error: ExchangeError) -> None:
        """Eject an upstream that didn't reply to a call, and report a crash if it refused the call."""
        self.eject_for(str(error))
        if error.refused and not self.runs.is_starting:
            # Otherwise the next call to be refused reports it.
            self.report_crash(CrashSign.REFUSED)
        self.set_unresponsive()

    def handle_rejection(self, reason: RejectionReason) -> None:
        """Eject an upstream that rejected a command; another incarnation ends all its runs."""
        self.eject_for(reason)
        if reason is RejectionReason.OTHER_INCARNATION:
            self.report_crash(CrashSign.REPLACED)
            self.apply_evidence(IncarnationEnded())
            self.clock = None
            self.incarnation = 0
            self.synced = False
            self.report_availability()

    def report_crash(self, sign: CrashSign, started_since: Collection[RunKey] = ()) -> None:
        """Report, once for each crash, the runs that were under way when the upstream crashed.

        Those in ``started_since`` have started after it. An upstream that was draining has left as
        planned, and its end says nothing of its runs.
        """
        if self.crash_reported or self.info.state is UpstreamState.DRAINING:
            return
        self.crash_reported = True
        present = dict.fromkeys((*self.runs.list_started(), *self.lost_in_silence))
        runs = tuple(key for key in present if key not in started_since)
        if runs:
            crashed = UpstreamCrashed(self.info.id, self.incarnation, sign, runs)
            self.listener.upstream_crashed(crashed)

    def apply_evidence(self, evidence: Evidence) -> None:
        """Remove the runs that aren't alive by this evidence."""
        if ends_all_runs(evidence):
            self.runs.clear_orphans()
        for run in self.runs.list_runs():
            match judge_run(run, evidence):
                case RunState.MAY_BE_ALIVE:
                    pass
                case RunState.NOT_SENT:
                    self.withdraw(run, None)
                case RunState.LOST:
                    self.runs.remove(run.key)
                    self.listener.run_lost(self.info.id, run)

    def withdraw(self, run: Run, reason: RejectionReason | None) -> None:
        """Remove a run that was not started; None means not sent or no reply."""
        if self.runs.remove(run.key) is not None:
            self.listener.run_not_started(self.info.id, run, reason)

    def back_off(self) -> None:
        """Give the upstream no work for a moment, since it had no room for a run."""
        self._full_until_s = time.monotonic() + NO_CAPACITY_BACKOFF_S
        self.report_availability()

    def request_report(self) -> None:
        """Give the upstream no work before its next report, which a hold requests now."""
        self.synced = False
        self.report_availability()
        self.hold_requested.set()
