"""Steps on two leaders in turn, one of which an upstream doesn't reply to."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context
from support.leaders import (
    Call,
    CallsLost,
    Gate,
    Leader,
    Open,
    RepliesHeldBack,
    format_moments,
    list_run_moments,
)
from support.site import RESUBMISSION_DELAY_S, find_overlaps
from support.upstreams import make_job, wait_until

from fireflybridge_jobs import EarlierRuns, TimedOut
from fireflybridge_standins.site._service import Site
from fireflybridge_standins.site._upstream import Behaviour, Upstream

WORK_S = 30.0  # longer than a scenario
OBJECTIVE_MS = 60000.0  # jobs aren't refused, nor runs moved, for its sake
DEADLINE_MS = 1000.0
FRESH_LEASE_S = 0.5  # most of a lease is left
OBSERVED_S = 3.0  # longer than the time after which a leader takes unknown runs to have ended
FENCES = (1000, 2000)
UNHEARD = CallsLost(frozenset(Call))
GATES: dict[str, Gate] = {
    "unheard": UNHEARD,
    "heard and never answered": RepliesHeldBack(answered=0),
}
TEMPLATE = make_job("a", 1)
JOB = replace(TEMPLATE, policy=replace(TEMPLATE.policy, target_latency_ms=OBJECTIVE_MS))
EARLIER = {
    "names no earlier runs": None,
    "names earlier runs on u0": EarlierRuns({"u0": FENCES[0]}),
}


@given("a job that runs on u0 under the first leader")
def given_first_leader(context: Context) -> None:
    context.first_gate = Open()


@given("a job that runs on u0 under the first leader, which learns late that it is replaced")
def given_late_leader(context: Context) -> None:
    context.first_gate = Open()
    context.learns, context.reports = True, False


@given("a job that runs on u0 under the first leader, which never learns that it is replaced")
def given_cut_off_leader(context: Context) -> None:
    context.first_gate = Open()
    context.learns = context.reports = False


@given("u0 goes on reporting itself to the directory")
def given_reports(context: Context) -> None:
    context.reports = True


@given("a job that runs on u0 under the first leader, whose holds arrive and whose stops are lost")
def given_lost_stops(context: Context) -> None:
    context.first_gate = CallsLost(frozenset({Call.STOP}))


@asynccontextmanager
async def run_first_leader(
    context: Context, wait_ms: float = JOB.wait_ms, second_domain: str = "z1"
) -> AsyncIterator[TaskGroup]:
    """Run the upstreams and the first leader, whose job runs on u0 with most of its lease left.

    The first leader knows only u0. The second one, which a scenario starts, leads the zone of u1.
    """
    zones = {"u0": "z1", "u1": second_domain}
    behaviour = Behaviour(work_s=WORK_S)
    upstreams = {name: Upstream(name, zones[name], behaviour=behaviour) for name in zones}
    known = [name for name in zones if zones[name] == second_domain]
    context.site = Site(upstreams=upstreams)
    context.first = Leader("first leader", context.site, "z1", FENCES[0], ("u0",))
    context.first.doors["u0"].gate = context.first_gate
    context.second = Leader("second leader", context.site, second_domain, FENCES[1], known)
    async with anyio.create_task_group() as group:
        for upstream in upstreams.values():
            upstream.begin_life(group)
        await group.start(context.first.serve)
        group.start_soon(context.first.submit, replace(JOB, wait_ms=wait_ms), None)
        await wait_until(lambda: has_fresh_lease(upstreams["u0"]))
        yield group
        # What is under way now is recorded as such.
        context.runs = context.site.describe()["runs"]
        moments = context.first.moments + context.second.moments + list_run_moments(context.site)
        context.history = format_moments(moments)
        group.cancel_scope.cancel()


def has_fresh_lease(upstream: Upstream) -> bool:
    left_s = (upstream.lease_end_ms - upstream.clock_ms) / 1000
    return bool(upstream.active_runs) and left_s > FRESH_LEASE_S


async def wait_for_second_run(context: Context) -> None:
    """Wait until the second leader has started the task, or a while has passed without a start."""
    with anyio.move_on_after(OBSERVED_S):
        await wait_until(lambda: context.site.upstreams["u1"].active_runs)


async def let_u0_reply(context: Context) -> None:
    """Let u0 reply to the second leader, which may have waited for that."""
    context.second.doors["u0"].gate = Open()
    with anyio.move_on_after(OBSERVED_S):
        await wait_until(lambda: context.second.has_run)


async def begin_second_leader(context: Context, group: TaskGroup, gate: Gate) -> None:
    context.second.doors["u0"].gate = gate
    await group.start(context.second.serve)


# The run is listed to the second leader once, and then u0 falls silent.


@when("u0 lists the run to the second leader once, which adopts it for a job that {says}")
def lose_adopted_run(context: Context, says: str) -> None:
    anyio.run(adopt_and_lose, context, EARLIER[says])


async def adopt_and_lose(context: Context, earlier: EarlierRuns | None) -> None:
    async with run_first_leader(context) as group:
        await submit_between_replies(context, group, earlier)


async def submit_between_replies(
    context: Context, group: TaskGroup, earlier: EarlierRuns | None
) -> None:
    """Submit the job to the second leader while its second hold, for the orphan, is unanswered."""
    await begin_second_leader(context, group, RepliesHeldBack(answered=1))
    await wait_until(lambda: context.second.doors["u0"].unanswered[Call.HOLD])
    assert context.site.upstreams["u0"].active_runs, "the first run has ended too early"
    group.start_soon(context.second.submit, JOB, earlier)
    await wait_for_second_run(context)


@when("its stop gets no reply, and u0 lists the run to the second leader once, which adopts it")
def lose_stopping_run(context: Context) -> None:
    anyio.run(adopt_stopping_and_lose, context)


async def adopt_stopping_and_lose(context: Context) -> None:
    async with run_first_leader(context) as group:
        await drop_caller(context)
        await wait_until(lambda: context.first.doors["u0"].unanswered[Call.STOP])
        await submit_between_replies(context, group, None)


# The second leader doesn't learn of the run.


@when("its caller leaves unnoticed, and sends it 1.3 s later to the second leader, unheard by u0")
def send_again_unnoticed(context: Context) -> None:
    anyio.run(send_again_beside_first_leader, context)


async def send_again_beside_first_leader(context: Context) -> None:
    """Let the first leader keep its run, as it doesn't learn that the caller has left."""
    async with run_first_leader(context) as group:
        await begin_second_leader(context, group, UNHEARD)
        if context.reports:
            group.start_soon(context.second.renew_entries)
        await anyio.sleep(RESUBMISSION_DELAY_S)
        assert context.site.upstreams["u0"].active_runs, "the first run has ended too early"
        group.start_soon(context.second.submit, JOB, None)
        if context.learns:
            context.first.learn_replacement()
        await wait_for_second_run(context)
        await let_u0_reply(context)


