"""Steps for the claims library."""

import sys
import time
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import anyio
import msgspec
from behave import given, then, when
from behave.runner import Context
from support.claims import (
    INCARNATIONS,
    LONG_LIMIT_S,
    RETENTION_S,
    claim_all,
    make_batch,
    make_claim,
)

from fireflybridge_claims import (
    Abandoned,
    Attempt,
    Batch,
    CaughtUp,
    ChosenKey,
    Claim,
    Conflict,
    Decision,
    Forwarded,
    Granted,
    HeldBy,
    Pending,
    PrefixedKey,
    PrefixExpired,
    PrefixIssuer,
    PrefixLive,
    PrefixNeverIssued,
    RecordSkipped,
    Registrar,
    RegistrarLimits,
    Report,
    Started,
    Unavailable,
    decide_start,
    decode_record,
    encode_batch,
    parse_key,
)
from fireflybridge_core import StepError
from fireflybridge_platform import HttpLog, Log
from fireflybridge_standins.claim_probe import Fault, MemoryLog, Rule, search_model

ERROR = StepError("log.append", "log", "down")


class ManualClock:
    """Clock whose time changes only when the test sets it."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


def prepare(context: Context, log: MemoryLog, **limits: Any) -> None:
    context.log, context.clock, context.reports = log, ManualClock(), []
    context.limits = RegistrarLimits(
        min_interval_s=0.0, max_pause_s=0.01, **{"claim_timeout_s": LONG_LIMIT_S, **limits}
    )
    context.registrar = None


def make_registrar(context: Context) -> Registrar:
    return Registrar(
        context.log,
        0,
        INCARNATIONS["a"],
        context.clock,
        limits=context.limits,
        report=context.reports.append,
    )


def decide_all(context: Context, *claims: Claim) -> list[Decision]:
    """Return decisions of the context's registrar, which is started again for each call."""
    if context.registrar is None:
        context.registrar = make_registrar(context)
    return anyio.run(claim_all, context.registrar, list(claims))


@when('the claim model is searched with {faults:d} faults and {count:d} submissions under "{rule}"')
def step_search(context: Context, faults: int, count: int, rule: str) -> None:
    context.search_result = search_model(Rule(rule), faults, count)
    print(
        f"claim model, {rule}, {faults} faults, {count} submissions: {context.search_result.states}"
        f" states, {context.search_result.states_after_start} after a start",
        file=sys.__stderr__,
    )


@then("the claim search finds no violation")
def step_no_violation(context: Context) -> None:
    assert not context.search_result.violation, context.search_result
    assert context.search_result.states_after_start > 1000, context.search_result


@then('the claim search finds "{violation}"')
def step_violation(context: Context, violation: str) -> None:
    assert context.search_result.violation == violation, context.search_result


@given("a claim log with a record of a later version")
def step_newer(context: Context) -> None:
    prepare(context, MemoryLog(payloads=[msgspec.msgpack.encode(["claims", 2, {"new": 1}])]))


@given("a claim log with an unreadable record")
def step_unreadable(context: Context) -> None:
    prepare(context, MemoryLog(payloads=[b"\xc1 not a batch"]))


@given("a claim log that has dropped records and keeps them {kept_s:g} s")
def step_dropped(context: Context, kept_s: float) -> None:
    batches = [encode_batch(make_batch(make_claim(key, "b"))) for key in range(1, 4)]
    prepare(context, MemoryLog(payloads=batches), log_retention_s=kept_s)
    context.log.truncate(2)


@given("a claim log with 3 batches")
def step_batches(context: Context) -> None:
    step_floor(context, 0)


@given("a claim log with 3 batches, the last with floor {floor:d}")
def step_floor(context: Context, floor: int) -> None:
    claims = [make_claim(key, "b") for key in range(1, 4)]
    batches = [make_batch(claims[0]), make_batch(claims[1]), make_batch(claims[2], floor=floor)]
    prepare(context, MemoryLog(payloads=[encode_batch(batch) for batch in batches]))


@when("the claim registrar catches up")
def step_catch_up(context: Context) -> None:
    context.registrar = make_registrar(context)

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(context.registrar.run)
            with anyio.fail_after(LONG_LIMIT_S):
                while not any(isinstance(report, CaughtUp) for report in context.reports):
                    await anyio.sleep(0)
            group.cancel_scope.cancel()

    anyio.run(run)


