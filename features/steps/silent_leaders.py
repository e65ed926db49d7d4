"""Steps on leaders that fall silent, and what that costs the other failure domains."""

import time
from dataclasses import replace
from unittest import mock

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context
from support.leased_upstreams import LeasedConnection, LeasedNetwork, LeasedUpstream
from support.linked_leaders import (
    FIRST,
    RESUBMISSION_DELAY_S,
    LinkedLeader,
    begin,
    delay_replies,
    run_linked,
)
from support.shared_leaders import has_run
from support.upstreams import describe_upstreams, make_long_job, read_once, wait_until

from fireflybridge_clearances import JobClearances, LeaderReport, NotHeld
from fireflybridge_entry._question_codec import decode_question
from fireflybridge_execution import Scheduler
from fireflybridge_execution._command_sender import COMMAND_CONNECTIONS
from fireflybridge_http import Request, Response, Server, ServerLimits
from fireflybridge_jobs import Job, JobSender, Resources, UpstreamInfo
from fireflybridge_leadership import Holder, Term
from fireflybridge_pauses import PauseMonitor

JOB = make_long_job("a")
SETTLED_S = 0.4
"""The leaders have exchanged reports by then."""
CHANGE_INTERVAL_S = 0.5
CHANGES = 8
SUBMISSION_INTERVAL_S = 0.2
OBSERVED_S = 0.5


async def measure_start(context: Context, leader: LinkedLeader, group: TaskGroup, job: Job) -> None:
    """Append the seconds until a job's start, or until the wait for it ends."""
    began_s = time.monotonic()
    group.start_soon(leader.submit_new, job)
    with anyio.move_on_after(2.0):
        await wait_until(lambda: has_run(context, "u0", job))
    context.waits_s.append(time.monotonic() - began_s)


