"""Steps on runs of earlier leaders that a leader doesn't know of, or knows from one list only."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import count

import anyio
from behave import given, then, when
from behave.runner import Context
from support.upstreams import (
    CrashingUpstream,
    EndlessConnector,
    describe_upstreams,
    make_job,
    read_once,
    wait_until,
)

from fireflybridge_execution import Accepted, DirectoryView, Hold, Scheduler, Stop
from fireflybridge_http import ExchangeError, ExchangeStep
from fireflybridge_jobs import Answer, NotRun, RunningRun, RunReport, Succeeded, TaskId
from fireflybridge_pauses import PauseMonitor

JOB = make_job("a", 1)
TASK = TaskId(JOB.id, 0, 0, 0)
FENCE = 2000
LEASE_S = 0.6
"""How long an earlier leader's lease may last."""
UNKNOWN_RUN_LIFETIME_S = 2.0
OBSERVED_S = 1.0
STOPPED_S = 0.9
MAX_LIST_WAIT_S = 5.0
REPORT_INTERVAL_S = 0.5


class RecordingUpstream(CrashingUpstream):
    """An upstream that notes when it first lists its runs and starts one, and may lose stops."""

    def __init__(self) -> None:
        super().__init__()
        self.listed_s: float | None = None
        self.started_s: float | None = None
        self.loses_stops = False
        self.extended_s: list[float] = []
        """When holds that extend the lease have come."""

    async def start(self, command: object, timeout_s: float) -> Accepted:
        """Start a run."""
        self.started_s = time.monotonic()
        return await super().start(command, timeout_s)  # type: ignore[arg-type]

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Stop nothing, or lose the call."""
        if self.loses_stops:
            raise ExchangeError(ExchangeStep.RECEIVE, "u0", "timed out")
        return await super().stop(command, timeout_s)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the lists of runs."""
        if command.lease_until_ms is not None:
            self.extended_s.append(time.monotonic())
        report = await super().hold(command, timeout_s)
        if self.listed_s is None:
            self.listed_s = time.monotonic()
        return report


def make_upstreams(context: Context) -> None:
    context.connector = EndlessConnector()
    context.infos = describe_upstreams(2)
    for name in context.infos:
        context.connector.upstreams[name] = RecordingUpstream()
    context.u0 = context.connector.upstreams["u0"]
    context.u1 = context.connector.upstreams["u1"]
    context.u0.running.append(RunningRun(TASK, 1, 50))


@asynccontextmanager
async def run_leader(context: Context, view: DirectoryView) -> AsyncIterator[Scheduler]:
    """Run a scheduler that begins to lead the upstreams of a view."""
    scheduler = Scheduler(context.connector, lambda _event: None, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.set_upstreams(view)
        scheduler.lead({"z1": FENCE})
        yield scheduler
        group.cancel_scope.cancel()


async def submit(context: Context, scheduler: Scheduler) -> None:
    context.answer = await scheduler.submit(JOB, 0.0, None)


@given('a leader of 2 upstreams, of which "u0" lists a run of an earlier leader')
def given_listed_run(context: Context) -> None:
    make_upstreams(context)


@when('its job is submitted, and "u0" leaves the directory')
def remove_after_list(context: Context) -> None:
    anyio.run(lose_listed_run, context)


async def lose_listed_run(context: Context) -> None:
    """Submit the job of a run that was listed once, and lose the upstream."""
    async with run_leader(context, read_once(context.infos)) as scheduler:
        await wait_until(lambda: context.u0.listed_s and context.u1.listed_s)
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler)
            await wait_until(lambda: scheduler.job_count)
            scheduler.set_upstreams(read_once({"u1": context.infos["u1"]}))
            with anyio.move_on_after(LEASE_S + OBSERVED_S):
                await wait_until(lambda: context.u1.started_s)
            group.cancel_scope.cancel()


@then('the task doesn\'t start on "u1" before a full lease after the list')
def check_not_early(context: Context) -> None:
    started_s = context.u1.started_s
    assert started_s is None or started_s >= context.u0.listed_s + LEASE_S, (
        started_s - context.u0.listed_s
    )


@then("it starts there within 1 s after that")
def check_starts_after_lease(context: Context) -> None:
    assert context.u1.started_s is not None
    assert context.u1.started_s <= context.u0.listed_s + LEASE_S + OBSERVED_S


@when('"u0" replies no more, and its job is submitted after a full lease')
def submit_after_lease(context: Context) -> None:
    anyio.run(submit_late, context)


async def submit_late(context: Context) -> None:
    """Submit the job of a run that was listed once when its lease has ended."""
    async with run_leader(context, read_once(context.infos)) as scheduler:
        await wait_until(lambda: context.u0.listed_s and context.u1.listed_s)
        context.u0.silent = True
        await anyio.sleep(2 * LEASE_S)
        await observe_start(context, scheduler)


