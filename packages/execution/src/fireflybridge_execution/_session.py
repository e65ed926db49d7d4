"""Session with one upstream: its runs, its lease and the connections that carry orders."""

import time
from collections.abc import Iterable, Mapping
from dataclasses import replace

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from fireflybridge_execution._clock import CLOCK_DRIFT, RemoteClock
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._orders import (
    Accepted,
    Hold,
    OrderConnection,
    OrderConnector,
    Rejected,
    Rejection,
    Start,
    Stop,
)
from fireflybridge_execution._run_book import ForeignRun, Phase, Run, RunBook, RunKey
from fireflybridge_execution._run_listener import RunListener
from fireflybridge_http import ExchangeError
from fireflybridge_jobs import (
    EndedRun,
    Ending,
    Resources,
    RunningRun,
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

LEASE_MS = 600  # outlives a missed hold; a silent upstream's tasks start elsewhere after it
HOLD_WAIT_MS = 120  # also the age of what is known of a run's progress
HOLD_SLACK_S = 0.2  # round trip to a loaded upstream
ORDER_TIMEOUT_S = 0.2
RETRY_S = 0.05
ADOPTION_WAIT_S = 0.5  # covers the resubmission of jobs after a change of the leader
NO_ROOM_PAUSE_S = 0.03
ORDER_CONNECTIONS = 3
ACKNOWLEDGEMENT_DELAY_S = 1.0  # the next run mostly comes sooner and carries it


class UpstreamSession:
    """Give orders to one upstream under one fencing token."""

    def __init__(
        self,
        info: UpstreamInfo,
        fence: int,
        connector: OrderConnector,
        listener: RunListener,
        live: LiveRuns,
    ) -> None:
        self.info = info
        self.synced = False
        self.health = Health()
        self.fence = fence
        self._connector = connector
        self._listener = listener
        self.book = RunBook(live)
        self._clock: RemoteClock | None = None
        self._incarnation = 0
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self._lease_end_s = 0.0
        self._silent = False
        self._full_until_s = 0.0
        self._work = anyio.Event()
        self._orders, self._pending = anyio.create_memory_object_stream[RunKey](float("inf"))
        self._scope = anyio.CancelScope()

    @property
    def room(self) -> Resources:
        """Return what is left of the upstream's capacity."""
        return self.info.capacity - self.book.used

    def admits(self, now_s: float) -> bool:
        """Return whether the upstream may get a run now."""
        return (
            self.synced
            and self.info.state is UpstreamState.READY
            and now_s >= self._full_until_s
            and not self.book.has_foreign
            and self.health.admits(now_s, len(self.book))
        )

    def update(self, info: UpstreamInfo) -> None:
        """Take the upstream's newest description."""
        self.info = info

    def start(self, task: TaskId, number: int, spec: str, needs: Resources) -> None:
        """Place a run; the listener hears what becomes of it."""
        run = Run(task, number, spec, needs, Phase.QUEUED, time.monotonic())
        self.book.add(run)
        self._work.set()
        self._orders.send_nowait(run.key)

    def stop(self, task: TaskId, number: int) -> None:
        """Stop a run whose result nobody needs any more."""
        run = self.book.find((task, number))
        match run:
            case None | Run(phase=Phase.STOPPING):
                pass
            case Run(phase=Phase.QUEUED):
                self.book.remove(run.key)
            case Run():
                self.book.update(replace(run, phase=Phase.STOPPING, confirmed_s=None))
                self._orders.send_nowait(run.key)

    def close(self) -> None:
        """End the session; the runs end with their lease unless another host extends it."""
        self._scope.cancel()

    def adopt_runs(self, job: str) -> None:
        """Offer the listener the runs of an earlier leader that belong to a job."""
        now_s = time.monotonic()
        for foreign in self.book.list_foreign():
            if foreign.run.task.job == job:
                self._take_foreign_run(foreign.run, now_s)

    @property
    def lease_end_s(self) -> float:
        """Return when every run has ended unless the lease is extended again."""
        return self._lease_end_s

    async def serve(self) -> None:
        """Hold the lease and send orders until the session is closed."""
        with self._scope:
            async with anyio.create_task_group() as group:
                for _ in range(ORDER_CONNECTIONS):
                    group.start_soon(self._send_orders, self._pending.clone())
                await self._watch()

    # The watch: one connection that holds the lease and waits for ends.

    async def _watch(self) -> None:
        connection = self._connector.open(self.info)
        try:
            while True:
                await self._wait_for_work()
                await self._hold(connection)
        finally:
            await connection.close()

    async def _wait_for_work(self) -> None:
        """Wait for a run; acknowledge the last ends after a while if none comes."""
        if self.synced and self.book.is_empty:
            self._work = anyio.Event()
            pending = self._acknowledged > self._acknowledgement_sent
            with anyio.move_on_after(ACKNOWLEDGEMENT_DELAY_S if pending else None):
                await self._work.wait()

    async def _hold(self, connection: OrderConnection) -> None:
        sent_s = time.monotonic()
        wait_ms = HOLD_WAIT_MS if self.synced and len(self.book) else 0
        wait_ms = 0 if self.book.has_foreign else wait_ms
        acknowledged = self._acknowledged
        hold = Hold(self.fence, acknowledged, wait_ms, self._extend_lease(sent_s))
        try:
            reply = await connection.hold(hold, wait_ms / 1000 + HOLD_SLACK_S)
        except ExchangeError as error:
            self._note_silence(error)
            await anyio.sleep(RETRY_S)
            return
        match reply:
            case RunReport():
                self._acknowledgement_sent = acknowledged
                self._apply(reply, sent_s)
                if self.book.has_foreign:
                    await anyio.sleep(RETRY_S)
            case Rejected(rejection=Rejection.FENCE):
                self._listener.superseded(self.info.id)
                await anyio.sleep(RETRY_S)
            case Rejected(rejection=rejection):
                self._note_refusal(rejection)
                await anyio.sleep(RETRY_S)

    def _extend_lease(self, now_s: float) -> int | None:
        """Return the new end of the lease, or None while the upstream is silent or unknown.

        A call without an answer may have arrived, so a lease that each of them extends would
        never be known to have ended.
        """
        if self._clock is None or self._silent or self.book.has_foreign:
            # An earlier leader that is cut off counts on the end of its runs' lease.
            return None
        self._lease_end_s = now_s + LEASE_MS / 1000 * CLOCK_DRIFT
        return self._clock.estimate_ms(now_s) + LEASE_MS

    def _apply(self, report: RunReport, sent_s: float) -> None:
        now_s = time.monotonic()
        self._silent = False
        if report.incarnation != self._incarnation:
            self._begin_incarnation(report.incarnation)
        self._clock = RemoteClock(report.clock_ms, now_s)
        for ended in report.ended:
            self._take_end(ended, now_s)
        listed = {(run.task, run.number): run for run in report.running}
        self._lose(self.book.select_unlisted(listed, sent_s))
        self._take_foreign(listed, now_s)
        if not self.synced:
            self.synced = True
            self._listener.upstream_synced(self.info.id, self._incarnation, len(listed))
        self._full_until_s = 0.0
        self._listener.room_changed()
        self._report_progress(listed)

    def _report_progress(self, listed: Mapping[RunKey, RunningRun]) -> None:
        for key, found in listed.items():
            run = self.book.find(key)
            if run is not None and run.phase is Phase.RUNNING:
                self._listener.run_progressed(self.info.id, run, found.percent)

    def _begin_incarnation(self, incarnation: int) -> None:
        if self._incarnation:
            self._lose(self.book.list_runs())
            self.health = Health()
        self._incarnation = incarnation
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self.book.drop_foreign(foreign.key for foreign in self.book.list_foreign())

    def _take_end(self, ended: EndedRun, now_s: float) -> None:
        if ended.sequence <= self._acknowledged:
            return
        self._acknowledged = ended.sequence
        key = (ended.task, ended.number)
        self.book.drop_foreign((key,))
        run = self.book.remove(key)
        if run is None:
            self._listener.found_ended(self.info.id, ended)
            return
        self._judge(run, ended.ending, now_s)
        self._listener.run_ended(self.info.id, run, ended.ending, now_s - run.placed_s)

    def _judge(self, run: Run, ending: Ending, now_s: float) -> None:
        match ending:
            case Ending.DONE:
                self.health = record_success(self.health)
            case Ending.FAILED:
                failed = record_failure(self.health, run.task.job, now_s)
                self._replace_health(failed, "runs failed")
            case _:
                pass

    def _take_foreign(self, listed: Mapping[RunKey, RunningRun], now_s: float) -> None:
        for key, found in listed.items():
            if key not in self.book:
                self._take_foreign_run(found, now_s)
        gone = [run.key for run in self.book.list_foreign() if run.key not in listed]
        self.book.drop_foreign(gone)

    def _take_foreign_run(self, found: RunningRun, now_s: float) -> None:
        """Adopt a run of an earlier leader, or stop it if its job has not come for a while."""
        key = (found.task, found.number)
        needs = self._listener.found_running(self.info.id, found)
        foreign = self.book.find_foreign(key)
        if needs is not None:
            self._adopt(Run(*key, "", needs, Phase.RUNNING, now_s, now_s))
        elif foreign is None:
            self.book.add_foreign(ForeignRun(found, now_s + ADOPTION_WAIT_S))
            self._work.set()
        elif now_s >= foreign.stop_s:
            self._adopt(Run(*key, "", Resources(), Phase.STOPPING, now_s))
            self._orders.send_nowait(key)

    def _adopt(self, run: Run) -> None:
        self.book.add(run)
        self.book.drop_foreign((run.key,))
        self._work.set()

    def _lose(self, runs: Iterable[Run]) -> None:
        for run in runs:
            self.book.remove(run.key)
            self._listener.run_lost(self.info.id, run)

    def _note_silence(self, error: ExchangeError) -> None:
        self._silent = True
        self._eject(str(error))
        if time.monotonic() > self._lease_end_s:
            self._lose(self.book.list_runs())

    def _note_refusal(self, rejection: Rejection) -> None:
        self._eject(rejection)
        if rejection is Rejection.OTHER_INCARNATION:
            self._lose(self.book.list_runs())
            self._clock = None
            self._incarnation = 0
            self.synced = False

    def _eject(self, reason: str) -> None:
        self._replace_health(eject(self.health, time.monotonic()), reason)

    def _replace_health(self, health: Health, reason: str) -> None:
        before = self.health
        self.health = health
        if health.ejected_until_s != before.ejected_until_s:
            self._listener.upstream_doubted(self.info.id, reason, health.failures)

    # Orders: each task owns one connection.

    async def _send_orders(self, pending: MemoryObjectReceiveStream[RunKey]) -> None:
        connection = self._connector.open(self.info)
        try:
            async with pending:
                async for key in pending:
                    run = self.book.find(key)
                    if run is not None:
                        await self._send_order(connection, run)
        finally:
            await connection.close()

    async def _send_order(self, connection: OrderConnection, run: Run) -> None:
        match run.phase:
            case Phase.QUEUED:
                await self._send_start(connection, replace(run, phase=Phase.STARTING))
            case Phase.STOPPING:
                await self._send_stop(connection, run)
            case Phase.STARTING | Phase.RUNNING:
                pass

    async def _send_start(self, connection: OrderConnection, run: Run) -> None:
        self.book.update(run)
        lease_until_ms = self._extend_lease(time.monotonic())
        if lease_until_ms is None:
            self._withdraw(run, None)
            return
        order = Start(run.task, run.number, run.spec, self.fence, lease_until_ms)
        try:
            reply = await connection.start(order, ORDER_TIMEOUT_S)
        except ExchangeError as error:
            self._note_silence(error)
            if error.may_have_run:
                self.stop(run.task, run.number)
            else:
                self._withdraw(run, None)
            return
        match reply:
            case Accepted():
                self._confirm(run)
                self._listener.run_accepted(self.info.id, run)
            case Rejected(rejection=Rejection.FENCE):
                self._withdraw(run, Rejection.FENCE)
                self._listener.superseded(self.info.id)
            case Rejected(rejection=Rejection.NO_ROOM):
                self._full_until_s = time.monotonic() + NO_ROOM_PAUSE_S
                self._withdraw(run, Rejection.NO_ROOM)
            case Rejected(rejection=Rejection.OLD_RUN | Rejection.LATE as rejection):
                self._withdraw(run, rejection)
            case Rejected(rejection=rejection):
                self._withdraw(run, rejection)
                self._note_refusal(rejection)

    async def _send_stop(self, connection: OrderConnection, run: Run) -> None:
        order = Stop(run.task, run.number, self.fence)
        try:
            reply = await connection.stop(order, ORDER_TIMEOUT_S)
        except ExchangeError as error:
            self._note_silence(error)
            await anyio.sleep(RETRY_S)
            if run.key in self.book:
                self._orders.send_nowait(run.key)
            return
        match reply:
            case Accepted():
                self._confirm(run)
            case Rejected(rejection=Rejection.FENCE):
                self._listener.superseded(self.info.id)
            case Rejected(rejection=Rejection.OTHER_INCARNATION as rejection):
                self._note_refusal(rejection)
            case Rejected():
                # A stop is refused only for a run that is not there.
                self._confirm(run)

    def _confirm(self, run: Run) -> None:
        current = self.book.find(run.key)
        if current is None or current.phase is not run.phase:
            return
        phase = Phase.RUNNING if run.phase is Phase.STARTING else run.phase
        self.book.update(replace(current, phase=phase, confirmed_s=time.monotonic()))

    def _withdraw(self, run: Run, rejection: Rejection | None) -> None:
        if self.book.remove(run.key) is not None:
            self._listener.run_not_started(self.info.id, run, rejection)
