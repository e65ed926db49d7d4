"""Steps on the decisions of a leader, without any process."""

from dataclasses import replace
from itertools import permutations

import anyio
from behave import given, then, when
from behave.runner import Context

from fireflybridge_jobs import Job, QueuePolicy, Resources, Step
from fireflybridge_leadership import (
    Appended,
    AppendResult,
    Conflict,
    Holder,
    Leadership,
    Term,
    TermsRead,
    begin_provisional_term,
    compute_fence,
    select_terms,
)
from fireflybridge_placement import (
    Candidate,
    Demand,
    Estimates,
    Health,
    Progress,
    TimeLimits,
    choose_upstream,
    compute_rank,
    compute_refusal_time,
    record_failure,
    record_success,
    should_move,
)

ROOM = Resources(16000, 32768, 0)
NEEDS = Resources(6800, 64, 0)


def make_job(target_ms: float = 60) -> Job:
    policy = QueuePolicy("orders", "desk", 0, 3, 1500, target_ms, 1.6)
    return Job("0" * 16, "work", (Step(1, NEEDS, 50),), policy, 1500)


def name_upstream(speed: float) -> str:
    return f"u-{speed}"


@then(
    "a run of {work:d} ms at {percent:d} percent after {elapsed:d} ms with {left:d} ms left is {verdict}"
)
def _(context: Context, work: int, percent: int, elapsed: int, left: int, verdict: str) -> None:
    progress = Progress(elapsed, percent, work, 1.0)
    limits = TimeLimits(left, 3 * left, 10 * left)
    assert should_move(progress, limits, 1.6) == (verdict == "moved")


@given("upstreams of speed 0.6, 1.0 and 1.6 with room")
def _(context: Context) -> None:
    context.candidates = {
        name_upstream(speed): Candidate(
            name_upstream(speed), "desk", ROOM, speed, (f"rack-{speed}",)
        )
        for speed in (0.6, 1.0, 1.6)
    }
    context.demand = Demand("desk", NEEDS, 0)


@when("the upstream of speed {speed:f} has no room")
def _(context: Context, speed: float) -> None:
    name = name_upstream(speed)
    context.candidates[name] = replace(context.candidates[name], room=Resources(6000, 32768, 0))


@when("the task has failed on the upstream of speed {speed:f}")
def _(context: Context, speed: float) -> None:
    context.demand = replace(context.demand, excluded=frozenset({name_upstream(speed)}))


@when("the objective of the task is {objective_ms:d} ms")
def _(context: Context, objective_ms: int) -> None:
    context.demand = replace(context.demand, objective_ms=objective_ms)


@when("the task must be done in {limit_ms:d} ms")
def _(context: Context, limit_ms: int) -> None:
    context.demand = replace(context.demand, limit_ms=limit_ms)


@when('the task requires label "{label}"')
def _(context: Context, label: str) -> None:
    context.demand = replace(context.demand, required_label=label)


@when("the data of the task is on the rack of the upstream of speed {speed:f}")
def _(context: Context, speed: float) -> None:
    context.demand = replace(context.demand, data_rack=f"rack-{speed}")


@then("a task of {work_ms:d} ms goes to the upstream of speed {speed:f}")
def _(context: Context, work_ms: int, speed: float) -> None:
    demand = replace(context.demand, work_ms=work_ms)
    assert choose_upstream(demand, context.candidates.values()) == name_upstream(speed)


@then("a task of {work_ms:d} ms goes nowhere")
def _(context: Context, work_ms: int) -> None:
    demand = replace(context.demand, work_ms=work_ms)
    assert choose_upstream(demand, context.candidates.values()) is None


@then(
    "a job with a chain of {first:d} ms goes ahead of one of {second:d} ms received {ms:d} ms earlier"
)
def _(context: Context, first: int, second: int, ms: int) -> None:
    job = make_job()
    assert compute_rank(job, 10.0, first) < compute_rank(job, 10.0 - ms / 1000, second)


@then(
    "a job with a chain of {first:d} ms goes ahead of one of {second:d} ms received {ms:d} ms later"
)
def _(context: Context, first: int, second: int, ms: int) -> None:
    job = make_job()
    assert compute_rank(job, 10.0, first) < compute_rank(job, 10.0 + ms / 1000, second)


@then(
    "a job with a chain of {chain:d} ms and a target of {target:d} ms is refused after at most {most:d} ms"
)
def _(context: Context, chain: int, target: int, most: int) -> None:
    assert 0 < compute_refusal_time(make_job(target), 0.0, chain) <= most / 1000


