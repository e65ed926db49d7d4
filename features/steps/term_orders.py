"""Steps on orders of events around a new term that could start a task twice."""

from dataclasses import replace

import anyio
from anyio.abc import TaskGroup
from behave import then, when
from behave.runner import Context
from support.sides import (
    RestartingUpstream,
    Side,
    answer_as_term_changes,
    observe,
    play_one,
    play_two,
    run_first,
)
from support.terms import HangingPollLog
from support.upstreams import describe_upstreams

from fireflybridge_execution import Rejected, RejectionReason
from fireflybridge_host._former_leaders import FormerLeaders
from fireflybridge_leadership import Holder, Leadership, Term


@when("an upstream out of reach leaves the directory for one read, late in the term")
def flap(context: Context) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        await run_first(context, first, group)
        second.reporting = {"u0", "u1"}
        second.scheduler.lead({"z1": 2000})
        with anyio.move_on_after(2.5):
            await second.follow()
        group.start_soon(second.submit)
        await anyio.sleep(0.1)
        assert not context.ups["u1"].alive
        u0 = second.infos.pop("u0")
        second.read()
        await anyio.sleep(0.1)
        second.infos["u0"] = u0
        second.read()
        await anyio.sleep(0.3)

    play_two(context, play)


@when("an upstream out of reach is first shown 2.5 s into the term")
def show_late(context: Context) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        await run_first(context, first, group)
        second.reporting = {"u0", "u1"}
        u0 = second.infos.pop("u0")
        second.scheduler.lead({"z1": 2000})
        with anyio.move_on_after(2.5):
            await second.follow()
        second.infos["u0"] = u0
        second.read()
        group.start_soon(second.submit)
        await anyio.sleep(0.3)

    play_two(context, play)


@when("the new leader can't read the directory, and the earlier one keeps a run alive")
def lead_blindly(context: Context) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        await run_first(context, first, group)
        second.read()
        second.reads = False
        second.scheduler.lead({"z1": 2000})
        group.start_soon(second.follow)
        await anyio.sleep(1.3)
        group.start_soon(second.submit)
        await anyio.sleep(0.5)
        group.start_soon(second.submit)
        await anyio.sleep(0.8)
        group.start_soon(second.submit)
        await anyio.sleep(0.5)

    play_two(context, play)


@when("its reports reach the directory {report_s:g} s apart, read every {read_s:g} s")
def report_rarely(context: Context, report_s: float, read_s: float) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        await run_first(context, first, group)
        second.reporting = {"u0", "u1"}
        second.scheduler.lead({"z1": 2000})
        group.start_soon(second.follow, report_s, read_s)
        await anyio.sleep(1.5)
        for _ in range(3):
            group.start_soon(second.submit)
            await anyio.sleep(0.7)

    play_two(context, play)


@when("an upstream restarts, and only an earlier leader reaches it then")
def restart(context: Context) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        second.network.cut.clear()
        second.reporting = {"u0", "u1"}
        second.scheduler.lead({"z1": 2000})
        with anyio.move_on_after(2.5):
            await second.follow()
        second.network.cut.add("u0")
        context.ups["u0"].restart()
        for side in (first, second):
            side.infos["u0"] = replace(side.infos["u0"], incarnation=2)
        second.read()
        await run_first(context, first, group)
        group.start_soon(second.submit)
        await anyio.sleep(0.3)

    play_two(context, play, RestartingUpstream)


@then("no two runs of a task were alive at one time around the new term")
def check_overlaps(context: Context) -> None:
    assert len(context.spans) >= 1, context.spans
    assert not context.overlaps, context.overlaps


@when("a refusal of the last term's token comes as the next term begins")
def refuse_late(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        await answer_as_term_changes(context, side, ups, Rejected(RejectionReason.FENCE))
        context.superseded = [s.info.id for s in side.scheduler._sessions if s.superseded]
        print("superseded under the new token:", context.superseded)
        await observe(context, side, ups)

    play_one(context, 2, play)


@when("a list under the last term's token comes as the next term begins")
def list_late(context: Context) -> None:
    async def play(context, side, ups, group) -> None:  # type: ignore[no-untyped-def]
        await answer_as_term_changes(context, side, ups, None)
        context.listed = [s.info.id for s in side.scheduler._sessions if s.synced]
        context.unknown = side.scheduler._gate.unknown_runs.upstreams

    play_one(context, 2, play)


@then("the upstream still counts as unlisted under the new token")
def check_unlisted(context: Context) -> None:
    assert "u1" not in context.listed, context.listed
    assert "u1" in context.unknown, (context.unknown, context.listed)


@when("the new leader adopts a run, and the earlier one no longer reaches it")
def adopt_and_restart(context: Context) -> None:
    async def play(context: Context, first: Side, second: Side, group: TaskGroup) -> None:
        await run_first(context, first, group)
        first.infos = describe_upstreams(2)
        await anyio.sleep(0.5)
        first.network.cut.add("u0")
        second.network.cut = {"u1"}
        second.reporting = {"u0", "u1"}
        second.scheduler.lead({"z1": 2000})
        group.start_soon(second.follow)
        group.start_soon(second.submit)
        await anyio.sleep(2.0)

    play_two(context, play)


class RecordingMonitor:
    """Note to which addresses terms are announced."""

    def __init__(self) -> None:
        self.told: set[str] = set()

    async def announce(self, terms: object, address: str) -> bool:
        """Acknowledge, except for the first leader."""
        self.told.add(address)
        return address != "x:1"


@when("two terms follow each other {how}")
def announce_twice(context: Context, how: str) -> None:
    holders = {name: Holder(name, "1", f"{name}:1") for name in ("x", "y", "own")}

    async def run() -> None:
        leadership = Leadership(HangingPollLog(), lambda _error: None)
        monitor = RecordingMonitor()
        leadership.add_terms((Term("z1", holders["x"], 1000),))
        former = FormerLeaders(holders["own"], leadership, monitor)  # type: ignore[arg-type]
        async with anyio.create_task_group() as group:
            group.start_soon(former.notify)
            await anyio.sleep(0.05)
            leadership.add_terms((Term("z1", holders["y"], 2000),))
            if how == "in turn":
                await anyio.sleep(0.05)
            leadership.add_terms((Term("z1", holders["own"], 3000),))
            await anyio.sleep(0.3)
            group.cancel_scope.cancel()
        context.told = monitor.told

    anyio.run(run)


@then("both former leaders are told of the newest term")
def check_told(context: Context) -> None:
    assert context.told == {"x:1", "y:1"}, context.told
