"""Session with one upstream: its runs, its lease and the connections for commands."""

import time
from collections.abc import Mapping

import anyio

from fireflybridge_execution._clock import RemoteClock
from fireflybridge_execution._command_sender import CommandSender
from fireflybridge_execution._commands import (
    CommandConnection,
    CommandConnector,
    Hold,
    Rejected,
    RejectionReason,
)
from fireflybridge_execution._events import CrashSign
from fireflybridge_execution._evidence import IncarnationEnded, RunsListed
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._run_listener import RunListener
from fireflybridge_execution._run_registry import OrphanedRun, Run, RunKey, RunPhase
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_execution._upstream_link import UpstreamLink
from fireflybridge_http import ExchangeError
from fireflybridge_jobs import (
    EndedRun,
    Resources,
    RunningRun,
    RunOutcome,
    RunReport,
    TaskId,
    UpstreamInfo,
)
from fireflybridge_placement import Health, record_failure, record_success

HOLD_WAIT_MS = 120  # also the interval of progress reports while no run ends
HOLD_TIMEOUT_MARGIN_S = 0.2  # round trip to an upstream under load
RETRY_S = 0.05
IDLE_RETRY_S = 0.25  # while nothing runs on an upstream that doesn't reply
ADOPTION_WAIT_S = 0.5  # time for the resubmission of jobs after a change of leader
ACKNOWLEDGEMENT_DELAY_S = 1.0  # the hold for a new run usually carries it sooner