@when("the claim log loses all records and the answer to the next append")
def step_lose_all(context: Context) -> None:
    context.log.payloads.clear()
    context.log.faults.append(Fault.LOSE_ANSWER)


@when("the claim clock advances by {seconds:g} s")
def step_advance(context: Context, seconds: float) -> None:
    context.clock.now_s += seconds


@then("a claim is granted")
def step_granted(context: Context) -> None:
    assert decide_all(context, make_claim(0)) == [Granted()]


@then("a claim is refused as unavailable")
def step_refused(context: Context) -> None:
    (decision,) = decide_all(context, make_claim(0))
    assert isinstance(decision, Unavailable), decision
    assert decision.retry_after_s > RETENTION_S / 2, decision


@then("a claim is {decision} and {count:d} skipped record is reported")
def step_skipped(context: Context, decision: str, count: int) -> None:
    context.execute_steps(f"Then a claim is {decision}")
    skipped = [report for report in context.reports if isinstance(report, RecordSkipped)]
    assert len(skipped) == count, context.reports


@then("the claim registrar has read from offset {start:d}")
def step_read_from(context: Context, start: int) -> None:
    assert context.reports == [CaughtUp(0, start, 3)], context.reports
    assert context.registrar.remembered == 3 - start


@given("a claim registrar with room for {room:d} claims")
def step_room(context: Context, room: int) -> None:
    prepare(context, MemoryLog(), max_entries=room)


@then("2 claims are granted, the third is unavailable and the first is still held")
def step_full_registrar(context: Context) -> None:
    claims = [make_claim(0, "a", 1), make_claim(1, "a", 2)]
    assert decide_all(context, *claims) == [Granted(), Granted()]
    third, first = decide_all(context, make_claim(2, "a", 3), make_claim(0, "b", 1))
    assert isinstance(third, Unavailable), third
    assert first == HeldBy(INCARNATIONS["a"], 1), first


@given("100 claims at once and records of at most 1000 bytes")
def step_batch_limit(context: Context) -> None:
    prepare(context, MemoryLog(), max_record_bytes=1000)


@then("every claim is granted and no claim record is larger")
def step_record_size(context: Context) -> None:
    largest = 2**48 - 1  # has the longest encoding
    claims = [make_claim(key, "a", largest - key) for key in range(100)]
    assert decide_all(context, *claims) == [Granted()] * 100
    sizes = [len(payload) for payload in context.log.payloads]
    assert 900 < max(sizes) <= 1000, sizes


@when("{count:d} claims arrive during an append of the claim log")
def step_arrive(context: Context, count: int) -> None:
    async def run() -> None:
        context.log.gate = anyio.Event()
        registrar = make_registrar(context)
        async with anyio.create_task_group() as runner:
            runner.start_soon(registrar.run)
            async with anyio.create_task_group() as callers:
                callers.start_soon(registrar.claim, make_claim(0))
                while not context.log.appends:
                    await anyio.sleep(0)
                for key in range(1, count + 1):
                    callers.start_soon(registrar.claim, make_claim(key))
                await anyio.wait_all_tasks_blocked()
                context.log.gate.set()
            runner.cancel_scope.cancel()

    prepare(context, MemoryLog())
    anyio.run(run)


@then("the claim log holds batches of {first:d} and {second:d} claims")
def step_batch_sizes(context: Context, first: int, second: int) -> None:
    batches = [decode_record(payload) for payload in context.log.payloads]
    sizes = [len(batch.claims) for batch in batches if isinstance(batch, Batch)]
    assert sizes == [first, second], batches


@when("{count:d} claims follow each other with a minimum interval of {interval_ms:d} ms")
def step_follow(context: Context, count: int, interval_ms: int) -> None:
    async def run() -> None:
        limits = RegistrarLimits(min_interval_s=interval_ms / 1000, claim_timeout_s=LONG_LIMIT_S)
        registrar = Registrar(context.log, 0, INCARNATIONS["a"], time.monotonic, limits=limits)
        async with anyio.create_task_group() as runner:
            runner.start_soon(registrar.run)
            for key in range(count):
                assert await registrar.claim(make_claim(key)) == Granted()
            runner.cancel_scope.cancel()

    context.log = MemoryLog()
    anyio.run(run)


@then("claim appends begin at least {gap_ms:d} ms apart")
def step_gaps(context: Context, gap_ms: int) -> None:
    gaps = [later - earlier for earlier, later in pairwise(context.log.append_times_s)]
    assert min(gaps) >= gap_ms / 1000, gaps


