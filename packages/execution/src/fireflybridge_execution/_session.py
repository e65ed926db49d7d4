"""Session with one upstream: its runs, its lease and the connections that carry orders."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import Protocol

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
    record_failure,
    record_refusal,
    record_silence,
    record_success,
)

LEASE_MS = 800  # outlives three missed holds; ends before a caller sends a lost job again
HOLD_WAIT_MS = 120  # also the age of what is known of a run's progress
HOLD_SLACK_S = 0.2  # round trip to a loaded upstream
ORDER_TIMEOUT_S = 0.2
RETRY_S = 0.05
ADOPTION_WAIT_S = 0.5  # covers the resubmission of jobs after a change of the leader
NO_ROOM_PAUSE_S = 0.03
ORDER_CONNECTIONS = 3
ACKNOWLEDGEMENT_DELAY_S = 1.0  # the next run mostly comes sooner and carries it

RunKey = tuple[TaskId, int]


class Phase(Enum):
    """Name how far a run has come, as far as this host knows."""

    QUEUED = auto()
    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()
    """A stop is on its way or was acknowledged; the end has not been listed yet."""


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one run of a task on this upstream; ``confirmed_s`` is when it was acknowledged."""

    task: TaskId
    number: int
    spec: str
    needs: Resources
    phase: Phase
    placed_s: float
    confirmed_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Foreign:
    """Hold a run of an earlier leader, and when it is stopped unless its job comes again."""

    run: RunningRun
    stop_s: float


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
        self._live = live
        self._runs: dict[RunKey, Run] = {}
        self._foreign: dict[RunKey, _Foreign] = {}
        self._used = Resources()
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
        return self.info.capacity - self._used

    @property
    def run_count(self) -> int:
        """Return how many runs may be alive."""
        return len(self._runs) + len(self._foreign)

    def __contains__(self, key: RunKey) -> bool:
        """Return whether a run may be alive here."""
        return key in self._runs

    def admits(self, now_s: float) -> bool:
        """Return whether the upstream may get a run now."""
        return (
            self.synced
            and self.info.state is UpstreamState.READY
            and now_s >= self._full_until_s
            and not self._foreign
            and self.health.admits(now_s, len(self._runs))
        )

    def update(self, info: UpstreamInfo) -> None:
        """Take the upstream's newest description."""
        self.info = info

    def start(self, task: TaskId, number: int, spec: str, needs: Resources) -> None:
        """Place a run; the listener hears what becomes of it."""
        run = Run(task, number, spec, needs, Phase.QUEUED, time.monotonic())
        self._add(run)
        self._orders.send_nowait((task, number))

    def stop(self, task: TaskId, number: int) -> None:
        """Stop a run whose result nobody needs any more."""
        run = self._runs.get((task, number))
        match run:
            case None | Run(phase=Phase.STOPPING):
                pass
            case Run(phase=Phase.QUEUED):
                self._remove((task, number))
            case Run():
                self._runs[task, number] = replace(run, phase=Phase.STOPPING, confirmed_s=None)
                self._orders.send_nowait((task, number))

    def close(self) -> None:
        """End the session; the runs end with their lease unless another host extends it."""
        self._scope.cancel()

    def forget_runs(self) -> tuple[Run, ...]:
        """Return the runs of a closed session once their lease has ended, and drop them."""
        runs = self.collect_live()
        for run in runs:
            self._remove((run.task, run.number))
        self._drop_foreign(tuple(self._foreign))
        return runs

    def adopt_runs(self, job: str) -> None:
        """Offer the listener the runs of an earlier leader that belong to a job."""
        now_s = time.monotonic()
        for key, foreign in list(self._foreign.items()):
            if key[0].job == job:
                self._take_foreign_run(key, foreign.run, now_s)

    def collect_live(self) -> tuple[Run, ...]:
        """Return the runs that may be alive."""
        return tuple(self._runs.values())

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
        if self.synced and not self._runs and not self._foreign:
            self._work = anyio.Event()
            pending = self._acknowledged > self._acknowledgement_sent
            with anyio.move_on_after(ACKNOWLEDGEMENT_DELAY_S if pending else None):
                await self._work.wait()

    async def _hold(self, connection: OrderConnection) -> None:
        sent_s = time.monotonic()
        wait_ms = HOLD_WAIT_MS if self.synced and not self._foreign else 0
        wait_ms = wait_ms if self._runs else 0
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
                if self._foreign:
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
        if self._clock is None or self._silent:
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
        self._drop_unlisted(listed, sent_s)
        self._take_foreign(listed, now_s)
        if not self.synced:
            self.synced = True
            self._listener.upstream_synced(self.info.id, self._incarnation, len(listed))
        self._full_until_s = 0.0
        self._listener.room_changed()
        self._report_progress(listed)

    def _report_progress(self, listed: dict[RunKey, RunningRun]) -> None:
        for key, found in listed.items():
            run = self._runs.get(key)
            if run is not None and run.phase is Phase.RUNNING:
                self._listener.run_progressed(self.info.id, run, found.percent)

    def _begin_incarnation(self, incarnation: int) -> None:
        if self._incarnation:
            self._lose(self.collect_live())
            self.health = Health()
        self._incarnation = incarnation
        self._acknowledged = 0
        self._acknowledgement_sent = 0
        self._drop_foreign(tuple(self._foreign))

    def _take_end(self, ended: EndedRun, now_s: float) -> None:
        if ended.sequence <= self._acknowledged:
            return
        self._acknowledged = ended.sequence
        self._drop_foreign(((ended.task, ended.number),))
        run = self._remove((ended.task, ended.number))
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
                before = self.health
                self.health = record_failure(self.health, run.task.job, now_s)
                self._report_ejection(before, "runs failed")
            case _:
                pass

    def _drop_unlisted(self, listed: dict[RunKey, RunningRun], sent_s: float) -> None:
        # A run acknowledged before the hold was sent and listed nowhere is no longer alive.
        lost = [
            run
            for key, run in self._runs.items()
            if run.confirmed_s is not None and run.confirmed_s < sent_s and key not in listed
        ]
        self._lose(lost)

    def _take_foreign(self, listed: dict[RunKey, RunningRun], now_s: float) -> None:
        for key, found in listed.items():
            if key not in self._runs:
                self._take_foreign_run(key, found, now_s)
        self._drop_foreign(tuple(key for key in self._foreign if key not in listed))

    def _take_foreign_run(self, key: RunKey, found: RunningRun, now_s: float) -> None:
        needs = self._listener.found_running(self.info.id, found)
        foreign = self._foreign.get(key)
        if needs is not None:
            self._drop_foreign((key,))
            self._add(Run(*key, "", needs, Phase.RUNNING, now_s, now_s))
        elif foreign is None:
            self._foreign[key] = _Foreign(found, now_s + ADOPTION_WAIT_S)
            self._live.add(key[0])
        elif now_s >= foreign.stop_s:
            self._add(Run(*key, "", Resources(), Phase.STOPPING, now_s))
            self._drop_foreign((key,))
            self._orders.send_nowait(key)

    def _drop_foreign(self, keys: Iterable[RunKey]) -> None:
        for key in keys:
            if self._foreign.pop(key, None) is not None:
                self._live.remove(key[0])

    def _lose(self, runs: Iterable[Run]) -> None:
        for run in runs:
            self._remove((run.task, run.number))
            self._listener.run_lost(self.info.id, run)

    def _note_silence(self, error: ExchangeError) -> None:
        now_s = time.monotonic()
        self._silent = True
        before = self.health
        self.health = record_silence(self.health, now_s)
        self._report_ejection(before, str(error))
        if now_s > self._lease_end_s:
            self._lose(self.collect_live())

    def _note_refusal(self, rejection: Rejection) -> None:
        before = self.health
        self.health = record_refusal(self.health, time.monotonic())
        self._report_ejection(before, rejection)
        if rejection is Rejection.OTHER_INCARNATION:
            self._lose(self.collect_live())
            self._clock = None
            self._incarnation = 0
            self.synced = False

    def _report_ejection(self, before: Health, reason: str) -> None:
        if self.health.ejected_until_s != before.ejected_until_s:
            self._listener.upstream_doubted(self.info.id, reason, self.health.failures)

    # Orders: each task owns one connection.

    async def _send_orders(self, pending: MemoryObjectReceiveStream[RunKey]) -> None:
        connection = self._connector.open(self.info)
        try:
            async with pending:
                async for key in pending:
                    run = self._runs.get(key)
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
        self._runs[run.task, run.number] = run
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
            if (run.task, run.number) in self._runs:
                self._orders.send_nowait((run.task, run.number))
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
        key = (run.task, run.number)
        current = self._runs.get(key)
        if current is None or current.phase is not run.phase:
            return
        phase = Phase.RUNNING if run.phase is Phase.STARTING else run.phase
        self._runs[key] = replace(current, phase=phase, confirmed_s=time.monotonic())

    def _withdraw(self, run: Run, rejection: Rejection | None) -> None:
        if self._remove((run.task, run.number)) is not None:
            self._listener.run_not_started(self.info.id, run, rejection)

    def _add(self, run: Run) -> None:
        self._runs[run.task, run.number] = run
        self._used = self._used + run.needs
        self._live.add(run.task)
        self._work.set()

    def _remove(self, key: RunKey) -> Run | None:
        run = self._runs.pop(key, None)
        if run is not None:
            self._used = self._used - run.needs
            self._live.remove(run.task)
        return run