@when(
    '{runs:d} runs with an estimate of {estimate:d} ms take {fast:d} ms on "fast" and {slow:d} ms on "slow"'
)
def _(context: Context, runs: int, estimate: int, fast: int, slow: int) -> None:
    context.estimates = Estimates()
    for _run in range(runs):
        context.estimates.record("orders", "fast", estimate, fast)
        context.estimates.record("orders", "slow", estimate, slow)


@then('the speed of "fast" is over twice that of "slow"')
def _(context: Context) -> None:
    speeds = context.estimates
    assert speeds.get_speed("fast") > 2 * speeds.get_speed("slow")


@then('one straggler of {elapsed:d} ms changes the speed of "fast" by less than a fifth')
def _(context: Context, elapsed: int) -> None:
    before = context.estimates.get_speed("fast")
    context.estimates.record("orders", "fast", 100, elapsed)
    assert context.estimates.get_speed("fast") > 0.8 * before


def find_health(context: Context) -> Health:
    return getattr(context, "health", Health())


@when('a run of job "{job}" fails on an upstream')
def _(context: Context, job: str) -> None:
    context.now_s = getattr(context, "now_s", 100.0)
    context.before = find_health(context)
    context.health = record_failure(context.before, job, context.now_s)


@when("the ejection has ended")
def _(context: Context) -> None:
    context.now_s = context.health.ejected_until_s


@when("a run succeeds on the upstream")
def _(context: Context) -> None:
    context.health = record_success(context.health)


@then("the upstream admits a run beside {runs:d}")
def _(context: Context, runs: int) -> None:
    assert context.health.admits(context.now_s, runs), context.health


@then("the upstream admits no run")
def _(context: Context) -> None:
    assert not context.health.admits(context.now_s, 0), context.health


@then("the upstream admits no run beside {runs:d}")
def _(context: Context, runs: int) -> None:
    assert not context.health.admits(context.now_s, runs), context.health


@then("the next ejection is twice as long")
def _(context: Context) -> None:
    first_s = Health().ejection_s
    assert context.health.ejected_until_s - context.now_s == 2 * first_s, context.health


def make_term(fence: int) -> Term:
    return Term("z1", Holder(f"h{fence}", "1", "127.0.0.1:1"), fence)


@then(
    "of terms with tokens {a:d}, {b:d} and {c:d} in any order the one with {newest:d} is in force"
)
def _(context: Context, a: int, b: int, c: int, newest: int) -> None:
    for terms in permutations(map(make_term, (a, b, c))):
        assert select_terms({}, terms)["z1"].fence == newest, terms


@then("a provisional term after {fence:d} is newer than it and older than the next in the log")
def _(context: Context, fence: int) -> None:
    term = begin_provisional_term(make_term(fence), make_term(1).holder, 0)
    assert term.provisional
    assert fence < term.fence < compute_fence(fence // 1000), term


@then("{ranks:d} provisional ranks after one term stay below the next in the log")
def _(context: Context, ranks: int) -> None:
    lost = make_term(compute_fence(4))
    terms = (begin_provisional_term(lost, lost.holder, rank) for rank in range(ranks))
    assert all(lost.fence < term.fence < compute_fence(5) for term in terms)


class DeafLog:
    """A log of terms whose long polls hear nothing; reads that don't wait are answered."""

    def __init__(self) -> None:
        self.terms: list[Term] = []

    async def read_newest(self) -> TermsRead:
        """Return every term."""
        return TermsRead(tuple(self.terms), len(self.terms))

    async def read_since(self, offset: int, wait_s: float) -> TermsRead:
        """Return the terms from an offset on, unless the call waits."""
        if wait_s > 0:
            await anyio.sleep_forever()
        return TermsRead(tuple(self.terms[offset:]), len(self.terms))

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> AppendResult:
        """Append a term for each failure domain if the log ends at an offset."""
        if end != len(self.terms):
            return Conflict(len(self.terms))
        first = len(self.terms)
        found = tuple(
            Term(domain, holder, compute_fence(first + index))
            for index, domain in enumerate(domains)
        )
        self.terms.extend(found)
        return Appended(found, len(self.terms))


@given("a host that follows a log whose long polls hear nothing")
def _(context: Context) -> None:
    context.log = DeafLog()
    context.leadership = Leadership(context.log, lambda _error: None)


@when("another host appends a term and this host claims")
def _(context: Context) -> None:
    async def claim() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(context.leadership.follow)
            await context.leadership.changed.wait()
            await context.log.append(("z1",), make_term(1).holder, 0)
            await context.leadership.claim(("z1",), make_term(2).holder)
            group.cancel_scope.cancel()

    anyio.run(claim)


@then("this host knows the other's term")
def _(context: Context) -> None:
    assert context.leadership.terms["z1"].holder == make_term(1).holder
