"""Steps on jobs that reach the leaders of two failure domains."""

import time
from unittest import mock

import anyio
from anyio.abc import TaskGroup
from behave import then, when
from behave.runner import Context
from support.leased_upstreams import LeasedUpstream
from support.linked_leaders import FIRST, LinkedLeader, begin, run_linked
from support.shared_leaders import has_run
from support.upstreams import make_long_job, wait_until

from fireflybridge_clearances import JobClearances, LeaderReport, NotHeld
from fireflybridge_entry import _leader_links
from fireflybridge_execution import _session_manager
from fireflybridge_jobs import EarlierRuns, Job, RunOutcome, Succeeded
from fireflybridge_leadership import Holder, Term

SECOND = 2000
"""Fencing token of a term after ``FIRST``."""
OBSERVED_S = 1.0
SILENCE_S = 1.0
LONG_RETRY_S = 3.0


JOB = make_long_job("a")


def runs_anywhere(context: Context, job: Job) -> bool:
    return any(has_run(context, name, job) for name in context.infos)


@when("a job reaches both leaders at the same moment {count:d} times")
def submit_at_once(context: Context, count: int) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        context.placers = []
        for index in range(count):
            job = make_long_job(f"j{index}")
            async with anyio.create_task_group() as callers:
                leaders = (first, second) if index % 2 else (second, first)
                for leader in leaders:
                    callers.start_soon(leader.submit, job)
                await wait_until(lambda job=job: runs_anywhere(context, job))
                await anyio.sleep(0.1)
                callers.cancel_scope.cancel()
            context.placers.append([lead.placed.count(job.id) for lead in (first, second)])
            await wait_until(lambda job=job: not runs_anywhere(context, job))

    run_linked(context, play)


@then("each job was placed by one leader")
def check_placers(context: Context) -> None:
    assert all(sorted(placers) == [0, 1] for placers in context.placers), context.placers


@when("a job is sent to a leader, and then to one whose newer term the first hasn't heard of")
def submit_to_newer(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        terms = first.begin_terms(FIRST, "z1")
        first.see(context.infos, *context.infos)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: has_run(context, "u0", JOB))
        second.learn(*terms)
        second.begin_terms(SECOND, "z2")
        second.see(context.infos, *context.infos)
        await wait_until(lambda: second.has_listed == {"u1"})
        group.start_soon(second.submit, JOB)
        await anyio.sleep(OBSERVED_S)

    run_linked(context, play)


