"""Steps on tasks that crash the upstreams that start them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

import anyio
from behave import given, then, when
from behave.runner import Context
from support.upstreams import (
    WAIT_LIMIT_S,
    CrashingUpstream,
    EndlessConnector,
    describe_upstreams,
    make_job,
    read_once,
    wait_until,
)

from fireflybridge_entry import LeaderMonitor, Peer, PeerService
from fireflybridge_execution import Scheduler
from fireflybridge_http import Connection, Request, Response
from fireflybridge_jobs import Crash, Failed, Job, Succeeded, TaskId, UpstreamState
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import CrashHistory, should_give_up, should_hold_back

CRASHING_JOB = make_job("a", 1)
OTHER_JOB = make_job("b", 1)
TWO_TASKS = (replace(CRASHING_JOB.steps[0], count=2),)
TASK = TaskId(CRASHING_JOB.id, 0, 0, 0)
LONGER_THAN_LEASE_S = 0.8
SHORTER_THAN_LEASE_S = 0.2
LONGER_THAN_REFUSAL_S = 0.6  # a job that can't start is refused after 0.16 of its objective


def make_crash(index: int, *, alone: bool, confirmed: bool = True) -> Crash:
    return Crash(TASK, f"u{index}", 1, alone, confirmed)


@then("a task is {verdict} after {crashes:d} crashes, {alone:d} of them while it ran alone")
def check_verdict(context: Context, verdict: str, crashes: int, alone: int) -> None:
    found = [make_crash(index, alone=index < alone) for index in range(crashes)]
    assert should_give_up(found) is (verdict == "given up"), found


@then("a task is held back, but not given up, after {crashes:d} crashes that aren't confirmed")
def check_held_back(context: Context, crashes: int) -> None:
    found = [make_crash(index, alone=True, confirmed=False) for index in range(crashes)]
    assert should_hold_back(found), found
    assert not should_give_up(found), found


@given("a leader of {count:d} in-memory upstreams that can crash")
def given_leader(context: Context, count: int) -> None:
    context.infos = describe_upstreams(count)
    context.connector = EndlessConnector()
    context.upstreams = {name: CrashingUpstream() for name in context.infos}
    context.connector.upstreams.update(context.upstreams)
    context.crashes = CrashHistory()
    context.answers = {}


@asynccontextmanager
async def lead(context: Context) -> AsyncIterator[Scheduler]:
    """Run a scheduler that leads the upstreams."""
    crashes = context.crashes
    scheduler = Scheduler(context.connector, lambda _: None, lambda: None, PauseMonitor(), crashes)
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        scheduler.set_upstreams(read_once(context.infos))
        await wait_until(lambda: all(session.synced for session in scheduler._sessions))
        yield scheduler
        group.cancel_scope.cancel()


async def submit(context: Context, scheduler: Scheduler, job: Job) -> None:
    context.answers[job.id] = await scheduler.submit(job, 0.0, None)


def find_upstream(context: Context, job: Job) -> str:
    """Return the upstream that runs a job's task, or an empty string."""
    upstreams = context.upstreams.items()
    running = [name for name, u in upstreams if any(r.task.job == job.id for r in u.running)]
    return running[0] if running else ""


async def wait_for_run(context: Context, job: Job, started: int) -> str:
    """Return the upstream that runs a job's task once it was started so many times."""
    await wait_until(lambda: count_starts(context, job) == started and find_upstream(context, job))
    return find_upstream(context, job)


def count_starts(context: Context, job: Job) -> int:
    return sum(u.started_jobs.count(job.id) for u in context.upstreams.values())


@when("a task crashes the upstream on which another job's task runs, and then the next one")
def crash_beside(context: Context) -> None:
    anyio.run(run_beside, context)


async def run_beside(context: Context) -> None:
    """Crash an upstream under two jobs, and the next one of the first job."""
    async with lead(context) as scheduler, anyio.create_task_group() as group:
        group.start_soon(submit, context, scheduler, CRASHING_JOB)
        first = await wait_for_run(context, CRASHING_JOB, 1)
        group.start_soon(submit, context, scheduler, OTHER_JOB)
        assert await wait_for_run(context, OTHER_JOB, 1) == first
        context.upstreams[first].crash()
        context.second = await wait_for_run(context, CRASHING_JOB, 2)
        context.other = await wait_for_run(context, OTHER_JOB, 2)
        context.upstreams[context.second].crash()
        await anyio.sleep(SHORTER_THAN_LEASE_S)
        assert CRASHING_JOB.id not in context.answers, context.answers
        context.upstreams[first].restart()
        context.upstreams[context.second].restart()
        await wait_until(lambda: CRASHING_JOB.id in context.answers)
        context.upstreams[context.other].end_run()
        await wait_until(lambda: OTHER_JOB.id in context.answers)


