"""Steps for the scheduling and leadership decisions of a leader, without host processes."""

from dataclasses import replace
from itertools import permutations

import anyio
from behave import given, then, when
from behave.runner import Context
from support.terms import HangingPollLog
from support.upstreams import read_once

from fireflybridge_execution import Accepted, Hold, Scheduler, Start, Stop
from fireflybridge_jobs import (
    EarlierRuns,
    EndedRun,
    Job,
    Moved,
    Resources,
    RoutePolicy,
    RunningRun,
    RunOutcome,
    RunReport,
    Step,
    Succeeded,
    TaskId,
    TimedOut,
    UpstreamInfo,
    UpstreamState,
)
from fireflybridge_leadership import (
    Holder,
    Leadership,
    Term,
    begin_provisional_term,
    compute_fence,
    select_newest_terms,
)
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import (
    Health,
    RunProgress,
    TaskRequirements,
    TimeLimits,
    UpstreamCandidate,
    WorkEstimator,
    choose_upstream,
    compute_latest_start,
    compute_refusal_time,
    compute_run_time_limit,
    record_failure,
    record_success,
    should_move,
)

CAPACITY = Resources(16000, 32768, 0)
NEEDS = Resources(6800, 64, 0)


def make_job(target_ms: float = 60) -> Job:
    policy = RoutePolicy("orders", "desk", 0, 3, 1500, target_ms, 1.6)
    return Job("0" * 16, "work", (Step(1, NEEDS, 50),), policy, 1500)


def get_upstream_id(speed: float) -> str:
    return f"u-{speed}"


@then(
    "a run of {work:d} ms at {percent:d} percent after {elapsed:d} ms with {left:d} ms left is {verdict}"
)
def _(context: Context, work: int, percent: int, elapsed: int, left: int, verdict: str) -> None:
    progress = RunProgress(elapsed, percent, work, 1.0)
    limits = TimeLimits(left, 3 * left, 10 * left)
    assert should_move(progress, limits, 1.6) == (verdict == "moved")


@then(
    "a {which} run of {work:d} ms at {percent:d} percent after {elapsed:d} ms with {left:d} ms left is {verdict}"
)
def _(
    context: Context, which: str, work: int, percent: int, elapsed: int, left: int, verdict: str
) -> None:
    progress = RunProgress(elapsed, percent, work, 1.0, moves=int(which == "second"))
    limits = TimeLimits(left, left, left)
    assert should_move(progress, limits, 1.6) == (verdict == "moved")


@given("upstreams of speed 0.6, 1.0 and 1.6 with free capacity")
def _(context: Context) -> None:
    context.candidates = {
        get_upstream_id(speed): UpstreamCandidate(
            get_upstream_id(speed), "desk", CAPACITY, speed, (f"rack-{speed}",)
        )
        for speed in (0.6, 1.0, 1.6)
    }
    context.requirements = TaskRequirements("desk", NEEDS, 0)


@when("the upstream of speed {speed:f} has no free capacity")
def _(context: Context, speed: float) -> None:
    name = get_upstream_id(speed)
    context.candidates[name] = replace(
        context.candidates[name], available=Resources(6000, 32768, 0)
    )


@when("the task has failed on the upstream of speed {speed:f}")
def _(context: Context, speed: float) -> None:
    context.requirements = replace(
        context.requirements, excluded=frozenset({get_upstream_id(speed)})
    )


@when("the objective of the task is {objective_ms:d} ms")
def _(context: Context, objective_ms: int) -> None:
    context.requirements = replace(context.requirements, objective_ms=objective_ms)


@when("the task must be done in {limit_ms:d} ms")
def _(context: Context, limit_ms: int) -> None:
    context.requirements = replace(context.requirements, limit_ms=limit_ms)


@when('the task requires label "{label}"')
def _(context: Context, label: str) -> None:
    context.requirements = replace(context.requirements, required_label=label)


@when("the data of the task is on the rack of the upstream of speed {speed:f}")
def _(context: Context, speed: float) -> None:
    context.requirements = replace(context.requirements, data_rack=f"rack-{speed}")


@then("a task of {work_ms:d} ms is placed on the upstream of speed {speed:f}")
def _(context: Context, work_ms: int, speed: float) -> None:
    requirements = replace(context.requirements, work_ms=work_ms)
    assert choose_upstream(requirements, context.candidates.values()) == get_upstream_id(speed)


@then("a task of {work_ms:d} ms is not placed")
def _(context: Context, work_ms: int) -> None:
    requirements = replace(context.requirements, work_ms=work_ms)
    assert choose_upstream(requirements, context.candidates.values()) is None


