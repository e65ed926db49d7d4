"""Steps on the index of free upstreams and how a scheduler keeps it up to date."""

import time
from collections import Counter
from dataclasses import replace
from math import inf

import anyio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import strategies
from support.hypothesis_settings import deterministic_settings
from support.upstreams import NEEDS, EndlessConnector, describe_upstreams, make_job, wait_until

from fireflybridge_execution import DirectoryView, Scheduler
from fireflybridge_jobs import Answer, Job, NotRun, Resources, Succeeded
from fireflybridge_placement import (
    TaskRequirements,
    UpstreamCandidate,
    UpstreamIndex,
    choose_upstream,
)

EXAMPLES = 300

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
    scheduler = Scheduler(connector, lambda _event: None, lambda: None)
    context.answers = []

    async def submit(job: Job) -> Answer:
        answer = await scheduler.submit(job, 0.0, None)
        context.answers.append(answer)
        return answer

    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        scheduler.set_upstreams(DirectoryView(context.infos, time.monotonic()))
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