@then("each of them ran alone after the first crash")
def check_alone(context: Context) -> None:
    assert context.second != context.other, context.second


@then("the job whose task crashes upstreams is answered as failed after {starts:d} starts")
def check_given_up(context: Context, starts: int) -> None:
    assert isinstance(context.answers.get(CRASHING_JOB.id), Failed), context.answers
    assert count_starts(context, CRASHING_JOB) == starts


@then("the other job is answered as succeeded")
def check_other(context: Context) -> None:
    assert context.answers[OTHER_JOB.id] == Succeeded(), context.answers


@when("an upstream {event} under a task, and then the next one")
def lose_twice(context: Context, event: str) -> None:
    anyio.run(run_and_lose_twice, context, event)


async def run_and_lose_twice(context: Context, event: str) -> None:
    """Let two upstreams in turn be silent, refuse connections or leave under a task, then end it."""
    async with lead(context) as scheduler, anyio.create_task_group() as group:
        group.start_soon(submit, context, scheduler, CRASHING_JOB)
        for _ in range(2):
            await wait_until(lambda: find_upstream(context, CRASHING_JOB))
            await disturb(context, scheduler, find_upstream(context, CRASHING_JOB), event)
            await wait_until(lambda: find_upstream(context, CRASHING_JOB))
        context.upstreams[find_upstream(context, CRASHING_JOB)].end_run()
        await wait_until(lambda: context.answers)
        context.suspect = await stays_suspect(context)


async def stays_suspect(context: Context) -> bool:
    """Return whether the task is still suspected after every upstream has had time to reply."""
    with anyio.move_on_after(WAIT_LIMIT_S):
        await wait_until(lambda: not context.crashes.is_suspect(TASK))
    return context.crashes.is_suspect(TASK)


async def disturb(context: Context, scheduler: Scheduler, name: str, event: str) -> None:
    upstream = context.upstreams[name]
    match event:
        case "is silent":
            upstream.silent = True
            await anyio.sleep(LONGER_THAN_LEASE_S)
            upstream.running.clear()
            upstream.silent = False
        case "refuses connections for a moment":
            upstream.refuses = True
            await anyio.sleep(SHORTER_THAN_LEASE_S)
            upstream.refuses = False
            await anyio.sleep(SHORTER_THAN_LEASE_S)
        case "leaves after a drain":
            draining = replace(context.infos[name], state=UpstreamState.DRAINING)
            context.infos = {**context.infos, name: draining}
            scheduler.set_upstreams(read_once(context.infos))
            upstream.crash()
        case _:
            raise ValueError(event)


@when("two upstreams in turn refuse connections under a task for longer than their lease")
def refuse_twice(context: Context) -> None:
    anyio.run(run_and_refuse_twice, context)


async def run_and_refuse_twice(context: Context) -> None:
    """Refuse connections under a task as a cut may, and accept them again much later."""
    async with lead(context) as scheduler, anyio.create_task_group() as group:
        group.start_soon(submit, context, scheduler, CRASHING_JOB)
        for starts in (1, 2):
            name = await wait_for_run(context, CRASHING_JOB, starts)
            context.upstreams[name].refuses = True
            await anyio.sleep(LONGER_THAN_LEASE_S)
            context.upstreams[name].running.clear()
        context.starts = count_starts(context, CRASHING_JOB)
        context.early_answers = dict(context.answers)
        for upstream in context.upstreams.values():
            upstream.restart()
        await wait_for_run(context, CRASHING_JOB, 3)
        context.upstreams[find_upstream(context, CRASHING_JOB)].end_run()
        await wait_until(lambda: context.answers)
        context.suspect = await stays_suspect(context)


@then("the task isn't started a third time before they reply, nor its job answered")
def check_held(context: Context) -> None:
    assert context.starts == 2, context.starts
    assert not context.early_answers, context.early_answers


@then("the job is answered as succeeded, and its task isn't suspected")
def check_not_suspected(context: Context) -> None:
    assert context.answers[CRASHING_JOB.id] == Succeeded(), context.answers
    assert not context.suspect


@when("an upstream is silent under a task until its job is answered")
def fall_silent(context: Context) -> None:
    anyio.run(run_after_silence, context)