OLD, RECENT, NOW_S = Attempt(1, 0.0), Attempt(1, 800.0), 1000.0
STATES = {
    "pending": Pending(INCARNATIONS["a"], Attempt(2, 990.0)),
    "pending too long": Pending(INCARNATIONS["a"], Attempt(2, 0.0)),
    "pending again": Pending(INCARNATIONS["a"], Attempt(2, 990.0), (RECENT,)),
    "abandoned": Abandoned(INCARNATIONS["a"], (RECENT,)),
    "asked by a peer": Forwarded(INCARNATIONS["a"], (RECENT,)),
    "asked too late": Forwarded(INCARNATIONS["a"], (OLD,)),
    "started": Started(INCARNATIONS["a"], 1),
}
DECISIONS: dict[str, Decision] = {
    "granted": Granted(),
    "unavailable": Unavailable(ERROR, 1.0),
    "conflict": Conflict(INCARNATIONS["b"]),
    "held by peer": HeldBy(INCARNATIONS["b"], 1),
    "held by 1": HeldBy(INCARNATIONS["a"], 1),
    "held by 7": HeldBy(INCARNATIONS["a"], 7),
}


@given("a claim executor that is {state}")
def step_executor(context: Context, state: str) -> None:
    context.local = STATES[state]


@then('the claim decision "{decision}" makes it "{action}"')
def step_action(context: Context, decision: str, action: str) -> None:
    decided = decide_start(context.local, DECISIONS[decision], NOW_S, RETENTION_S)
    assert type(decided).__name__ == action, decided


@then("a prefixed claim key is parsed and every other key is a chosen one")
def step_parse(context: Context) -> None:
    prefix = f"fbp-{INCARNATIONS['a']}-12"
    assert parse_key(f"{prefix}.x.y\n") == PrefixedKey(INCARNATIONS["a"], 12, "x.y\n")
    for key in (
        "",
        "order-1",
        prefix,
        f"{prefix}.",
        f"x{prefix}.y",
        f"fbp-{INCARNATIONS['a']}-012.x",
    ):
        assert parse_key(key) == ChosenKey(key), key


@then("an expired claim prefix stays refused while only live ones are kept in memory")
def step_prefixes(context: Context) -> None:
    issuer = PrefixIssuer(INCARNATIONS["a"], 10.0, max_live=2)
    keys = []
    for now_s in range(0, 1000, 5):
        key = parse_key(issuer.issue(float(now_s)).unwrap().text + ".x")
        assert isinstance(key, PrefixedKey), key
        keys.append(key)
        assert len(issuer) <= 2, len(issuer)
    assert issuer.issue(996.0).is_err()
    assert issuer.check(keys[-1], 996.0) == PrefixLive(9.0)
    assert issuer.check(keys[0], 996.0) == PrefixExpired()
    assert issuer.check(keys[-1], 1005.0) == PrefixExpired()
    assert issuer.check(PrefixedKey(INCARNATIONS["a"], 200, "x"), 996.0) == PrefixNeverIssued()
    assert issuer.check(PrefixedKey(INCARNATIONS["b"], 0, "x"), 996.0) == PrefixNeverIssued()


@when("{count:d} claim keys are claimed by two daemons through the platform's log")
def step_claim_platform(context: Context, count: int) -> None:
    limits = RegistrarLimits(claim_timeout_s=LONG_LIMIT_S)

    async def run_daemon(name: str, log: Log, report: Callable[[Report], None]) -> None:
        registrar = Registrar(
            log, 0, INCARNATIONS[name], anyio.current_time, limits=limits, report=report
        )
        claims = [make_claim(key, name) for key in range(count)]
        context.decisions[name] = await claim_all(registrar, claims)

    async def run() -> None:
        async with HttpLog(f"http://{context.platform.address}") as log:
            async with anyio.create_task_group() as group:
                for name in "ab":
                    group.start_soon(run_daemon, name, log, context.reports.append)

    context.decisions, context.reports = {}, []
    anyio.run(run)


@then("each claim key is granted to exactly one daemon and both name it")
def step_one_grant_each(context: Context) -> None:
    for pair in zip(context.decisions["a"], context.decisions["b"], strict=True):
        held = {"a": HeldBy(INCARNATIONS["b"], 1), "b": HeldBy(INCARNATIONS["a"], 1)}
        assert pair in ((Granted(), held["b"]), (held["a"], Granted())), pair
    assert any(type(report).__name__ == "AnswerResolved" for report in context.reports)
