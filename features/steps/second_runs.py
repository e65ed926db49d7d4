"""Steps on second runs of a task under two leaders that share their upstreams."""

import time
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context
from support.leased_upstreams import LeasedUpstream
from support.linked_leaders import LinkedLeader, run_linked
from support.shared_leaders import Leader, has_run, run_steps, start_on
from support.upstreams import describe_upstreams, make_job, make_long_job, wait_until

from fireflybridge_entry import Peer
from fireflybridge_jobs import EarlierRuns, Moved, TaskId
from fireflybridge_leadership import Holder

JOB = make_long_job("a", 1)
OTHER_JOB = make_long_job("b", 1)
FIRST, SECOND, THIRD = 1000, 2000, 3000
"""Fencing tokens of successive terms."""
RETRANSMIT_S = 1.3
LEASE_S = 0.6
UNKNOWN_RUNS_S = 2.0
OBSERVED_S = 1.0
SHORT_WAIT_MS = 1000
TERM_START_S = 1.0
PAUSE_S = 0.55
HEARTBEAT_S = 0.15
ENTRY = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0)


@given("two leaders of {count:d} upstreams that share their runs")
def given_leaders(context: Context, count: int) -> None:
    context.infos = describe_upstreams(count)
    context.upstreams = {name: LeasedUpstream(name) for name in context.infos}


@given("two leaders of {count:d} upstreams in separate failure domains that share their runs")
def given_domains(context: Context, count: int) -> None:
    given_leaders(context, count)
    context.infos["u1"] = replace(context.infos["u1"], failure_domain="z2")


