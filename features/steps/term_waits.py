"""Steps on how long a new term may hold up jobs."""

import time
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup
from behave import then, when
from behave.runner import Context
from support.sides import (
    JOB,
    RefusingUpstream,
    Side,
    observe,
    play_one,
    play_two,
)
from support.terms import HangingPollLog
from support.upstreams import CrashingUpstream

from fireflybridge_entry import Peer, PeerService
from fireflybridge_entry._codec import Submission, encode_heartbeat, encode_submission
from fireflybridge_execution._events import UnexpectedError
from fireflybridge_jobs import EarlierRuns, Succeeded, TaskId
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import PauseMonitor


@then("the job starts on u0 within 1 s of its submission")
def check_started(context: Context) -> None:
    assert context.starts == 1, (context.starts, context.answers)


@when("an unlisted upstream leaves, its domain is handed over, and it is shown again")
def leak(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        side.infos["u1"] = replace(side.infos["u1"], failure_domain="z2")
        ups["u1"].silent = True
        side.reporting = {"u0", "u1"}
        side.scheduler.lead({"z1": 1000, "z2": 1000})
        with anyio.move_on_after(1.0):
            await side.follow()
        u1 = side.infos.pop("u1")
        side.read()
        side.scheduler.lead({"z1": 1000})
        side.infos["u1"] = u1
        with anyio.move_on_after(3.0):
            await side.follow()
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("an upstream registers long after the term began, reports itself and never replies")
def register_late(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        ups["u1"].silent = True
        u1 = side.infos.pop("u1")
        side.reporting = {"u0", "u1"}
        side.scheduler.lead({"z1": 1000})
        with anyio.move_on_after(2.5):
            await side.follow()
        side.infos["u1"] = u1
        with anyio.move_on_after(3.0):
            await side.follow()
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("an upstream reports itself and doesn't reply for 6 s from the start of the term on")
def unreachable(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        ups["u1"].silent = True
        side.reporting = {"u0", "u1"}
        side.scheduler.lead({"z1": 1000})
        with anyio.move_on_after(5.0):
            await side.follow()
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("an upstream of another led domain refuses the token and reports itself")
def refuse_other(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        side.infos["u1"] = replace(side.infos["u1"], failure_domain="z2")
        side.network.upstreams["u1"] = RefusingUpstream()
        side.reporting = {"u0", "u1"}
        side.scheduler.lead({"z1": 1000, "z2": 1000})
        with anyio.move_on_after(3.0):
            await side.follow()
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("one of {count:d} upstreams of a domain refuses the token")
def refuse_many(context: Context, count: int) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        side.network.upstreams["u0"] = RefusingUpstream()
        side.scheduler.lead({"z1": 1000})
        began_s = time.process_time()
        side.read()
        await anyio.sleep(1.0)
        context.cpu_s = time.process_time() - began_s
        sessions = list(side.scheduler._sessions)
        context.superseded = sum(session.superseded for session in sessions)
        context.errors = [e for e in side.events if isinstance(e, UnexpectedError)]

    play_one(context, count, play)


@then("all {count:d} are superseded without an unexpected error")
def check_superseded(context: Context, count: int) -> None:
    shown = [repr(e)[:300] for e in context.errors[:1]]
    assert not context.errors, (context.superseded, len(context.errors), shown)
    assert context.superseded == count, context.superseded


@when("a second submission says that the only task of the first step is done")
def learn_done(context: Context) -> None:
    step = JOB.steps[0]
    job = replace(JOB, steps=(step, replace(step, after=(0,))))

    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        side.scheduler.lead({"z1": 1000})
        side.read()
        group.start_soon(side.follow)
        await anyio.sleep(0.1)
        group.start_soon(side.submit, job)
        await anyio.sleep(0.3)
        assert ups["u0"].starts == 1
        done = frozenset({TaskId(job.id, 0, 0, 0)})
        group.start_soon(side.submit, job, EarlierRuns(done=done))
        await anyio.sleep(1.0)
        tasks = {run.task.step for run in ups["u0"].running}
        context.released = tasks

    play_one(context, 1, play)


@then("the task of the second step is placed within 1 s")
def check_released(context: Context) -> None:
    assert 1 in context.released, context.released


@when("a restarted entry host submits a job just before its first heartbeat")
def submit_before_heartbeat(context: Context) -> None:
    async def run() -> None:
        cancelled: list[bool] = []

        class Waiting:
            job_count = 0

            async def submit(self, *_: object) -> object:
                try:
                    await anyio.sleep(0.5)
                except BaseException:
                    cancelled.append(True)
                    raise
                return Succeeded()

        leadership = Leadership(HangingPollLog(), lambda _error: None)
        leader = Peer(Holder("h1", "1", "127.0.0.1:1"), "z1", 1.0)
        entry = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0)
        leadership.add_terms((Term("z1", leader.holder, 1000),))
        service = PeerService(leader, Waiting(), leadership, PauseMonitor())  # type: ignore[arg-type]
        await service.handle(encode_heartbeat(entry))
        restarted = replace(entry, holder=replace(entry.holder, incarnation="2"))
        async with anyio.create_task_group() as group:
            # The new process submits what was waiting; its heartbeat is the next message.
            group.start_soon(service.handle, encode_submission(Submission("h2", JOB, 0, None, "2")))
            await anyio.sleep(0.05)
            await service.handle(encode_heartbeat(restarted))
        context.cancelled = cancelled

    anyio.run(run)


@then("the job is not cancelled")
def check_not_cancelled(context: Context) -> None:
    assert not context.cancelled


@when("a leader of one domain gets a second one just after a read of the directory")
def gain_domain(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        side.infos["u1"] = replace(side.infos["u1"], failure_domain="z2")
        side.scheduler.lead({"z1": 1000})
        group.start_soon(side.follow)
        await anyio.sleep(0.45)
        side.scheduler.lead({"z1": 1000, "z2": 1000})
        began_s = time.monotonic()
        group.start_soon(side.submit)
        with anyio.fail_after(3):
            while not ups["u0"].starts and not ups["u1"].starts:
                await anyio.sleep(0.005)
        context.waited_s = time.monotonic() - began_s

    play_one(context, 2, play)


@then("a job waits less than {limit:g} s for its start")
def check_wait(context: Context, limit: float) -> None:
    assert context.waited_s < limit, context.waited_s


@when("a superseded domain is led again under a higher token")
def reopen(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        refusing = RefusingUpstream()
        side.network.upstreams["u1"] = refusing
        side.reporting = {"u0", "u1"}
        side.scheduler.lead({"z1": 1000})
        with anyio.move_on_after(1.0):
            await side.follow()
        assert all(s.superseded for s in side.scheduler._sessions)
        side.network.upstreams["u1"] = CrashingUpstream()
        side.scheduler.lead({"z1": 2000})
        with anyio.move_on_after(0.5):
            await side.follow()
        side.network.upstreams["u1"].silent = True
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("one upstream refuses every token, and the domain is claimed again")
def refuse_all(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        side.network.upstreams["u1"] = RefusingUpstream()
        for fence in (1000, 2000):
            side.scheduler.lead({"z1": fence})
            with anyio.move_on_after(2.5):
                await side.follow()
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("every stop to an upstream is lost while another job runs there")
def lose_stops(context: Context) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        first.network.lost_stops.add("u0")
        first.scheduler.lead({"z1": 1000})
        first.read()
        first.reads = False
        group.start_soon(first.follow)
        other = replace(JOB, id="b" * 16)
        scope = anyio.CancelScope()

        async def leave() -> None:
            with scope:
                await first.submit(other)

        group.start_soon(leave)
        group.start_soon(first.submit)
        await anyio.sleep(0.5)
        assert len(context.ups["u0"].alive) == 2
        left_s = time.monotonic()
        scope.cancel()
        await anyio.sleep(2.5)
        own = [span for span in context.ups["u0"].spans if span.task.job == JOB.id]
        context.runs = [
            (round(s.started_s - left_s, 2), s.ended_s and round(s.ended_s - left_s, 2))
            for s in own
        ]

    play_two(context, play)


@then("the other job's run is not ended")
def check_other(context: Context) -> None:
    assert len(context.runs) == 1, context.runs
    assert context.runs[0][1] is None, context.runs


@when("a job waits {wait_s:g} s into a term for an upstream that reports itself and never replies")
def wait_long(context: Context, wait_s: float) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        ups["u1"].silent = True
        side.reporting = {"u0", "u1"}
        side.scheduler.lead({"z1": 1000})
        with anyio.move_on_after(wait_s - 2):
            await side.follow()
        group.start_soon(side.follow)
        began_s = time.monotonic()
        await side.submit()
        print("answer", side.answers, "after", round(time.monotonic() - began_s, 2), "s")
        context.starts, context.answers = ups["u0"].starts, side.answers

    play_one(context, 2, play)


@when("one upstream of a domain refuses the token, and another one registers then")
def register_after_refusal(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        ups["u0"] = RefusingUpstream()
        infos = dict(side.infos)
        side.infos = {"u0": infos["u0"]}
        side.scheduler.lead({"z1": 1000})
        side.read()
        await anyio.sleep(0.3)
        assert side.scheduler.is_superseded("z1")
        side.infos = infos
        side.read()
        await anyio.sleep(0.3)
        context.listed_s = side.scheduler._sessions.find("u1").listed_s

    play_one(context, 2, play)


@then("the new upstream gets no command")
def check_no_command(context: Context) -> None:
    assert context.listed_s is None