@then(
    "a job with a critical path of {first:d} ms precedes one of {second:d} ms received {ms:d} ms earlier"
)
def _(context: Context, first: int, second: int, ms: int) -> None:
    job = make_job()
    assert compute_latest_start(job, 10.0, first) < compute_latest_start(
        job, 10.0 - ms / 1000, second
    )


@then(
    "a job with a critical path of {first:d} ms precedes one of {second:d} ms received {ms:d} ms later"
)
def _(context: Context, first: int, second: int, ms: int) -> None:
    job = make_job()
    assert compute_latest_start(job, 10.0, first) < compute_latest_start(
        job, 10.0 + ms / 1000, second
    )


@then(
    "a job with a critical path of {critical_path:d} ms and a target of {target:d} ms is refused after at most {most:d} ms"
)
def _(context: Context, critical_path: int, target: int, most: int) -> None:
    assert 0 < compute_refusal_time(make_job(target), 0.0, critical_path) <= most / 1000


@when(
    '{runs:d} runs with an estimate of {estimate:d} ms take {fast:d} ms on "fast" and {slow:d} ms on "slow"'
)
def _(context: Context, runs: int, estimate: int, fast: int, slow: int) -> None:
    context.estimator = WorkEstimator()
    for _run in range(runs):
        context.estimator.record("orders", "fast", estimate, fast)
        context.estimator.record("orders", "slow", estimate, slow)


@then('the speed of "fast" is over twice that of "slow"')
def _(context: Context) -> None:
    speeds = context.estimator
    assert speeds.get_speed("fast") > 2 * speeds.get_speed("slow")


@when(
    "the runs of {count:d} upstreams take {equal:d} ms each with an estimate of {estimate:d} ms,"
    " and of one {fastest:d} ms"
)
def _(context: Context, count: int, equal: int, estimate: int, fastest: int) -> None:
    context.estimator = WorkEstimator()
    context.equal = [f"u{number}" for number in range(count)]
    for _ in range(40):
        for name in context.equal:
            context.estimator.record("orders", name, estimate, equal)
        context.estimator.record("orders", "fastest", estimate, fastest)


@then("a task of {work:d} ms with {left:d} ms left may be placed on any of the {count:d}")
def _(context: Context, work: int, left: int, count: int) -> None:
    speeds = context.estimator
    limit_ms = compute_run_time_limit(work, left, speeds.get_fast_speed())
    assert count == sum(work / speeds.get_speed(name) <= limit_ms for name in context.equal)


@then('one straggler of {elapsed:d} ms changes the speed of "fast" by less than a fifth')
def _(context: Context, elapsed: int) -> None:
    before = context.estimator.get_speed("fast")
    context.estimator.record("orders", "fast", 100, elapsed)
    assert context.estimator.get_speed("fast") > 0.8 * before


def get_health(context: Context) -> Health:
    return getattr(context, "health", Health())


@when('a run of job "{job}" fails on an upstream')
def _(context: Context, job: str) -> None:
    context.now_s = getattr(context, "now_s", 100.0)
    context.before = get_health(context)
    context.health = record_failure(context.before, job, context.now_s)


@when("the ejection has ended")
def _(context: Context) -> None:
    context.now_s = context.health.ejected_until_s


@when("a run succeeds on the upstream")
def _(context: Context) -> None:
    context.health = record_success(context.health)


@then("the upstream admits a run in addition to {runs:d}")
def _(context: Context, runs: int) -> None:
    assert context.health.admits(context.now_s, runs), context.health


@then("the upstream admits no run")
def _(context: Context) -> None:
    assert not context.health.admits(context.now_s, 0), context.health


@then("the upstream admits no run in addition to {runs:d}")
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
        assert select_newest_terms({}, terms)["z1"].fence == newest, terms


def make_holder(host: int, life: int) -> Holder:
    return Holder(f"h{host}", f"{life:012x}", f"127.0.0.{host}:7720")


def begin_term(lost: Term, holder: Holder) -> Term:
    term = begin_provisional_term(lost, holder)
    assert term is not None
    return term


@then("a provisional term after one in the log is newer than it and older than the next in the log")
def _(context: Context) -> None:
    lost = make_term(compute_fence(1))
    term = begin_term(lost, lost.holder)
    assert term.provisional
    assert compute_fence(1) < term.fence < compute_fence(2), term


@then("provisional terms of {hosts:d} hosts in two lives each have different fencing tokens")
def _(context: Context, hosts: int) -> None:
    lost = make_term(compute_fence(4))
    holders = (make_holder(host, life) for host in range(hosts) for life in (1, 2))
    fences = [begin_term(lost, holder).fence for holder in holders]
    assert len(set(fences)) == 2 * hosts, fences
    assert all(compute_fence(4) < fence < compute_fence(5) for fence in fences)


