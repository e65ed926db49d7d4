"""A scheduler that leads the in-memory upstreams of a scenario."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from behave.runner import Context

from fireflybridge_execution import ExecutionEvent, Scheduler
from fireflybridge_jobs import EarlierRuns, Job
from fireflybridge_pauses import PauseMonitor
from support.upstreams import EndlessConnector, make_job, read_once

SINGLE_TASK_JOB = make_job("b", 1)
FENCES = (1000, 2000, 3000)


@asynccontextmanager
async def run_scheduler(
    context: Context,
    fence: int,
    connector: EndlessConnector,
    on_event: Callable[[ExecutionEvent], None] = lambda _event: None,
) -> AsyncIterator[Scheduler]:
    """Run a scheduler that leads the upstreams of the scenario."""
    scheduler = Scheduler(connector, on_event, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": fence})
        scheduler.set_upstreams(read_once(context.infos))
        yield scheduler
        group.cancel_scope.cancel()


async def submit(
    context: Context, scheduler: Scheduler, job: Job, earlier: EarlierRuns | None
) -> None:
    context.answer = await scheduler.submit(job, 0.0, earlier)
