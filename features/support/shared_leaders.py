"""Two leaders that share in-memory upstreams with leases and fencing tokens."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup
from behave.runner import Context

from fireflybridge_execution import Scheduler
from fireflybridge_jobs import Answer, EarlierRuns, Job, JobSender, UpstreamInfo
from fireflybridge_pauses import PauseMonitor
from support.leased_upstreams import LeasedNetwork, find_overlaps, list_spans
from support.upstreams import read_once, wait_until


class Leader:
    """A scheduler with its own connections to the shared upstreams."""

    def __init__(self, context: Context, name: str) -> None:
        self.network = LeasedNetwork(name, context.upstreams)
        self.pauses = PauseMonitor()
        self.answers: list[Answer] = []
        self.answered_s: list[float] = []
        self.scheduler = Scheduler(self.network, lambda _event: None, lambda: None, self.pauses)

    def see(self, infos: dict[str, UpstreamInfo], *names: str) -> None:
        """Read a directory that holds the named upstreams only."""
        self.scheduler.set_upstreams(read_once({name: infos[name] for name in names}))

    async def submit(self, job: Job, earlier: EarlierRuns | None = None) -> None:
        """Submit a job, and keep its answer."""
        self.answers.append(await self.scheduler.submit(job, 0.0, earlier))
        self.answered_s.append(time.monotonic())

    async def submit_new(self, job: Job) -> None:
        """Submit a job that its caller has sent just now for the first time."""
        sender = JobSender(max_age_s=0.0)
        self.answers.append(await self.scheduler.submit(job, 0.0, None, sender))
        self.answered_s.append(time.monotonic())

    @property
    def has_listed(self) -> set[str]:
        """Return the upstreams that have listed their runs."""
        return {session.info.id for session in self.scheduler._sessions if session.synced}


@asynccontextmanager
async def run_leaders(context: Context) -> AsyncIterator[tuple[Leader, Leader, TaskGroup]]:
    """Run two schedulers that lead nothing yet."""
    first, second = Leader(context, "first"), Leader(context, "second")
    async with anyio.create_task_group() as group:
        group.start_soon(first.scheduler.serve)
        group.start_soon(second.scheduler.serve)
        yield first, second, group
        context.overlaps = find_overlaps(context.upstreams.values())
        context.spans = list_spans(tuple(context.upstreams.values()))
        group.cancel_scope.cancel()


async def start_on(
    context: Context, leader: Leader, group: TaskGroup, upstream: str, job: Job
) -> anyio.CancelScope:
    """Let a leader that sees one upstream start a job there; return the scope of its caller."""
    leader.see(context.infos, upstream)
    scope = anyio.CancelScope()

    async def submit() -> None:
        with scope:
            await leader.submit(job)

    group.start_soon(submit)
    await wait_until(lambda: has_run(context, upstream, job))
    return scope


def has_run(context: Context, upstream: str, job: Job) -> bool:
    return any(span.task.job == job.id for span in context.upstreams[upstream].alive)


def run_steps(
    context: Context,
    play: Callable[[Context, Leader, Leader, TaskGroup], Awaitable[None]],
) -> None:
    """Run a play of two leaders."""

    async def run() -> None:
        async with run_leaders(context) as (first, second, group):
            await play(context, first, second, group)

    anyio.run(run)
