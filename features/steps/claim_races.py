"""Steps for concurrent claims through several registrars and several clocks."""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import anyio
from behave import given, then, when
from behave.runner import Context
from hypothesis import example, seed, settings, strategies
from hypothesis import given as given_data
from support.claims import INCARNATIONS, KEYS, RETENTION_S, claim_all, make_batch, make_claim

from fireflybridge_claims import (
    Attempt,
    Batch,
    Claim,
    Conflict,
    Decision,
    Granted,
    HeldBy,
    Pending,
    Registrar,
    RegistrarLimits,
    ShardView,
    Start,
    Started,
    Undecided,
    apply_batch,
    decide,
    decide_start,
    decode_record,
)
from fireflybridge_standins.claim_probe import Fault, MemoryLog


def check_decision(claim: Claim, decision: Decision, winners: dict[bytes, Claim]) -> None:
    """Check a decision against the first record of the key in the whole stream."""
    winner = winners.get(claim.key_hash)
    match decision:
        case Granted():
            assert winner == claim, (claim, winner)
        case HeldBy(executor, attempt):
            assert winner is not None, claim
            assert (
                (winner.executor, winner.attempt)
                == (executor, attempt)
                != (
                    claim.executor,
                    claim.attempt,
                )
            ), (claim, winner)
            assert winner.digest == claim.digest, (claim, winner)
        case Conflict(executor):
            assert winner is not None, claim
            assert winner.digest != claim.digest, (claim, winner)
            assert winner.executor == executor, (claim, winner)


def find_winners(log: MemoryLog) -> dict[bytes, Claim]:
    winners: dict[bytes, Claim] = {}
    for payload in log.payloads:
        batch = decode_record(payload)
        assert isinstance(batch, Batch), batch
        for claim in batch.claims:
            winners.setdefault(claim.key_hash, claim)
    return winners


async def race_registrars(log: MemoryLog, rounds: list[list[tuple[int, Claim]]]) -> Counter[str]:
    """Run two registrars on one log, check every decision and count them by kind."""
    limits = RegistrarLimits(min_interval_s=0.0, max_pause_s=0.01, claim_timeout_s=0.03)
    registrars = [
        Registrar(log, 0, INCARNATIONS[n], anyio.current_time, limits=limits) for n in "ab"
    ]
    answers: list[tuple[Claim, Decision]] = []

    async def claim_one(registrar: Registrar, claim: Claim) -> None:
        answers.append((claim, await registrar.claim(claim)))

    async with anyio.create_task_group() as runners:
        for registrar in registrars:
            runners.start_soon(registrar.run)
        for batch in rounds:
            async with anyio.create_task_group() as callers:
                for index, claim in batch:  # 2: to both, as after a lost answer of the first
                    for registrar in registrars if index == 2 else registrars[index : index + 1]:
                        callers.start_soon(claim_one, registrar, claim)
        runners.cancel_scope.cancel()
    log.apply_delayed_appends()
    log.faults.clear()
    log.read_faults.clear()
    winners = find_winners(log)
    for claim, decision in answers:
        check_decision(claim, decision, winners)
    late_registrar = Registrar(log, 0, INCARNATIONS["c"], anyio.current_time)
    late = [make_claim(key, "c", 99) for key in range(3)]
    for claim, decision in zip(late, await claim_all(late_registrar, late), strict=True):
        check_decision(claim, decision, find_winners(log))
    return Counter(type(decision).__name__ for _, decision in answers)


@then("claims through two registrars on a faulty log agree with the stream")
def step_race(context: Context) -> None:
    decisions: Counter[str] = Counter()
    planned: Counter[Fault] = Counter()
    faults = strategies.lists(strategies.sampled_from(Fault), max_size=12)
    claims = strategies.tuples(
        strategies.integers(0, 2),
        strategies.integers(0, 2),
        strategies.sampled_from("ab"),
        strategies.booleans(),
    )
    rounds = strategies.lists(
        strategies.lists(claims, min_size=1, max_size=5), min_size=1, max_size=4
    )

    @seed(20261204)
    @settings(max_examples=150, derandomize=True, database=None, deadline=None)
    @given_data(faults, strategies.lists(strategies.booleans(), max_size=6), rounds)
    def race(
        append_faults: list[Fault], reads: list[bool], drawn: list[list[tuple[int, int, str, bool]]]
    ) -> None:
        log = MemoryLog(
            faults=deque(append_faults),
            read_faults=deque(Fault.REFUSE if fails else Fault.NONE for fails in reads),
            slow_s=0.001,
        )
        numbers = iter(range(1, 100))
        planned.update(append_faults)
        decisions.update(
            anyio.run(
                race_registrars,
                log,
                [
                    [
                        (index, make_claim(key, executor, next(numbers), bytes([other]) * 16))
                        for index, key, executor, other in batch
                    ]
                    for batch in drawn
                ],
            )
        )

    race()
    assert set(planned) == set(Fault), planned
    assert {"Granted", "HeldBy", "Conflict"} <= set(decisions), decisions


