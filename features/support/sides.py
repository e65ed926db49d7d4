"""Leaders whose views of the directory a test controls, and upstreams that it cuts off."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup
from behave.runner import Context

from fireflybridge_execution import DirectoryView, Hold, Rejected, RejectionReason, Scheduler
from fireflybridge_jobs import EarlierRuns, RunReport, UpstreamInfo
from fireflybridge_pauses import PauseMonitor
from support.leased_upstreams import LeasedConnection, LeasedNetwork, LeasedUpstream, find_overlaps
from support.upstreams import CrashingUpstream, EndlessConnector, describe_upstreams, make_job

BASE = make_job("a", 1)
JOB = replace(BASE, steps=tuple(replace(s, estimate_ms=10000.0) for s in BASE.steps))
REPORT_S = 0.4


class Side:
    """A leader with a directory of its own, read every 0.4 s as in the product."""

    def __init__(self, network: object) -> None:
        self.events: list[object] = []
        self.network = network
        self.infos: dict[str, UpstreamInfo] = {}
        self.reporting: set[str] = set()
        self.reads = True
        self._revision = 0
        self.answers: list[object] = []
        self.scheduler = Scheduler(
            network, self.events.append, lambda: None, PauseMonitor()  # type: ignore[arg-type]
        )

    def read(self) -> None:
        """Read the directory now; upstreams that report themselves have a new revision."""
        self._revision += 1
        for name in self.reporting & self.infos.keys():
            if hasattr(self.infos[name], "revision"):  # the code before the change has none
                self.infos[name] = replace(self.infos[name], revision=self._revision)
        self.scheduler.set_upstreams(
            DirectoryView(dict(self.infos), time.monotonic(), store_answers=self.reads)
        )

    async def follow(self, report_s: float = 0.0, read_s: float = REPORT_S) -> None:
        """Read the directory until cancelled; upstreams report themselves at an interval."""
        names, began_s, last = self.reporting, time.monotonic(), -1
        try:
            while True:
                reports = int((time.monotonic() - began_s) / report_s) if report_s else last + 1
                self.reporting = names if reports != last else set()
                last = reports
                self.read()
                await anyio.sleep(read_s)
        finally:
            self.reporting = names

    async def submit(self, job: object = JOB, earlier: EarlierRuns | None = None) -> None:
        """Submit a job, and keep its answer."""
        self.answers.append(await self.scheduler.submit(job, 0.0, earlier))  # type: ignore[arg-type]


class RestartingUpstream(LeasedUpstream):
    """A leased upstream that can restart: it forgets its token and its runs."""

    incarnation = 1

    def restart(self) -> None:
        """Start anew."""
        for span in self.alive:
            self.spans[self.spans.index(span)] = replace(span, ended_s=time.monotonic())
        self.fence, self.incarnation = 0, 2
        self._ended, self._highest_ended, self._lease_end_s = [], {}, 0.0

    async def hold(self, command: Hold) -> object:  # type: ignore[override]
        """Report the incarnation with the lists."""
        reply = await super().hold(command)
        return (
            reply if isinstance(reply, Rejected) else replace(reply, incarnation=self.incarnation)
        )


class RestartNetwork(LeasedNetwork):
    """Connections that lead to the incarnation of an entry."""

    def open(self, upstream: UpstreamInfo) -> LeasedConnection:
        """Return a connection to an upstream's incarnation."""
        connection = super().open(upstream)
        connection.incarnation = upstream.incarnation or 1
        return connection


def play_two(
    context: Context,
    play: Callable[[Context, Side, Side, TaskGroup], Awaitable[None]],
    kind: type[LeasedUpstream] = LeasedUpstream,
) -> None:
    """Let the first leader run the job on u0, of which the second one gets no reply."""

    async def run() -> None:
        context.ups = {name: kind(name) for name in ("u0", "u1")}
        first = Side(RestartNetwork("first", context.ups))
        second = Side(RestartNetwork("second", context.ups))
        infos = describe_upstreams(2)
        first.infos = {"u0": infos["u0"]}
        second.infos = dict(infos)
        second.network.cut.add("u0")
        async with anyio.create_task_group() as group:
            for side in (first, second):
                group.start_soon(side.scheduler.serve)
            await play(context, first, second, group)
            group.cancel_scope.cancel()
        context.overlaps = find_overlaps(context.ups.values())
        context.spans = [span for up in context.ups.values() for span in up.spans]

    anyio.run(run)


async def run_first(context: Context, first: Side, group: TaskGroup) -> None:
    """Start the job's run under the first leader, which goes on until the end."""
    first.scheduler.lead({"z1": 1000})
    first.read()
    first.reads = False
    group.start_soon(first.follow)
    group.start_soon(first.submit)
    with anyio.fail_after(3):
        while not context.ups["u0"].alive:
            await anyio.sleep(0.01)


def play_one(
    context: Context,
    count: int,
    play: Callable[[Context, Side, dict[str, CrashingUpstream], TaskGroup], Awaitable[None]],
) -> None:
    async def run() -> None:
        connector = EndlessConnector()
        side = Side(connector)
        side.infos = describe_upstreams(count)
        for name in side.infos:
            connector.upstreams[name] = CrashingUpstream()
        async with anyio.create_task_group() as group:
            group.start_soon(side.scheduler.serve)
            await play(context, side, connector.upstreams, group)  # type: ignore[arg-type]
            group.cancel_scope.cancel()

    anyio.run(run)


async def observe(context: Context, side: Side, ups: dict[str, CrashingUpstream]) -> None:
    """Submit the job, while the directory is read, and wait 1 s for its start on u0."""
    async with anyio.create_task_group() as group:
        group.start_soon(side.follow)
        group.start_soon(side.submit)
        await anyio.sleep(1.0)
        context.starts, context.answers = ups["u0"].starts, side.answers
        group.cancel_scope.cancel()


class AwaitedUpstream(CrashingUpstream):
    """An upstream whose first hold is answered when a test says so."""

    def __init__(self, answer: object) -> None:
        super().__init__()
        self.answer = answer
        self.go = anyio.Event()
        self.asked = 0

    async def hold(self, command: Hold, timeout_s: float) -> object:  # type: ignore[override]
        """Answer the first hold late, refuse nothing afterwards, and be slow for the second one."""
        self.asked += 1
        if self.asked == 1:
            await self.go.wait()
            if self.answer is not None:
                return self.answer
            return RunReport(1000.0, 1, (), ())
        if self.answer is None:
            await anyio.sleep(60)
        return await super().hold(command, timeout_s)


async def answer_as_term_changes(context, side, ups, answer) -> None:  # type: ignore[no-untyped-def]
    u1 = side.network.upstreams["u1"] = AwaitedUpstream(answer)
    side.reporting = {"u0", "u1"}
    side.scheduler.lead({"z1": 1000})
    side.read()
    await anyio.sleep(0.1)
    assert u1.asked == 1
    u1.go.set()
    side.scheduler.lead({"z1": 2000})
    side.read()
    await anyio.sleep(0.1)


class RefusingUpstream(CrashingUpstream):
    """An upstream that has seen a higher token."""

    async def hold(self, command: Hold, timeout_s: float) -> object:  # type: ignore[override]
        """Refuse the token."""
        await anyio.sleep(0.005)
        return Rejected(RejectionReason.FENCE)
