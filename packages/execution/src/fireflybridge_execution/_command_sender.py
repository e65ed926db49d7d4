"""Sending of starts and stops to one upstream."""

import time
from dataclasses import replace

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

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
from fireflybridge_execution._run_registry import Run, RunKey, RunPhase
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_execution._upstream_link import UpstreamLink
from fireflybridge_http import ExchangeError
from fireflybridge_jobs import RunReport, TaskId

COMMAND_TIMEOUT_S = 0.2
COMMAND_CONNECTIONS = 3
STOP_RETRY_S = 0.05


class CommandSender:
    """Send the commands of runs in the order in which they are queued, over a few connections."""

    def __init__(self, link: UpstreamLink, connector: CommandConnector, gate: StartGate) -> None:
        self._link = link
        self._connector = connector
        self._gate = gate
        self._queue_sender, self._queue_receiver = anyio.create_memory_object_stream[RunKey](
            float("inf")
        )

    def queue(self, key: RunKey) -> None:
        """Send the command that the phase of a run asks for."""
        self._queue_sender.send_nowait(key)

    def stop(self, task: TaskId, number: int) -> None:
        """Stop a run whose result is no longer needed."""
        run = self._link.runs.find((task, number))
        match run:
            case None | Run(phase=RunPhase.STOPPING):
                pass
            case Run(phase=RunPhase.QUEUED):
                self._link.runs.remove(run.key)
            case Run():
                stopping = replace(
                    run, phase=RunPhase.STOPPING, confirmed_s=None, stopped_s=time.monotonic()
                )
                self._link.runs.update(stopping)
                self.queue(run.key)

    async def serve(self) -> None:
        """Send commands until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(COMMAND_CONNECTIONS):
                group.start_soon(self._send_commands, self._queue_receiver.clone())

    # Each call of _send_commands runs concurrently with the others and owns one connection.

    async def _send_commands(self, receiver: MemoryObjectReceiveStream[RunKey]) -> None:
        connection = self._connector.open(self._link.info)
        try:
            async with receiver:
                async for key in receiver:
                    run = self._link.runs.find(key)
                    if run is not None:
                        await self._send_command(connection, run)
        finally:
            await connection.close()

    async def _send_command(self, connection: CommandConnection, run: Run) -> None:
        match run.phase:
            case RunPhase.QUEUED if self._link.superseded:
                self._link.withdraw(run, RejectionReason.FENCE)
            case _ if self._link.superseded:
                pass
            case RunPhase.QUEUED if not self._link.synced:
                self._link.withdraw(run, None)
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
        is_checked = connection.incarnation == self._link.incarnation
        if not is_checked:
            is_checked = await self._check_incarnation(connection)
        run = self._link.runs.find(queued.key)
        if run is None or run.phase is not RunPhase.QUEUED:
            return
        # A pause after this time ends the lease that the start carries, and the upstream refuses it.
        now_s = time.monotonic()
        if is_checked and self._gate.admits(run.task.job, run.requested_s):
            await self._send_start(connection, replace(run, phase=RunPhase.STARTING), now_s)
        else:
            self._link.withdraw(run, None)

    async def _check_incarnation(self, connection: CommandConnection) -> bool:
        """Return whether the known incarnation replies over a connection."""
        hold = Hold(self._link.fence, acknowledged=0, wait_ms=0, lease_until_ms=None)
        try:
            reply = await connection.hold(hold, COMMAND_TIMEOUT_S)
        except ExchangeError as error:
            self._link.handle_call_error(error)
            return False
        match reply:
            case RunReport(incarnation=incarnation):
                if incarnation != self._link.incarnation:
                    self._link.request_report()
                return incarnation == self._link.incarnation
            case Rejected(reason=RejectionReason.FENCE):
                self._link.supersede()
            case Rejected(reason=reason):
                self._link.handle_rejection(reason)
        return False

    async def _send_start(self, connection: CommandConnection, run: Run, now_s: float) -> None:
        self._link.runs.update(run)
        lease_until_ms = self._link.extend_lease(now_s)
        if lease_until_ms is None:
            self._link.withdraw(run, None)
            return
        command = Start(run.task, run.number, run.spec, self._link.fence, lease_until_ms)
        try:
            reply = await connection.start(command, COMMAND_TIMEOUT_S)
        except ExchangeError as error:
            if not error.may_have_run:
                self._link.withdraw(run, None)
            elif not error.timed_out:
                # The upstream has ended the connection, maybe due to this start.
                self._mark_started(run)
            self._link.handle_call_error(error)
            self.stop(run.task, run.number)
            return
        match reply:
            case Accepted():
                self._mark_started(run)
                self._confirm(run)
                self._link.listener.run_accepted(self._link.info.id, run)
            case Rejected(reason=RejectionReason.FENCE):
                self._link.supersede()
                self._link.withdraw(run, RejectionReason.FENCE)
            case Rejected(reason=RejectionReason.NO_CAPACITY):
                self._link.back_off()
                self._link.withdraw(run, RejectionReason.NO_CAPACITY)
            case Rejected(reason=RejectionReason.OLD_RUN | RejectionReason.LATE as reason):
                self._link.withdraw(run, reason)
            case Rejected(reason=reason):
                self._link.withdraw(run, reason)
                self._link.handle_rejection(reason)

    async def _send_stop(self, connection: CommandConnection, run: Run) -> None:
        command = Stop(run.task, run.number, self._link.fence)
        try:
            reply = await connection.stop(command, COMMAND_TIMEOUT_S)
        except ExchangeError as error:
            self._link.handle_call_error(error)
            await self._retry_stop(run)
            return
        match reply:
            case Accepted():
                self._confirm(run)
            case Rejected(reason=RejectionReason.FENCE):
                self._link.supersede()
            case Rejected(reason=RejectionReason.OTHER_INCARNATION as reason):
                self._link.handle_rejection(reason)
            case Rejected(reason=RejectionReason.UNHEALTHY):
                # An overloaded upstream has not carried the stop out.
                await self._retry_stop(run)
            case Rejected():
                # Other rejections are taken to mean that the upstream has no such run.
                self._confirm(run)

    async def _retry_stop(self, run: Run) -> None:
        await anyio.sleep(STOP_RETRY_S)
        if run.key in self._link.runs:
            self.queue(run.key)

    def _confirm(self, run: Run) -> None:
        current = self._link.runs.find(run.key)
        if current is None or current.phase is not run.phase:
            return
        phase = RunPhase.RUNNING if run.phase is RunPhase.STARTING else run.phase
        self._link.runs.update(replace(current, phase=phase, confirmed_s=time.monotonic()))

    def _mark_started(self, run: Run) -> None:
        current = self._link.runs.find(run.key)
        if current is not None:
            self._link.runs.update(replace(current, started=True))