@when("that leader is killed, and the second one gets the job at once, {heard} by u0")
def replace_killed_leader(context: Context, heard: str) -> None:
    anyio.run(submit_after_kill, context, GATES[heard])


async def submit_after_kill(context: Context, gate: Gate) -> None:
    async with run_first_leader(context) as group:
        context.first.kill()
        await begin_second_leader(context, group, gate)
        group.start_soon(context.second.submit, JOB, None)
        await wait_for_second_run(context)
        await let_u0_reply(context)


@when("its deadline comes, and it is sent 1.3 s later to the second leader, unheard by u0")
def send_again_after_deadline(context: Context) -> None:
    anyio.run(send_again_to_unheard_leader, context)


async def send_again_to_unheard_leader(context: Context) -> None:
    async with run_first_leader(context, DEADLINE_MS) as group:
        await begin_second_leader(context, group, UNHEARD)
        await wait_for_deadline(context)
        await send_again_later(context, group)
        await let_u0_reply(context)


async def send_again_later(context: Context, group: TaskGroup) -> None:
    """Send the job to the second leader 1.3 s after the first one has ended it."""
    await anyio.sleep(context.first.ended_s + RESUBMISSION_DELAY_S - time.monotonic())
    group.start_soon(context.second.submit, JOB, None)
    await wait_for_second_run(context)


# The stops are lost.


async def drop_caller(context: Context) -> None:
    context.first.drop_caller()


async def wait_for_deadline(context: Context) -> None:
    await wait_until(lambda: context.first.ended_s is not None)
    assert isinstance(context.first.answer, TimedOut), context.first.answer


CAUSES: dict[str, Callable[[Context], Awaitable[None]]] = {
    "its caller leaves": drop_caller,
    "its deadline comes": wait_for_deadline,
}


@when("it ends because {cause}, and is sent 1.3 s later to the leader of another failure domain")
def send_again_to_other_domain(context: Context, cause: str) -> None:
    anyio.run(lose_stops, context, CAUSES[cause])


async def lose_stops(context: Context, end: Callable[[Context], Awaitable[None]]) -> None:
    async with run_first_leader(context, DEADLINE_MS, second_domain="z2") as group:
        await group.start(context.second.serve)
        await end(context)
        await send_again_later(context, group)
        assert context.first.doors["u0"].unanswered[Call.STOP], "no stop was lost"


# Verdicts, by what the upstreams have recorded.


@then("every run of the first leader has ended within 1.3 s")
def check_ended(context: Context) -> None:
    latest_s = context.first.ended_s + RESUBMISSION_DELAY_S
    runs = [run for run in context.runs if run["started_s"] < context.first.ended_s]
    assert runs, context.history
    alive = [run for run in runs if not run["how"] or run["ended_s"] > latest_s]
    assert not alive, f"{alive}\n{context.history}"


@then("the second leader has started the task on u1")
def check_started(context: Context) -> None:
    assert any(run["upstream"] == "u1" for run in context.runs), context.history


@then("the second leader has a run of the task once u0 replies")
def check_has_run(context: Context) -> None:
    assert context.second.has_run, context.history


@then("no two runs of the task were under way at the same time")
def check_overlaps(context: Context) -> None:
    overlaps = find_overlaps(context.runs)
    assert not overlaps, f"{overlaps}\n{context.history}"