class UpstreamSession(UpstreamLink):
    """Send commands to one upstream under one fencing token and track its runs."""

    def __init__(
        self,
        info: UpstreamInfo,
        fence: int,
        connector: CommandConnector,
        listener: RunListener,
        live_runs: LiveRuns,
        gate: StartGate,
    ) -> None:
        super().__init__(info, fence, listener, live_runs)
        self._connector = connector
        self._sender = CommandSender(self, connector, gate)
        self._unknown_runs = gate.unknown_runs
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self._scope = anyio.CancelScope()

    def start(
        self,
        task: TaskId,
        number: int,
        spec: str,
        needs: Resources,
        requested_s: float,
        *,
        exclusive: bool = False,
    ) -> None:
        """Queue the start of a run that was requested at a monotonic time.

        The listener is called with the result.
        """
        now_s = time.monotonic()
        run = Run(
            task, number, spec, needs, RunPhase.QUEUED, now_s, requested_s, exclusive=exclusive
        )
        self.runs.add(run)
        self.hold_requested.set()
        self._sender.queue(run.key)

    def stop(self, task: TaskId, number: int) -> None:
        """Stop a run whose result is no longer needed."""
        self._sender.stop(task, number)

    def close(self) -> None:
        """Close the session; its runs end with their lease unless another host extends it."""
        self.closed = True
        self._scope.cancel()

    def adopt_orphans(self, job: str) -> None:
        """Let the listener adopt the orphaned runs of a job."""
        now_s = time.monotonic()
        for orphan in self.runs.list_orphans():
            if orphan.run.task.job == job and orphan.key not in self.runs:
                self._handle_orphan(orphan.run, now_s)

    async def serve(self) -> None:
        """Extend the lease, poll for ended runs and send commands until the session is closed."""
        with self._scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._sender.serve)
                await self._poll_runs()

    # One connection extends the lease and polls for ended runs.

    async def _poll_runs(self) -> None:
        connection = self._connector.open(self.info)
        try:
            while not self.superseded:
                await self._wait_for_run()
                await self._send_hold(connection)
        finally:
            await connection.close()

    async def _wait_for_run(self) -> None:
        """Wait while there is no run; return after a delay if ended runs are not yet acknowledged."""
        if self.synced and self.runs.is_empty and not self.unresponsive:
            self.hold_requested = anyio.Event()
            unacknowledged = self._acknowledged > self._acknowledgement_sent
            with anyio.move_on_after(ACKNOWLEDGEMENT_DELAY_S if unacknowledged else None):
                await self.hold_requested.wait()

    async def _send_hold(self, connection: CommandConnection) -> None:
        sent_s = time.monotonic()
        wait_ms = HOLD_WAIT_MS if self.synced and len(self.runs) else 0
        wait_ms = 0 if self.runs.has_orphans else wait_ms
        acknowledged = self._acknowledged
        hold = Hold(self.fence, acknowledged, wait_ms, self.extend_lease(sent_s))
        try:
            reply = await connection.hold(hold, wait_ms / 1000 + HOLD_TIMEOUT_MARGIN_S)
        except ExchangeError as error:
            self._handle_hold_error(error)
            await anyio.sleep(IDLE_RETRY_S if self.synced and self.runs.is_empty else RETRY_S)
            return
        match reply:
            case _ if self.superseded or self.closed:
                pass
            case RunReport():
                self._acknowledgement_sent = acknowledged
                self._handle_report(reply, sent_s)
                if self.runs.has_orphans:
                    await anyio.sleep(RETRY_S)
            case Rejected(reason=RejectionReason.FENCE):
                self.supersede()
            case Rejected(reason=reason):
                self.handle_rejection(reason)
                await anyio.sleep(RETRY_S)

    def _handle_report(self, report: RunReport, sent_s: float) -> None:
        now_s = time.monotonic()
        if self.unresponsive:
            self.unresponsive = False
            self.report_availability()
        if report.incarnation != self.incarnation:
            self._begin_incarnation(report)
            self.listener.incarnation_reported(self.info.id, report.incarnation)
        elif self.crash_reported:
            self.listener.incarnation_reported(self.info.id, report.incarnation)
        self.crash_reported = False
        self.lost_in_silence = ()
        self.clock = RemoteClock(report.clock_ms, now_s)
        self.listed_s = now_s
        for ended in report.ended:
            self._handle_ended_run(ended, now_s)
        listed = {(run.task, run.number): run for run in report.running}
        self.apply_evidence(RunsListed(listed, sent_s))
        self._update_orphans(listed, now_s)
        if not self.synced:
            self.synced = True
            self._unknown_runs.forget(self.info.id)
            self.report_availability()
            self.listener.upstream_synced(self.info.id, self.incarnation, tuple(listed))
        self.end_back_off()
        self.listener.capacity_changed()
        self._report_progress(listed)

    def _report_progress(self, listed: Mapping[RunKey, RunningRun]) -> None:
        for key, found in listed.items():
            run = self.runs.find(key)
            if run is not None and run.phase is RunPhase.RUNNING:
                self.listener.run_progressed(self.info.id, run, found.percent)

    def _begin_incarnation(self, report: RunReport) -> None:
        if self.incarnation:
            running = {(run.task, run.number) for run in report.running}
            ended = {(run.task, run.number) for run in report.ended}
            self.report_crash(CrashSign.RESTARTED, started_since=running | ended)
            self.apply_evidence(IncarnationEnded())
            self.replace_health(Health(), "the upstream has restarted")
        self.incarnation = report.incarnation
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self.note_earlier_lease(time.monotonic())

    def _handle_ended_run(self, ended: EndedRun, now_s: float) -> None:
        if ended.sequence <= self._acknowledged:
            return
        self._acknowledged = ended.sequence
        key = (ended.task, ended.number)
        self.runs.remove_orphans((key,))
        run = self.runs.remove(key)
        if run is None:
            self.listener.orphan_ended(self.info.id, ended)
            return
        self._update_health(run, ended.outcome, now_s)
        self.listener.run_ended(self.info.id, run, ended.outcome, now_s - run.placed_s)

    def _update_health(self, run: Run, outcome: RunOutcome, now_s: float) -> None:
        match outcome:
            case RunOutcome.DONE:
                self.replace_health(record_success(self.health), "a run succeeded")
            case RunOutcome.FAILED:
                failed = record_failure(self.health, run.task.job, now_s)
                self.replace_health(failed, "runs failed")
            case _:
                pass

    def _update_orphans(self, listed: Mapping[RunKey, RunningRun], now_s: float) -> None:
        for key, found in listed.items():
            if key not in self.runs:
                self._handle_orphan(found, now_s)
        gone = [run.key for run in self.runs.list_orphans() if run.key not in listed]
        self.runs.remove_orphans(gone)

    def _handle_orphan(self, found: RunningRun, now_s: float) -> None:
        """Adopt a run of an earlier leader, or stop it if its job is not resubmitted in time."""
        key = (found.task, found.number)
        needs = self.listener.orphan_found(self.info.id, found)
        orphan = self.runs.find_orphan(key)
        if needs is not None:
            self._adopt(Run(*key, "", needs, RunPhase.RUNNING, now_s, now_s, now_s, started=True))
        elif orphan is None:
            self.runs.add_orphan(OrphanedRun(found, now_s + ADOPTION_WAIT_S))
            self.hold_requested.set()
        elif now_s >= orphan.stop_after_s:
            # It stays an orphan, so that its lease isn't extended while the stop may be lost.
            stopping = RunPhase.STOPPING
            self.runs.add(
                Run(*key, "", Resources(), stopping, now_s, now_s, stopped_s=now_s, started=True)
            )
            self._sender.queue(key)

    def _adopt(self, run: Run) -> None:
        self.runs.add(run)
        self.runs.remove_orphans((run.key,))
        self.hold_requested.set()

    def _handle_hold_error(self, error: ExchangeError) -> None:
        """Eject the upstream after a second failure; a single lost reply says little about it.

        Until it replies again, it gets no work and its lease isn't extended.
        """
        if self.unresponsive or not error.may_have_run:
            self.handle_call_error(error)
        else:
            self.set_unresponsive()