async def observe_start(context: Context, scheduler: Scheduler) -> None:
    """Submit the job and wait for its start on ``u1``."""
    context.submitted_s = time.monotonic()
    async with anyio.create_task_group() as group:
        group.start_soon(submit, context, scheduler)
        with anyio.move_on_after(OBSERVED_S):
            await wait_until(lambda: context.u1.started_s)
        group.cancel_scope.cancel()


@then('the task starts on "u1" within 1 s')
def check_starts(context: Context) -> None:
    assert context.u1.started_s is not None
    assert context.u1.started_s <= context.submitted_s + OBSERVED_S


@given('a leader of 2 upstreams, of which "u0" has a run of an earlier leader and is {state}')
def given_unlisted_run(context: Context, state: str) -> None:
    make_upstreams(context)
    context.first_infos = context.infos
    match state:
        case "silent":
            context.u0.silent = True
        case "refusing connections":
            context.u0.refuses = True
        case "shown by the second read":
            context.first_infos = {"u1": context.infos["u1"]}
        case _:
            raise ValueError(state)


@when('its job is submitted as if it came for the first time, and again once "u0" replies')
def submit_before_list(context: Context) -> None:
    anyio.run(submit_twice, context)


async def submit_twice(context: Context) -> None:
    """Submit the job before ``u0`` has listed its run, and again afterwards."""
    # The first view was read before the term, as a host that doesn't lead reads the directory.
    view = DirectoryView(context.first_infos, time.monotonic())
    async with run_leader(context, view) as scheduler:
        if "u0" in context.first_infos:
            scheduler.set_upstreams(replace(view, read_s=time.monotonic()))
        await wait_until(lambda: context.u1.listed_s)
        await submit(context, scheduler)
        context.first_answer = context.answer
        context.early_starts = context.u1.starts
        context.u0.silent = context.u0.refuses = False
        scheduler.set_upstreams(DirectoryView(context.infos, time.monotonic()))
        async with anyio.create_task_group() as group:
            await wait_until(lambda: context.u0.listed_s)
            group.start_soon(submit, context, scheduler)
            await wait_until(lambda: scheduler.job_count)
            context.u0.end_run()


@then('the first submission is refused, and nothing starts on "u1"')
def check_refused(context: Context) -> None:
    first: Answer = context.first_answer
    assert isinstance(first, NotRun), first
    assert context.early_starts == 0, context.early_starts


@then('the second one is answered as succeeded by the run on "u0"')
def check_adopted(context: Context) -> None:
    assert context.answer == Succeeded(), context.answer
    assert context.u0.starts == context.u1.starts == 0, (context.u0.starts, context.u1.starts)


@when("a job is submitted after the lifetime of unknown runs")
def submit_after_lifetime(context: Context) -> None:
    anyio.run(submit_beside_silent_upstream, context)


async def submit_beside_silent_upstream(context: Context) -> None:
    """Submit a job once no run on the silent upstream can be unknown any more."""
    async with run_leader(context, read_once(context.infos)) as scheduler:
        await anyio.sleep(UNKNOWN_RUN_LIFETIME_S)
        await observe_start(context, scheduler)


@when('"u0" goes on reporting itself, and a job is submitted after 3 s and after 5 s')
def submit_beside_reports(context: Context) -> None:
    anyio.run(submit_beside_reporting_upstream, context)


async def submit_beside_reporting_upstream(context: Context) -> None:
    """Submit a job while the directory shows that the silent upstream is up, and again later."""
    began_s = time.monotonic()
    async with run_leader(context, read_once(context.infos)) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(renew_entry, context, scheduler)
            await anyio.sleep(3)
            await submit(context, scheduler)
            context.early_starts = context.u1.starts
            await anyio.sleep(began_s + MAX_LIST_WAIT_S - time.monotonic())
            await observe_start(context, scheduler)
            group.cancel_scope.cancel()


async def renew_entry(context: Context, scheduler: Scheduler) -> None:
    for revision in count(1):
        renewed = {"u0": replace(context.infos["u0"], revision=revision)}
        scheduler.set_upstreams(read_once({**context.infos, **renewed}))
        await anyio.sleep(REPORT_INTERVAL_S)


@then("only the second submission starts the task")
def check_second_start(context: Context) -> None:
    assert context.early_starts == 0, context.early_starts
    check_starts(context)


@given("a leader of an upstream that replies to holds and loses every stop")
def given_lost_stops(context: Context) -> None:
    make_upstreams(context)
    context.u0.running.clear()
    context.u0.loses_stops = True
    del context.infos["u1"]


@when("the caller of a job leaves while its task runs")
def leave(context: Context) -> None:
    anyio.run(leave_while_running, context)


async def leave_while_running(context: Context) -> None:
    """Cancel a submission once its task runs, and watch the holds."""
    async with run_leader(context, read_once(context.infos)) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler)
            await wait_until(lambda: context.u0.running)
            group.cancel_scope.cancel()
        context.left_s = time.monotonic()
        await anyio.sleep(STOPPED_S)


@then("no hold extends the lease after that")
def check_not_extended(context: Context) -> None:
    late_s = [at_s - context.left_s for at_s in context.u0.extended_s if at_s > context.left_s]
    assert not late_s, late_s