async def run_after_silence(context: Context) -> None:
    """Let the only upstream be silent while a job runs, and submit another one afterwards."""
    upstream = context.upstreams["u0"]
    async with lead(context) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, CRASHING_JOB)
            await wait_until(lambda: upstream.running)
            upstream.silent = True
            await anyio.sleep(LONGER_THAN_LEASE_S)
            group.cancel_scope.cancel()
        upstream.running.clear()
        upstream.silent = False
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, OTHER_JOB)
            with anyio.move_on_after(WAIT_LIMIT_S):
                await wait_until(lambda: upstream.running or OTHER_JOB.id in context.answers)
            if upstream.running:
                upstream.end_run()
            else:
                group.cancel_scope.cancel()


@then("a further job is answered as succeeded")
def check_further(context: Context) -> None:
    assert context.answers.get(OTHER_JOB.id) == Succeeded(), context.answers


@when("a job of 2 tasks is placed on two upstreams that have crashed, and then on the next one")
def place_on_crashed(context: Context) -> None:
    anyio.run(run_on_crashed, context)


async def run_on_crashed(context: Context) -> None:
    """Run a job of two tasks while two upstreams refuse all calls and the third is full at first."""
    async with lead(context) as scheduler, anyio.create_task_group() as group:
        group.start_soon(submit, context, scheduler, replace(OTHER_JOB, steps=TWO_TASKS))
        await wait_until(lambda: count_starts(context, OTHER_JOB) == 2)
        up = context.upstreams[find_upstream(context, OTHER_JOB)]
        crashed = [upstream for upstream in context.upstreams.values() if upstream is not up]
        for upstream in crashed:
            upstream.crash()
        group.start_soon(submit, context, scheduler, replace(CRASHING_JOB, steps=TWO_TASKS))
        await wait_until(lambda: all(upstream.refused_commands for upstream in crashed))
        up.end_run()
        up.end_run()
        await wait_until(lambda: find_upstream(context, CRASHING_JOB) and len(up.running) == 2)
        context.suspect = any(
            context.crashes.is_suspect(replace(TASK, index=index)) for index in range(2)
        )
        up.end_run()
        up.end_run()


@when("two upstreams crash under a task and its job is submitted again")
def crash_twice(context: Context) -> None:
    anyio.run(run_and_crash_twice, context)


async def run_and_crash_twice(context: Context) -> None:
    """Crash two upstreams under a task, and submit its job again."""
    async with lead(context) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, CRASHING_JOB)
            for starts in (1, 2):
                name = await wait_for_run(context, CRASHING_JOB, starts)
                context.upstreams[name].crash()
            group.cancel_scope.cancel()
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, CRASHING_JOB)
            await anyio.sleep(LONGER_THAN_REFUSAL_S)
            context.early_answers = dict(context.answers)
            for upstream in context.upstreams.values():
                upstream.restart()


@then("it isn't answered before the upstreams start again")
def check_no_early_answer(context: Context) -> None:
    assert not context.early_answers, context.early_answers


@when("two upstreams crash under a task and have not started again yet")
def crash_twice_only(context: Context) -> None:
    async def run() -> None:
        async with lead(context) as scheduler, anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, CRASHING_JOB)
            for starts in (1, 2):
                name = await wait_for_run(context, CRASHING_JOB, starts)
                context.upstreams[name].crash()
            await anyio.sleep(SHORTER_THAN_LEASE_S)
            group.cancel_scope.cancel()

    anyio.run(run)


@when("it has replied to a heartbeat of a host, which then leads and gets the job")
def replace_leader(context: Context) -> None:
    anyio.run(lead_next, context)


async def lead_next(context: Context) -> None:
    """Let a host hear of the crashes from the leader, lead and get the job."""
    holder = Holder("h1", "1", "127.0.0.1:1")
    leader = Peer(holder, "z1", 1.0)
    follower = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0)
    leadership = Leadership(mock.Mock(), lambda _: None)
    leadership.add_terms((Term("z1", holder, 1000),))
    service = PeerService(leader, mock.Mock(), leadership, PauseMonitor(), context.crashes)

    async def exchange(_connection: Connection, request: Request, _timeout_s: float) -> Response:
        return await service.handle(request)

    context.crashes = CrashHistory()
    monitor = LeaderMonitor(leadership, follower, context.crashes)
    with mock.patch.object(Connection, "exchange", exchange):
        assert await monitor.probe(holder)
    context.answers.clear()
    for upstream in context.upstreams.values():
        upstream.restart()
    async with lead(context) as scheduler:
        with anyio.move_on_after(WAIT_LIMIT_S):
            await submit(context, scheduler, CRASHING_JOB)
