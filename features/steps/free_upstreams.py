"""Steps on the index of free upstreams and how a scheduler keeps it up to date."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from math import inf

import anyio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import strategies
from support.hypothesis_settings import deterministic_settings
from support.upstreams import (
    CAPACITY,
    NEEDS,
    WAIT_LIMIT_S,
    EndlessConnector,
    EndlessUpstream,
    describe_upstreams,
    make_job,
    read_once,
    wait_until,
)

from fireflybridge_execution import Accepted, Scheduler, Stop
from fireflybridge_jobs import (
    Answer,
    EarlierRuns,
    Job,
    NotRun,
    Resources,
    RunningRun,
    Succeeded,
    TaskId,
)
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import (
    TaskRequirements,
    UpstreamCandidate,
    UpstreamIndex,
    choose_upstream,
)

EXAMPLES = 300
PLACEMENT_WAIT_S = 0.15  # several passes of the placement

_resources = strategies.builds(
    Resources, strategies.sampled_from((0, 2400, 9200, 16000, 24000)), strategies.just(65536)
)
_labels = strategies.sampled_from(("r1", "r2", "gpu"))
_speeds = strategies.one_of(strategies.just(1.0), strategies.floats(0.3, 3.0))


@strategies.composite
def _candidate_lists(draw: strategies.DrawFn) -> list[UpstreamCandidate]:
    count = draw(strategies.integers(0, 12))
    pools = strategies.sampled_from(("desk", "desk", "other"))
    return [
        UpstreamCandidate(
            f"u{index}",
            draw(pools),
            draw(_resources),
            draw(_speeds),
            tuple(draw(strategies.sets(_labels))),
        )
        for index in range(count)
    ]


_requirements = strategies.builds(
    TaskRequirements,
    pool=strategies.just("desk"),
    needs=strategies.builds(Resources, strategies.sampled_from((100, 6800, 9200))),
    work_ms=strategies.floats(0, 3000),
    required_label=strategies.sampled_from(("", "", "", "gpu")),
    data_rack=strategies.sampled_from(("", "", "", "r1")),
    objective_ms=strategies.one_of(strategies.just(inf), strategies.floats(-100, 3000)),
    limit_ms=strategies.one_of(strategies.just(inf), strategies.floats(0, 3000)),
    excluded=strategies.one_of(
        strategies.just(frozenset()), strategies.frozensets(strategies.sampled_from(("u0", "u1")))
    ),
)


def build_index(candidates: list[UpstreamCandidate]) -> UpstreamIndex:
    index = UpstreamIndex()
    for candidate in candidates:
        # What was known before must leave no trace.
        index.put(replace(candidate, speed=candidate.speed + 1, available=Resources(1)))
        index.put(candidate)
    return index


@then("for arbitrary free upstreams and tasks the index chooses at the lowest cost of all")
def check_choice(context: Context) -> None:
    @deterministic_settings(EXAMPLES)
    @for_all(_candidate_lists(), _requirements)
    def check(candidates: list[UpstreamCandidate], requirements: TaskRequirements) -> None:
        chosen = build_index(candidates).choose(requirements)
        expected = choose_upstream(requirements, candidates)
        if chosen is None or expected is None:
            assert chosen is expected, (chosen, expected)
            return
        # Of two upstreams that cost the same, either may be chosen.
        both = [next(c for c in candidates if c.id == name) for name in (chosen.id, expected)]
        assert choose_upstream(requirements, both) == chosen.id, (chosen, expected)

    check()


@then("for arbitrary free upstreams the index finds the fastest other one with room")
def check_fastest(context: Context) -> None:
    @deterministic_settings(EXAMPLES)
    @for_all(_candidate_lists())
    def check(candidates: list[UpstreamCandidate]) -> None:
        found = build_index(candidates).find_fastest_speed("desk", NEEDS, "u0")
        fitting = (
            candidate.speed
            for candidate in candidates
            if candidate.pool == "desk"
            and candidate.id != "u0"
            and NEEDS.fits_in(candidate.available)
        )
        assert found == max(fitting, default=None)

    check()


@given("a leader of {count:d} in-memory upstreams with room for two tasks each")
def given_leader(context: Context, count: int) -> None:
    context.infos = describe_upstreams(count)


@when("a job of {tasks:d} endless tasks is submitted to it")
def submit_endless_job(context: Context, tasks: int) -> None:
    anyio.run(fill_upstreams, context, tasks)


async def fill_upstreams(context: Context, tasks: int) -> None:
    """Fill the upstreams, submit a job that must wait, end a run and submit one more."""
    connector = EndlessConnector()
    scheduler = Scheduler(connector, lambda _event: None, lambda: None, PauseMonitor())
    context.answers = []

    async def submit(job: Job) -> Answer:
        answer = await scheduler.submit(job, 0.0, None)
        context.answers.append(answer)
        return answer

    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        scheduler.set_upstreams(read_once(context.infos))
        group.start_soon(submit, make_job("a", tasks))
        running = connector.upstreams.values
        await wait_until(lambda: sum(len(u.running) for u in running()) >= tasks)
        context.placed = Counter(
            {name: len(upstream.running) for name, upstream in connector.upstreams.items()}
        )
        await submit(make_job("b", 1))
        connector.upstreams["u1"].end_run()
        group.start_soon(submit, make_job("c", 1))
        full = connector.upstreams["u1"]
        await wait_until(lambda: any(run.task.job[0] == "c" for run in full.running))
        connector.upstreams["u1"].end_run()
        connector.upstreams["u1"].end_run()
        await wait_until(lambda: len(context.answers) == 2)
        group.cancel_scope.cancel()


@then("each upstream runs two of them")
def check_spread(context: Context) -> None:
    assert context.placed == Counter(dict.fromkeys(context.infos, 2)), context.placed


@then("a further job is refused until one of the runs ends")
def check_further_jobs(context: Context) -> None:
    refused, succeeded = context.answers
    assert isinstance(refused, NotRun), refused
    assert succeeded == Succeeded(), succeeded


class SlowUpstream(EndlessUpstream):
    """An endless upstream that counts the stops, which take effect when a test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Count the stop."""
        self.stops += 1
        return await super().stop(command, timeout_s)


@asynccontextmanager
async def lead_one(context: Context) -> AsyncIterator[Scheduler]:
    """Run a scheduler that leads the upstream of the scenario."""
    context.connector = EndlessConnector()
    context.upstream = context.connector.upstreams["u0"] = SlowUpstream()
    scheduler = Scheduler(context.connector, lambda _event: None, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        set_capacity(context, scheduler, CAPACITY)
        yield scheduler
        group.cancel_scope.cancel()


def set_capacity(context: Context, scheduler: Scheduler, capacity: Resources) -> None:
    infos = {name: replace(info, capacity=capacity) for name, info in context.infos.items()}
    scheduler.set_upstreams(read_once(infos))


async def submit_waiting(scheduler: Scheduler, job: Job) -> None:
    # A job that may have run already isn't refused for lack of room.
    await scheduler.submit(job, 0.0, EarlierRuns())


@when("its capacity shrinks to one task while two run and a third one waits")
def shrink(context: Context) -> None:
    anyio.run(run_shrinking, context)


async def run_shrinking(context: Context) -> None:
    """Shrink the capacity under two runs, end one of them, and grow it again."""
    async with lead_one(context) as scheduler, anyio.create_task_group() as group:
        upstream = context.upstream
        group.start_soon(submit_waiting, scheduler, make_job("a", 2))
        await wait_until(lambda: upstream.starts == 2)
        set_capacity(context, scheduler, replace(CAPACITY, cpu_millicores=NEEDS.cpu_millicores))
        group.start_soon(submit_waiting, scheduler, make_job("b", 1))
        await anyio.sleep(PLACEMENT_WAIT_S)
        upstream.end_run()
        await wait_until(lambda: upstream.acknowledged == 1)
        await anyio.sleep(PLACEMENT_WAIT_S)
        context.starts_shrunk = upstream.starts
        set_capacity(context, scheduler, CAPACITY)
        with anyio.move_on_after(WAIT_LIMIT_S):
            await wait_until(lambda: upstream.starts == 3)
        context.starts_grown = upstream.starts
        group.cancel_scope.cancel()


@then("the third isn't started when one of them has ended")
def check_shrunk(context: Context) -> None:
    assert context.starts_shrunk == 2, context.starts_shrunk


@then("it is started when the capacity has grown again")
def check_grown(context: Context) -> None:
    assert context.starts_grown == 3, context.starts_grown


@when("it stops the run of an earlier leader while a job waits")
def stop_orphan(context: Context) -> None:
    anyio.run(run_beside_orphan, context)


async def run_beside_orphan(context: Context) -> None:
    """Submit a job while an earlier leader's run is being stopped, then let that run end."""
    async with lead_one(context) as scheduler, anyio.create_task_group() as group:
        upstream = context.upstream
        upstream.running.append(RunningRun(TaskId("e" * 16, 0, 0, 0), 1, 50))
        group.start_soon(submit_waiting, scheduler, make_job("a", 1))
        await wait_until(lambda: upstream.stops)
        await anyio.sleep(PLACEMENT_WAIT_S)
        context.starts_beside = upstream.starts
        upstream.end_run()
        with anyio.move_on_after(WAIT_LIMIT_S):
            await wait_until(lambda: upstream.starts)
        context.starts_after = upstream.starts
        group.cancel_scope.cancel()


@then("the waiting job is started once that run has ended")
def check_beside_orphan(context: Context) -> None:
    assert context.starts_beside == 0, context.starts_beside
    assert context.starts_after == 1, context.starts_after
