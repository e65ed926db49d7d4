"""Session with one upstream: its runs, its lease and the connections for commands."""

import time
from collections.abc import Collection, Mapping
from dataclasses import replace

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from fireflybridge_execution._clock import CLOCK_DRIFT_FACTOR, RemoteClock
from fireflybridge_execution._commands import (
    Accepted,
    CommandConnection,
    CommandConnector,
    Hold,
    Rejected,
    RejectionReason,
    Start,
    Stop,
)
from fireflybridge_execution._events import CrashSign, UpstreamCrashed
from fireflybridge_execution._evidence import (
    Evidence,
    IncarnationEnded,
    LeaseExpired,
    RunsListed,
    RunState,
    judge_run,
)
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._run_listener import RunListener
from fireflybridge_execution._run_registry import OrphanedRun, Run, RunKey, RunPhase, RunRegistry
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_http import ExchangeError
from fireflybridge_jobs import (
    EndedRun,
    Resources,
    RunningRun,
    RunOutcome,
    RunReport,
    TaskId,
    UpstreamInfo,
    UpstreamState,
)
from fireflybridge_placement import (
    Health,
    eject,
    record_failure,
    record_success,
)

LEASE_MS = 600  # survives one missed hold; delays the restart of an unreachable upstream's tasks
HOLD_WAIT_MS = 120  # also the interval of progress reports while no run ends
HOLD_TIMEOUT_MARGIN_S = 0.2  # round trip to an upstream under load
COMMAND_TIMEOUT_S = 0.2
RETRY_S = 0.05
IDLE_RETRY_S = 0.25  # while nothing runs on an upstream that doesn't reply
ADOPTION_WAIT_S = 0.5  # time for the resubmission of jobs after a change of leader
NO_CAPACITY_BACKOFF_S = 0.03
COMMAND_CONNECTIONS = 3
ACKNOWLEDGEMENT_DELAY_S = 1.0  # the hold for a new run usually carries it sooner