@dataclass(frozen=True, slots=True)
class Step:
    """Read of the stream through a view, or a claim that is acted on ``delay_s`` seconds later."""

    wait_s: float
    view: int
    executor: str = ""
    abandon: bool = False
    delay_s: float = 0.0


def read_stream(view: ShardView, stream: list[Batch]) -> None:
    while view.next_offset < len(stream):
        apply_batch(view, stream[view.next_offset], view.next_offset)


def list_starts(steps: Iterable[Step]) -> list[float]:
    """Return the times at which two executors start the submission of one key."""
    stream: list[Batch] = []
    views = [ShardView(RETENTION_S, 10), ShardView(RETENTION_S, 10)]
    abandoned: dict[str, tuple[Attempt, ...]] = {"a": (), "b": ()}
    started: dict[str, tuple[int, float]] = {}
    starts, now = [], 0.0
    for number, step in enumerate(steps, 1):
        now += step.wait_s
        view, executor = views[step.view], step.executor
        view.advance(now)
        if not executor:
            read_stream(view, stream)
            continue
        claim, attempt = make_claim(0, executor, number), Attempt(number, now)
        decision = decide(claim, view)
        if isinstance(decision, Undecided):
            stream.append(make_batch(claim))
            read_stream(view, stream)
            decision = decide(claim, view)
            assert not isinstance(decision, Undecided)
        if step.abandon:
            abandoned[executor] += (attempt,)
            continue
        now += step.delay_s
        local: Any = Pending(INCARNATIONS[executor], attempt, abandoned[executor])
        if executor in started and now - started[executor][1] < RETENTION_S:
            local = Started(INCARNATIONS[executor], started[executor][0])
        action = decide_start(local, decision, now, RETENTION_S)
        if isinstance(action, Start):
            started[executor] = (action.attempt, now)
            starts.append(now)
    return starts


# Fails when a later record of a held key does not extend its entry.
EXTENDED_ENTRY = [
    Step(0.0, 0, "a"),
    Step(1.0, 1),
    Step(600.5, 0, "b"),
    Step(0.0, 1),
    Step(1.0, 1, "a"),
]
# Fails when entries expire early, or when an abandoned attempt may start for the whole retention.
LATE_START = [Step(0.0, 0, "a", abandon=True), Step(290.0, 0, "a"), Step(200.0, 0, "b")]
LATER_START = [Step(0.0, 0, "a", abandon=True), Step(590.0, 0, "a"), Step(20.0, 0, "b")]


@then("claim views that expire at different times allow no early second start")
def step_expiry(context: Context) -> None:
    seen: Counter[int] = Counter()
    times = strategies.sampled_from([0.0, 1.0, 290.0, 310.0, 600.5])
    step = strategies.builds(
        Step,
        times,
        strategies.integers(0, 1),
        strategies.sampled_from(["", "a", "b"]),
        strategies.booleans(),
        strategies.sampled_from([0.0, 310.0]),
    )

    @seed(20261204)
    @settings(max_examples=1000, derandomize=True, database=None, deadline=None)
    @given_data(strategies.lists(step, max_size=8))
    @example(EXTENDED_ENTRY)
    @example(LATE_START)
    @example(LATER_START)
    def check(steps: list[Step]) -> None:
        starts = list_starts(steps)
        seen[len(starts)] += 1
        for earlier, later in pairwise(starts):
            assert later - earlier >= RETENTION_S / 2, (starts, steps)

    check()
    assert seen[2] > 0, seen


@given("a claim view with a retention of {retention_s:g} s")
def step_view(context: Context, retention_s: float) -> None:
    context.view = ShardView(retention_s, 10)


@when('claim of "{executor}" is applied at {now_s:g} s')
def step_apply(context: Context, executor: str, now_s: float) -> None:
    context.view.advance(now_s)
    apply_batch(context.view, make_batch(make_claim(0, executor)), context.view.next_offset)


@then('the claim view at {now_s:g} s names "{executor}"')
def step_view_names(context: Context, now_s: float, executor: str) -> None:
    context.view.advance(now_s)
    assert context.view.find(KEYS[0]) == make_claim(0, executor)


@then("the claim view at {now_s:g} s is empty")
def step_view_empty(context: Context, now_s: float) -> None:
    context.view.advance(now_s)
    assert len(context.view) == 0
    assert context.view.floor == context.view.next_offset