@then("of {count:d} provisional terms in a row each is newer than the last, or there is none left")
def _(context: Context, count: int) -> None:
    term = make_term(compute_fence(4))
    for life in range(count):
        following = begin_provisional_term(term, make_holder(life % 3, life))
        if following is None:
            assert life > 1000, life
            return
        assert term.fence < following.fence < compute_fence(5)
        term = following
    raise AssertionError("terms follow each other without end")


@given("a host that follows a log whose long polls never return")
def _(context: Context) -> None:
    context.log = HangingPollLog()
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


class InMemoryUpstream:
    """An in-memory upstream that ends every run after a hold that extends the lease lists it."""

    def __init__(self, running: tuple[RunningRun, ...] = ()) -> None:
        self.running = list(running)
        self.started: list[Start] = []
        self.ended: list[EndedRun] = []
        self.incarnation = 1

    async def start(self, command: Start, timeout_s: float) -> Accepted:
        """Start a run."""
        self.started.append(command)
        self.running.append(RunningRun(command.task, command.number, 0))
        return Accepted(1000.0)

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Stop a run."""
        self.running = [run for run in self.running if run.task != command.task]
        return Accepted(1000.0)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the runs; those that it lists as running have ended at the next hold."""
        await anyio.sleep(0.01)
        running = tuple(self.running)
        ended = tuple(end for end in self.ended if end.sequence > command.acknowledged)
        if command.lease_until_ms is not None:
            first = len(self.ended) + 1
            self.ended += [
                EndedRun(first + index, run.task, run.number, RunOutcome.DONE)
                for index, run in enumerate(running)
            ]
            self.running.clear()
        return RunReport(1000.0, 1, running, ended)

    async def close(self) -> None:
        """Do nothing, as there is no connection."""


class InMemoryConnector:
    """Connector to in-memory upstreams, by id."""

    def __init__(self, upstreams: dict[str, InMemoryUpstream]) -> None:
        self._upstreams = upstreams

    def open(self, upstream: UpstreamInfo) -> InMemoryUpstream:
        """Return the upstream itself, which also serves as its connection."""
        return self._upstreams[upstream.id]