@when("a job is sent to a leader while another one has just fallen silent")
def submit_beside_silent(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        await anyio.sleep(SETTLED_S)
        second.hold_requests = anyio.Event()
        context.waits_s = []
        await measure_start(context, first, group, JOB)
        context.started_after_s = context.waits_s[0]

    run_linked(context, play)


@when("a job is sent to a leader while another failure domain's new leader waits for a list")
def submit_beside_listing(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        await anyio.sleep(SETTLED_S)
        second.network.cut = {"u1"}
        first.learn(*second.begin_terms(SECOND, "z2"))
        context.waits_s = []
        await measure_start(context, first, group, JOB)
        context.started_after_s = context.waits_s[0]

    run_linked(context, play)


@when(
    "a job is sent to a leader each 0.2 s while another failure domain gets a silent leader each 0.5 s"
)
def submit_beside_changes(context: Context) -> None:
    context.infos["u0"] = replace(context.infos["u0"], capacity=Resources(640000, 655360, 0))

    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        await anyio.sleep(SETTLED_S)
        second.hold_requests = anyio.Event()
        context.waits_s = []
        silent = Server("127.0.0.1:0", _never_answer, ServerLimits())
        address = await group.start(silent.serve, group)

        async def change() -> None:
            for number in range(CHANGES):
                await anyio.sleep(CHANGE_INTERVAL_S)
                first.learn(Term("z2", Holder(f"next-{number}", "1", address), FIRST + number + 1))

        async with anyio.create_task_group() as measurements:
            measurements.start_soon(change)
            for number in range(round(CHANGES * CHANGE_INTERVAL_S / SUBMISSION_INTERVAL_S)):
                job = make_long_job(f"j{number}")
                measurements.start_soon(measure_start, context, first, group, job)
                await anyio.sleep(SUBMISSION_INTERVAL_S)

    run_linked(context, play)


async def _never_answer(_request: Request) -> Response:
    await anyio.sleep_forever()
    raise AssertionError


@then("each of the jobs starts within {limit_s:g} s, and the last {count:d} within {last_s:g} s")
def check_waits(context: Context, limit_s: float, count: int, last_s: float) -> None:
    assert max(context.waits_s) < limit_s, context.waits_s
    assert max(context.waits_s[-count:]) < last_s, context.waits_s


@when("a failure domain gets a new leader while 400 jobs wait at another one")
def change_beside_waiting(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        await anyio.sleep(SETTLED_S)
        for number in range(400):
            group.start_soon(first.submit_new, make_long_job(f"j{number}"))
        await anyio.sleep(SETTLED_S)
        context.questions = 0

        async def count_questions(request: Request) -> Response:
            if request.path.endswith("questions"):
                context.questions += len(decode_question(request.body).jobs)
            return Response(500)

        successor = Server("127.0.0.1:0", count_questions, ServerLimits())
        address = await group.start(successor.serve, group)
        first.learn(Term("z2", Holder("third", "1", address), FIRST + 1))
        await anyio.sleep(OBSERVED_S)

    run_linked(context, play)


@then("the new leader gets at most {limit:d} questions about jobs in 0.5 s")
def check_questions(context: Context, limit: int) -> None:
    assert context.questions <= limit, context.questions


SECOND = 2000
LISTED_LATE_S = 0.4
SLOW_REPLY_S = 0.3
AFTER_S = 1.0
LISTED_WITHIN_S = 0.2


@when(
    "the caller of a running job sends it to the other leader 1.3 s after the first time, {state}"
)
def submit_again(context: Context, state: str) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        third = LinkedLeader(context, "third")
        await group.start(third.serve)
        await anyio.sleep(SETTLED_S)
        sent_s = time.monotonic()
        group.start_soon(second.submit_new, JOB)
        await wait_until(lambda: has_run(context, "u1", JOB))
        if "0.3 s" in state:
            delay_replies(second, lambda: anyio.sleep(SLOW_REPLY_S))
        await anyio.sleep(sent_s + RESUBMISSION_DELAY_S - 0.1 - time.monotonic())
        if "killed" in state:
            second.kill()
        elif "new leader" in state:
            if "late" in state:
                third.network.cut = {"u1"}
            third.learn(*first.leadership.terms.values())
            first.learn(*third.begin_terms(SECOND, "z2"))
            third.see(context.infos, *context.infos)
        await anyio.sleep(0.1)
        group.start_soon(first.submit_new, JOB)
        await anyio.sleep(LISTED_LATE_S)
        third.network.cut = set()
        second.learn(*third.leadership.terms.values())
        await anyio.sleep(AFTER_S)

    run_linked(context, play)


@when("a running job reaches the other leader by a submission that was sent 0.5 s before")
def submit_held_up(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        await anyio.sleep(SETTLED_S)
        group.start_soon(second.submit_new, JOB)
        await wait_until(lambda: has_run(context, "u1", JOB))
        group.start_soon(first.scheduler.submit, JOB, 0.5, None, JobSender(max_age_s=0.5))
        await anyio.sleep(AFTER_S)
        context.placed = first.placed

    run_linked(context, play)


@then("the other leader has placed nothing")
def check_nothing_placed(context: Context) -> None:
    assert not context.placed, context.placed


OWN, OTHER = Holder("own", "1", "127.0.0.1:1"), Holder("other", "1", "127.0.0.1:2")


def make_clearances(terms: list[Term], delay_s: float) -> JobClearances:
    """Return the clearances of a leader to which another one reports now."""
    clearances = JobClearances(OWN, lambda: terms, delay_s)
    report = LeaderReport(OTHER, {"z2": FIRST}, frozenset(), {}, knows_runs=True)
    clearances.apply_report(report, time.monotonic())
    return clearances


@given("a leader whose reports another one has had until now")
def report_once(context: Context) -> None:
    context.terms = [Term("z1", OWN, FIRST), Term("z2", OTHER, FIRST)]
    context.clearances = make_clearances(context.terms, RESUBMISSION_DELAY_S)


def is_cleared(clearances: JobClearances, job: str) -> bool:
    clearances.open(job, 0.0, 1.0)
    return clearances.is_cleared(job)


@then("a job that has just been sent is cleared")
def check_new_job(context: Context) -> None:
    assert is_cleared(context.clearances, "a")


@then("one that is sent 0.9 s later isn't")
def check_later_job(context: Context) -> None:
    time.sleep(0.9)
    assert not is_cleared(context.clearances, "b")


@then("neither is one under a term that the other leader hasn't been told of")
def check_new_term(context: Context) -> None:
    terms = context.terms.copy()
    clearances = make_clearances(terms, RESUBMISSION_DELAY_S)
    terms[0] = Term("z1", OWN, SECOND)
    assert not is_cleared(clearances, "c")


@then("neither is one of a caller that may send a job again at any time")
def check_hasty_caller(context: Context) -> None:
    assert not is_cleared(make_clearances(context.terms, 0.0), "d")


UPSTREAM_COUNT, DEAD_COUNT = 60, 20


@when("a leader that does nothing else gets 60 upstreams, the first 20 of which don't reply")
def open_sessions(context: Context) -> None:
    infos = describe_upstreams(UPSTREAM_COUNT)
    upstreams = {name: LeasedUpstream(name) for name in infos}
    network = LeasedNetwork("leader", upstreams)
    network.cut = set(list(infos)[:DEAD_COUNT])
    context.opened_in_a_row = []

    async def run() -> None:
        scheduler = Scheduler(network, lambda _event: None, lambda: None, PauseMonitor())
        opened = 0
        open_connection = network.open

        def count_opened(info: UpstreamInfo) -> LeasedConnection:
            nonlocal opened
            opened += 1
            return open_connection(info)

        network.open = count_opened  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            group.start_soon(scheduler.serve)
            scheduler.lead({"z1": FIRST})
            scheduler.set_upstreams(read_once(infos))
            began_s = time.monotonic()
            while time.monotonic() < began_s + LISTED_WITHIN_S:
                before = opened
                await anyio.sleep(0)
                context.opened_in_a_row.append(opened - before)
            context.listed = sum(session.synced for session in scheduler._sessions)
            group.cancel_scope.cancel()

    anyio.run(run)


@then("it has asked at most {count:d} of them for their runs before it does anything else")
def check_opened(context: Context, count: int) -> None:
    connections = 1 + COMMAND_CONNECTIONS
    assert max(context.opened_in_a_row) <= count * connections, max(context.opened_in_a_row)


@then("the others have listed their runs within 0.2 s")
def check_listed(context: Context) -> None:
    assert context.listed == UPSTREAM_COUNT - DEAD_COUNT, context.listed


@when("a leader asks another one about a job, and the replies don't mention it")
def leave_job_out(context: Context) -> None:
    async def play(first: LinkedLeader, second: LinkedLeader, group: TaskGroup) -> None:
        await begin(context, first, second)
        answer = second.scheduler.answer_questions

        def answer_nothing(own: Holder, asker: Holder, *_: object) -> LeaderReport:
            return answer(own, asker, ())

        second.scheduler.answer_questions = answer_nothing  # type: ignore[method-assign]
        group.start_soon(first.submit, JOB)
        before = second.requests
        await anyio.sleep(OBSERVED_S)
        context.messages = second.requests - before

    run_linked(context, play)


@then("the other leader gets at most {limit:d} messages in 0.5 s")
def check_messages(context: Context, limit: int) -> None:
    assert context.messages <= limit, context.messages


SOON_REFUSED_MS = 1000.0


@when("a waiting job whose sender is silent is cleared, and then another leader gets a new term")
def lose_clearance(context: Context) -> None:
    terms = [Term("z1", OWN, FIRST), Term("z2", OTHER, FIRST)]
    clearances = JobClearances(OWN, lambda: terms)
    step = replace(JOB.steps[0], estimate_ms=SOON_REFUSED_MS)
    job = replace(JOB, steps=(step,))
    sender = JobSender("silent", still_waits=lambda: False)
    infos = describe_upstreams(1)
    network = LeasedNetwork("own", {name: LeasedUpstream(name) for name in infos})

    async def run() -> None:
        scheduler = Scheduler(
            network, lambda _event: None, lambda: None, PauseMonitor(), None, clearances
        )
        async with anyio.create_task_group() as group:
            group.start_soon(scheduler.serve)
            scheduler.lead({"z1": FIRST})
            scheduler.set_upstreams(read_once(infos))
            await wait_until(lambda: scheduler.can_start_tasks)
            group.start_soon(scheduler.submit, job, 0.0, None, sender)
            await anyio.sleep(0.05)
            free = LeaderReport(OTHER, {"z2": FIRST}, frozenset(), {job.id: NotHeld()})
            scheduler.apply_report(free, time.monotonic())
            await anyio.sleep(0.05)
            terms[1] = Term("z2", OTHER, SECOND)
            await anyio.sleep(SETTLED_S)
            with mock.patch.object(clearances, "is_cleared", wraps=clearances.is_cleared) as looks:
                await anyio.sleep(OBSERVED_S)
            context.looks = looks.call_count
            group.cancel_scope.cancel()

    anyio.run(run)


@then("its clearance is looked at no more than {limit:d} times in 0.5 s")
def check_looks(context: Context, limit: int) -> None:
    assert context.looks <= limit, context.looks
