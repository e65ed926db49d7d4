"""Steps on upstreams that restart under their ids."""

from itertools import combinations, groupby
from operator import attrgetter

import anyio
from behave import given, then, when
from behave.runner import Context
from support.restarts import RUN_S, RestartableUpstream, StartedRun
from support.upstreams import NEEDS, make_job, read_once, wait_until

from fireflybridge_adapter._commands import HttpCommandConnector
from fireflybridge_execution import Scheduler
from fireflybridge_execution._evidence import (
    Evidence,
    IncarnationEnded,
    LeaseExpired,
    RunsListed,
    RunState,
    judge_run,
)
from fireflybridge_execution._run_registry import Run, RunPhase
from fireflybridge_http import Connection, ExchangeError, Request, Response, Server, ServerLimits
from fireflybridge_jobs import Succeeded, TaskId
from fireflybridge_pauses import PauseMonitor

JOB = make_job("a", 1)
TASK = TaskId(JOB.id, 0, 0, 0)
CONFIRMED_S = 10.0
STATES = {
    "may be alive": RunState.MAY_BE_ALIVE,
    "was not sent": RunState.NOT_SENT,
    "is lost": RunState.LOST,
}
EVIDENCE: dict[str, Evidence] = {
    "a list with it comes": RunsListed({(TASK, 1)}, CONFIRMED_S + 1),
    "a list without it comes": RunsListed((), CONFIRMED_S + 1),
    "a list without it comes that was asked for before its start": RunsListed((), CONFIRMED_S - 1),
    "its incarnation has ended": IncarnationEnded(),
    "the lease has expired": LeaseExpired(),
}


@given("a leader of an idle upstream that is reached over loopback connections")
def given_leader(context: Context) -> None:
    context.starts = []
    context.upstream = RestartableUpstream("u0", context.starts)


@when("the upstream restarts and gets a hold, then a start, and answers the hold before the start")
def restart_unnoticed(context: Context) -> None:
    anyio.run(run_across_restart, context)


async def run_across_restart(context: Context) -> None:
    """Restart an idle upstream, then submit a job to its leader, which doesn't know of it."""
    upstream: RestartableUpstream = context.upstream
    scheduler = Scheduler(HttpCommandConnector(), lambda _event: None, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        await upstream.start_process(group)
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        info = upstream.describe()
        scheduler.set_upstreams(read_once({info.id: info}))
        await wait_until(lambda: scheduler.has_synced_upstream)
        await run_job(scheduler)
        await upstream.restart(group)
        context.answer = await run_job(scheduler)
        await anyio.sleep(RUN_S)
        group.cancel_scope.cancel()


async def run_job(scheduler: Scheduler) -> object:
    return await scheduler.submit(JOB, 0.0, None)


@then("no two runs of a task are under way at the same time")
def check_overlaps(context: Context) -> None:
    starts: list[StartedRun] = sorted(context.starts, key=attrgetter("task", "started_s"))
    for _, runs in groupby(starts, key=attrgetter("task")):
        for first, second in combinations(runs, 2):
            same_life = first.incarnation == second.incarnation
            assert not same_life or second.started_s >= first.end_s, (first, second)


@then("the job that was submitted after the restart is answered as succeeded")
def check_answer(context: Context) -> None:
    assert context.answer == Succeeded(), context.answer


@when("a connection has ended and a request comes that must not open it")
def exchange_after_end(context: Context) -> None:
    anyio.run(request_after_end, context)


async def request_after_end(context: Context) -> None:
    """Let a server end with its connections, start another one there and send a request to it."""
    context.handled = []

    async def handle(request: Request) -> Response:
        context.handled.append(request.path)
        return Response(200)

    server = Server("127.0.0.1:0", handle, ServerLimits())
    async with anyio.create_task_group() as group:
        address = await group.start(server.serve, group)
        connection = Connection(address)
        await connection.exchange(Request("GET", "/first"), 1.0)
        group.cancel_scope.cancel()
    server = Server(address, handle, ServerLimits())
    async with anyio.create_task_group() as group:
        await group.start(server.serve, group)
        try:
            await connection.exchange(Request("GET", "/second"), 1.0, may_open=False)
        except ExchangeError as error:
            context.error = error
        await connection.close()
        group.cancel_scope.cancel()


@then("the request fails without having been sent")
def check_not_sent(context: Context) -> None:
    assert not context.error.may_have_run, context.error
    assert context.handled == ["/first"], context.handled


@then("a {phase} run {fate} once {evidence}")
def check_state(context: Context, phase: str, fate: str, evidence: str) -> None:
    name, _, unconfirmed = phase.partition(", ")
    confirmed = name in ("running", "stopping") and not unconfirmed
    confirmed_s = CONFIRMED_S if confirmed else None
    run = Run(TASK, 1, "work", NEEDS, RunPhase[name.upper()], 0.0, 0.0, confirmed_s)
    assert judge_run(run, EVIDENCE[evidence]) is STATES[fate]
