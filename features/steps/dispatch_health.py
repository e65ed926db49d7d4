"""Steps for upstream health, the retry budget and the targets of the dispatch policy."""

from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context

from fireflybridge_core import Cause, Done, MayHaveRun
from fireflybridge_dispatch import Denied, RetryBudget, UpstreamHealth
from fireflybridge_standins.policy_probe import (
    PolicyPerformance,
    measure_flood,
    measure_load,
)
from fireflybridge_tables import Pool, Upstream

LENGTH_S = 60.0
SUCCESS = Done(200, "", b"", "")
FAILURE = MayHaveRun(Cause.CONNECTION_BROKEN)


@dataclass
class Clock:
    """Hold the time of a scenario."""

    now: float = 50.0


@given("the dispatch health of {upstreams:d} upstreams with {slots:d} slots")
def make_health(context: Context, upstreams: int, slots: int) -> None:
    names = (f"u{i}" for i in range(upstreams))
    pool = Pool("p", tuple(Upstream(name, "127.0.0.1:1", slots, 64, "d") for name in names))
    context.clock = Clock()
    context.health = UpstreamHealth(pool, lambda: context.clock.now)
    for upstream in pool.upstreams:
        context.health.acquire(upstream.name)
        context.health.record(upstream.name, SUCCESS)


@when('dispatch upstream "{name}" fails {times:d} times')
def fail(context: Context, name: str, times: int) -> None:
    for _ in range(times):
        assert not isinstance(context.health.acquire(name), Denied), "ejected too early"
        context.health.record(name, FAILURE)


@when('dispatch upstreams "{names}" fail {times:d} times')
def fail_all(context: Context, names: str, times: int) -> None:
    for _ in range(times):
        for name in names.split(","):
            if not isinstance(context.health.acquire(name), Denied):
                context.health.record(name, FAILURE)


@when("{seconds:g} s pass for the dispatch health")
def pass_time(context: Context, seconds: float) -> None:
    context.clock.now += seconds


@when('the dispatch probe of "{name}" succeeds')
def succeed(context: Context, name: str) -> None:
    context.health.record(name, SUCCESS)


@then('dispatch upstream "{name}" answers a start with "{permission}"')
def check_permission(context: Context, name: str, permission: str) -> None:
    answer = context.health.acquire(name)
    assert type(answer).__name__ == permission, answer


@then('dispatch upstream "{name}" answers starts with "{permissions}"')
def check_permissions(context: Context, name: str, permissions: str) -> None:
    answers = [type(context.health.acquire(name)).__name__ for _ in permissions.split(",")]
    assert answers == permissions.split(","), answers


@then("{count:d} dispatch upstreams are ejected")
def check_ejected(context: Context, count: int) -> None:
    answers = [context.health.acquire(f"u{i}") for i in range(5)]
    assert sum(isinstance(answer, Denied) for answer in answers) == count, answers


@then(
    "{requests:d} dispatch requests in {seconds:d} s allow {retries:d} retries,"
    " and none {later:d} s later"
)
def check_retries(context: Context, requests: int, seconds: int, retries: int, later: int) -> None:
    clock = Clock()
    budget = RetryBudget(lambda: clock.now)
    for _ in range(requests):
        clock.now += seconds / requests
        budget.record_request()
    assert sum(budget.try_retry() for _ in range(requests)) == retries
    clock.now += later
    assert not budget.try_retry()


@when("the dispatch probe runs seed {seed:d} at loads {first:f} and {second:f}")
def run_loads(context: Context, seed: int, first: float, second: float) -> None:
    context.targets = {load: measure_load(seed, load, 2 * LENGTH_S) for load in (first, second)}


@when("the dispatch probe runs seed {seed:d} at load {load:f}")
def run_load(context: Context, seed: int, load: float) -> None:
    context.targets = {load: measure_load(seed, load, LENGTH_S)}


@when("the dispatch probe runs seeds {first:d} to {last:d} with and without a flood")
def run_flood(context: Context, first: int, last: int) -> None:
    context.floods = {seed: measure_flood(seed, LENGTH_S) for seed in range(first, last + 1)}


@then("dispatch goodput at {load:f} is at least {part:f} of the clairvoyant admission's")
def check_goodput(context: Context, load: float, part: float) -> None:
    targets: PolicyPerformance = context.targets[load]
    assert targets.goodput >= part * targets.ideal_goodput > 0, targets


@then("dispatch goodput at {second:f} is no lower than at {first:f}")
def check_overload(context: Context, second: float, first: float) -> None:
    assert context.targets[second].goodput >= context.targets[first].goodput, context.targets


@then("dispatch p99 of single requests is within 1.5 of the ideal and one residual slot time")
def check_short(context: Context) -> None:
    (targets,) = context.targets.values()
    assert 0 < targets.single_p99_s <= targets.single_bound_s, targets


@then("dispatch p99 of short jobs of the others rises by at most a tenth with each seed")
def check_flood(context: Context) -> None:
    for baseline_s, flood_s in context.floods.values():
        assert 0 < flood_s <= 1.1 * baseline_s, context.floods