@when("a job is sent to a leader with a newer term, and then to one that hasn't heard of it")
def submit_to_older(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        terms = first.begin_terms(FIRST, "z1")
        first.see(context.infos, *context.infos)
        second.learn(*terms)
        second.begin_terms(SECOND, "z2")
        second.see(context.infos, *context.infos)
        group.start_soon(second.submit, JOB)
        await wait_until(lambda: has_run(context, "u1", JOB))
        group.start_soon(first.submit, JOB)
        await anyio.sleep(OBSERVED_S)

    run_linked(context, play)


@when("the first caller of a job that was sent to both leaders leaves")
def leave_first(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        async with anyio.create_task_group() as caller:
            caller.start_soon(first.submit, JOB)
            await wait_until(lambda: has_run(context, "u0", JOB))
            group.start_soon(second.submit, JOB)
            await anyio.sleep(0.2)
            context.ran_beside = has_run(context, "u1", JOB)
            caller.cancel_scope.cancel()
        await wait_until(lambda: has_run(context, "u1", JOB))

    run_linked(context, play)


@then("the second leader runs the job after the first run has ended")
def check_second_run(context: Context) -> None:
    assert not context.ran_beside
    assert not context.overlaps, context.overlaps
    assert [span.starter for span in context.spans] == ["first", "second"], context.spans


@when("a job is sent to the second leader just after the first one has succeeded")
def submit_after_success(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: has_run(context, "u0", JOB))
        finish_run(context.upstreams["u0"])
        await wait_until(lambda: first.answers)
        await second.submit(JOB)
        context.answers = [*first.answers, *second.answers]

    run_linked(context, play)


def finish_run(upstream: LeasedUpstream) -> None:
    upstream._end(upstream.alive[0], RunOutcome.DONE, time.monotonic())


@then("the second leader answers succeeded without a run")
def check_shared_answer(context: Context) -> None:
    assert context.answers == [Succeeded(), Succeeded()], context.answers
    assert [span.starter for span in context.spans] == ["first"], context.spans


@when("a job is sent to a leader while another one has not replied for a while")
def submit_beside_silent(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        second.hold_requests = anyio.Event()
        group.start_soon(first.submit, make_long_job("b"))
        await anyio.sleep(SILENCE_S)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: has_run(context, "u0", JOB))
        context.has_run = True

    run_linked(context, play)


@when("a leader is killed while it runs a job that is sent to another one")
def kill_holder(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: has_run(context, "u0", JOB))
        first.kill()
        group.start_soon(second.submit, JOB)
        await wait_until(lambda: has_run(context, "u1", JOB))
        await anyio.sleep(OBSERVED_S)

    run_linked(context, play)


@when("a leader is killed to which another one has left a job")
def kill_after_defer(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: has_run(context, "u0", JOB))
        group.start_soon(second.submit, JOB)
        await wait_until(lambda: second.deferred == [JOB.id])
        context.ran_beside = has_run(context, "u1", JOB)
        first.kill()
        await wait_until(lambda: has_run(context, "u1", JOB))

    run_linked(context, play)


@then("the job runs")
def check_run(context: Context) -> None:
    assert context.has_run


@when("a job that may run in both failure domains is sent to a leader that leads one of them")
def submit_marked(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        with mock.patch.object(_session_manager, "REMOVED_UPSTREAM_WAIT_S", 0.0):
            await begin(context, first, second)
            submitted_s = time.monotonic()
            marks = EarlierRuns(domains={"z1": FIRST, "z2": FIRST})
            group.start_soon(second.submit, JOB, marks)
            await wait_until(lambda: has_run(context, "u1", JOB))
            context.waited_s = time.monotonic() - submitted_s

    run_linked(context, play)


@when("a job is sent to a leader while its question for another job is under way")
def submit_beside_question(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        first.hold_requests = anyio.Event()
        asked = first.requests
        group.start_soon(second.submit, make_long_job("b"))
        await wait_until(lambda: first.requests > asked)
        group.start_soon(second.submit, JOB)
        await anyio.sleep(0)
        first.hold_requests.set()
        released_s = time.monotonic()
        await wait_until(lambda: has_run(context, "u1", JOB))
        context.waited_s = time.monotonic() - released_s

    with mock.patch.object(_leader_links, "RETRY_S", LONG_RETRY_S):
        run_linked(context, play)


@then("the job starts less than {limit_s:g} s later")
def check_wait(context: Context, limit_s: float) -> None:
    assert context.waited_s < limit_s, context.waited_s


@when("a reply arrives after the job was left to the leader that sent it")
def report_late(context: Context) -> None:
    own, other = Holder("second", "1", "127.0.0.1:1"), Holder("first", "1", "127.0.0.1:2")
    terms = (Term("z1", other, FIRST), Term("z2", own, FIRST))
    context.clearances = JobClearances(own, lambda: terms)
    context.clearances.open(JOB.id)
    asked_s = time.monotonic()
    context.clearances.defer_job(JOB.id, other)
    free = LeaderReport(other, {"z1": FIRST}, frozenset(), {JOB.id: NotHeld()})
    context.clearances.apply_report(free, asked_s)
    assert context.clearances.find_holder(JOB.id) == other


@then("the job isn't cleared")
def check_not_cleared(context: Context) -> None:
    assert not context.clearances.is_cleared(JOB.id)


@when("a job is sent to the only leader")
def submit_to_single(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        second.learn(*first.begin_terms(FIRST, "z1", "z2"))
        first.see(context.infos, *context.infos)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: runs_anywhere(context, JOB))
        context.has_run = True
        context.requests = second.requests

    run_linked(context, play)


@then("no other host was asked")
def check_no_questions(context: Context) -> None:
    assert context.requests == 0, context.requests
