"""Steps on what an event costs a leader, by the calls of functions."""

import sys
import time
from collections.abc import Callable
from types import FrameType

import anyio
from behave import given, then, when
from behave.runner import Context
from support.upstreams import EndlessConnector, make_long_job, wait_until

from fireflybridge_clearances import JobClearances, LeaderReport, NotHeld
from fireflybridge_execution import DirectoryView, Scheduler
from fireflybridge_jobs import (
    Job,
    Resources,
    UpstreamInfo,
    UpstreamState,
)
from fireflybridge_leadership import Holder, Term
from fireflybridge_pauses import PauseMonitor

OWN = Holder("own", "1", "127.0.0.1:1")
OTHERS = tuple(Holder(f"other-{n}", "1", f"127.0.0.1:{n + 2}") for n in range(4))
TERMS = (Term("z0", OWN, 1000), *(Term(f"z{n + 1}", o, 1000) for n, o in enumerate(OTHERS)))
CAPACITY = Resources(16000, 65536, 0)
UPSTREAMS = 20
REPEATS = 20


def count_calls(act: Callable[[], object]) -> int:
    """Return how many functions an action calls."""
    calls = 0

    def note(_frame: FrameType, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        act()
    finally:
        sys.setprofile(None)
    return calls


def answer_all(scheduler: Scheduler, jobs: list[Job]) -> None:
    """Let every other leader clear all jobs."""
    for holder, term in zip(OTHERS, TERMS[1:], strict=True):
        holdings = {job.id: NotHeld() for job in jobs}
        report = LeaderReport(holder, {term.domain: term.fence}, frozenset(), holdings)
        scheduler.apply_report(report, time.monotonic())


def make_patient_job(name: str, tasks: int = 1) -> Job:
    job = make_long_job(name, tasks)
    policy = job.policy.__class__(job.policy.route, job.policy.pool, 0, 3, 60000, 60000, 1.6)
    return Job(job.id, job.spec, job.steps, policy, 60000)


@given(
    "leaders of 20 {room} upstreams with 100, 400 and 1600 waiting jobs beside 4 leaders that {state}"
)
def describe_leaders(context: Context, room: str, state: str) -> None:
    context.is_full = room == "full"
    context.has_replied = state == "have replied"


@when("{event} is measured at each of them")
def measure_all(context: Context, event: str) -> None:
    context.costs = [
        anyio.run(measure_event, event, waiting, context.is_full, context.has_replied)
        for waiting in (100, 400, 1600)
    ]


async def measure_event(event: str, waiting: int, is_full: bool, has_replied: bool) -> float:
    """Return the calls of an event at a leader with so many waiting jobs."""
    clearances = JobClearances(OWN, lambda: TERMS)
    scheduler = Scheduler(
        EndlessConnector(), lambda _event: None, lambda: None, PauseMonitor(), None, clearances
    )
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z0": 1000})
        infos = {
            f"u{n}": UpstreamInfo(f"u{n}", "desk", "u:1", "z0", UpstreamState.READY, CAPACITY)
            for n in range(UPSTREAMS)
        }
        scheduler.set_upstreams(DirectoryView(infos, time.monotonic(), store_answers=False))
        await wait_until(lambda: scheduler.can_start_tasks)
        if is_full:
            busy = make_patient_job("busy", 2 * UPSTREAMS)
            group.start_soon(scheduler.submit, busy, 0.0, None)
            await anyio.sleep(0)
            answer_all(scheduler, [busy])
            scheduler.capacity_changed()
        jobs = [make_patient_job(f"w{n}") for n in range(waiting)]
        for job in jobs:
            group.start_soon(scheduler.submit, job, 0.0, None)
        await anyio.sleep(0.05)
        if has_replied:
            answer_all(scheduler, jobs)
            scheduler.capacity_changed()
        await anyio.sleep(0.2)
        cost = sum(measure_once(event, scheduler, n) for n in range(REPEATS)) / REPEATS
        group.cancel_scope.cancel()
    return cost


def measure_once(event: str, scheduler: Scheduler, number: int) -> int:
    match event:
        case "a received job":
            received = scheduler.submit(make_patient_job(f"r{number}"), 0.0, None)
            calls = count_calls(lambda: received.send(None))
            received.close()
            return calls
        case "freed capacity":
            return count_calls(scheduler.capacity_changed)
        case "a list of questions":
            return count_calls(lambda: scheduler.list_questions(OTHERS[0]))
        case "a periodic review":
            return count_calls(scheduler.review_waiting)
        case _:
            raise AssertionError(event)


@then("none costs over 1.5 times as much as the one with 100 waiting jobs")
def check_costs(context: Context) -> None:
    assert max(context.costs) <= 1.5 * context.costs[0], context.costs