class UpstreamSession:
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
        self.info = info
        self._gate = gate
        self._listener = listener
        self.synced = False
        self.asked = False
        """Whether the upstream was asked for its runs and has replied, or failed to reply."""
        self.superseded = False
        """Whether the upstream has refused the fencing token, since it has seen a higher one."""
        self.health = Health()
        self.fence = fence
        self._connector = connector
        self.runs = RunRegistry(live_runs, self._report_availability)
        self._clock: RemoteClock | None = None
        self._incarnation = 0
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self._lease_end_s = 0.0
        self._unresponsive = False
        self._crash_reported = False
        self._lost_in_silence: tuple[RunKey, ...] = ()
        """Runs that a crash may have ended, which shows once the upstream replies again."""
        self._full_until_s = 0.0
        self._run_added = anyio.Event()
        self._queue_sender, self._queue_receiver = anyio.create_memory_object_stream[RunKey](
            float("inf")
        )
        self._scope = anyio.CancelScope()

    @property
    def available(self) -> Resources:
        """Return the upstream's free capacity."""
        return self.info.capacity - self.runs.used

    def admits(self, now_s: float) -> bool:
        """Return whether the upstream accepts a new run now."""
        return (
            self.synced
            and not self._unresponsive
            and self.info.state is UpstreamState.READY
            and now_s >= self._full_until_s
            and not self.runs.has_orphans
            and not self.runs.has_exclusive
            and self.health.admits(now_s, len(self.runs))
        )

    @property
    def blocked_until_s(self) -> float:
        """Return when an ejection or a back-off ends, on the monotonic clock in seconds."""
        return max(self._full_until_s, self.health.ejected_until_s)

    def update(self, info: UpstreamInfo) -> None:
        """Set the upstream's newest directory entry."""
        self.info = info
        self._report_availability()

    def _report_availability(self) -> None:
        self._listener.availability_changed(self.info.id)

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
        self._run_added.set()
        self._queue_sender.send_nowait(run.key)

    def stop(self, task: TaskId, number: int) -> None:
        """Stop a run whose result is no longer needed."""
        run = self.runs.find((task, number))
        match run:
            case None | Run(phase=RunPhase.STOPPING):
                pass
            case Run(phase=RunPhase.QUEUED):
                self.runs.remove(run.key)
            case Run():
                self.runs.update(replace(run, phase=RunPhase.STOPPING, confirmed_s=None))
                self._queue_sender.send_nowait(run.key)

    def close(self) -> None:
        """Close the session; its runs end with their lease unless another host extends it."""
        self._scope.cancel()

    def adopt_orphans(self, job: str) -> None:
        """Let the listener adopt the orphaned runs of a job."""
        now_s = time.monotonic()
        for orphan in self.runs.list_orphans():
            if orphan.run.task.job == job and orphan.key not in self.runs:
                self._handle_orphan(orphan.run, now_s)

    @property
    def lease_end_s(self) -> float:
        """Return when every run must have ended unless the lease is extended again."""
        return self._lease_end_s

    async def serve(self) -> None:
        """Extend the lease, poll for ended runs and send commands until the session is closed."""
        with self._scope:
            async with anyio.create_task_group() as group:
                for _ in range(COMMAND_CONNECTIONS):
                    group.start_soon(self._send_commands, self._queue_receiver.clone())
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
        if self.synced and self.runs.is_empty and not self._unresponsive:
            self._run_added = anyio.Event()
            unacknowledged = self._acknowledged > self._acknowledgement_sent
            with anyio.move_on_after(ACKNOWLEDGEMENT_DELAY_S if unacknowledged else None):
                await self._run_added.wait()

    async def _send_hold(self, connection: CommandConnection) -> None:
        sent_s = time.monotonic()
        wait_ms = HOLD_WAIT_MS if self.synced and len(self.runs) else 0
        wait_ms = 0 if self.runs.has_orphans else wait_ms
        acknowledged = self._acknowledged
        hold = Hold(self.fence, acknowledged, wait_ms, self._extend_lease(sent_s))
        try:
            reply = await connection.hold(hold, wait_ms / 1000 + HOLD_TIMEOUT_MARGIN_S)
        except ExchangeError as error:
            self.asked = True
            self._handle_hold_error(error)
            await anyio.sleep(IDLE_RETRY_S if self.synced and self.runs.is_empty else RETRY_S)
            return
        self.asked = True
        match reply:
            case RunReport():
                self._acknowledgement_sent = acknowledged
                self._handle_report(reply, sent_s)
                if self.runs.has_orphans:
                    await anyio.sleep(RETRY_S)
            case Rejected(reason=RejectionReason.FENCE):
                self._supersede()
            case Rejected(reason=reason):
                self._handle_rejection(reason)
                await anyio.sleep(RETRY_S)

    def _extend_lease(self, now_s: float) -> int | None:
        """Return the new end of the lease, or None if it must not be extended.

        It is not extended while the upstream doesn't reply: an unanswered call may have arrived,
        so if each retry extended the lease, its end would never be certain.
        """
        if self._clock is None or self._unresponsive or self.runs.has_orphans:
            # An earlier leader that is cut off restarts the tasks when the lease that it knows ends.
            return None
        self._lease_end_s = now_s + LEASE_MS / 1000 * CLOCK_DRIFT_FACTOR
        return self._clock.estimate_ms(now_s) + LEASE_MS

    def _handle_report(self, report: RunReport, sent_s: float) -> None:
        now_s = time.monotonic()
        if self._unresponsive:
            self._unresponsive = False
            self._report_availability()
        if report.incarnation != self._incarnation:
            self._begin_incarnation(report)
            self._listener.incarnation_reported(self.info.id, report.incarnation)
        elif self._crash_reported:
            self._listener.incarnation_reported(self.info.id, report.incarnation)
        self._crash_reported = False
        self._lost_in_silence = ()
        self._clock = RemoteClock(report.clock_ms, now_s)
        for ended in report.ended:
            self._handle_ended_run(ended, now_s)
        listed = {(run.task, run.number): run for run in report.running}
        self._apply_evidence(RunsListed(listed, sent_s))
        self._update_orphans(listed, now_s)
        if not self.synced:
            self.synced = True
            self._report_availability()
            self._listener.upstream_synced(self.info.id, self._incarnation, len(listed))
        self._end_back_off()
        self._listener.capacity_changed()
        self._report_progress(listed)

    def _end_back_off(self) -> None:
        if self._full_until_s:
            self._full_until_s = 0.0
            self._report_availability()

    def _report_progress(self, listed: Mapping[RunKey, RunningRun]) -> None:
        for key, found in listed.items():
            run = self.runs.find(key)
            if run is not None and run.phase is RunPhase.RUNNING:
                self._listener.run_progressed(self.info.id, run, found.percent)

    def _begin_incarnation(self, report: RunReport) -> None:
        if self._incarnation:
            running = {(run.task, run.number) for run in report.running}
            ended = {(run.task, run.number) for run in report.ended}
            self.report_crash(CrashSign.RESTARTED, started_since=running | ended)
            self._apply_evidence(IncarnationEnded())
            self._replace_health(Health(), "the upstream has restarted")
        self._incarnation = report.incarnation
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self.runs.remove_orphans(orphan.key for orphan in self.runs.list_orphans())

    def _handle_ended_run(self, ended: EndedRun, now_s: float) -> None:
        if ended.sequence <= self._acknowledged:
            return
        self._acknowledged = ended.sequence
        key = (ended.task, ended.number)
        self.runs.remove_orphans((key,))
        run = self.runs.remove(key)
        if run is None:
            self._listener.orphan_ended(self.info.id, ended)
            return
        self._update_health(run, ended.outcome, now_s)
        self._listener.run_ended(self.info.id, run, ended.outcome, now_s - run.placed_s)

    def _update_health(self, run: Run, outcome: RunOutcome, now_s: float) -> None:
        match outcome:
            case RunOutcome.DONE:
                self._replace_health(record_success(self.health), "a run succeeded")
            case RunOutcome.FAILED:
                failed = record_failure(self.health, run.task.job, now_s)
                self._replace_health(failed, "runs failed")
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
        needs = self._listener.orphan_found(self.info.id, found)
        orphan = self.runs.find_orphan(key)
        if needs is not None:
            self._adopt(Run(*key, "", needs, RunPhase.RUNNING, now_s, now_s, now_s, started=True))
        elif orphan is None:
            self.runs.add_orphan(OrphanedRun(found, now_s + ADOPTION_WAIT_S))
            self._run_added.set()
        elif now_s >= orphan.stop_after_s:
            # It stays an orphan, so that its lease isn't extended while the stop may be lost.
            stopping = RunPhase.STOPPING
            self.runs.add(Run(*key, "", Resources(), stopping, now_s, now_s, started=True))
            self._queue_sender.send_nowait(key)

    def _adopt(self, run: Run) -> None:
        self.runs.add(run)
        self.runs.remove_orphans((run.key,))
        self._run_added.set()

    def report_crash(self, sign: CrashSign, started_since: Collection[RunKey] = ()) -> None:
        """Report, once for each crash, the runs that were under way when the upstream crashed.

        Those in ``started_since`` have started after it. An upstream that was draining has left as
        planned, and its end says nothing of its runs.
        """
        if self._crash_reported or self.info.state is UpstreamState.DRAINING:
            return
        self._crash_reported = True
        present = dict.fromkeys((*self.runs.list_started(), *self._lost_in_silence))
        runs = tuple(key for key in present if key not in started_since)
        if runs:
            crashed = UpstreamCrashed(self.info.id, self._incarnation, sign, runs)
            self._listener.upstream_crashed(crashed)

    def _apply_evidence(self, evidence: Evidence) -> None:
        """Remove the runs that aren't alive by this evidence."""
        for run in self.runs.list_runs():
            match judge_run(run, evidence):
                case RunState.MAY_BE_ALIVE:
                    pass
                case RunState.NOT_SENT:
                    self._withdraw(run, None)
                case RunState.LOST:
                    self.runs.remove(run.key)
                    self._listener.run_lost(self.info.id, run)

    def _handle_hold_error(self, error: ExchangeError) -> None:
        """Eject the upstream after a second failure; a single lost reply says little about it.

        Until it replies again, it gets no work and its lease isn't extended.
        """
        if self._unresponsive or not error.may_have_run:
            self._handle_call_error(error)
        else:
            self._set_unresponsive()

    def _handle_call_error(self, error: ExchangeError) -> None:
        self._eject(str(error))
        if error.refused and not self.runs.is_starting:
            # Otherwise the next call to be refused reports it.
            self.report_crash(CrashSign.REFUSED)
        self._set_unresponsive()

    def _set_unresponsive(self) -> None:
        self._unresponsive = True
        self._report_availability()
        if time.monotonic() > self._lease_end_s:
            self._lost_in_silence += self.runs.list_started()
            self._apply_evidence(LeaseExpired())

    def _handle_rejection(self, reason: RejectionReason) -> None:
        self._eject(reason)
        if reason is RejectionReason.OTHER_INCARNATION:
            self.report_crash(CrashSign.REPLACED)
            self._apply_evidence(IncarnationEnded())
            self._clock = None
            self._incarnation = 0
            self.synced = False
            self._report_availability()

    def _supersede(self) -> None:
        """Stop using the upstream: its runs and their ends are another leader's now."""
        self.superseded = True
        self.synced = False
        self._report_availability()
        self._listener.superseded(self.info.id)

    def _eject(self, reason: str) -> None:
        self._replace_health(eject(self.health, time.monotonic()), reason)

    def _replace_health(self, health: Health, reason: str) -> None:
        before = self.health
        self.health = health
        self._report_availability()
        if health.ejected_until_s > before.ejected_until_s:
            self._listener.upstream_ejected(self.info.id, reason, health.failures)

    # Each call of _send_commands runs concurrently with the others and owns one connection.

    async def _send_commands(self, receiver: MemoryObjectReceiveStream[RunKey]) -> None:
        connection = self._connector.open(self.info)
        try:
            async with receiver:
                async for key in receiver:
                    run = self.runs.find(key)
                    if run is not None:
                        await self._send_command(connection, run)
        finally:
            await connection.close()

    async def _send_command(self, connection: CommandConnection, run: Run) -> None:
        match run.phase:
            case RunPhase.QUEUED if self.superseded:
                self._withdraw(run, RejectionReason.FENCE)
            case _ if self.superseded:
                pass
            case RunPhase.QUEUED if not self.synced:
                self._withdraw(run, None)
            case RunPhase.QUEUED:
                await self._check_and_start(connection, run)
            case RunPhase.STOPPING:
                await self._send_stop(connection, run)
            case RunPhase.STARTING | RunPhase.RUNNING:
                pass

    async def _check_and_start(self, connection: CommandConnection, queued: Run) -> None:
        """Send a start that can't reach an unknown incarnation and whose sender still waits.

        The runs, the clock and the capacity that are known are those of one incarnation. Were a
        start carried out by a later one, the end of the earlier one would say nothing of its run.
        """
        is_checked = connection.incarnation == self._incarnation
        if not is_checked:
            is_checked = await self._check_incarnation(connection)
        run = self.runs.find(queued.key)
        if run is None or run.phase is not RunPhase.QUEUED:
            return
        # A pause after this time ends the lease that the start carries, and the upstream refuses it.
        now_s = time.monotonic()
        if is_checked and self._gate.admits(run.requested_s):
            await self._send_start(connection, replace(run, phase=RunPhase.STARTING), now_s)
        else:
            self._withdraw(run, None)

    async def _check_incarnation(self, connection: CommandConnection) -> bool:
        """Return whether the known incarnation replies over a connection."""
        hold = Hold(self.fence, acknowledged=0, wait_ms=0, lease_until_ms=None)
        try:
            reply = await connection.hold(hold, COMMAND_TIMEOUT_S)
        except ExchangeError as error:
            self._handle_call_error(error)
            return False
        match reply:
            case RunReport(incarnation=incarnation):
                if incarnation != self._incarnation:
                    self._request_report()
                return incarnation == self._incarnation
            case Rejected(reason=RejectionReason.FENCE):
                self._supersede()
            case Rejected(reason=reason):
                self._handle_rejection(reason)
        return False

    def _request_report(self) -> None:
        """Give the upstream no work before its next report, which a hold requests now."""
        self.synced = False
        self._report_availability()
        self._run_added.set()

    async def _send_start(self, connection: CommandConnection, run: Run, now_s: float) -> None:
        self.runs.update(run)
        lease_until_ms = self._extend_lease(now_s)
        if lease_until_ms is None:
            self._withdraw(run, None)
            return
        command = Start(run.task, run.number, run.spec, self.fence, lease_until_ms)
        try:
            reply = await connection.start(command, COMMAND_TIMEOUT_S)
        except ExchangeError as error:
            if not error.may_have_run:
                self._withdraw(run, None)
            elif not error.timed_out:
                # The upstream has ended the connection, maybe due to this start.
                self._mark_started(run)
            self._handle_call_error(error)
            self.stop(run.task, run.number)
            return
        match reply:
            case Accepted():
                self._mark_started(run)
                self._confirm(run)
                self._listener.run_accepted(self.info.id, run)
            case Rejected(reason=RejectionReason.FENCE):
                self._supersede()
                self._withdraw(run, RejectionReason.FENCE)
            case Rejected(reason=RejectionReason.NO_CAPACITY):
                self._full_until_s = time.monotonic() + NO_CAPACITY_BACKOFF_S
                self._report_availability()
                self._withdraw(run, RejectionReason.NO_CAPACITY)
            case Rejected(reason=RejectionReason.OLD_RUN | RejectionReason.LATE as reason):
                self._withdraw(run, reason)
            case Rejected(reason=reason):
                self._withdraw(run, reason)
                self._handle_rejection(reason)

    async def _send_stop(self, connection: CommandConnection, run: Run) -> None:
        command = Stop(run.task, run.number, self.fence)
        try:
            reply = await connection.stop(command, COMMAND_TIMEOUT_S)
        except ExchangeError as error:
            self._handle_call_error(error)
            await self._retry_stop(run)
            return
        match reply:
            case Accepted():
                self._confirm(run)
            case Rejected(reason=RejectionReason.FENCE):
                self._supersede()
            case Rejected(reason=RejectionReason.OTHER_INCARNATION as reason):
                self._handle_rejection(reason)
            case Rejected(reason=RejectionReason.UNHEALTHY):
                # An overloaded upstream has not carried the stop out.
                await self._retry_stop(run)
            case Rejected():
                # Other rejections are taken to mean that the upstream has no such run.
                self._confirm(run)

    async def _retry_stop(self, run: Run) -> None:
        await anyio.sleep(RETRY_S)
        if run.key in self.runs:
            self._queue_sender.send_nowait(run.key)

    def _confirm(self, run: Run) -> None:
        current = self.runs.find(run.key)
        if current is None or current.phase is not run.phase:
            return
        phase = RunPhase.RUNNING if run.phase is RunPhase.STARTING else run.phase
        self.runs.update(replace(current, phase=phase, confirmed_s=time.monotonic()))

    def _mark_started(self, run: Run) -> None:
        current = self.runs.find(run.key)
        if current is not None:
            self.runs.update(replace(current, started=True))

    def _withdraw(self, run: Run, reason: RejectionReason | None) -> None:
        if self.runs.remove(run.key) is not None:
            self._listener.run_not_started(self.info.id, run, reason)
