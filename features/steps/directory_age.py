"""Steps on starts by entries of the directory that may have changed since they were read."""

import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context
from support.upstreams import EndlessConnector, describe_upstreams, make_job, wait_until

from fireflybridge_execution import (
    DirectoryView,
    ExecutionEvent,
    Scheduler,
    TasksPlaced,
    UpstreamDirectory,
)
from fireflybridge_jobs import UpstreamInfo, UpstreamState
from fireflybridge_leadership import StoreError
from fireflybridge_pauses import PauseMonitor

_job = make_job("a", 1)
# Its objective is so late that it isn't refused while a read is held back.
JOB = replace(_job, policy=replace(_job.policy, target_latency_ms=30000))
DRAINED_S = 2.1
HELD_BACK_S = 0.3


@dataclass(slots=True)
class DirectoryHost:
    """A scheduler and its directory, whose reads a test holds back."""

    infos: dict[str, UpstreamInfo]
    connector: EndlessConnector = field(default_factory=EndlessConnector)
    held_back: bool = False
    fails: bool = False
    reads: int = 0
    makes_outdated: bool = False
    """Whether each placement is followed by a view that is too old."""
    scheduler: Scheduler = field(init=False)
    directory: UpstreamDirectory = field(init=False)

    async def refresh(self) -> Mapping[str, UpstreamInfo]:
        """Return the entries once the test lets the read return."""
        while self.held_back:
            await anyio.sleep(0.01)
        if self.fails:
            raise StoreError("the store is silent")
        self.reads += 1
        return dict(self.infos)

    @asynccontextmanager
    async def run(self) -> AsyncIterator["DirectoryHost"]:
        """Run the host, which has read the directory, until the context ends."""
        self.scheduler = Scheduler(self.connector, self._handle_event, lambda: None, PauseMonitor())
        self.directory = UpstreamDirectory(self, self.scheduler.set_upstreams, lambda _error: None)
        async with anyio.create_task_group() as group:
            group.start_soon(self.scheduler.serve)
            group.start_soon(self.directory.follow)
            await wait_until(lambda: self.reads)
            yield self
            group.cancel_scope.cancel()

    async def lead(self) -> None:
        """Begin to lead, and wait until the upstreams have replied."""
        self.directory.set_leading(True)
        self.scheduler.lead({"z1": 1000})
        await wait_until(
            lambda: len([s for s in self.scheduler._sessions if s.synced]) == len(self.infos)
        )

    @property
    def starts(self) -> dict[str, int]:
        """Return how many runs each upstream was told to start."""
        return {name: upstream.starts for name, upstream in self.connector.upstreams.items()}

    def _handle_event(self, event: ExecutionEvent) -> None:
        if isinstance(event, TasksPlaced) and self.makes_outdated:
            self.scheduler._gate.view = DirectoryView(self.infos, time.monotonic() - DRAINED_S)


@given("a host that has read the directory of {count:d} upstreams and doesn't lead")
@given("a host that has read the directory of {count:d} upstreams and leads")
def given_host(context: Context, count: int) -> None:
    context.host = DirectoryHost(describe_upstreams(count))


async def submit_around_read(context: Context, group: TaskGroup) -> None:
    """Submit a job while a read is held back, and let the read return after a while."""
    host: DirectoryHost = context.host
    group.start_soon(host.scheduler.submit, JOB, 0.0, None)
    await anyio.sleep(HELD_BACK_S)
    context.early_starts = host.starts
    host.makes_outdated = False
    host.held_back = False
    await wait_until(lambda: sum(host.starts.values()))
    context.starts = host.starts
    group.cancel_scope.cancel()


@when(
    "one of them drains, and {drained_s:g} s later the host begins to lead while its next read is"
    " held back"
)
def lead_after_drain(context: Context, drained_s: float) -> None:
    async def run() -> None:
        host: DirectoryHost = context.host
        async with host.run(), anyio.create_task_group() as group:
            draining = replace(host.infos["u0"], state=UpstreamState.DRAINING)
            host.infos["u0"] = draining
            await anyio.sleep(drained_s)
            host.held_back = True
            await host.lead()
            await submit_around_read(context, group)

    anyio.run(run)


@then("its upstreams have replied, but nothing is started before that read returns")
@then("nothing is started before that read returns")
@then("nothing is started before the next read returns")
def check_no_early_start(context: Context) -> None:
    assert not any(context.early_starts.values()), context.early_starts
    assert sum(context.starts.values()) == 1, context.starts


@then("the job runs on the other upstream then")
def check_other(context: Context) -> None:
    assert context.starts == {"u0": 0, "u1": 1}, context.starts


@when("{later_s:g} s later the host begins to lead while its next read {event}")
def lead_without_store(context: Context, later_s: float, event: str) -> None:
    async def run() -> None:
        host: DirectoryHost = context.host
        async with host.run(), anyio.create_task_group() as group:
            await anyio.sleep(later_s)
            host.fails = event == "fails"
            host.held_back = not host.fails
            if host.held_back:
                host.directory.note_silence()
            await host.lead()
            started_s = time.monotonic()
            group.start_soon(host.scheduler.submit, JOB, 0.0, None)
            await wait_until(lambda: sum(host.starts.values()))
            context.waited_s = time.monotonic() - started_s
            group.cancel_scope.cancel()

    anyio.run(run)


@then("its job is started within {limit_s:g} s")
def check_started(context: Context, limit_s: float) -> None:
    assert context.waited_s <= limit_s, context.waited_s


@when("the next read is held back for longer than an upstream has to stay, and a job comes then")
def submit_during_read(context: Context) -> None:
    async def run() -> None:
        host: DirectoryHost = context.host
        async with host.run(), anyio.create_task_group() as group:
            await host.lead()
            host.held_back = True
            await anyio.sleep(DRAINED_S)
            await submit_around_read(context, group)

    anyio.run(run)


@when("the entries become too old between the placement of a job and its start")
def submit_before_change(context: Context) -> None:
    async def run() -> None:
        host: DirectoryHost = context.host
        async with host.run(), anyio.create_task_group() as group:
            await host.lead()
            host.held_back = True
            host.makes_outdated = True
            await submit_around_read(context, group)

    anyio.run(run)