@when("an upstream with an adopted run and an orphan leaves the directory")
def drop_adopted(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        await adopt_beside_orphan(context, first, second, group)
        second.see(context.infos, "u1")
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("an upstream with an adopted run and an orphan falls silent as its leader's token is newer")
def renew_beside_adopted(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        await adopt_beside_orphan(context, first, second, group)
        second.network.cut.add("u0")
        second.scheduler.lead({"z1": THIRD})
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


async def adopt_beside_orphan(
    context: Context, first: Leader, second: Leader, group: TaskGroup
) -> None:
    """Let the second leader adopt a job's run beside another run, and end the first leader.

    The orphan keeps it from extending the lease, of which it knows nothing.
    """
    first.scheduler.lead({"z1": FIRST})
    await start_on(context, first, group, "u0", JOB)
    await start_on(context, first, group, "u0", OTHER_JOB)
    first.network.cut.update(context.infos)
    second.scheduler.lead({"z1": SECOND})
    second.see(context.infos, *context.infos)
    await wait_until(lambda: second.has_listed == set(context.infos))
    group.start_soon(second.submit, JOB)
    await wait_until(lambda: second.scheduler.job_count)
    assert has_run(context, "u0", JOB)


@when("a job is sent again to a new leader whose directory has just lost the upstream of its run")
def submit_without_entry(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        await start_on(context, first, group, "u0", JOB)
        second.see(context.infos, *context.infos)
        second.see(context.infos, "u1")
        second.scheduler.lead({"z1": SECOND})
        await wait_until(lambda: second.has_listed == {"u1"})
        group.start_soon(second.submit, JOB)
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("a job is sent again to a new leader that loses the entry of its run after it was listed")
def submit_after_removal(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        await start_on(context, first, group, "u0", JOB)
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, *context.infos)
        await wait_until(lambda: second.has_listed == set(context.infos))
        second.see(context.infos, "u1")
        group.start_soon(second.submit, JOB)
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("a job is sent again to a new leader that reads the entry of its run only later in its term")
def submit_before_entry(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        await start_on(context, first, group, "u0", JOB)
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, "u1")
        await anyio.sleep(TERM_START_S + HEARTBEAT_S)
        second.see(context.infos, *context.infos)
        group.start_soon(second.submit, JOB)
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("the second leader adopts a job's run, and the first one leads again without reaching it")
def take_turns(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        await start_on(context, first, group, "u0", JOB)
        first.see(context.infos, *context.infos)
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, *context.infos)
        await wait_until(lambda: second.has_listed == set(context.infos))
        group.start_soon(second.submit, JOB)
        await wait_until(lambda: first.scheduler.is_superseded("z1"))
        await anyio.sleep(LEASE_S)
        first.network.cut.add("u0")
        first.scheduler.lead({"z1": THIRD})
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when(
    "the second leader starts a job anew, and the first one leads again without reaching that run"
)
def start_anew_between(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        first.see(context.infos, "u0")
        group.start_soon(first.submit, JOB, EarlierRuns({"u0": FIRST}))
        await wait_until(lambda: has_run(context, "u0", JOB))
        first.see(context.infos, *context.infos)
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, *context.infos)
        await wait_until(lambda: not has_run(context, "u0", JOB))
        await start_on(context, second, group, "u1", JOB)
        first.network.cut.add("u1")
        first.scheduler.lead({"z1": THIRD})
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("a leader that alone reaches an upstream is refused by the other one while a job runs there")
def refuse_beside_run(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        await start_on(context, first, group, "u0", JOB)
        await refuse_at_other(context, first, second, group)
        group.start_soon(second.submit, JOB, EarlierRuns(domains={"z1": FIRST}))
        await anyio.sleep(UNKNOWN_RUNS_S + OBSERVED_S)

    run_steps(context, play)


@when("a leader that alone reaches an upstream is refused by the other one and then gets a job")
def refuse_before_job(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        await refuse_at_other(context, first, second, group)
        group.start_soon(first.submit, JOB)
        await anyio.sleep(HEARTBEAT_S)
        group.start_soon(second.submit, JOB, EarlierRuns(domains={"z1": FIRST}))
        await anyio.sleep(UNKNOWN_RUNS_S + OBSERVED_S)

    run_steps(context, play)


async def refuse_at_other(
    context: Context, first: Leader, second: Leader, group: TaskGroup
) -> None:
    """Let the second leader reach only u1, which refuses the first one's holds from then on."""
    await start_on(context, first, group, "u1", OTHER_JOB)
    first.see(context.infos, *context.infos)
    await wait_until(lambda: first.has_listed == set(context.infos))
    second.network.cut.add("u0")
    second.scheduler.lead({"z1": SECOND})
    second.see(context.infos, *context.infos)
    await wait_until(lambda: first.scheduler.is_superseded("z1"))


@when("a job's failure domain gets another leader, to which its caller sends the job again")
def lose_domain(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        first.begin_terms(FIRST, "z1", "z2")
        await start_on(context, first, group, "u0", JOB)
        first.see(context.infos, *context.infos)
        await wait_until(lambda: first.has_listed == set(context.infos))
        second.learn(*first.leadership.terms.values())
        first.learn(*second.begin_terms(SECOND, "z1"))
        second.see(context.infos, *context.infos)
        await wait_until(lambda: second.has_listed == {"u0"})
        group.start_soon(second.submit, JOB)
        await anyio.sleep(LEASE_S + OBSERVED_S)

    run_linked(context, play)


@when("a job is sent again while its first run can't be stopped, and the leader is replaced")
def replace_while_stopping(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        caller = await start_on(context, first, group, "u0", JOB)
        first.network.cut.add("u0")
        second.network.cut.add("u0")
        caller.cancel()
        await anyio.sleep(0)
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: first.scheduler.job_count)
        context.ran_when_replaced = has_run(context, "u0", JOB)
        first.scheduler.lead({})
        await wait_until(lambda: first.answers)
        context.moved = first.answers[0]
        assert isinstance(context.moved, Moved), context.moved
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, *context.infos)
        group.start_soon(second.submit, JOB, context.moved.earlier)
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@then("the job is given back with the upstream of that run")
def check_moved_upstream(context: Context) -> None:
    assert context.ran_when_replaced
    assert context.moved.earlier is not None, context.moved
    assert "u0" in context.moved.earlier.upstreams, context.moved


@when("a job is sent again to the leader that runs it, just after its process was paused")
def submit_after_pause(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        group.start_soon(first.pauses.watch)
        first.scheduler.lead({"z1": FIRST})
        await start_on(context, first, group, "u0", JOB)
        await anyio.sleep(HEARTBEAT_S)
        context.ran_when_replaced = has_run(context, "u0", JOB)
        time.sleep(PAUSE_S)
        await first.submit(JOB)
        context.moved = first.answers[0]

    run_steps(context, play)


@when("a job is sent to the leaders of both failure domains")
def submit_to_both(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        terms = (*first.begin_terms(FIRST, "z1"), *second.begin_terms(FIRST, "z2"))
        for leader in (first, second):
            leader.learn(*terms)
            leader.see(context.infos, *context.infos)
        await start_on(context, first, group, "u0", JOB)
        group.start_soon(second.submit, JOB)
        await anyio.sleep(OBSERVED_S)

    run_linked(context, play)


@when("the first of two callers of a waiting job leaves")
def leave_before_start(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        async with anyio.create_task_group() as caller:
            caller.start_soon(first.submit, JOB, EarlierRuns({"u0": FIRST}))
            await anyio.sleep(0)
            group.start_soon(first.submit, JOB)
            await anyio.sleep(0)
            caller.cancel_scope.cancel()
        first.see(context.infos, *context.infos)
        await wait_until(lambda: any(has_run(context, name, JOB) for name in context.infos))

    run_steps(context, play)


@then("the job is started")
def check_started(context: Context) -> None:
    assert len(context.spans) == 1, context.spans


@when("a leader is told that a task which it runs is done, and the job's deadline comes")
def finish_running_task(context: Context) -> None:
    job = replace(make_job("c", 2), wait_ms=SHORT_WAIT_MS)
    done = TaskId(job.id, 0, 0, 0)

    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, "u1")
        group.start_soon(second.submit, job)
        await wait_until(lambda: len(context.upstreams["u1"].alive) == len(job.steps) + 1)
        group.start_soon(second.submit, job, EarlierRuns(done=frozenset({done})))
        await wait_until(lambda: len(second.answers) == 2)
        await anyio.sleep(max(second.answered_s) + RETRANSMIT_S - time.monotonic())
        context.still_alive = context.upstreams["u1"].alive

    run_steps(context, play)


@then("every run of the job has ended when its caller sends it again")
def check_ended(context: Context) -> None:
    assert not context.still_alive, context.still_alive


@when("a job is sent again to the same leader while its first run can't be stopped")
def submit_beside_stop(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        caller = await start_on(context, first, group, "u0", JOB)
        first.see(context.infos, *context.infos)
        first.network.lost_stops.add("u0")
        caller.cancel()
        group.start_soon(first.submit, JOB)
        await anyio.sleep(RETRANSMIT_S)
        first.network.lost_stops.clear()
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("a job is sent again to a leader that gets a newer token while it stops the first run")
def renew_beside_stop(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        caller = await start_on(context, first, group, "u0", JOB)
        first.see(context.infos, *context.infos)
        first.network.lost_stops.add("u0")
        caller.cancel()
        await anyio.sleep(0.05)
        first.scheduler.lead({"z1": SECOND})
        group.start_soon(first.submit, JOB)
        await anyio.sleep(RETRANSMIT_S)
        first.network.lost_stops.clear()
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@when("a start is under way while the next leader gets the list of runs and the job")
def start_late(context: Context) -> None:
    async def play(context: Context, first: Leader, second: Leader, group: TaskGroup) -> None:
        first.scheduler.lead({"z1": FIRST})
        first.see(context.infos, "u0")
        first.network.delays_starts = True
        group.start_soon(first.submit, JOB)
        await wait_until(lambda: first.network.late_starts)
        second.scheduler.lead({"z1": SECOND})
        second.see(context.infos, *context.infos)
        await wait_until(lambda: second.has_listed == set(context.infos))
        group.start_soon(second.submit, JOB)
        await wait_until(lambda: any(has_run(context, name, JOB) for name in context.infos))
        context.upstreams["u0"].start(first.network.late_starts[0], "first")
        await anyio.sleep(OBSERVED_S)

    run_steps(context, play)


@then("no two runs of a task were alive at one time")
def check_no_overlap(context: Context) -> None:
    assert context.spans
    assert not context.overlaps, context.overlaps