class BusyUpstream(InMemoryUpstream):
    """An in-memory upstream whose runs never end."""

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the running runs."""
        await anyio.sleep(0.01)
        return RunReport(1000.0, 1, tuple(self.running), ())


EARLIER_RUNS_EXPIRED_S = 2.2  # longer than unknown runs of an earlier leader can live
BEFORE_NEXT_TERM_S = 0.08  # shorter than the scheduler's wait for a term that is about to arrive


@given('a host that has led failure domain "{domain}" of two beyond the lifetime of earlier runs')
def _(context: Context, domain: str) -> None:
    earlier = RunningRun(TaskId("0" * 16, 0, 0, 0), 1, 10)
    context.upstreams = {"z1": InMemoryUpstream(), "z2": InMemoryUpstream((earlier,))}


@when("a job is submitted to it again")
def _(context: Context) -> None:
    anyio.run(resubmit_job, context)


async def resubmit_job(context: Context) -> None:
    """Submit a job to the leader of z1 with an earlier run in z2, then let it lead z2 as well."""
    infos = describe_upstreams(context)
    scheduler = make_scheduler(context)
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        scheduler.set_upstreams(read_once(infos))
        await anyio.sleep(EARLIER_RUNS_EXPIRED_S)
        group.start_soon(submit_job, context, scheduler, EarlierRuns({"z2": 500}))
        await anyio.sleep(BEFORE_NEXT_TERM_S)
        record_early_starts(context)
        scheduler.lead({"z1": 1000, "z2": 2000})
        await wait_for_answer(context)
        group.cancel_scope.cancel()


def describe_upstreams(context: Context) -> dict[str, UpstreamInfo]:
    return {
        name: UpstreamInfo(name, "desk", f"{name}:1", name, UpstreamState.READY, CAPACITY)
        for name in context.upstreams
    }


def make_scheduler(context: Context) -> Scheduler:
    connector = InMemoryConnector(context.upstreams)
    return Scheduler(connector, lambda _event: None, lambda: None, PauseMonitor())


async def submit_job(context: Context, scheduler: Scheduler, earlier: EarlierRuns | None) -> None:
    job = replace(make_job(1000), steps=(Step(2, NEEDS, 50),))
    context.answer = await scheduler.submit(job, 0.0, earlier)


def record_early_starts(context: Context) -> None:
    context.early_starts = [command for u in context.upstreams.values() for command in u.started]


async def wait_for_answer(context: Context) -> None:
    with anyio.move_on_after(5):
        while not hasattr(context, "answer"):
            await anyio.sleep(0.01)


@given("a host that leads every failure domain and whose directory lacks an upstream")
def _(context: Context) -> None:
    earlier = RunningRun(TaskId("0" * 16, 0, 0, 0), 1, 10)
    context.upstreams = {"z1": InMemoryUpstream(), "z2": InMemoryUpstream((earlier,))}


@when("the previous leader hands over a job that runs on that upstream")
def _(context: Context) -> None:
    anyio.run(run_takeover, context, EarlierRuns({"z2": 500}))


@when("a lost leader's job is submitted to it")
def _(context: Context) -> None:
    anyio.run(run_takeover, context, EarlierRuns(domains={"z1": 500, "z2": 500}))


async def run_takeover(context: Context, earlier: EarlierRuns) -> None:
    """Submit a job while the entry of z2 has expired, then restore the entry."""
    infos = describe_upstreams(context)
    remaining = {"z1": infos["z1"]}
    scheduler = make_scheduler(context)
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.set_upstreams(read_once(infos))
        scheduler.set_upstreams(read_once(remaining))
        scheduler.lead({"z1": 1000, "z2": 2000})
        scheduler.set_upstreams(read_once(remaining))
        group.start_soon(submit_job, context, scheduler, earlier)
        await anyio.sleep(BEFORE_NEXT_TERM_S)
        record_early_starts(context)
        scheduler.set_upstreams(read_once(infos))
        await wait_for_answer(context)
        group.cancel_scope.cancel()


@then("the job is abandoned without a start")
def _(context: Context) -> None:
    assert not any(u.started for u in context.upstreams.values())
    assert isinstance(context.answer, TimedOut), context.answer


@given("a leader with a job running on one of two upstreams")
def _(context: Context) -> None:
    context.upstreams = {"z1": BusyUpstream(), "z2": InMemoryUpstream()}


@when("it stops leading")
def _(context: Context) -> None:
    anyio.run(stop_leading, context)


async def stop_leading(context: Context) -> None:
    """Lead until both tasks of a job run, then lead no failure domain."""
    infos = describe_upstreams(context)
    scheduler = make_scheduler(context)
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000, "z2": 2000})
        scheduler.set_upstreams(read_once({"z1": infos["z1"]}))
        group.start_soon(submit_job, context, scheduler, None)
        with anyio.move_on_after(5):
            while len(context.upstreams["z1"].started) < 2:
                await anyio.sleep(0.01)
        scheduler.set_upstreams(read_once(infos))
        scheduler.lead({})
        await wait_for_answer(context)
        group.cancel_scope.cancel()


@then("the job's answer names the upstream that runs it")
def _(context: Context) -> None:
    assert context.answer == Moved(EarlierRuns({"z1": 1000})), context.answer


@then("none of its tasks is started")
def _(context: Context) -> None:
    assert not context.early_starts, context.early_starts


@when('the host leads "z2" as well and knows the runs there')
def _(context: Context) -> None:
    assert hasattr(context, "answer"), "the job has no answer"


@then('the job\'s task that runs in "z2" is adopted and the other is started once')
def _(context: Context) -> None:
    started = [command.task.index for u in context.upstreams.values() for command in u.started]
    assert started == [1], started
    assert context.answer == Succeeded(), context.answer


class RecordingUpstream(InMemoryUpstream):
    """An in-memory upstream with an endless run of an earlier leader that records its holds."""

    def __init__(self) -> None:
        super().__init__()
        self.holds: list[Hold] = []

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Record the hold and return the run of the earlier leader."""
        self.holds.append(command)
        await anyio.sleep(0.01)
        return RunReport(1000.0, 1, (RunningRun(TaskId("1" * 16, 0, 0, 0), 1, 10),), ())


@given("a host that begins to lead an upstream with a run of an earlier leader")
def _(context: Context) -> None:
    context.upstream = RecordingUpstream()


@when("it has asked the upstream for its runs several times")
def _(context: Context) -> None:
    anyio.run(record_holds, context.upstream)


async def record_holds(upstream: RecordingUpstream) -> None:
    """Lead an upstream until it has received three holds."""
    info = UpstreamInfo("u1", "desk", "u1:1", "z1", UpstreamState.READY, CAPACITY)
    connector = InMemoryConnector({"u1": upstream})
    scheduler = Scheduler(connector, lambda _event: None, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        scheduler.set_upstreams(read_once({"u1": info}))
        with anyio.move_on_after(5):
            while len(upstream.holds) < 3:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


@then("no hold extended the lease")
def _(context: Context) -> None:
    leases = [hold.lease_until_ms for hold in context.upstream.holds]
    assert leases == [None] * 3, leases
